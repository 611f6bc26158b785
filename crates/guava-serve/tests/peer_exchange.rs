//! What one daemon says and another takes from it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    EngineSpeed, ExpectedLoad, FetchWait, HeldPart, ListChange, ListChangeEffect, ListChangeGossip,
    ListRevision, ListSource, MAX_DATAGRAM_BYTES, OwnSummary, PartEvent, PartKey, PartSave,
    PeerMessage, ReadMark, ReadPace, STANDBYS, SentPrompt, ServeContext, ServeIdentity,
    UpstreamEntry, WeightVersion, WorkShare, apply_change, apply_message, compose_immediate,
    compose_initial_sync, compose_message, compose_reads, datagrams,
};
use guava_types::{Moment, TokenCount, TokenRate, UpstreamId};
use support::{
    address, engine, id, leaving, model, news, note, part, serve_context, store, upstream,
};

const NOW: Moment = Moment(100_000);

/// A long prompt that was sent to an engine, of which it must read 12,000 tokens.
fn long_prompt(engine: UpstreamId) -> SentPrompt {
    SentPrompt {
        engine,
        parts: Vec::new(),
        tokens: TokenCount(17_000),
        waiting: TokenCount(12_000),
        priority: 3,
        saves: Vec::new(),
        is_for_all: false,
        transfers: Vec::new(),
    }
}

/// Makes a daemon that knows the others' records one that stands by to read the store.
fn behind_another(context: &ServeContext) {
    context.members.borrow_mut().note_listed();
    let name = &context.identity.name;
    for place in 0.. {
        if context.members.borrow().reader_rank(name, NOW) > 0 {
            return;
        }
        context.members.borrow_mut().note_from_peer(note(&format!("other{place}")), NOW);
    }
}

/// Passes a message on as bytes.
fn pass(message: &PeerMessage, to: &ServeContext) {
    let received = PeerMessage::decode(&message.encode(NOW), NOW).unwrap();
    apply_message(to, received, NOW);
}

#[test]
fn prompt_is_known_to_peers_before_the_next_message() {
    // Symptom: heavy prompts arrive late though most engines are idle.
    // Sequence: two daemons choose an engine within a quarter of a second; both take the same.
    // Cause: a daemon's work was told only with its next message.
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    pass(&compose_message(&one, news("d1"), NOW), &two);
    one.just_sent.borrow_mut().push(long_prompt(id("e")));

    pass(&compose_immediate(&one, note("d1")).unwrap(), &two);

    assert_eq!(two.work.borrow().total(&id("e")).waiting, TokenCount(12_000));
    assert!(two.work.borrow().wait_ms(&id("e"), 3, NOW) > 100.0);
    assert!(compose_immediate(&one, note("d1")).is_none());
}

#[test]
fn part_that_a_peer_has_just_sent_is_neither_saved_again_nor_unknown() {
    // Symptom: on a quiet day 3 million tokens were read twice within two seconds.
    // Sequence: a shared part is read for the first time; before its store reports it, another
    // daemon gets a request with it, and has it read on another engine.
    // Cause: which parts a prompt has was told only with the next message, and to other data
    // centres not at all.
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    let key = PartKey::new("m0/1", "p");
    let sent = SentPrompt {
        engine: id("e"),
        parts: vec![key],
        tokens: TokenCount(17_000),
        waiting: TokenCount(17_000),
        priority: 3,
        saves: vec![PartSave { key, store: address(1), tokens: TokenCount(12_800) }],
        is_for_all: true,
        transfers: Vec::new(),
    };
    one.just_sent.borrow_mut().push(sent.clone());
    one.just_sent.borrow_mut().push(SentPrompt { is_for_all: false, ..sent });
    let note = compose_immediate(&one, note("d1")).unwrap();
    let far = note.message_for_relay(|sent| sent.is_for_all).unwrap();

    pass(&far.clone().relayed(), &two);

    assert_eq!(far.sent.len(), 1);
    let memory = TokenCount(70_000);
    let shared = part("p", 12_800);
    let stores = vec![store("s1", 1)];
    let mut index = two.part_index.borrow_mut();
    let held = HeldPart { salt: "m0/1".into(), id: "other".into(), tokens: TokenCount(9_000) };
    index.note_events(stores[0].address, 1, vec![PartEvent::Stored(held)], NOW);
    assert_eq!(index.store_for(&stores, "m0/1", &shared, NOW), None);
    assert_eq!(index.resident(&id("e"), memory, "m0/1", &[shared]), TokenCount(12_800));
}

