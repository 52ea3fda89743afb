//! Property tests of the chat request's parser, with a fixed seed.

use ibishill_core::id;
use ibishill_daemon::http::chat_request;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use proptest::{collection, prop_assert, prop_assert_eq};

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn any_body_is_parsed_or_refused() {
    let bytes = collection::vec(any::<u8>(), 0..200);
    let run = runner().run(&bytes, |bytes| {
        if let Err(refusal) = chat_request::Body::parse(&bytes) {
            prop_assert_eq!(refusal.outcome, ibishill_core::outcome::Outcome::NotRun);
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn unknown_fields_are_kept_byte_for_byte() {
    let target = id::Target::Version("assistant@v1".parse().unwrap());
    let fields = collection::btree_map(
        "[a-z]{1,9}",
        "(-?[1-9][0-9]{0,30}\\.[0-9]{1,9}|\"[ a-z]*\"|\\[ *\\])",
        0..6,
    );
    let run = runner().run(&fields, |fields| {
        let mut text = String::from("{\"model\":\"assistant\",\"messages\":[]");
        let known = ["model", "messages", "stream", "stream_options"];
        let others = fields.iter().filter(|(key, _)| !known.contains(&key.as_str()));
        let others: Vec<_> = others.map(|(key, value)| format!(",\"{key}\":{value}")).collect();
        text.push_str(&others.concat());
        text.push('}');
        let body = chat_request::Body::parse(text.as_bytes()).unwrap().for_engine(&target);
        let sent = String::from_utf8(body.to_vec()).unwrap();
        prop_assert_eq!(sent, text.replace("\"assistant\"", "\"assistant@v1\""));
        Ok(())
    });
    run.unwrap();
}

// Guards against fields that are lost or changed where the router sets its own.
#[test]
fn only_the_model_and_the_options_are_replaced() {
    // What the caller sends, and what the engine gets; nothing if the body is refused.
    let cases = [
        (r#" {"messages":[], "model": "auto"} "#, Some(r#" {"messages":[], "model": "a@v1"} "#)),
        (
            "{\"model\":\"auto\",\"stream\":true,\"messages\":[]\n}\n",
            Some(
                "{\"model\":\"a@v1\",\"stream\":true,\"messages\":[]\n,\"stream_options\":{\"include_usage\":true}}\n",
            ),
        ),
        (
            r#"{"stream_options":null,"stream":true,"messages":[],"model":"auto"}"#,
            Some(
                r#"{"stream_options":{"include_usage":true},"stream":true,"messages":[],"model":"a@v1"}"#,
            ),
        ),
        (
            r#"{"stream_options":{"x":1},"messages":[],"model":"auto","x":1,"x":2}"#,
            Some(r#"{"stream_options":{"x":1},"messages":[],"model":"a@v1","x":1,"x":2}"#),
        ),
        (r#"["auto",true,null,[]]"#, None),
        (r#"{"model":"auto","messages":[],"model":"auto"}"#, None),
        (r#"{"model":"auto","messages":[]} {}"#, None),
        ("", None),
    ];
    let target = id::Target::Version("a@v1".parse().unwrap());
    for (text, expected) in cases {
        let parsed = chat_request::Body::parse(text.as_bytes()).ok();
        let sent = parsed.map(|body| body.for_engine(&target));
        assert_eq!(sent.as_deref(), expected.map(str::as_bytes), "{text}");
    }
}

#[test]
fn any_model_name_is_parsed_or_refused() {
    let run = runner().run(&"\\PC{0,40}|[a-z]{1,4}@[a-z0-9.]{1,4}|[a-z@]{0,9}", |name| {
        match chat_request::parse_selector(&name) {
            Ok(ibishill_decide::plan::Selector::Version(version)) => {
                prop_assert_eq!(version.to_string(), name);
            }
            Ok(ibishill_decide::plan::Selector::Model(model)) => {
                prop_assert_eq!(model.as_str(), name);
            }
            Ok(_) => prop_assert_eq!(name, "auto"),
            Err(refusal) => prop_assert!(refusal.detail.starts_with("model: ")),
        }
        Ok(())
    });
    run.unwrap();
}
