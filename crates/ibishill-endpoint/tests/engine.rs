//! Tests of the client against the stand-in engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::{header, id, repeat, time, view};
use ibishill_endpoint::{call, client, engine as engine_api, failure, sse, wire};
use ibishill_standin::engine;
use ibishill_standin::engine::simulation;

async fn start(engine: &engine::Engine) -> SocketAddr {
    let address = ibishill_standin::port::free_address();
    tokio::spawn(engine::server(engine.clone(), address).launch());
    let client = client::Client::new().unwrap();
    while engine_api::Engine::new(&client, address, TIMEOUT).health().await.is_err() {
        tokio::task::yield_now().await;
    }
    address
}

const TIMEOUT: time::Millis = time::Millis::from_secs(20);

fn chat(request: &str, stream: bool) -> call::Call {
    let content = "hail dings on the roof ".repeat(8);
    let body = serde_json::json!({
        "model": "assistant@v1", "stream": stream,
        "messages": [{"role": "user", "content": content}],
    });
    call::Call {
        request: request.parse().unwrap(),
        kind: call::Kind::Engine,
        repeat: repeat::Repeat::Safe,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        headers: Vec::new(),
        body: Bytes::from(body.to_string()),
        remaining: TIMEOUT,
        idle_timeout: TIMEOUT,
    }
}

async fn generate(address: SocketAddr, call: call::Call) -> Result<u64, failure::Failure> {
    let client = client::Client::new().unwrap();
    let is_stream = String::from_utf8_lossy(&call.body).contains("\"stream\":true");
    let mut response = client.send(address, call).await?;
    if response.status != 200 {
        return Err(failure::Failure::Incomplete { detail: response.status.to_string() });
    }
    if !is_stream {
        let body = response.read_to_end(1 << 20).await?;
        return sse::parse_usage(&response, &body).map(|usage| usage.output);
    }
    let mut events = sse::Events::new(response);
    while !matches!(events.next().await?, sse::Event::Done(_)) {}
    Ok(events.usage().output)
}

#[derive(Debug, PartialEq, Eq)]
enum Verdict {
    Complete,
    Incomplete,
    IdMismatch,
    IdMissing,
}