#[test]
fn engines_that_will_load_are_known_before_they_refuse() {
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    two.upstreams.borrow_mut().note_entry(engine("e", 1));
    one.just_loading.borrow_mut().push(id("e"));

    pass(&compose_immediate(&one, note("d1")).unwrap(), &two);

    assert!(two.upstreams.borrow().is_loading(&id("e"), NOW));
}

#[test]
fn publication_keeps_its_age_from_daemon_to_daemon() {
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    one.targets.borrow_mut().offer(&model(), WeightVersion(2), Moment(NOW.0 - 7_000));

    pass(&compose_message(&one, news("d1"), NOW), &two);

    let target = two.targets.borrow().target(&model()).unwrap();
    assert_eq!(target.learned, Moment(NOW.0 - 7_000));
}

#[test]
fn change_of_the_list_and_its_digest_arrive_together() {
    // Symptom: each change of the list makes all daemons read it at the same moment.
    // Sequence: the reader's digest changes, and the others' do not.
    // Cause: only the digest was told.
    let (reader, other) = (serve_context("d1"), serve_context("d2"));
    for context in [&reader, &other] {
        context.upstreams.borrow_mut().note_entry(upstream("a", "app"));
        let digest = context.upstreams.borrow().digest();
        context.reads.borrow_mut().list.note_own(digest, Moment(NOW.0 - 500));
    }
    let change = ListChange::Entry(leaving(upstream("a", "app")));
    assert_eq!(
        apply_change(&reader, change.clone(), ListSource::Store, NOW),
        ListChangeEffect::Leaving
    );
    reader.list_change_gossip.borrow_mut().note(change, NOW);
    let digest = reader.upstreams.borrow().digest();
    reader.reads.borrow_mut().list.note_own(digest, NOW);

    pass(&compose_message(&reader, news("d1"), NOW), &other);

    assert!(!other.upstreams.borrow().may_send(&id("a")));
    let digest = other.upstreams.borrow().digest();
    let mut announcements = other.reads.borrow_mut();
    announcements.list.note_state(digest);
    assert_eq!(announcements.list.confirmed(), Some(NOW));
}

#[test]
fn message_for_other_data_centres_leaves_out_what_they_read_themselves() {
    let one = serve_context("d1");
    one.list_change_gossip.borrow_mut().note(ListChange::Removed(id("a"), ListRevision(7)), NOW);
    let message = compose_message(&one, news("d1"), NOW);
    assert_eq!(message.listed.len(), 1);

    let far = message.for_relay();

    assert!(far.listed.is_empty() && far.stores.is_empty() && far.sent.is_empty());
}

#[test]
fn message_that_a_suspended_relay_passes_on_confirms_nothing() {
    // Symptom: a daemon serves by an old configuration that it takes for confirmed.
    // Sequence: a relay is suspended with a message in its socket's buffer, and passes it on
    // seconds later.
    // Cause: ages are taken from the moment of arrival, and the wait at the relay is not in them.
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    one.reads.borrow_mut().operator.note_own(12, NOW);
    one.reads.borrow_mut().list.note_own(13, NOW);
    let message = compose_message(&one, news("d1"), NOW);
    assert!(message.operator.is_some() && message.list.is_some());
    let read = NOW.minus_millis(5_000);
    two.reads.borrow_mut().operator.note_own(12, read);
    two.reads.borrow_mut().list.note_own(13, read);

    pass(&message.for_relay().relayed(), &two);

    assert_eq!(two.reads.borrow().operator.confirmed(), Some(read));
    assert_eq!(two.reads.borrow().list.confirmed(), Some(read));
}

