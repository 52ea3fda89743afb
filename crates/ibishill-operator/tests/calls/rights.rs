//! Rights that each call of the operator API needs.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use ibishill_config::key;
use ibishill_config::settings::{Right, Security, Token};
use ibishill_operator::generated as g;
use ibishill_operator::generated::operator_server::Operator;
use ibishill_operator::service;
use tonic::{Code, Request};

use crate::setup;

const CALLS: &[(&str, Right)] = &[
    ("apply", Right::Apply),
    ("diff", Right::Read),
    ("rollout", Right::Rollout),
    ("withdraw", Right::Withdraw),
    ("zone", Right::Zone),
    ("endpoint", Right::Endpoint),
    ("status", Right::Read),
    ("wait_in_force", Right::Read),
    ("audit", Right::Read),
    ("refusals", Right::Read),
    ("billing", Right::Read),
];

fn request<T>(message: T, token: Option<&str>) -> Request<T> {
    let mut request = Request::new(message);
    if let Some(token) = token {
        request.metadata_mut().insert("authorization", token.parse().unwrap());
    }
    request
}

async fn call(service: &service::Service, name: &str, token: Option<&str>) -> Code {
    macro_rules! code {
        ($method:ident, $message:expr) => {
            service.$method(request($message, token)).await.map_or_else(|s| s.code(), |_| Code::Ok)
        };
    }
    match name {
        "apply" => code!(apply, g::ApplyRequest::default()),
        "diff" => code!(diff, g::DiffRequest::default()),
        "rollout" => code!(rollout, g::RolloutRequest::default()),
        "withdraw" => code!(withdraw, g::WithdrawRequest::default()),
        "zone" => code!(zone, g::ZoneRequest::default()),
        "endpoint" => code!(endpoint, g::EndpointRequest::default()),
        "status" => code!(status, g::StatusRequest::default()),
        "wait_in_force" => code!(wait_in_force, g::WaitRequest::default()),
        "audit" => code!(audit, g::AuditRequest::default()),
        "refusals" => code!(refusals, g::RefusalsRequest::default()),
        "billing" => code!(billing, g::BillingRequest::default()),
        _ => panic!("no call {name}"),
    }
}

fn token(name: &str, rights: BTreeSet<Right>) -> Token {
    let hash = key::KeyHash::of(format!("{name}-token").as_bytes());
    Token { operator: name.parse().unwrap(), hash, rights }
}

fn is_denied(code: Code) -> bool {
    matches!(code, Code::Unauthenticated | Code::PermissionDenied)
}

#[tokio::test]
async fn call_requires_its_right() {
    let mut tokens: Vec<_> =
        Right::ALL.iter().map(|right| token(&right.to_string(), [*right].into())).collect();
    tokens.push(token("all", Right::all()));
    let service = setup::service(Security { tokens, ..Security::default() });
    for (name, needed) in CALLS {
        for right in Right::ALL {
            let code = call(&service, name, Some(&format!("Bearer {right}-token"))).await;
            let denied = right != *needed;
            assert_eq!(code == Code::PermissionDenied, denied, "{name} with {right}: {code:?}");
        }
        assert!(!is_denied(call(&service, name, Some("Bearer all-token")).await), "{name}");
        for token in [None, Some("Bearer unknown"), Some("all-token"), Some("Bearer ")] {
            let code = call(&service, name, token).await;
            assert_eq!(code, Code::Unauthenticated, "{name} with {token:?}");
        }
    }
}

#[tokio::test]
async fn denied_calls_are_reported() {
    let reported = Arc::new(Mutex::new(Vec::new()));
    let mut service = setup::service(Security {
        tokens: vec![token("read", [Right::Read].into())],
        ..Security::default()
    });
    let sink = Arc::clone(&reported);
    service.on_denied = Arc::new(move |call| sink.lock().unwrap().push(call));
    for (name, token) in [
        ("status", "Bearer read-token"),
        ("status", "Bearer unknown"),
        ("zone", "Bearer read-token"),
    ] {
        call(&service, name, Some(token)).await;
    }
    assert_eq!(*reported.lock().unwrap(), ["status", "zone"]);
}

#[tokio::test]
async fn calls_without_tokens_require_insecure_mode() {
    let secure = setup::service(Security::default());
    let insecure = setup::insecure_service();
    for (name, _) in CALLS {
        assert_eq!(call(&secure, name, None).await, Code::Unauthenticated, "{name}");
        assert!(!is_denied(call(&insecure, name, None).await), "{name}");
    }
}
