//! Property tests of the event reader on arbitrary bytes, with a fixed seed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use ibishill_core::{repeat, time};
use ibishill_endpoint::{call, client, sse};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use proptest::{collection, prop_assert, prop_assert_eq, prop_oneof, strategy::Strategy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REQUEST_ID_HEADER: &str = "x-request-id: r\r\n";

type Body = Arc<Mutex<Vec<u8>>>;

async fn endpoint(body: Body, header: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 4_096];
            let _read = stream.read(&mut head).await;
            let body = body.lock().unwrap().clone();
            let length = body.len();
            let start = format!(
                "HTTP/1.1 200 OK\r\n{header}content-length: {length}\r\n\
                 connection: close\r\n\r\n"
            );
            let _sent = stream.write_all(&[start.as_bytes(), &body].concat()).await;
        }
    });
    address
}

async fn read(client: &client::Client, address: SocketAddr) -> (usize, bool) {
    let call = call::Call {
        request: "r".parse().unwrap(),
        kind: call::Kind::Engine,
        repeat: repeat::Repeat::Safe,
        method: "POST".into(),
        path: "/".into(),
        content_type: "application/json".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        remaining: time::Millis::from_secs(20),
        idle_timeout: time::Millis::from_secs(20),
    };
    let Ok(response) = client.send(address, call).await else { return (0, false) };
    let mut events = sse::Events::new(response);
    let mut forwarded = 0;
    loop {
        match events.next().await {
            Ok(sse::Event::Done(_)) => return (forwarded, true),
            Ok(_) => forwarded += 1,
            Err(_) => return (forwarded, false),
        }
    }
}

#[test]
fn stream_is_complete_only_with_end_marker() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let body = Body::default();
    let address = runtime.block_on(endpoint(Arc::clone(&body), REQUEST_ID_HEADER));
    let client = client::Client::new().unwrap();
    let event = prop_oneof![
        4 => "data: \\{\"id\":\"a\",\"choices\":\\[\\{\\}\\],\"x\":[1-9]{1,5}\\}(\n\n|\r\n\r\n)"
            .prop_map(String::into_bytes),
        1 => "data: \\{\"id\":\"b\"\\}\n\n|: note\n\n|data: \\{\\}".prop_map(String::into_bytes),
        1 => collection::vec(any::<u8>(), 0..40),
    ];
    let parts = (collection::vec(event, 0..6), any::<bool>());
    let mut runner = TestRunner::new(Config {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    });
    let run = runner.run(&parts, |(parts, has_end)| {
        let mut text = parts.concat();
        if has_end {
            text.extend_from_slice(b"data: [DONE]\n\n");
        }
        *body.lock().unwrap() = text;
        let (forwarded, is_complete) = runtime.block_on(read(&client, address));
        prop_assert!(forwarded <= parts.len());
        prop_assert!(has_end || !is_complete);
        let is_valid = |part: &Vec<u8>| part.starts_with(b"data: {\"id\":\"a\"");
        if has_end && parts.iter().all(is_valid) {
            prop_assert_eq!((forwarded, is_complete), (parts.len(), true));
        }
        Ok(())
    });
    run.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn event_with_another_id_is_rejected() {
    struct Case {
        header: &'static str,
        ids: &'static [&'static str],
        is_complete: bool,
    }
    let case = |header, ids, is_complete| Case { header, ids, is_complete };
    let cases = [
        case(REQUEST_ID_HEADER, &["own-name", "own-name"][..], true),
        case(REQUEST_ID_HEADER, &["own-name", "other"], false),
        case("", &["r", "r"], true),
        case("", &["r", "other"], false),
        case("", &["own-name", "own-name"], false),
        case("x-request-id: s\r\n", &[], false),
    ];
    let client = client::Client::new().unwrap();
    for case in cases {
        let event = |id: &&str| format!("data: {{\"id\":\"{id}\",\"choices\":[{{}}]}}\n\n");
        let text: String = case.ids.iter().map(event).collect();
        let body = Body::new(Mutex::new(format!("{text}data: [DONE]\n\n").into_bytes()));
        let address = endpoint(body, case.header).await;
        let (_, is_complete) = read(&client, address).await;
        assert_eq!(is_complete, case.is_complete, "{:?} {:?}", case.header, case.ids);
    }
}