#[test]
fn message_is_passed_on_once() {
    // Symptom: daemons of a data centre send each other the same message for ever.
    let one = serve_context("d1");

    let received = compose_message(&one, news("d1"), NOW).for_relay();

    assert!(received.is_for_relay);
    assert!(!received.relayed().is_for_relay);
}

#[test]
fn own_message_that_comes_back_is_passed_over() {
    let one = serve_context("d1");
    let mut message = compose_message(&one, news("d1"), NOW);
    message.list = Some(ReadMark { state: 1, as_of: NOW });

    pass(&message, &one);

    assert_eq!(one.members.borrow().count(), 1);
}

#[test]
fn changes_are_told_for_a_while_only() {
    let mut news = ListChangeGossip::default();
    news.note(ListChange::Removed(id("a"), ListRevision(7)), NOW);

    assert_eq!(news.told(Moment(NOW.0 + 1_000)).len(), 1);
    assert_eq!(news.told(Moment(NOW.0 + 1_300)).len(), 0);
}

#[test]
fn vm_is_one_lease_holder_whichever_process_runs_on_it() {
    let identity = |name: &str, source: &str| ServeIdentity {
        name: name.parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        source: Some(source.parse().unwrap()),
    };

    let holder = identity("d1", "10.0.0.1").lease_holder();

    assert_eq!(identity("d1", "10.0.0.1").lease_holder(), holder);
    assert_ne!(identity("d2", "10.0.0.1").lease_holder(), holder);
    assert_ne!(identity("d1", "10.0.0.2").lease_holder(), holder);
}

#[test]
fn peers_word_on_a_new_start_ends_work_for_the_one_before() {
    // Symptom: prompts are sent by the cached parts and weights of an engine that has crashed.
    // Sequence: the engine starts again under its name; a peer knows and sends it a prompt; this
    // daemon hears of that before it reads the list.
    // Cause: the peer's word was taken for one on the start known here.
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    let entry = engine("e", 1);
    let before = UpstreamEntry { id: entry.id.started_at(100), ..entry.clone() };
    let after = UpstreamEntry { id: entry.id.started_at(200), ..entry };
    two.upstreams.borrow_mut().note_entry(before.clone());
    one.just_sent.borrow_mut().push(long_prompt(after.id.clone()));

    pass(&compose_immediate(&one, note("d1")).unwrap(), &two);

    assert!(!two.upstreams.borrow().may_send(&before.id));
    let late = apply_change(
        &two,
        ListChange::Entry(before),
        ListSource::Peer(&"d1".parse().unwrap()),
        NOW,
    );
    assert_eq!(late, ListChangeEffect::Same);
    apply_change(
        &two,
        ListChange::Entry(after.clone()),
        ListSource::Peer(&"d1".parse().unwrap()),
        NOW,
    );
    assert!(two.upstreams.borrow().may_send(&after.id));
}

#[test]
fn slow_link_that_two_daemons_notice_is_known_to_the_others() {
    // Symptom: after some daemons have noticed a slow link, the prompts of the others are late on it.
    // Sequence: each daemon fetches from the store twice a second, and needs a few late fetches.
    // Cause: each learnt for itself.
    let (one, two, three) = (serve_context("d1"), serve_context("d2"), serve_context("d3"));
    let store = address(5);
    let wait = FetchWait { stores: vec![store], expected_ms: 50.0, other_ms: 40.0 };
    for daemon in [&one, &two] {
        for _ in 0..2 {
            let ticket = daemon.links.borrow_mut().begin(&wait, NOW.minus_millis(1_000));
            daemon.links.borrow_mut().arrived(&ticket, NOW.minus_millis(500));
        }
    }

    pass(&compose_message(&one, news("d1"), NOW), &three);
    let by_one = three.links.borrow().slowness(store, NOW);
    pass(&compose_message(&two, news("d2"), NOW), &three);

    assert!(one.links.borrow().slowness(store, NOW) > 5.0);
    assert!(by_one < 1.01, "one daemon may be wrong");
    let told = three.links.borrow();
    assert!(told.slowness(store, NOW) > 5.0);
    assert!(told.slow_links(NOW).is_empty());
    assert!(told.slowness(store, Moment(NOW.0 + 1_000)) < 1.01);
}