fn verdict(result: &Result<u64, failure::Failure>) -> Verdict {
    match result {
        Ok(_) => Verdict::Complete,
        Err(failure::Failure::RequestIdMismatch { .. }) => Verdict::IdMismatch,
        Err(failure::Failure::RequestIdMissing) => Verdict::IdMissing,
        Err(_) => Verdict::Incomplete,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_or_foreign_response_is_rejected() {
    struct Case {
        behaviour: engine::Behaviour,
        stream: Verdict,
        body: Verdict,
    }
    let normal = engine::Behaviour::default;
    let case = |behaviour, stream, body| Case { behaviour, stream, body };
    let cases = [
        case(normal(), Verdict::Complete, Verdict::Complete),
        case(engine::Behaviour { slow: 3, ..normal() }, Verdict::Complete, Verdict::Complete),
        case(
            engine::Behaviour { cut_after: 2, ..normal() },
            Verdict::Incomplete,
            Verdict::Complete,
        ),
        case(
            engine::Behaviour { crossed: true, ..normal() },
            Verdict::IdMismatch,
            Verdict::IdMismatch,
        ),
        case(
            engine::Behaviour { late: true, ..normal() },
            Verdict::IdMismatch,
            Verdict::IdMismatch,
        ),
        case(
            engine::Behaviour { unmarked: true, ..normal() },
            Verdict::IdMissing,
            Verdict::IdMissing,
        ),
    ];
    let engine = engine::Engine::new(normal());
    let address = start(&engine).await;
    generate(address, chat("first", false)).await.unwrap();
    for (n, case) in cases.into_iter().enumerate() {
        engine.set_behaviour(case.behaviour.clone());
        let streamed = generate(address, chat(&format!("s{n}"), true)).await;
        assert_eq!(verdict(&streamed), case.stream, "{:?}", case.behaviour);
        let unstreamed = generate(address, chat(&format!("w{n}"), false)).await;
        assert_eq!(verdict(&unstreamed), case.body, "{:?}", case.behaviour);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_or_late_response_fails() {
    let behaviour = engine::Behaviour { hang_after: 1, ..Default::default() };
    let address = start(&engine::Engine::new(behaviour)).await;
    let call = call::Call { idle_timeout: time::Millis(100), ..chat("r", true) };
    let idle = failure::Failure::Incomplete { detail: "silence".into() };
    assert_eq!(generate(address, call).await, Err(idle));
    let call = call::Call { remaining: time::Millis(200), ..chat("s", true) };
    assert_eq!(generate(address, call).await, Err(failure::Failure::TimedOut));
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_order_is_refused_only_with_fencing() {
    for fencing in [true, false] {
        let settings = simulation::Settings {
            fencing,
            load_time: std::time::Duration::ZERO,
            ..simulation::Settings::default()
        };
        let first: id::VersionRef = "assistant@v1".parse().unwrap();
        let second: id::VersionRef = "assistant@v2".parse().unwrap();
        let versions = BTreeSet::from([first.clone()]);
        let engine = engine::Engine::with_settings(settings, versions, Default::default());
        let address = start(&engine).await;
        let client = client::Client::new().unwrap();
        let api = engine_api::Engine::new(&client, address, TIMEOUT);
        let order = |fence, action| wire::Order { fence: view::ViewNumber(fence), action };
        api.order(&order(7, wire::Action::Load(second.clone()))).await.unwrap();
        assert_eq!(api.loaded().await.unwrap().versions, [first.clone(), second.clone()]);
        let stale = api.order(&order(6, wire::Action::Unload(first.clone()))).await;
        let highest = view::ViewNumber(7);
        if fencing {
            assert_eq!(stale, Err(failure::Failure::Fenced { highest }));
            assert_eq!(generate(address, chat("r", false)).await, Ok(12));
        } else {
            assert_eq!(stale, Ok(()));
            assert!(generate(address, chat("r", false)).await.is_err());
        }
        api.order(&order(8, wire::Action::Role(wire::Role::Prefill))).await.unwrap();
        assert_eq!(api.loaded().await.unwrap().role, wire::Role::Prefill);
    }
}

async fn read_events(response: client::Response) -> (String, Option<failure::Failure>) {
    let mut events = sse::Events::new(response);
    let mut text = String::new();
    loop {
        match events.next().await {
            Ok(sse::Event::Chunk(event)) => text.push_str(std::str::from_utf8(&event).unwrap()),
            Ok(sse::Event::Usage(_)) => {}
            Ok(sse::Event::Done(_)) => return (text, None),
            Err(failure) => return (text, Some(failure)),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_can_be_cancelled_and_resumed() {
    let behaviour = engine::Behaviour { tokens: 1_000_000, ..Default::default() };
    let engine = engine::Engine::new(behaviour);
    let address = start(&engine).await;
    let client = client::Client::new().unwrap();
    let api = engine_api::Engine::new(&client, address, TIMEOUT);
    let response = client.send(address, chat("long", true)).await.unwrap();
    let request = "long".parse().unwrap();
    assert_eq!(api.cancel(&request).await, Ok(true));
    assert_eq!(api.cancel(&request).await, Ok(false));
    assert_eq!(engine.in_flight(), 0);
    assert!(matches!(read_events(response).await.1, Some(failure::Failure::Incomplete { .. })));

    engine.set_behaviour(engine::Behaviour { cut_after: 4, ..Default::default() });
    let headers = vec![header::Header::new("x-ibishill-resumable", "true")];
    let result = generate(address, call::Call { headers, ..chat("kept", true) }).await;
    assert!(matches!(result, Err(failure::Failure::Incomplete { .. })));
    let version = "assistant@v1".parse().unwrap();
    let resumed = api.resume(&"kept".parse().unwrap(), &version, 4).await.unwrap();
    let (text, failure) = read_events(resumed).await;
    assert_eq!(failure, None);
    assert!(!text.contains("word3") && text.contains("word4") && text.contains("word11"));
}

#[tokio::test(flavor = "multi_thread")]
async fn load_and_cache_events_are_published() {
    let settings =
        simulation::Settings { report_lag: std::time::Duration::ZERO, ..Default::default() };
    let engine = engine::Engine::with_settings(settings, BTreeSet::new(), Default::default());
    let address = start(&engine).await;
    let client = client::Client::new().unwrap();
    let api = engine_api::Engine::new(&client, address, TIMEOUT);
    assert!(api.load_report().await.unwrap().cold);
    generate(address, chat("r", false)).await.unwrap();
    let mut events = Vec::new();
    while events.is_empty() {
        events = api.cache_events().await.unwrap();
    }
    assert_eq!(events[0].change, wire::Change::Stored);
}
