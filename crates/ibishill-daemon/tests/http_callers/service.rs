//! Plain services: headers, truncated answers, and calls that run at most once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ibishill_config::settings;
use ibishill_core::{outcome, time};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::{deployment, raw};

/// More bytes than all buffers between endpoint and caller hold together.
const LARGE_BYTES: usize = 64 * 1024 * 1024;

async fn start(service: std::net::SocketAddr) -> deployment::Deployment {
    deployment::Setup { service: Some(service), ..Default::default() }.start().await
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_are_forwarded_without_credentials() {
    let (address, seen) = raw::endpoint(|_| {
        b"HTTP/1.1 201 Created\r\netag: \"7\"\r\nx-own: b\r\nset-cookie: c=d\r\n\
          x-ibishill-outcome: forged\r\ncontent-length: 4\r\n\r\nbody"
            .to_vec()
    })
    .await;
    let deployment = start(address).await;
    let request = deployment.request(reqwest::Method::PUT, "/svc/ledger/pay/7?x=%20y");
    let request = request.header("if-match", "\"6\"").header("x-own", "a").header("cookie", "c=d");
    let answer = request.body("amount").send().await.unwrap();
    assert_eq!(answer.status(), 201);
    assert_eq!(answer.headers()["etag"], "\"7\"");
    assert_eq!(answer.headers()["x-own"], "b");
    assert_eq!(answer.headers()["content-length"], "4");
    assert_eq!(answer.headers()["x-ibishill-service"], "ledger");
    assert!(!answer.headers().contains_key("set-cookie"));
    assert!(!answer.headers().contains_key("x-ibishill-outcome"));
    assert_eq!(answer.text().await.unwrap(), "body");
    let request = seen.lock().unwrap()[0].clone();
    assert!(request.starts_with("PUT /pay/7?x=%20y HTTP/1.1"), "{request}");
    assert!(request.ends_with("amount"), "{request}");
    assert_eq!(raw::header(&request, "if-match"), Some("\"6\""));
    assert_eq!(raw::header(&request, "x-own"), Some("a"));
    assert_eq!(raw::header(&request, "authorization"), None);
    assert_eq!(raw::header(&request, "cookie"), None);
}

struct Answer {
    name: &'static str,
    sent: &'static [u8],
    // Status that the caller gets, and the body; `None` if reading it must fail.
    status: u16,
    expected: Option<&'static str>,
    refused: u64,
}

const ANSWERS: [Answer; 7] = [
    Answer {
        name: "length",
        sent: b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        status: 200,
        expected: Some("body"),
        refused: 0,
    },
    Answer {
        name: "truncated length",
        sent: b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody",
        status: 200,
        expected: None,
        refused: 1,
    },
    Answer {
        name: "chunked",
        sent: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        status: 200,
        expected: Some("body"),
        refused: 0,
    },
    Answer {
        name: "truncated chunked",
        sent: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        status: 502,
        expected: Some(""),
        refused: 1,
    },
    Answer {
        name: "no content",
        sent: b"HTTP/1.1 204 No Content\r\n\r\n",
        status: 204,
        expected: Some(""),
        refused: 0,
    },
    Answer {
        name: "redirect",
        sent: b"HTTP/1.1 307 x\r\nlocation: /pay\r\ncontent-length: 1\r\n\r\na",
        status: 307,
        expected: Some("a"),
        refused: 0,
    },
    Answer {
        name: "too long",
        sent: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nbody body\r\n0\r\n\r\n",
        status: 502,
        expected: Some(""),
        refused: 1,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_never_looks_complete() {
    for case in ANSWERS {
        let (address, seen) = raw::endpoint(|_| case.sent.to_vec()).await;
        let limits = settings::Limits { answer: 8, ..Default::default() };
        let setup = deployment::Setup { service: Some(address), limits, ..Default::default() };
        let deployment = setup.start().await;
        let request = deployment.request(reqwest::Method::POST, "/svc/ledger/pay");
        let http = reqwest::Client::builder().no_proxy();
        let http = http.redirect(reqwest::redirect::Policy::none()).build().unwrap();
        // A connection that is aborted before the head was flushed is a visible truncation too.
        let body = match http.execute(request.build().unwrap()).await {
            Ok(answer) => {
                assert_eq!(answer.status(), case.status, "{}", case.name);
                answer.text().await
            }
            Err(error) => Err(error),
        };
        match case.expected {
            None => assert!(body.is_err(), "{}: {body:?}", case.name),
            Some("") if case.refused > 0 => assert!(body.unwrap().contains("unknown")),
            Some(expected) => assert_eq!(body.unwrap(), expected, "{}", case.name),
        }
        assert_eq!(deployment.refusal_total().await, case.refused, "{}", case.name);
        assert_eq!(seen.lock().unwrap().len(), 1, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn head_reply_keeps_content_length() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let (address, _) = raw::endpoint(|_| answer.to_vec()).await;
    let deployment = start(address).await;
    let request = deployment.request(reqwest::Method::HEAD, "/svc/ledger/read");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.headers()["content-length"], "9");
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_caller_releases_its_slot() {
    let (address, _) = raw::endpoint(|_| {
        let mut answer =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n").into_bytes();
        answer.resize(answer.len() + LARGE_BYTES, b'a');
        answer
    })
    .await;
    let limits = settings::Limits { idle: time::Millis(300), ..Default::default() };
    let setup = deployment::Setup { service: Some(address), limits, ..Default::default() };
    let deployment = setup.start().await;
    let answer = deployment.request(reqwest::Method::GET, "/svc/ledger/read").send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(deployment.daemons[0].context.lifecycle.caller_requests(), 1);
    deployment::wait_until("the slot is free", || async {
        deployment.daemons[0].context.lifecycle.caller_requests() == 0
    })
    .await;
    assert!(answer.bytes().await.is_err());
}

// A service that answers one call and closes the connection of every later one. Returns its
// address, the number of calls read and the number of connections that carried a call.
async fn closing_service() -> (std::net::SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let read = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&read);
    let opened = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&opened);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (accepted, counted) = (Arc::clone(&accepted), Arc::clone(&counted));
            tokio::spawn(async move {
                let mut is_new = true;
                while raw::read_request(&mut stream).await.is_some() {
                    // Only connections that carry a call are counted.
                    accepted.fetch_add(usize::from(is_new), Ordering::SeqCst);
                    is_new = false;
                    if counted.fetch_add(1, Ordering::SeqCst) > 0 {
                        return;
                    }
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    (address, read, opened)
}

#[yare::parameterized(
    non_idempotent = { reqwest::Method::POST, "/svc/ledger/pay", true },
    idempotent_on_reused_connection = { reqwest::Method::GET, "/svc/ledger/read", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn call_is_not_resent_after_its_bytes_were_sent(
    method: reqwest::Method,
    path: &str,
    is_fresh: bool,
) {
    let (address, read, opened) = closing_service().await;
    let deployment = start(address).await;
    let first = deployment.request(method.clone(), path).send().await.unwrap();
    assert_eq!(first.status(), 200);
    let second = deployment.request(method, path).send().await.unwrap();
    assert_eq!(second.status(), 502);
    assert_eq!(second.headers()["x-ibishill-outcome"], "unknown");
    assert_eq!(second.headers()["x-ibishill-attempts"], "1");
    assert_eq!(read.load(Ordering::SeqCst), 2);
    assert!(!is_fresh || opened.load(Ordering::SeqCst) == 2);
    assert_eq!(deployment.refusals(outcome::Reason::EndpointFailed).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_service_is_reported_as_not_run() {
    let deployment = start(deployment::free_address()).await;
    let answer = deployment.request(reqwest::Method::POST, "/svc/ledger/pay").send().await.unwrap();
    assert_eq!(answer.headers()["x-ibishill-outcome"], "not-run");
}