#[test]
fn words_of_the_reader_reach_daemons_of_all_data_centres_with_their_age() {
    // Symptom: five data centres pay for five readers of the same records.
    // Sequence: words on the store have an age that counts and can't be relayed, so each data centre
    // had a reader of its own.
    // Cause: the reader told only those near it.
    let (reader, far) = (serve_context("d1"), serve_context("d2"));
    far.reads.borrow_mut().operator.note_own(12, Moment(NOW.0 - 2_000));
    reader.reads.borrow_mut().operator.note_own(12, Moment(NOW.0 - 300));
    reader.members.borrow_mut().note_listed();

    compose_reads(&reader, &note("d1"), NOW)
        .iter()
        .for_each(|announcements| pass(announcements, &far));

    let announcements = far.reads.borrow();
    assert_eq!(announcements.operator.confirmed(), Some(Moment(NOW.0 - 300)));
    drop(announcements);
    behind_another(&far);
    assert!(compose_reads(&far, &note("d2"), NOW).is_empty(), "its own word is older");
}

#[test]
fn words_leave_what_a_daemon_said_before_of_its_work() {
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    let share = WorkShare { waiting: TokenCount(5), memory: TokenCount(6), running: 2 };
    let mut message = compose_message(&one, news("d1"), NOW);
    message.shares.insert(id("e"), share);
    pass(&message, &two);
    one.reads.borrow_mut().operator.note_own(12, NOW);
    one.members.borrow_mut().note_listed();

    compose_reads(&one, &note("d1"), NOW)
        .iter()
        .for_each(|announcements| pass(announcements, &two));

    assert_eq!(two.work.borrow().total(&id("e")).running, 2);
}

#[test]
fn daemons_that_come_far_behind_in_turn_tell_no_words() {
    let one = serve_context("d1");
    one.reads.borrow_mut().operator.note_own(12, NOW);
    for place in 0..100 {
        one.members.borrow_mut().note_from_peer(note(&format!("other{place}")), NOW);
    }
    one.members.borrow_mut().note_listed();
    let turn = one.members.borrow().reader_rank(&one.identity.name, NOW);
    assert!(turn > STANDBYS, "{turn}");

    assert!(compose_reads(&one, &note("d1"), NOW).is_empty());
}

#[test]
fn prompt_for_an_engine_elsewhere_concerns_its_data_centre() {
    let one = serve_context("d1");
    one.just_sent.borrow_mut().push(long_prompt(id("e")));
    let note = compose_immediate(&one, note("d1")).unwrap();

    let concerned = note.message_for_relay(|sent| sent.engine == id("e"));
    let other = note.message_for_relay(|sent| sent.engine == id("f"));

    assert!(concerned.is_some_and(|far| far.is_for_relay && far.sent.len() == 1));
    assert!(other.is_none());
}

