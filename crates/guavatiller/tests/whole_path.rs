//! From the operators' calls to the streamed answer, on each of three daemons.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use support::{call, deploy_default, expected_text, fresh_key, runs_of, stream, submission};

#[test]
fn request_is_served_end_to_end_at_each_daemon() {
    let deployment = deploy_default();

    for index in 0..3 {
        let address = deployment.daemons[index].callers;
        let prompt = support::long_prompt(&format!("p{index}"), 600);

        let answer = stream(address, &prompt, 8);

        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text(), expected_text("v1", &prompt, 8));
    }
}

#[test]
fn service_call_runs_once_and_its_repeat_elsewhere_gets_the_answer() {
    let deployment = deploy_default();
    let key = fresh_key();

    let first = call(deployment.daemons[0].callers, &submission(&key, Some(1)));
    let repeat = call(deployment.daemons[1].callers, &submission(&key, Some(2)));

    assert_eq!(first.outcome, "done", "{first:?}");
    assert_eq!(repeat.outcome, "done", "{repeat:?}");
    assert_eq!(first.body, repeat.body);
    assert_eq!(runs_of(&deployment, "acme", &key), 1);
}

#[test]
fn callers_may_speak_http2() {
    let deployment = deploy_default();
    let address = deployment.daemons[0].callers;

    let status = guava_standins::deployment::block_on(async move {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let io = hyper_util::rt::TokioIo::new(stream);
        let executor = hyper_util::rt::TokioExecutor::new();
        let (mut sender, connection) =
            hyper::client::conn::http2::handshake(executor, io).await.unwrap();
        tokio::spawn(connection);
        let request = http::Request::get(format!("http://{address}/v1/address"))
            .body(http_body_util::Full::<bytes::Bytes>::default())
            .unwrap();
        sender.send_request(request).await.unwrap().status()
    });

    assert_eq!(status.unwrap(), 200);
}
