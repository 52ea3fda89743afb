//! Choice by expected time to the first token, and estimated contents of prefix caches.

use ibishill_core::prefix::PrefixKey;
use ibishill_core::time;
use ibishill_decide::{choose, prefix};

use crate::support;

fn load(endpoint: &str) -> choose::Load {
    choose::Load {
        endpoint: support::name(endpoint),
        running: 4,
        backlog_bytes: 0,
        prompt_bytes: 1_000,
        limit: 16,
        free: 12,
        ms_per_byte: Some(0.1),
        excess: None,
        hit_probability: 0.0,
        hop_ms: 0.0,
    }
}

struct Case {
    name: &'static str,
    better: fn(choose::Load) -> choose::Load,
    worse: fn(choose::Load) -> choose::Load,
}

fn aged(mut load: choose::Load, age: u64) -> choose::Load {
    load.excess = Some(choose::Excess { running: 8, age: time::Millis(age) });
    load
}

const CASES: &[Case] = &[
    Case {
        name: "fewer running",
        better: |load| choose::Load { running: 1, ..load },
        worse: |load| load,
    },
    Case {
        name: "fewer without a first token",
        better: |load| load,
        worse: |load| choose::Load { backlog_bytes: 2_000, ..load },
    },
    Case {
        name: "cached prefix",
        better: |load| choose::Load { hit_probability: 0.9, ..load },
        worse: |load| load,
    },
    Case {
        name: "a hit is not worth a long queue",
        better: |load| load,
        worse: |load| choose::Load { hit_probability: 1.0, backlog_bytes: 3_000, ..load },
    },
    Case { name: "near", better: |load| load, worse: |load| choose::Load { hop_ms: 2.0, ..load } },
    Case { name: "reported excess", better: |load| load, worse: |load| aged(load, 0) },
    Case {
        name: "an old report counts less",
        better: |load| aged(load, 5_000),
        worse: |load| aged(load, 0),
    },
    Case {
        name: "slow endpoint",
        better: |load| load,
        worse: |load| choose::Load { ms_per_byte: Some(0.3), ..load },
    },
];

#[test]
fn endpoint_with_earlier_first_token_is_chosen() {
    for case in CASES {
        let loads = [(case.worse)(load("a")), (case.better)(load("b"))];
        for n in 0..20 {
            let request = support::name(&format!("req-{n}"));
            let chosen = choose::choose(&loads, &request).unwrap();
            assert_eq!(chosen.endpoint.as_str(), "b", "{}", case.name);
        }
    }
}

#[test]
fn full_endpoint_is_not_chosen() {
    let loads = [choose::Load { free: 0, ..load("a") }];
    assert!(choose::choose(&loads, &support::name("req-1")).is_none());
}

#[test]
fn stale_prefix_entries_decay_and_memory_is_bounded() {
    let mut holders = prefix::Holders::default();
    let (first, second) = (support::name("a"), support::name("b"));
    let key = PrefixKey(1);
    holders.record(key, &first, prefix::Event::Stored, time::Tick(0));
    holders.record(key, &second, prefix::Event::Stored, time::Tick(0));
    let fresh = holders.hit_probability(key, &first, time::Tick(0));
    assert!(fresh > 0.9);
    assert!(holders.hit_probability(key, &first, time::Tick(600_000)) < 0.01);
    holders.record(key, &first, prefix::Event::Evicted, time::Tick(1));
    assert!(holders.hit_probability(key, &first, time::Tick(1)) < f64::EPSILON);
    holders.forget(&second);
    assert!(holders.hit_probability(key, &second, time::Tick(1)) < f64::EPSILON);
    for n in 0..40_000 {
        holders.record(PrefixKey(n), &first, prefix::Event::Stored, time::Tick(n));
    }
    assert_eq!(holders.len(), prefix::PREFIXES_MAX);
}