#[test]
fn many_changes_at_once_spare_the_others_a_read_of_the_list() {
    // Symptom: 295 daemons read the list three times when a fleet starts.
    // Sequence: some hundred upstreams are listed within a second; the reader tells what one datagram
    // holds, and the digest of them all.
    // Cause: changes beyond that were forgotten, and the digest differed at all others.
    let (reader, other) = (serve_context("d1"), serve_context("d2"));
    reader.members.borrow_mut().note_listed();
    for context in [&reader, &other] {
        let digest = context.upstreams.borrow().digest();
        context.reads.borrow_mut().list.note_own(digest, Moment(NOW.0 - 500));
    }
    for number in 0..160 {
        let change = ListChange::Entry(upstream(&format!("u{number}"), "app"));
        apply_change(&reader, change.clone(), ListSource::Store, NOW);
        reader.list_change_gossip.borrow_mut().note(change, NOW);
    }
    let digest = reader.upstreams.borrow().digest();
    reader.reads.borrow_mut().list.note_own(digest, NOW);

    let summary = compose_message(&reader, news("d1"), NOW);
    let announcements = compose_reads(&reader, &note("d1"), NOW);
    announcements.iter().for_each(|announcements| pass(announcements, &other));

    assert!(summary.list.is_none() && summary.listed.is_empty());
    assert!(
        announcements
            .iter()
            .all(|announcements| announcements.encode(NOW).len() <= MAX_DATAGRAM_BYTES)
    );
    assert_eq!(other.upstreams.borrow().digest(), digest);
    let mut known = other.reads.borrow_mut();
    known.list.note_state(digest);
    assert_eq!(known.list.confirmed(), Some(NOW));
}

#[test]
fn publication_that_the_reader_tells_spares_the_others_a_read() {
    // Symptom: each publication of weights costs as many calls to the store as there are daemons.
    // Sequence: the reader's offset grows by a publication; its words tell the offset and the weights.
    // Cause: what had come between the offsets was not told.
    let pace = ReadPace::within(4_000);
    let other_turn = STANDBYS + 1;
    let (reader, other) = (serve_context("d1"), serve_context("d2"));
    reader.members.borrow_mut().note_listed();
    for context in [&reader, &other] {
        context.reads.borrow_mut().operator.note_own(12, Moment(NOW.0 - 500));
    }
    reader.targets.borrow_mut().offer(&model(), WeightVersion(2), Moment(NOW.0 - 20));
    reader.reads.borrow_mut().operator.note_own(13, NOW);
    reader.reads.borrow_mut().published_since = Some(12);

    compose_reads(&reader, &note("d1"), NOW)
        .iter()
        .for_each(|announcements| pass(announcements, &other));

    let target = other.targets.borrow().target(&model()).unwrap();
    assert_eq!((target.version, target.learned), (WeightVersion(2), Moment(NOW.0 - 20)));
    let operator = other.reads.borrow().operator;
    assert_eq!(operator.confirmed(), Some(NOW));
    assert!(!operator.is_due(other_turn, pace, Moment(NOW.0 + 10)));
}

#[test]
fn daemon_that_missed_a_configuration_before_a_publication_reads_it() {
    // Symptom: a daemon serves by an old configuration for the rest of its life.
    // Sequence: a configuration is written, then weights are published; the daemon hears only of the
    // latter, and takes the offset after both for its own.
    // Cause: that only publications came was true for whoever had read the configuration.
    let pace = ReadPace::within(4_000);
    let (reader, other) = (serve_context("d1"), serve_context("d2"));
    reader.members.borrow_mut().note_listed();
    other.reads.borrow_mut().operator.note_own(11, Moment(NOW.0 - 500));
    reader.reads.borrow_mut().operator.note_own(13, NOW);
    reader.reads.borrow_mut().published_since = Some(12);

    compose_reads(&reader, &note("d1"), NOW)
        .iter()
        .for_each(|announcements| pass(announcements, &other));

    let operator = other.reads.borrow().operator;
    assert_eq!(operator.own().unwrap().state, 11);
    assert!(operator.is_due(STANDBYS + 1, pace, Moment(NOW.0 + 10)));
}

