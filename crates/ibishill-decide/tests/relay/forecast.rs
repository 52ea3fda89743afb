//! Forecasts of the time to the first event, learnt from engines whose speeds and queues are known here.

use ibishill_core::time;
use ibishill_decide::forecast;

const ENGINES: u32 = 12;

/// Time in which an engine of speed 1 reads 1,000 tokens, and takes for a step, in milliseconds.
const READ_MS: f64 = 47.0;
const STEP_MS: f64 = 80.0;

fn class() -> forecast::Class {
    forecast::Class::of(&"pool".parse().unwrap(), Some(&"large".parse().unwrap()))
}

fn load(backlog: f64) -> forecast::Load {
    forecast::Load { backlog, prefill: 2.0, waiting: 0.0, age: time::Millis(0), work: 1.0 }
}

// Speeds from 0.7 to 1.7.
fn speed(engine: u32) -> f64 {
    0.7 + f64::from(engine) / f64::from(ENGINES - 1)
}

fn random(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) as f64 / f64::from(1_u32 << 31)
}

fn make(
    forecasts: &forecast::Forecasts,
    endpoint: u32,
    load: forecast::Load,
    now: time::Tick,
) -> forecast::Made {
    let forecast = forecasts.forecast(endpoint, class(), &load, now);
    forecast::Made { endpoint, class: class(), load, forecast }
}

fn took(engine: u32, load: &forecast::Load) -> f64 {
    (STEP_MS + READ_MS * (load.backlog + load.prefill)) / speed(engine) * load.work
}

// Learns for some seconds, 20 first events a second; returns how many were forecast within a third, how many were
// earlier than likely, and all, of those after the first two seconds.
fn learn(forecasts: &mut forecast::Forecasts, secs: u64, noise: f64) -> (u32, u32, u32) {
    let (mut close, mut early, mut all, mut seed) = (0, 0, 0, 7);
    for event in 0..secs * 20 {
        let now = time::Tick(1_000 + event * 50);
        let engine = (random(&mut seed) * f64::from(ENGINES)) as u32;
        let load = load(random(&mut seed).powi(2) * 120.0);
        let made = make(forecasts, engine, load, now);
        let factor = 1.0 + noise * (2.0 * random(&mut seed) - 1.0);
        let took = time::Millis((took(engine, &load) * factor) as u64);
        if event >= 40 {
            let difference = took.0.abs_diff(made.forecast.expected.0);
            close += u32::from(difference * 3 <= took.0);
            early += u32::from(took < made.forecast.earliest());
            all += 1;
        }
        let error = forecasts.record_start(&made, took, now);
        let expected = made.forecast.expected;
        match error {
            forecast::Error::Late(by) => assert_eq!(expected.0 + by.0, took.0),
            forecast::Error::Early(by) => assert_eq!(took.0 + by.0, expected.0),
        }
    }
    (close, early, all)
}

// Guards against forecasts that don't follow the engines' speeds, and against an uncertainty that is too small to
// refuse by.
#[test]
fn forecasts_are_close_and_seldom_too_late_on_engines_of_different_speeds() {
    for noise in [0.0, 0.2, 0.5] {
        let mut forecasts = forecast::Forecasts::default();
        let (close, early, all) = learn(&mut forecasts, 30, noise);
        assert!(close * 10 > all * if noise < 0.3 { 9 } else { 6 }, "{noise}: {close} of {all}");
        assert!(early * 6 < all, "{noise}: {early} of {all}");
    }
}

// Guards against an engine that stays known as slow after what slowed it has ended.
#[test]
fn an_engine_is_known_by_its_speed_and_decays_to_its_service_and_model() {
    let mut forecasts = forecast::Forecasts::default();
    learn(&mut forecasts, 30, 0.0);
    let (now, load) = (time::Tick(31_000), load(40.0));
    let expected = |engine, now| {
        let forecast = forecasts.forecast(engine, class(), &load, now);
        forecast.expected.0 as f64
    };
    for engine in [0, ENGINES - 1] {
        let (found, true_ms) = (expected(engine, now), took(engine, &load));
        assert!((found / true_ms - 1.0).abs() < 0.2, "{engine}: {found} {true_ms}");
    }
    let later = now + time::Millis::from_secs(120);
    let usual = expected(ENGINES + 1, later);
    assert!((expected(0, later) / usual - 1.0).abs() < 0.05, "{usual}");
    assert!(expected(0, now) > 1.5 * expected(11, now));
    forecasts.remove(0);
    let forgotten = forecasts.forecast(0, class(), &load, now);
    assert_eq!(forgotten, forecasts.forecast(99, class(), &load, now));
}

