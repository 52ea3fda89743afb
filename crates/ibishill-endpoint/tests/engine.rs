//! The client against the engine's stand-in.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::{header, id, repeat, time, view};
use ibishill_endpoint::{call, client, engine as asked, failure, sse, wire};
use ibishill_standin::engine;
use ibishill_standin::engine::model;

async fn start(engine: &engine::Engine) -> SocketAddr {
    let address = ibishill_standin::port::free_address();
    tokio::spawn(engine::server(engine.clone(), address).launch());
    let client = client::Client::new().unwrap();
    while asked::Engine::new(&client, address, TIMEOUT).health().await.is_err() {
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
    let mut answer = client.send(address, call).await?;
    if answer.status != 200 {
        return Err(failure::Failure::Incomplete { detail: answer.status.to_string() });
    }
    if !is_stream {
        let body = answer.read_to_end(1 << 20).await?;
        return sse::parse_usage(&answer, &body).map(|usage| usage.output);
    }
    let mut events = sse::Events::new(answer);
    while !matches!(events.next().await?, sse::Event::Done(_)) {}
    Ok(events.usage().output)
}

#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    Cut,
    Crossed,
    Unmarked,
}

fn seen(result: &Result<u64, failure::Failure>) -> Seen {
    match result {
        Ok(_) => Seen::Whole,
        Err(failure::Failure::RequestIdMismatch { .. }) => Seen::Crossed,
        Err(failure::Failure::RequestIdMissing) => Seen::Unmarked,
        Err(_) => Seen::Cut,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_must_be_whole_and_its_own() {
    struct Case {
        behaviour: engine::Behaviour,
        stream: Seen,
        whole: Seen,
    }
    let usual = engine::Behaviour::default;
    let case = |behaviour, stream, whole| Case { behaviour, stream, whole };
    let cases = [
        case(usual(), Seen::Whole, Seen::Whole),
        case(engine::Behaviour { slow: 3, ..usual() }, Seen::Whole, Seen::Whole),
        case(engine::Behaviour { cut_after: 2, ..usual() }, Seen::Cut, Seen::Whole),
        case(engine::Behaviour { crossed: true, ..usual() }, Seen::Crossed, Seen::Crossed),
        case(engine::Behaviour { late: true, ..usual() }, Seen::Crossed, Seen::Crossed),
        case(engine::Behaviour { unmarked: true, ..usual() }, Seen::Unmarked, Seen::Unmarked),
    ];
    let engine = engine::Engine::new(usual());
    let address = start(&engine).await;
    generate(address, chat("first", false)).await.unwrap();
    for (n, case) in cases.into_iter().enumerate() {
        engine.set_behaviour(case.behaviour.clone());
        let streamed = generate(address, chat(&format!("s{n}"), true)).await;
        assert_eq!(seen(&streamed), case.stream, "{:?}", case.behaviour);
        let whole = generate(address, chat(&format!("w{n}"), false)).await;
        assert_eq!(seen(&whole), case.whole, "{:?}", case.behaviour);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_ends_an_answer() {
    let behaviour = engine::Behaviour { hang_after: 1, ..Default::default() };
    let address = start(&engine::Engine::new(behaviour)).await;
    let call = call::Call { idle_timeout: time::Millis(100), ..chat("r", true) };
    let silent = failure::Failure::Incomplete { detail: "silence".into() };
    assert_eq!(generate(address, call).await, Err(silent));
    let call = call::Call { remaining: time::Millis(200), ..chat("s", true) };
    assert_eq!(generate(address, call).await, Err(failure::Failure::TimedOut));
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_follow_fencing_and_their_effect_is_seen() {
    for fencing in [true, false] {
        let settings = model::Settings {
            fencing,
            load: std::time::Duration::ZERO,
            ..model::Settings::default()
        };
        let first: id::VersionRef = "assistant@v1".parse().unwrap();
        let second: id::VersionRef = "assistant@v2".parse().unwrap();
        let versions = BTreeSet::from([first.clone()]);
        let engine = engine::Engine::with(settings, versions, Default::default());
        let address = start(&engine).await;
        let client = client::Client::new().unwrap();
        let asked = asked::Engine::new(&client, address, TIMEOUT);
        let order = |fence, action| wire::Order { fence: view::ViewNumber(fence), action };
        asked.order(&order(7, wire::Action::Load(second.clone()))).await.unwrap();
        assert_eq!(asked.loaded().await.unwrap().versions, [first.clone(), second.clone()]);
        let old = asked.order(&order(6, wire::Action::Unload(first.clone()))).await;
        let highest = view::ViewNumber(7);
        if fencing {
            assert_eq!(old, Err(failure::Failure::Fenced { highest }));
            assert_eq!(generate(address, chat("r", false)).await, Ok(12));
        } else {
            assert_eq!(old, Ok(()));
            assert!(generate(address, chat("r", false)).await.is_err());
        }
        asked.order(&order(8, wire::Action::Role(wire::Role::Prefill))).await.unwrap();
        assert_eq!(asked.loaded().await.unwrap().role, wire::Role::Prefill);
    }
}

async fn rest_of(answer: client::Response) -> (String, Option<failure::Failure>) {
    let mut events = sse::Events::new(answer);
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
async fn a_request_is_cancelled_and_another_resumed() {
    let behaviour = engine::Behaviour { tokens: 1_000_000, ..Default::default() };
    let engine = engine::Engine::new(behaviour);
    let address = start(&engine).await;
    let client = client::Client::new().unwrap();
    let asked = asked::Engine::new(&client, address, TIMEOUT);
    let answer = client.send(address, chat("long", true)).await.unwrap();
    let request = "long".parse().unwrap();
    assert_eq!(asked.cancel(&request).await, Ok(true));
    assert_eq!(asked.cancel(&request).await, Ok(false));
    assert_eq!(engine.running(), 0);
    assert!(matches!(rest_of(answer).await.1, Some(failure::Failure::Incomplete { .. })));

    engine.set_behaviour(engine::Behaviour { cut_after: 4, ..Default::default() });
    let headers = vec![header::Header::new("x-ibishill-resumable", "true")];
    let cut = generate(address, call::Call { headers, ..chat("kept", true) }).await;
    assert!(matches!(cut, Err(failure::Failure::Incomplete { .. })));
    let version = "assistant@v1".parse().unwrap();
    let rest = asked.resume(&"kept".parse().unwrap(), &version, 4).await.unwrap();
    let (text, failure) = rest_of(rest).await;
    assert_eq!(failure, None);
    assert!(!text.contains("word3") && text.contains("word4") && text.contains("word11"));
}

#[tokio::test(flavor = "multi_thread")]
async fn load_and_cache_events_are_published() {
    let settings = model::Settings { report_lag: std::time::Duration::ZERO, ..Default::default() };
    let engine = engine::Engine::with(settings, BTreeSet::new(), Default::default());
    let address = start(&engine).await;
    let client = client::Client::new().unwrap();
    let asked = asked::Engine::new(&client, address, TIMEOUT);
    assert!(asked.load_report().await.unwrap().cold);
    generate(address, chat("r", false)).await.unwrap();
    let mut events = Vec::new();
    while events.is_empty() {
        events = asked.cache_events().await.unwrap();
    }
    assert_eq!(events[0].change, wire::Change::Stored);
}