#[test]
fn daemon_that_starts_is_told_at_once_what_stores_hold() {
    // Symptom: while VMs are restarted in turn, parts that lie in stores are read again.
    // Sequence: a daemon starts, reads the others' records, and leaves each store to one of them; what
    // the store holds it is told whole only every ten messages, three seconds apart.
    // Cause: nobody told a daemon that was new what had been told to all before.
    let (follower, newcomer) = (serve_context("d1"), serve_context("d2"));
    let store = store("s1", 1);
    let held = HeldPart { salt: "m0/1".into(), id: "p".into(), tokens: TokenCount(9_000) };
    follower.part_index.borrow_mut().note_list(store.address, 7, vec![held], NOW);
    let mut news = news("d1");
    news.followed = vec![store.address];
    drop(compose_message(&follower, OwnSummary { number: 1, ..news.clone() }, NOW));

    pass(&compose_message(&newcomer, self::news("d2"), NOW), &follower);
    let greeted = std::mem::take(&mut *follower.new_peers.borrow_mut());
    compose_initial_sync(&follower, &news, NOW).iter().for_each(|message| pass(message, &newcomer));
    pass(&compose_message(&newcomer, self::news("d2"), NOW), &follower);

    assert_eq!(greeted, [address(1)]);
    assert!(follower.new_peers.borrow().is_empty(), "it is greeted once");
    let stores = vec![store];
    let index = newcomer.part_index.borrow();
    assert!(index.holder(&stores, "m0/1", &part("p", 9_000), NOW).is_some());
}

#[test]
fn greeting_leaves_to_all_others_what_is_new() {
    let follower = serve_context("d1");
    let store = store("s1", 1);
    let held = HeldPart { salt: "m0/1".into(), id: "p".into(), tokens: TokenCount(9_000) };
    follower.part_index.borrow_mut().note_list(store.address, 7, vec![held], NOW);
    let mut news = news("d1");
    news.followed = vec![store.address];

    drop(compose_initial_sync(&follower, &news, NOW));

    assert_eq!(compose_message(&follower, news, NOW).stores[0].parts.len(), 1);
}

#[test]
fn reader_goes_on_telling_when_others_have_read_for_themselves() {
    // Symptom: for five seconds after a fleet started, and whenever one daemon was cut off, two or
    // three hundred daemons read the list of upstreams every other second.
    // Sequence: some daemons read for themselves, later than the reader; it hears of that, and says
    // nothing of its older word until it has read again; the others wait for it, and read.
    // Cause: the reader told only what was the freshest word that it knew.
    let reader = serve_context("d1");
    reader.members.borrow_mut().note_listed();
    reader.reads.borrow_mut().list.note_own(7, Moment(NOW.0 - 900));
    let later = ReadMark { state: 7, as_of: Moment(NOW.0 - 100) };
    reader.reads.borrow_mut().list.note_from_peer(later);

    let announcements = compose_reads(&reader, &note("d1"), NOW);

    assert_eq!(announcements[0].list.map(|word| word.as_of), Some(Moment(NOW.0 - 900)));
}

/// An engine's entry with weights, as a record of the list.
fn engine_record(version: u64, revision: u64) -> ListChange {
    ListChange::Entry(UpstreamEntry { revision: ListRevision(revision), ..engine("e", version) })
}

#[test]
fn entry_that_a_peer_tells_late_does_not_bring_a_removed_upstream_back() {
    // Users saw requests reach upstreams that had left some seconds before.
    // Two daemons read the list, one of them a moment later: it finds new weights at an engine, and
    // tells them for a second; the other has read by then that the engine is removed. It took the
    // engine in again, and no later read took it away, since a read returns only later records.
    // Cause: changes of the list had no order, neither those that daemons tell each other nor those
    // that a daemon reads after it was told later ones.
    // Evidence: at a daemon that sent an engine work 3.6 s after it left, the log has "gone", "added",
    // "gone", "added", "gone", "added" for it within 0.9 s, and the send 2.6 s later.
    let (behind, ahead) = (serve_context("d1"), serve_context("d2"));
    for context in [&behind, &ahead] {
        apply_change(context, engine_record(1, 10), ListSource::Store, NOW);
        context.upstreams.borrow_mut().order().note_position(ListRevision(11));
    }
    apply_change(&behind, engine_record(2, 11), ListSource::Store, NOW);
    behind.list_change_gossip.borrow_mut().note(engine_record(2, 11), NOW);

    let removed = ListChange::Removed(id("e"), ListRevision(12));
    apply_change(&ahead, removed, ListSource::Store, NOW);
    ahead.upstreams.borrow_mut().order().note_position(ListRevision(13));
    pass(&compose_message(&behind, news("d1"), NOW), &ahead);

    assert!(!ahead.upstreams.borrow().may_send(&id("e")));
}

