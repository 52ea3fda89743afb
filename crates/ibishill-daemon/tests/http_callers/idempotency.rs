//! Idempotency keys: of several copies one runs, and each copy gets a correct outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use ibishill_core::{outcome, time};
use ibishill_daemon::claims;
use ibishill_standin::{engine, memory};
use ibishill_state::claim;

use super::{deployment, raw};

const TIMEOUT: time::Millis = time::Millis::from_secs(30);
const BOOKED: &[u8] =
    b"HTTP/1.1 201 Created\r\nlocation: /7\r\ncontent-type: a/b\r\ncontent-length: 6\r\n\r\nbooked";

/// Opens the gate when dropped, so that a panicking test doesn't leave the endpoint blocked.
struct OpenOnDrop(Arc<AtomicBool>);

impl Drop for OpenOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

async fn book(
    deployment: &deployment::Deployment,
    daemon: usize,
    key: &str,
    body: &str,
) -> reqwest::Response {
    let request =
        deployment.request_at(daemon, key, reqwest::Method::POST, "/svc/ledger/bookings?a=b");
    let request = request.header("idempotency-key", "key-1").body(body.to_owned());
    request.send().await.unwrap()
}

async fn wait_for_claims(deployment: &deployment::Deployment) {
    for daemon in &deployment.daemons {
        assert!(daemon.context.claims.drained(TIMEOUT).await);
    }
}

fn header<'a>(answer: &'a reqwest::Response, name: &str) -> &'a str {
    answer.headers().get(name).map_or("", |value| value.to_str().unwrap())
}

