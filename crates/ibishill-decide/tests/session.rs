//! Verification of session tokens, and stability of roll-out cohorts.

use ibishill_config::declared;
use ibishill_core::{id, secret, time};
use ibishill_decide::{cohort, session};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn keys(texts: &[&str]) -> session::Keys {
    session::Keys::new(texts.iter().map(|text| secret::Secret::new(*text)).collect())
}

fn token() -> session::Token {
    session::Token {
        workspace: "demo".parse().unwrap(),
        session: "s-1".parse().unwrap(),
        version: "assistant@v1.2".parse().unwrap(),
        issued: time::Tick(17),
    }
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config { failure_persistence: None, ..Config::default() }, rng)
}

struct Case {
    name: &'static str,
    keys: &'static [&'static str],
    workspace: &'static str,
    edit: fn(String) -> String,
    read: Result<(), session::TokenError>,
}

const CASES: &[Case] = &[
    Case { name: "same key", ..BASE },
    Case { name: "rotated, old key still known", keys: &["new", "old"], ..BASE },
    Case {
        name: "old key gone",
        keys: &["new"],
        read: Err(session::TokenError::Signature),
        ..BASE
    },
    Case { name: "no keys", keys: &[], read: Err(session::TokenError::Signature), ..BASE },
    Case {
        name: "another workspace",
        workspace: "other",
        read: Err(session::TokenError::Workspace),
        ..BASE
    },
    Case {
        name: "another version written in",
        edit: |text| text.replace("v1.2", "v1.3"),
        read: Err(session::TokenError::Signature),
        ..BASE
    },
    Case {
        name: "another workspace written in",
        workspace: "other",
        edit: |text| text.replace("demo", "other"),
        read: Err(session::TokenError::Signature),
        ..BASE
    },
    Case {
        name: "cut",
        edit: |text| text[..text.len() - 3].to_owned(),
        read: Err(session::TokenError::Malformed),
        ..BASE
    },
];

const BASE: Case =
    Case { name: "", keys: &["old"], workspace: "demo", edit: |text| text, read: Ok(()) };

#[test]
fn token_is_accepted_if_signed_by_known_key() {
    for case in CASES {
        let text = (case.edit)(keys(&["old"]).sign(&token()).unwrap());
        let read = keys(case.keys).verify(&case.workspace.parse().unwrap(), &text);
        let expected = case.read.map(|()| session::Header::Token(token()));
        assert_eq!(read, expected, "{}", case.name);
    }
    assert_eq!(keys(&[]).sign(&token()), None);
}

#[test]
fn unsigned_header_is_plain_id_or_rejected() {
    let workspace: id::WorkspaceId = "demo".parse().unwrap();
    let outcome = runner().run(&".{0,200}", |text| {
        match keys(&["old"]).verify(&workspace, &text) {
            Ok(session::Header::Plain(plain)) => assert_eq!(plain.as_str(), text),
            Ok(session::Header::Token(token)) => panic!("forged: {token:?}"),
            Err(_) => {}
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn growing_cohort_keeps_its_members() {
    let name: id::RolloutId = "roll-1".parse().unwrap();
    let rollout = |percent| declared::Rollout {
        from: "m@v1".parse().unwrap(),
        to: "m@v2".parse().unwrap(),
        stages: vec![percent],
        stage: 0,
        dwell: time::Millis(0),
        state: declared::RolloutState::Running,
        reason: None,
    };
    for number in 0..500 {
        let key = format!("session-{number}");
        let inside: Vec<_> =
            (0..=100).map(|percent| cohort::contains(&name, &rollout(percent), &key)).collect();
        assert!(inside.is_sorted() && !inside[0] && inside[100], "{key}");
    }
}
