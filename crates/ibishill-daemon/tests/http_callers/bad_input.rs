//! Invalid requests: each gets a specific error and is recorded as one refusal, and the daemon
//! keeps serving.

use ibishill_config::settings;
use ibishill_core::{outcome, time};

use super::{deployment, raw};

const LIMITS: settings::Limits = settings::Limits {
    body: 4_096,
    headers: 2_048,
    streams: 16,
    idle: time::Millis(2_000),
    deadline: time::Millis(10_000),
    longest: time::Millis(10_000),
    sending: time::Millis(300),
    answer: 65_536,
    memory: 512 * 1024 * 1024,
};

struct Case {
    name: &'static str,
    path: &'static str,
    headers: Vec<String>,
    body: Vec<u8>,
    status: u16,
    reason: outcome::Reason,
}

impl Case {
    fn chat(name: &'static str, body: &str, status: u16, reason: outcome::Reason) -> Self {
        let path = "POST /v1/chat/completions";
        Self { name, path, headers: Vec::new(), body: body.as_bytes().to_vec(), status, reason }
    }

    fn header(name: &'static str, headers: &[&str], status: u16, reason: outcome::Reason) -> Self {
        let headers = headers.iter().map(ToString::to_string).collect();
        Self { headers, ..Self::chat(name, VALID_BODY, status, reason) }
    }

    fn path(name: &'static str, path: &'static str, status: u16, reason: outcome::Reason) -> Self {
        Self { path, ..Self::chat(name, "", status, reason) }
    }

    fn bytes(&self) -> Vec<u8> {
        let length = self.body.len();
        let mut text = format!("{} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n", self.path);
        if !self.headers.iter().any(|header| header.starts_with("authorization")) {
            text.push_str(&format!("authorization: Bearer {}\r\n", deployment::KEY));
        }
        if !self.headers.iter().any(|header| header.starts_with("content-length")) {
            text.push_str(&format!("content-length: {length}\r\n"));
        }
        for header in &self.headers {
            text.push_str(&format!("{header}\r\n"));
        }
        let mut bytes = format!("{text}\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

const VALID_BODY: &str = r#"{"model":"assistant","messages":[{"role":"user","content":"a"}]}"#;

fn cases() -> Vec<Case> {
    use outcome::Reason;
    let long = format!("x-long: {}", "a".repeat(4_000));
    let bad_body = |name, body| Case::chat(name, body, 400, Reason::BadRequest);
    let bad_header = |name, headers| Case::header(name, headers, 400, Reason::BadRequest);
    vec![
        bad_body("empty", ""),
        bad_body("malformed", r#"{"model":"#),
        bad_body("not an object", "[1,2]"),
        bad_body("trailing text", r#"{"model":"assistant","messages":[]} x"#),
        bad_body("model of a wrong type", r#"{"model":7,"messages":[]}"#),
        bad_body("messages of a wrong type", r#"{"model":"assistant","messages":"a"}"#),
        bad_body("stream of a wrong type", r#"{"model":"assistant","messages":[],"stream":"yes"}"#),
        bad_body("model twice", r#"{"model":"assistant","model":"assistant","messages":[]}"#),
        bad_body("model with an invalid name", r#"{"model":"a b","messages":[]}"#),
        Case { body: b"{\"model\":\"\xff\xfe\"}".to_vec(), ..bad_body("invalid UTF-8", "") },
        Case::chat("too large", &"x".repeat(5_000), 413, Reason::TooLarge),
        Case::chat("unknown model", &VALID_BODY.replace("assistant", "no"), 404, Reason::NotFound),
        Case::chat(
            "model of another workspace",
            &VALID_BODY.replace("assistant", "secret"),
            403,
            Reason::NotAllowed,
        ),
        Case::header("unknown key", &["authorization: Bearer no"], 401, Reason::Unauthorized),
        Case::header("no key", &["authorization: Basic eDp5"], 401, Reason::Unauthorized),
        bad_header("key twice", &["authorization: Bearer a", "authorization: Bearer demo-key"]),
        bad_header("session twice", &["x-ibishill-session: a", "x-ibishill-session: b"]),
        bad_header("session with an invalid name", &["x-ibishill-session: a b"]),
        bad_header("idempotency key twice", &["idempotency-key: a", "Idempotency-Key: a"]),
        bad_header("empty idempotency key", &["idempotency-key:"]),
        bad_header("priority twice", &["x-ibishill-priority: low", "x-ibishill-priority: high"]),
        bad_header("invalid priority", &["x-ibishill-priority: 7"]),
        bad_header("negative deadline", &["x-ibishill-deadline-ms: -1"]),
        bad_header("deadline out of range", &["x-ibishill-deadline-ms: 99999999999999999999"]),
        Case::header("deadline passed", &["x-ibishill-deadline-ms: 0"], 504, Reason::Deadline),
        Case::header("long headers", &[&long], 431, Reason::HeadersTooLarge),
        bad_header("slow sender", &["content-length: 4000"]),
        Case::path("unknown path", "GET /v1/nothing", 404, Reason::NotFound),
        Case::path("unknown service", "GET /svc/nothing/read", 404, Reason::NotFound),
        Case::path("service of another workspace", "GET /svc/other/read", 403, Reason::NotAllowed),
        Case::path("dot segments", "GET /svc/ledger/read/%2e%2E/pay", 400, Reason::BadRequest),
        Case::path("service with an invalid name", "GET /svc/a%20b/read", 404, Reason::NotFound),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_counted() {
    let (engine, address) = deployment::engine(Default::default());
    let setup = deployment::Setup { near: Some(address), limits: LIMITS, ..Default::default() };
    let deployment = setup.start().await;
    let mut total = 0;
    for case in cases() {
        let answer = raw::exchange(&deployment, &case.bytes()).await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let name = case.name;
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(head.starts_with(&status), "{name}: {answer}");
        assert_eq!(raw::header(head, "content-type"), Some("application/problem+json"), "{name}");
        assert_eq!(raw::header(head, "x-ibishill-outcome"), Some("not-run"), "{name}");
        let problem: serde_json::Value = serde_json::from_str(body).unwrap();
        assert_eq!(problem["error"]["code"], case.reason.to_string(), "{name}: {problem}");
        assert_eq!(problem["status"], case.status, "{name}");
        assert!(!problem["error"]["message"].as_str().unwrap().is_empty(), "{name}");
        total += 1;
        assert_eq!(deployment.refusal_total().await, total, "{name}");
        assert!(deployment.refusals(case.reason).await > 0, "{name}");
    }
    assert_eq!(engine.request_count(), 0);
    let good = deployment.chat("assistant", false).send().await.unwrap();
    assert_eq!(good.status(), 200);
    assert_eq!(deployment.daemons[0].context.lifecycle.caller_requests(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_limit_are_refused_immediately() {
    let (engine, address) = deployment::engine(ibishill_standin::engine::Behaviour {
        hang_after: 1,
        ..Default::default()
    });
    let limits = settings::Limits { streams: 1, ..LIMITS };
    let setup = deployment::Setup { near: Some(address), limits, ..Default::default() };
    let deployment = setup.start().await;
    let running = deployment.chat("assistant", true).send().await.unwrap();
    assert_eq!(running.status(), 200);
    let refused = deployment.chat("assistant", true).send().await.unwrap();
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["retry-after"], "1");
    assert_eq!(engine.request_count(), 1);
    // The running request ends when its engine exceeds the idle limit.
    let truncated = running.text().await.unwrap();
    assert!(truncated.contains("event: error") && !truncated.contains("[DONE]"), "{truncated}");
}
