//! Reading a document never panics, whatever its text, and every rejection has a finding.

use ibishill_config::{document, finding};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const SEED: u64 = 7;
const CASES: u32 = 512;

const DECLARED: &str = include_str!("../../../examples/local/declared.yaml");
const SETTINGS: &str = include_str!("../../../examples/local/vm-a1.yaml");

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

fn has_explanation<T>(result: Result<T, finding::Findings>) -> bool {
    result.map_or_else(|found| !found.findings.is_empty(), |_| true)
}

fn is_explained(text: &str) -> bool {
    has_explanation(document::declared("d", text))
        && has_explanation(document::partial("p", text))
        && has_explanation(document::settings("s", text))
}

#[test]
fn arbitrary_text_is_accepted_or_explained() {
    let text = "[ \\n{}\\[\\]:,&*!|>'\"%@#~a-c0-9-]{0,80}";
    let read = |text: String| {
        prop_assert!(is_explained(&text), "{text:?}");
        Ok(())
    };
    runner().run(&text, read).unwrap();
}

#[test]
fn damaged_documents_are_accepted_or_explained() {
    let damage =
        (any::<bool>(), any::<prop::sample::Index>(), 0..20_usize, "[ \\n{}\\[\\]:,&*~a0-]{0,4}");
    let read = |(settings, at, cut, put): (bool, prop::sample::Index, usize, String)| {
        let base = if settings { SETTINGS } else { DECLARED };
        let start = at.index(base.len());
        let end = (start + cut).min(base.len());
        let text = format!("{}{put}{}", &base[..start], &base[end..]);
        prop_assert!(is_explained(&text), "{text}");
        Ok(())
    };
    runner().run(&damage, read).unwrap();
}

#[test]
fn deep_nesting_and_alias_expansion_are_rejected() {
    let deep = "[".repeat(100_000);
    let mut bomb = "a: &a [x, x, x, x, x, x, x, x, x]\n".to_owned();
    for (last, next) in ["a", "b", "c", "d", "e", "f", "g", "h"]
        .iter()
        .zip(["b", "c", "d", "e", "f", "g", "h", "i"])
    {
        let list = [format!("*{last}").as_str(); 9].join(", ");
        bomb.push_str(&format!("{next}: &{next} [{list}]\n"));
    }
    for text in [deep, bomb] {
        assert!(document::declared("d", &text).is_err());
        assert!(document::settings("s", &text).is_err());
    }
}