struct Case {
    name: &'static str,
    load: forecast::Load,
    /// Range of the expected time, and of the earliest, as multiples of that of the plain load.
    expected: (f64, f64),
    earliest: (f64, f64),
}

// Guards against a refusal by old information, and against an engine's figure that has no effect or is not valid.
#[test]
fn forecast_follows_what_is_known_of_the_engine() {
    let mut forecasts = forecast::Forecasts::default();
    learn(&mut forecasts, 30, 0.1);
    let plain = load(60.0);
    let same = (0.99, 1.01);
    let cases = [
        Case { name: "plain", load: plain, expected: same, earliest: same },
        Case {
            name: "old",
            load: forecast::Load { age: time::Millis(4_000), ..plain },
            expected: same,
            earliest: (0.0, 0.3),
        },
        Case {
            name: "half a second old",
            load: forecast::Load { age: time::Millis(500), ..plain },
            expected: same,
            earliest: (0.7, 1.0),
        },
        Case {
            name: "work takes longer",
            load: forecast::Load { work: 1.5, ..plain },
            expected: (1.45, 1.55),
            earliest: (1.4, 1.6),
        },
        Case {
            name: "not a number",
            load: forecast::Load { work: f64::NAN, ..plain },
            expected: same,
            earliest: same,
        },
        Case {
            name: "cached",
            load: forecast::Load { backlog: 10.0, prefill: 0.0, ..plain },
            expected: (0.1, 0.35),
            earliest: (0.0, 0.4),
        },
        Case {
            name: "others wait",
            load: forecast::Load { waiting: 5.0, ..plain },
            expected: (1.01, 2.0),
            earliest: (1.0, 2.0),
        },
    ];
    let now = time::Tick(31_000);
    let usual = forecasts.forecast(5, class(), &plain, now);
    let is_within = |value: time::Millis, usual: time::Millis, range: (f64, f64)| {
        (range.0..=range.1).contains(&(value.0 as f64 / usual.0 as f64))
    };
    for case in cases {
        let found = forecasts.forecast(5, class(), &case.load, now);
        let name = case.name;
        assert!(is_within(found.expected, usual.expected, case.expected), "{name}: {found:?}");
        assert!(is_within(found.earliest(), usual.earliest(), case.earliest), "{name}: {found:?}");
    }
}

// Guards against refusals by a forecast of which nothing is known, or nothing any more.
#[test]
fn evidence_takes_several_events_and_lapses_within_seconds() {
    let mut forecasts = forecast::Forecasts::default();
    let unknown = forecasts.forecast(0, class(), &load(100.0), time::Tick(0));
    assert!(unknown.earliest().0 * 3 < unknown.expected.0, "{unknown:?}");
    let mut seen = Vec::new();
    for event in 0..12 {
        let now = time::Tick(1_000 + event * 50);
        let made = make(&forecasts, 0, load(20.0), now);
        forecasts.record_unstarted(&made, time::Millis(5_000), now);
        seen.push(forecasts.has_evidence(class(), now));
        forecasts.record_start(&made, time::Millis(1_000), now);
    }
    assert!(!seen[7] && seen[11], "{seen:?}");
    let now = time::Tick(1_600);
    assert!(!forecasts.has_evidence(class(), now + time::Millis::from_secs(5)));
    let other = forecast::Class::of(&"pool".parse().unwrap(), None);
    assert!(!forecasts.has_evidence(other, now));
}

// Guards against a surge that looks short since those who have left are not counted.
#[test]
fn requests_that_never_begin_lengthen_the_forecast() {
    for (waited, is_longer) in [(20_000, true), (100, false)] {
        let mut forecasts = forecast::Forecasts::default();
        learn(&mut forecasts, 10, 0.0);
        let now = time::Tick(11_000);
        let before = forecasts.forecast(3, class(), &load(60.0), now);
        for _ in 0..5 {
            let made = make(&forecasts, 3, load(60.0), now);
            forecasts.record_unstarted(&made, time::Millis(waited), now);
        }
        let after = forecasts.forecast(3, class(), &load(60.0), now);
        assert_eq!(after.expected.0 > before.expected.0 * 3 / 2, is_longer, "{before:?} {after:?}");
        assert_eq!(after == before, !is_longer, "{before:?} {after:?}");
    }
}
