//! What connections hold, and which of them is closed first.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use bytes::Bytes;
use guava_clients::{
    AnswerBytes, BudgetedStream, CONNECTION_BYTES, ClientBudget, ClientLimits, ClientTimes,
    CloseReason, ConnectionAccount, ListenerPlaces, RequestBytes,
};
use guava_types::Moment;
use http_body_util::{BodyExt, Full};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const TIMES: ClientTimes = ClientTimes { idle_ms: 60_000, head_ms: 5_000, answer_ms: 10_000 };
const CALLERS: ListenerPlaces = ListenerPlaces { name: "callers", most_permille: 900 };
const METRICS: ListenerPlaces = ListenerPlaces { name: "metrics", most_permille: 300 };
const LIMITS: ClientLimits =
    ClientLimits { bytes: 1 << 20, connections: 10, socket_buffer_bytes: 64 << 10 };

fn open(budget: &ClientBudget) -> ConnectionAccount {
    budget.open(CALLERS, TIMES).unwrap()
}

/// Lets so much time pass, with sweeps in between.
fn pass(budget: &ClientBudget, from_ms: u64, millis: u64) -> u64 {
    let end_ms = from_ms + millis;
    (from_ms..=end_ms).step_by(250).for_each(|now_ms| budget.sweep(Moment(now_ms)));
    end_ms
}

async fn is_closed(account: &ConnectionAccount) -> bool {
    timeout(Duration::ZERO, account.closed()).await.is_ok()
}

fn closed(budget: &ClientBudget, reason: CloseReason) -> u64 {
    let place = CloseReason::ALL.iter().position(|known| *known == reason).unwrap();
    budget.levels().closed[place]
}

/// A served connection and its client's end.
async fn connected(account: &ConnectionAccount) -> (BudgetedStream<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (served, _) = listener.accept().await.unwrap();
    (BudgetedStream::plain(served, account.clone()), client)
}

#[test]
fn all_that_is_held_is_given_back() {
    let budget = ClientBudget::new(LIMITS);
    for _ in 0..10 {
        let account = open(&budget);
        let service = account.begin_request();
        let mut held = account.hold(10_000).unwrap();
        assert!(held.grow(20_000));
        assert!(held.resize(5_000));
        let of_process = budget.hold(1_000).unwrap();
        assert_eq!(budget.levels().bytes, CONNECTION_BYTES + 6_000);
        drop((service, held, of_process, account));
    }

    assert_eq!((budget.levels().bytes, budget.levels().connections), (0, 0));
}

#[tokio::test]
async fn answer_counts_until_it_is_taken() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let answer = Full::new(Bytes::from(vec![b'a'; 100_000]));
    let mut answer = AnswerBytes::new(answer, account.begin_request());

    let piece = answer.frame().await.unwrap().unwrap().into_data().unwrap();
    let held = budget.levels().bytes;
    drop(piece);

    assert_eq!(held, CONNECTION_BYTES + 100_000);
    assert_eq!(budget.levels().bytes, CONNECTION_BYTES);
}

#[tokio::test]
async fn body_counts_as_far_as_it_is_read() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let held = RequestBytes::new(&account);

    let body = held.count(Full::new(Bytes::from(vec![b'b'; 50_000])), &account);
    body.collect().await.unwrap();

    assert_eq!(budget.levels().bytes, CONNECTION_BYTES + 50_000);
}

#[tokio::test]
async fn body_without_memory_is_refused() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let held = RequestBytes::new(&account);

    let body = held.count(Full::new(Bytes::from(vec![b'b'; 2 << 20])), &account);

    assert!(body.collect().await.is_err());
    assert_eq!(closed(&budget, CloseReason::NoBytes), 1);
}

#[tokio::test]
async fn who_has_stood_still_with_most_for_longest_is_closed_first() {
    let budget = ClientBudget::new(LIMITS);
    let [small, large, moving, served] = [(); 4].map(|()| open(&budget));
    let (_small, _large) = (small.begin_body(), large.begin_body());
    let (_small_bytes, large_bytes) = (small.hold(1_000).unwrap(), large.hold(500_000).unwrap());
    pass(&budget, 0, 1_000);
    let (_moving, _moving_bytes) = (moving.begin_body(), moving.hold(450_000).unwrap());
    let _service = served.begin_request();

    let held = served.hold(200_000);

    assert!(is_closed(&large).await);
    assert!(!is_closed(&small).await);
    assert!(!is_closed(&moving).await);
    assert!(!is_closed(&served).await);
    assert!(held.is_none(), "the memory is not free before its connection is gone");
    drop((large_bytes, large));
    assert!(served.hold(200_000).is_some());
}

#[tokio::test]
async fn connection_that_is_served_is_closed_for_none() {
    let budget = ClientBudget::new(LIMITS);
    let served: Vec<_> = (0..9).map(|_| open(&budget)).collect();
    let _services: Vec<_> = served.iter().map(ConnectionAccount::begin_request).collect();
    pass(&budget, 0, 2_000);

    let refused = budget.open(CALLERS, TIMES);

    assert!(refused.is_none());
    assert_eq!(closed(&budget, CloseReason::NoPlace), 1);
    assert!(budget.open(METRICS, TIMES).is_some(), "callers leave places to the endpoints");
}

