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