#[test]
fn changes_that_peers_tell_count_in_the_order_of_the_list() {
    // Guards against an upstream that is taken in again since datagrams overtook each other.
    let one = serve_context("d1");
    let teller = "d2".parse().unwrap();
    let told = |change| apply_change(&one, change, ListSource::Peer(&teller), NOW);

    let removed = told(ListChange::Removed(id("e"), ListRevision(12)));
    let late = told(engine_record(2, 11));
    let back = told(engine_record(1, 15));

    assert_eq!(
        (removed, late, back),
        (ListChangeEffect::Same, ListChangeEffect::Same, ListChangeEffect::Added)
    );
}

#[test]
fn message_of_a_daemon_before_many_engines_fits_into_a_datagram() {
    // Users saw requests reach upstreams that had left some seconds before.
    // Before 90 engines a daemon's summary grows longer than its receivers take; they cut it, can't
    // read it, and hear nothing of its work, of engines' weights and of the list.
    // Cause: a message was bounded by the number of some of its items, and not by its length.
    // Evidence: 11,256 bytes, of which receivers take 8,192.
    let (one, two) = (serve_context("d1"), serve_context("d2"));
    let now = Moment::now();
    for number in 0..90 {
        let engine = id(&format!("i-{number:08x}"));
        let load = ExpectedLoad {
            prompt: TokenCount(20_000),
            memory: TokenCount(60_000),
            answer_ms: 500.0,
            service_ms: 400.0,
            priority: 3,
        };
        one.work.borrow_mut().begin(&engine, &load, now);
        let speed = EngineSpeed { engine: engine.clone(), rate: TokenRate(48_200) };
        one.speeds.borrow_mut().note_own(speed, now);
        one.sent_prompts
            .borrow_mut()
            .push(SentPrompt { parts: (0..6).map(PartKey).collect(), ..long_prompt(engine) });
    }
    for number in 0..40 {
        let change = ListChange::Entry(engine(&format!("i-{number:08x}"), 2));
        one.list_change_gossip.borrow_mut().note(change, now);
    }

    let told = datagrams(&compose_message(&one, news("d1"), now), now);
    for bytes in &told {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        apply_message(&two, PeerMessage::decode(bytes, now).unwrap(), now);
    }

    assert!(told.len() <= 3, "{}", told.len());
    let last = id("i-0000001f");
    assert_eq!(PeerMessage::decode(&told[0], now).unwrap().shares.len(), 90);
    assert_eq!(two.speeds.borrow().rate(&last), Some(TokenRate(48_200)));
    assert!(two.upstreams.borrow().may_send(&id("i-00000027")));
}

#[test]
fn own_read_does_not_bring_back_what_a_peer_told_to_be_removed() {
    // Guards against a daemon that reads its backlog after it was told the newest records.
    let one = serve_context("d1");
    let teller = "d2".parse().unwrap();
    apply_change(&one, engine_record(1, 10), ListSource::Store, NOW);
    let removed = ListChange::Removed(id("e"), ListRevision(30));
    apply_change(&one, removed, ListSource::Peer(&teller), NOW);

    let read = apply_change(&one, engine_record(1, 20), ListSource::Store, NOW);

    assert_eq!(read, ListChangeEffect::Same);
    assert!(!one.upstreams.borrow().may_send(&id("e")));
}