async fn code(answer: reqwest::Response) -> String {
    let problem: serde_json::Value = answer.json().await.unwrap();
    problem["error"]["code"].as_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_at_two_daemons_run_once_and_replay_the_answer() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = Arc::clone(&open);
    let _open_on_drop = OpenOnDrop(Arc::clone(&open));
    let (service, seen) = raw::endpoint(move |_| {
        tokio::task::block_in_place(|| {
            while !gate.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        BOOKED.to_vec()
    })
    .await;
    let (_far, far) = deployment::engine(Default::default());
    let setup = deployment::Setup { service: Some(service), far: Some(far), ..Default::default() };
    let deployment = setup.start().await;
    let mut ran = 0;
    let copies = (0..8).map(|n| book(&deployment, n % 2, deployment::KEY, "{}"));
    let mut copies: futures::stream::FuturesUnordered<_> = copies.collect();
    for remaining in (0..8).rev() {
        let answer = copies.next().await.unwrap();
        if answer.status() == 201 {
            ran += 1;
            continue;
        }
        assert_eq!((answer.status().as_u16(), header(&answer, "retry-after")), (409, "1"));
        assert_eq!(header(&answer, "x-ibishill-outcome"), "unknown");
        assert_eq!(code(answer).await, "in-progress");
        open.store(remaining <= 1, Ordering::SeqCst);
    }
    assert_eq!((ran, seen.lock().unwrap().len()), (1, 1));
    wait_for_claims(&deployment).await;
    for daemon in 0..2 {
        let answer = book(&deployment, daemon, deployment::KEY, "{}").await;
        assert_eq!(answer.status(), 201);
        assert_eq!(header(&answer, "x-ibishill-replayed"), "true");
        assert_eq!((header(&answer, "location"), header(&answer, "content-type")), ("/7", "a/b"));
        assert_eq!(answer.text().await.unwrap(), "booked");
    }
    assert_eq!(seen.lock().unwrap().len(), 1);
    let billed = deployment.billed().await;
    assert_eq!(billed.values().map(|total| total.requests).sum::<u64>(), 1);
    assert_eq!(deployment.refusals(outcome::Reason::InProgress).await, 7);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_keys_are_separate_per_workspace() {
    let (service, seen) = raw::endpoint(|_| BOOKED.to_vec()).await;
    let setup = deployment::Setup { service: Some(service), ..Default::default() };
    let deployment = setup.start().await;
    for (runs, key) in [(1, deployment::KEY), (2, deployment::OTHER_KEY)] {
        let answer = book(&deployment, 0, key, "{}").await;
        assert_eq!((answer.status().as_u16(), header(&answer, "x-ibishill-replayed")), (201, ""));
        assert_eq!(seen.lock().unwrap().len(), runs);
    }
    wait_for_claims(&deployment).await;
    // A key reused with a different request is refused, and reveals nothing about the first one.
    for key in [deployment::KEY, deployment::OTHER_KEY] {
        let answer = book(&deployment, 0, key, "{ }").await;
        assert_eq!(answer.status(), 422);
        assert_eq!(header(&answer, "x-ibishill-outcome"), "not-run");
        assert_eq!(code(answer).await, "key-reused");
    }
    let billed = deployment.billed().await;
    let lines = billed.iter().map(|(line, total)| (line.workspace.to_string(), total.requests));
    assert_eq!(lines.collect::<Vec<_>>(), [("demo".into(), 1), ("rival".into(), 1)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_only_calls_with_a_key() {
    let (service, seen) = raw::endpoint(|_| BOOKED.to_vec()).await;
    let setup = deployment::Setup { service: Some(service), ..Default::default() };
    let deployment = setup.start().await;
    deployment.memory.set_faults(memory::Faults { outage: true, ..Default::default() });
    let answer = book(&deployment, 0, deployment::KEY, "{}").await;
    assert_eq!((answer.status().as_u16(), header(&answer, "retry-after")), (503, "5"));
    assert_eq!(header(&answer, "x-ibishill-outcome"), "not-run");
    assert_eq!(code(answer).await, "claim-unavailable");
    assert_eq!(seen.lock().unwrap().len(), 0);
    let plain = deployment.request(reqwest::Method::POST, "/svc/ledger/bookings");
    assert_eq!(plain.send().await.unwrap().status(), 201);
    deployment.memory.set_faults(memory::Faults::default());
    let answer = book(&deployment, 0, deployment::KEY, "{}").await;
    assert_eq!((answer.status().as_u16(), seen.lock().unwrap().len()), (201, 2));
}

struct Case {
    name: &'static str,
    // Bytes that the service sends; `None` if it is unreachable.
    sent: Option<Vec<u8>>,
    first: u16,
    later: (u16, &'static str, &'static str),
    runs: usize,
}

fn cases() -> Vec<Case> {
    let cut = b"HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n".to_vec();
    let length = claim::MAX_BODY_BYTES + 1;
    let mut large =
        format!("HTTP/1.1 201 Created\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    large.resize(large.len() + length, b'a');
    let bytes = b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n\xff\xfe".to_vec();
    let case = |name, sent, first, later, runs| Case { name, sent, first, later, runs };
    vec![
        case("cut", Some(cut), 502, (502, "unknown", "copy-unknown"), 1),
        case("nothing", Some(Vec::new()), 502, (502, "unknown", "copy-unknown"), 1),
        case("large", Some(large), 201, (409, "ran", "already-ran"), 1),
        case("not text", Some(bytes), 201, (409, "ran", "already-ran"), 1),
        case("unreachable", None, 502, (502, "not-run", "endpoint-failed"), 0),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_get_the_outcome_of_the_first_call() {
    for case in cases() {
        let (service, seen) = match case.sent {
            Some(sent) => raw::endpoint(move |_| sent.clone()).await,
            None => (deployment::free_address(), raw::Seen::default()),
        };
        let setup = deployment::Setup { service: Some(service), ..Default::default() };
        let deployment = setup.start().await;
        let first = book(&deployment, 0, deployment::KEY, "{}").await;
        assert_eq!(first.status(), case.first, "{}", case.name);
        first.bytes().await.unwrap();
        wait_for_claims(&deployment).await;
        let later = book(&deployment, 0, deployment::KEY, "{}").await;
        let outcome = header(&later, "x-ibishill-outcome").to_owned();
        let reply = (later.status().as_u16(), outcome.as_str(), &*code(later).await);
        assert_eq!(reply, case.later, "{}", case.name);
        assert_eq!(seen.lock().unwrap().len(), case.runs, "{}", case.name);
    }
}

#[yare::parameterized(buffered = { false }, streamed = { true })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn chat_with_a_key_runs_and_is_billed_once(stream: bool) {
    let (engine, address) = deployment::engine(Default::default());
    let setup = deployment::Setup { near: Some(address), ..Default::default() };
    let deployment = setup.start().await;
    let chat = || deployment.chat("assistant", stream).header("idempotency-key", "key-1").send();
    let first = chat().await.unwrap().text().await.unwrap();
    wait_for_claims(&deployment).await;
    let copy = chat().await.unwrap();
    assert_eq!(header(&copy, "x-ibishill-replayed"), "true");
    assert_eq!(header(&copy, "x-ibishill-version"), "v1");
    assert_eq!(copy.text().await.unwrap(), first);
    assert_eq!(engine.request_count(), 1);
    let billed = deployment.billed().await;
    assert_eq!(billed.values().map(|total| total.requests).sum::<u64>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_leaves_outcome_unknown() {
    let behaviour = engine::Behaviour { tokens: 100_000, ..Default::default() };
    let (_engine, address) = deployment::engine(behaviour);
    let setup = deployment::Setup { near: Some(address), ..Default::default() };
    let deployment = setup.start().await;
    let chat = || deployment.chat("assistant", true).header("idempotency-key", "key-1").send();
    let mut chunks = chat().await.unwrap().bytes_stream();
    chunks.next().await.unwrap().unwrap();
    drop(chunks);
    deployment::wait_until("the request has ended", || async {
        deployment.daemons[0].context.lifecycle.caller_requests() == 0
    })
    .await;
    wait_for_claims(&deployment).await;
    assert_eq!(code(chat().await.unwrap()).await, "copy-unknown");
}

fn claim(nonce: u64) -> claim::Claim {
    claim::Claim {
        workspace: "demo".parse().unwrap(),
        key: "key-1".into(),
        fingerprint: claim::Fingerprint::of(&[b"a"]),
        request: format!("req-{nonce}").parse().unwrap(),
        nonce: claim::Nonce(nonce),
        at: time::Tick(0),
    }
}

async fn lost_verdict(handle: &claims::Handle, nonce: u64) -> Option<claim::Verdict> {
    match handle.claim(claim(nonce), TIMEOUT).await.unwrap() {
        claims::Claimed::Lost(verdict) => Some(verdict),
        claims::Claimed::Won(_) => None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_dropped_by_a_panic_is_recorded_as_unknown() {
    let platform = memory::Memory::new(1).platform();
    let claims = claim::Claims::new(platform.table, claim::Timeouts::default());
    let handle = claims::spawn(claims).unwrap();
    let working = handle.clone();
    let ended = tokio::spawn(async move {
        let _claimed = working.claim(claim(1), TIMEOUT).await.unwrap();
        panic!("simulated failure");
    });
    assert!(ended.await.is_err());
    assert!(handle.drained(TIMEOUT).await);
    let Some(claim::Verdict::Recorded(recorded)) = lost_verdict(&handle, 2).await else {
        panic!("the claim was won")
    };
    assert_eq!((recorded.outcome, recorded.answer), (outcome::Outcome::Unknown, None));
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_decided_after_its_timeout_is_abandoned() {
    let memory = memory::Memory::new(1);
    let claims = claim::Claims::new(memory.platform().table, claim::Timeouts::default());
    let handle = claims::spawn(claims).unwrap();
    memory.set_faults(memory::Faults { delay_ms: 200, ..Default::default() });
    for nonce in 1..10 {
        let waited = handle.claim(claim(nonce), time::Millis(7 * nonce)).await;
        // A claim that was decided within the time-out is abandoned here.
        drop(waited.map(|claimed| match claimed {
            claims::Claimed::Won(mut ticket) => ticket.set_ending(claim::Ending::Abandoned),
            claims::Claimed::Lost(_) => {}
        }));
    }
    assert!(handle.drained(TIMEOUT).await);
    memory.set_faults(memory::Faults::default());
    assert_eq!(lost_verdict(&handle, 99).await, None);
}