#[tokio::test]
async fn idle_connection_that_was_never_used_makes_room_before_one_that_was() {
    let budget = ClientBudget::new(LIMITS);
    let used = open(&budget);
    drop(used.begin_request());
    pass(&budget, 0, 1_000);
    let unused: Vec<_> = (0..8).map(|_| open(&budget)).collect();
    pass(&budget, 1_000, 1_000);

    let newcomer = budget.open(CALLERS, TIMES);

    assert!(newcomer.is_some());
    assert!(is_closed(&unused[0]).await);
    assert!(!is_closed(&used).await);
}

#[tokio::test]
async fn head_that_is_not_complete_in_time_ends_its_connection() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (mut served, mut client) = connected(&account).await;
    client.write_all(b"GET / HT").await.unwrap();
    served.read_exact(&mut [0; 8]).await.unwrap();

    let now_ms = pass(&budget, 0, TIMES.head_ms);
    let before = is_closed(&account).await;
    pass(&budget, now_ms, 500);

    assert!(!before);
    assert!(is_closed(&account).await);
    assert_eq!(closed(&budget, CloseReason::SlowHead), 1);
}

#[tokio::test]
async fn pause_of_the_process_counts_against_no_client() {
    // Guards against clients that are closed for what lies in their sockets when a process goes on.
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (mut served, mut client) = connected(&account).await;
    client.write_all(b"GET / HT").await.unwrap();
    served.read_exact(&mut [0; 8]).await.unwrap();
    budget.sweep(Moment(0));

    budget.sweep(Moment(3_600_000));

    assert!(!is_closed(&account).await);
}

#[tokio::test]
async fn answer_that_is_not_taken_in_time_ends_its_connection() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (mut served, client) = connected(&account).await;
    let _service = account.begin_request();
    let writing = async { while served.write_all(&[b'a'; 65_536]).await.is_ok() {} };
    assert!(timeout(Duration::from_millis(500), writing).await.is_err());

    pass(&budget, 0, TIMES.answer_ms + 500);

    assert!(is_closed(&account).await);
    assert_eq!(closed(&budget, CloseReason::UntakenAnswer), 1);
    drop(client);
}

#[tokio::test]
async fn client_that_takes_its_answer_slowly_keeps_its_connection() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (mut served, mut client) = connected(&account).await;
    let _service = account.begin_request();
    let mut now_ms = 0;

    for _ in 0..20 {
        served.write_all(&[b'a'; 20_000]).await.unwrap();
        served.flush().await.unwrap();
        now_ms = pass(&budget, now_ms, 5_000);
        client.read_exact(&mut vec![0; 20_000]).await.unwrap();
    }

    assert!(!is_closed(&account).await);
}

#[tokio::test]
async fn client_that_stood_still_for_a_moment_is_closed_for_none() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (_body, _bytes) = (account.begin_body(), account.hold(900_000).unwrap());
    pass(&budget, 0, 250);

    let refused = budget.hold(200_000);

    assert!(refused.is_none());
    assert!(!is_closed(&account).await);
}

#[tokio::test]
async fn connection_that_has_served_and_waits_is_closed_for_no_bytes() {
    let budget = ClientBudget::new(LIMITS);
    let waiting = open(&budget);
    drop(waiting.begin_request());
    pass(&budget, 0, 5_000);

    let refused = budget.hold(2 << 20);

    assert!(refused.is_none());
    assert!(!is_closed(&waiting).await);
}

#[tokio::test]
async fn head_counts_from_its_first_byte_until_its_request_begins() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (mut served, mut client) = connected(&account).await;
    client.write_all(&[b'h'; 3_000]).await.unwrap();

    served.read_exact(&mut [0; 3_000]).await.unwrap();
    let held = budget.levels().bytes;
    let _service = account.begin_request();

    assert_eq!(held, CONNECTION_BYTES + 6_000);
    assert_eq!(budget.levels().bytes, CONNECTION_BYTES);
}

#[tokio::test]
async fn kernel_buffers_count_while_a_client_sends_ahead_or_takes_nothing() {
    let budget = ClientBudget::new(LIMITS);
    let account = open(&budget);
    let (mut served, mut client) = connected(&account).await;
    let service = account.begin_request();
    client.write_all(&[b'h'; 100]).await.unwrap();
    served.read_exact(&mut [0; 100]).await.unwrap();
    let ahead = budget.levels().bytes;
    let writing = async { while served.write_all(&[b'a'; 65_536]).await.is_ok() {} };
    assert!(timeout(Duration::from_millis(500), writing).await.is_err());
    let blocked = budget.levels().bytes;
    drop(service);

    let draining = timeout(Duration::from_millis(50), served.read_exact(&mut [0; 1])).await;
    served.flush().await.unwrap();

    assert!(draining.is_err());
    assert_eq!(ahead, CONNECTION_BYTES + LIMITS.socket_buffer_bytes);
    assert_eq!(blocked, CONNECTION_BYTES + 2 * LIMITS.socket_buffer_bytes);
    assert_eq!(budget.levels().bytes, CONNECTION_BYTES);
}
