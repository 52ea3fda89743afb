//! Placement: which engine loads which version, in which order, and how orders are tracked.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::{declared, yaml};
use ibishill_core::{id, time, view};
use ibishill_decide::place::{self, home, order, target};
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestRunner};

type Engines = BTreeMap<id::EndpointId, place::Engine>;

fn v(text: &str) -> id::VersionRef {
    text.parse().unwrap()
}

fn versions(text: &str) -> BTreeSet<id::VersionRef> {
    text.split_whitespace().map(v).collect()
}

fn without_headroom(count: u32) -> place::Target {
    place::Target { count, required: count }
}

// An engine with memory for one base version and one adapter.
fn engine(holds: &str) -> place::Engine {
    place::Engine {
        loadable: versions("a@v1 b@v1 c@v1 x@v1"),
        memory: 1,
        adapters: 1,
        slots: 8,
        loaded: versions(holds),
        ready: true,
        fencing: true,
        pending: false,
        loading: None,
    }
}

fn engines(all: &[place::Engine]) -> Engines {
    let named =
        |(n, engine): (usize, &place::Engine)| (format!("e{n}").parse().unwrap(), engine.clone());
    all.iter().enumerate().map(named).collect()
}

fn needs(all: &[(&str, f64)]) -> BTreeMap<id::VersionRef, place::Need> {
    let need = |(name, slots): &(&str, f64)| {
        let base = (*name == "x@v1").then(|| v("a@v1"));
        (v(name), place::Need { slots: *slots, floor: false, base })
    };
    all.iter().map(need).collect()
}

struct Case {
    name: &'static str,
    engines: Vec<place::Engine>,
    // Version, needed slots and target.
    wanted: &'static [(&'static str, f64, u32)],
    withdrawn: &'static str,
    steps: &'static [&'static str],
}

fn describe(step: &place::Step) -> String {
    let word = match step.change {
        place::Change::Load(_) => "load",
        place::Change::Unload(_) => "unload",
    };
    format!("{} {word} {}", step.endpoint, step.change.version())
}

fn cases() -> Vec<Case> {
    let unfenced = |holds| place::Engine { fencing: false, ..engine(holds) };
    let two = |holds| place::Engine { memory: 2, ..engine(holds) };
    vec![
        Case {
            name: "nothing to do",
            engines: vec![engine("a@v1"), engine("b@v1")],
            wanted: &[("a@v1", 4.0, 1), ("b@v1", 4.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "spare versions stay loaded while their room is not needed",
            engines: vec![engine("a@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "free room is used before anything is unloaded",
            engines: vec![engine("a@v1"), engine("")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 8.0, 1)],
            withdrawn: "",
            steps: &["e1 load b@v1"],
        },
        Case {
            name: "a withdrawn version is unloaded before a spare one",
            engines: vec![engine("a@v1"), engine("a@v1"), engine("c@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 8.0, 1)],
            withdrawn: "c@v1",
            steps: &["e2 unload c@v1"],
        },
        Case {
            name: "a withdrawn version stays while its room is not needed",
            engines: vec![engine("c@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1)],
            withdrawn: "c@v1",
            steps: &[],
        },
        Case {
            name: "the last engine of a version keeps it",
            engines: vec![engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 80.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "a version on several engines gives one to a version on none",
            engines: vec![engine("a@v1"), engine("a@v1")],
            wanted: &[("a@v1", 16.0, 2), ("b@v1", 1.0, 1)],
            withdrawn: "",
            steps: &["e0 unload a@v1"],
        },
        Case {
            name: "an outstanding unload is not repeated elsewhere",
            engines: vec![
                place::Engine { pending: true, ready: false, ..engine("a@v1") },
                engine("a@v1"),
                engine("a@v1"),
            ],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 8.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "one change at a time per engine",
            engines: vec![two("")],
            wanted: &[("a@v1", 8.0, 1), ("b@v1", 8.0, 1)],
            withdrawn: "",
            steps: &["e0 load a@v1"],
        },
        Case {
            name: "engines without fencing change one at a time",
            engines: vec![unfenced(""), unfenced(""), engine("")],
            wanted: &[("a@v1", 8.0, 3)],
            withdrawn: "",
            steps: &["e0 load a@v1", "e2 load a@v1"],
        },
        Case {
            name: "an engine without fencing waits for an outstanding order at another",
            engines: vec![
                place::Engine { pending: true, ready: false, ..unfenced("") },
                unfenced(""),
            ],
            wanted: &[("a@v1", 8.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "an outstanding load counts as loaded",
            engines: vec![
                place::Engine { loading: Some(v("a@v1")), ready: false, ..engine("") },
                engine(""),
            ],
            wanted: &[("a@v1", 8.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "an adapter is loaded where its base is",
            engines: vec![engine("b@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 1.0, 1), ("x@v1", 1.0, 1)],
            withdrawn: "",
            steps: &["e1 load x@v1"],
        },
        Case {
            name: "the base of a needed adapter stays",
            engines: vec![engine("a@v1 x@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 8.0, 1), ("x@v1", 1.0, 1)],
            withdrawn: "",
            steps: &["e1 unload a@v1"],
        },
    ]
}

#[test]
fn steps_follow_from_engines_and_targets() {
    for case in cases() {
        let slots: Vec<_> = case.wanted.iter().map(|(name, slots, _)| (*name, *slots)).collect();
        let targets = case
            .wanted
            .iter()
            .map(|(name, _, target)| (v(name), without_headroom(*target)))
            .collect();
        let withdrawn = versions(case.withdrawn);
        let steps = place::steps(&engines(&case.engines), &needs(&slots), &targets, &withdrawn);
        let steps: Vec<_> = steps.iter().map(describe).collect();
        assert_eq!(steps, case.steps, "{}", case.name);
    }
}

#[test]
fn last_engine_of_needed_version_is_kept() {
    let config =
        Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() };
    let names = ["a@v1", "b@v1", "c@v1"];
    let held = proptest::collection::vec((0..4_usize, 0..2_u8), 1..8);
    let wanted_counts = proptest::array::uniform3(0..5_u32);
    let wanted_counts = wanted_counts.prop_filter("some version is needed", |wanted_counts| {
        wanted_counts.iter().any(|n| *n > 0)
    });
    let check = |(held, wanted_counts): (Vec<(usize, u8)>, [u32; 3])| {
        let make = |(n, fencing): &(usize, u8)| place::Engine {
            fencing: *fencing == 0,
            ..engine(names.get(*n).copied().unwrap_or(""))
        };
        let all: Vec<_> = held.iter().map(make).collect();
        let targets: BTreeMap<_, _> =
            names.iter().map(|name| v(name)).zip(wanted_counts.map(without_headroom)).collect();
        let slots: Vec<_> = names.iter().map(|name| (*name, 1.0)).collect();
        let all = engines(&all);
        let steps = place::steps(&all, &needs(&slots), &targets, &BTreeSet::new());
        let changed: BTreeSet<_> = steps.iter().map(|step| &step.endpoint).collect();
        assert_eq!(changed.len(), steps.len(), "two changes of one engine");
        let unfenced = changed.iter().filter(|name| !all[**name].fencing).count();
        assert!(unfenced <= 1, "{unfenced} engines without fencing change at once");
        for (version, target) in &targets {
            let holds = all.values().filter(|engine| engine.loaded.contains(version)).count();
            let unloads =
                |step: &&place::Step| step.change == place::Change::Unload(version.clone());
            let left = holds - steps.iter().filter(unloads).count();
            assert!(target.count == 0 || holds == 0 || left > 0, "{version} lost its last engine");
        }
        Ok(())
    };
    TestRunner::new(config).run(&(held, wanted_counts), check).unwrap();
}

#[test]
fn headroom_is_given_up_for_required_engines_of_another_version() {
    let all = engines(&[engine("a@v1"), engine("a@v1"), engine("a@v1"), engine("b@v1")]);
    let needs = needs(&[("a@v1", 16.0), ("b@v1", 16.0)]);
    for (least, count) in [(2, 1), (3, 0)] {
        let a = place::Target { count: 3, required: least };
        let b = place::Target { count: 3, required: 2 };
        let targets = [(v("a@v1"), a), (v("b@v1"), b)].into();
        let steps = place::steps(&all, &needs, &targets, &BTreeSet::new());
        assert_eq!(steps.len(), count, "{least}: {steps:?}");
    }
}

#[test]
fn owner_without_history_keeps_loaded_versions_for_hold_time() {
    let all = engines(&[engine("a@v1"), engine("a@v1")]);
    let mut demand = target::Demand::default();
    let hold = rules().hold.0;
    for (at, count) in [(0, 2), (hold - 1, 2), (hold, 0)] {
        let targets = demand.targets(&all, &needs(&[("a@v1", 0.0)]), &rules(), time::Tick(at));
        assert_eq!(targets[&v("a@v1")], without_headroom(count), "{at}");
    }
}

fn rules() -> place::Rules {
    place::Rules::of(declared::Policy::Cost)
}

#[test]
fn target_rises_at_once_and_falls_after_hold_time() {
    let all = engines(&[engine(""), engine(""), engine(""), engine("")]);
    let rules = rules();
    let mut demand = target::Demand::default();
    let mut at = |slots, secs| {
        let now = time::Tick(secs * 1_000);
        demand.targets(&all, &needs(&[("a@v1", slots)]), &rules, now)[&v("a@v1")].count
    };
    let hold = rules.hold.0 / 1_000;
    assert_eq!(at(20.0, 0), 3);
    assert_eq!(at(1.0, 1), 3);
    assert_eq!(at(1.0, hold), 3);
    assert_eq!(at(20.0, hold + 1), 3, "a rise restarts the hold time");
    assert_eq!(at(1.0, hold + 2), 3);
    assert_eq!(at(10.0, hold + 3), 3);
    assert_eq!(at(1.0, 2 * hold + 2), 2, "the maximum during the hold time");
    assert_eq!(at(30.0, 2 * hold + 3), 4, "at most the number of engines");
}

#[test]
fn scarce_engines_go_to_versions_without_engine_first() {
    let all = engines(&[engine(""), engine(""), engine("")]);
    let needs = needs(&[("a@v1", 500.0), ("b@v1", 1.0), ("c@v1", 1.0)]);
    let targets = target::Demand::default().targets(&all, &needs, &rules(), time::Tick(0));
    assert_eq!(targets.into_values().map(|target| target.count).collect::<Vec<_>>(), [1, 1, 1]);
}

fn declare(memory: u32) -> declared::Declared {
    let mut text = String::from("zones: {z: {region: r}}\nversions:\n");
    for name in ["a@v1", "b@v1", "c@v1"] {
        text += &format!("  {name}: {{prompt-price: 1, output-price: 1, quality: 0.9}}\n");
    }
    text += "  a@v2: {prompt-price: 1, output-price: 1, quality: 0.9, state: candidate}\n";
    text += "  x@v1: {prompt-price: 1, output-price: 1, quality: 0.9, base: a@v1}\n";
    text += "rollouts: {r: {from: a@v1, to: a@v2, stages: [10, 50], dwell: 1000}}\nendpoints:\n";
    for n in 0..2 {
        text += &format!(
            "  e{n}: {{zone: z, address: '127.0.0.1:{}', slots: 8, memory: {memory}, adapters: 1, \
             versions: [a@v1, a@v2, b@v1, c@v1, x@v1]}}\n",
            n + 1
        );
    }
    yaml::read("test", &text).unwrap()
}

#[test]
fn homes_respect_memory_and_adapters_share_home_of_base() {
    for (memory, homed) in [(2, 5), (1, 3)] {
        let declared = declare(memory);
        let homes = home::homes(&declared, &"z".parse().unwrap());
        assert_eq!(homes.len(), homed, "{homes:?}");
        assert_eq!(homes.get(&v("x@v1")), homes.get(&v("a@v1")));
        for name in declared.endpoints.keys() {
            let bases = homes.iter().filter(|(held, home)| *home == name && **held != v("x@v1"));
            assert!(bases.count() <= memory as usize);
        }
    }
}

#[test]
fn rollout_needs_slots_of_its_stage_or_of_the_next_with_latency_policy() {
    let declared = declare(2);
    let mut demand = target::Demand::default();
    let count = target::Count { running: 60, refused: 40, ..target::Count::default() };
    let half = time::Millis::from_secs(10);
    demand.record(&[(v("a@v1"), count)].into(), 1, half, time::Tick(0));
    for (policy, slots) in [(declared::Policy::Cost, 10.0), (declared::Policy::Latency, 50.0)] {
        let needs = demand.needs(&declared, &place::Rules::of(policy));
        assert_eq!(needs[&v("a@v2")].slots, slots);
    }
    demand.record(&BTreeMap::new(), 1, half, time::Tick(10_000));
    assert_eq!(demand.slots(&v("a@v1")), 50.0);
}

struct OrderCase {
    name: &'static str,
    answer: order::Answer,
    // What the engine holds when read at this second.
    reads: &'static [(u64, &'static str)],
    // Whether another order may be given, at this second under view 2.
    open: &'static [(u64, bool)],
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        name: "accepted and effective",
        answer: order::Answer::Accepted,
        reads: &[(2, "a@v1")],
        open: &[(3, false), (12, true)],
    },
    OrderCase {
        name: "accepted, not yet effective",
        answer: order::Answer::Accepted,
        reads: &[(2, ""), (299, "")],
        open: &[(300, false)],
    },
    OrderCase {
        name: "accepted, never effective",
        answer: order::Answer::Accepted,
        reads: &[(302, "")],
        open: &[(303, true)],
    },
    OrderCase {
        name: "no order follows an unknown answer before the engine is read",
        answer: order::Answer::Unknown,
        reads: &[],
        open: &[(100, false)],
    },
    OrderCase {
        name: "unknown answer, effective",
        answer: order::Answer::Unknown,
        reads: &[(2, "a@v1")],
        open: &[(12, true)],
    },
    OrderCase {
        name: "unknown answer, not yet considered lost",
        answer: order::Answer::Unknown,
        reads: &[(2, "")],
        open: &[(12, false)],
    },
    OrderCase {
        name: "unknown answer, considered lost",
        answer: order::Answer::Unknown,
        reads: &[(31, "")],
        open: &[(32, true)],
    },
    OrderCase {
        name: "a reading from before the order is ignored",
        answer: order::Answer::Unknown,
        reads: &[(0, "a@v1")],
        open: &[(100, false)],
    },
    OrderCase {
        name: "unreachable",
        answer: order::Answer::Unreachable,
        reads: &[],
        open: &[(2, false), (6, true)],
    },
    OrderCase {
        name: "rejected under a newer view",
        answer: order::Answer::Fenced(view::ViewNumber(3)),
        reads: &[],
        open: &[(6, false), (900, false)],
    },
    OrderCase {
        name: "rejected under this view's number",
        answer: order::Answer::Fenced(view::ViewNumber(2)),
        reads: &[],
        open: &[(6, true)],
    },
];

fn second(secs: u64) -> time::Tick {
    time::Tick(secs * 1_000)
}

#[test]
fn next_order_waits_until_effect_is_read() {
    let (lease, dwell) = (time::Millis::from_secs(10), time::Millis::from_secs(10));
    for case in ORDER_CASES {
        let mut track = order::Tracker::new(second(0));
        track.observe(&BTreeSet::new(), second(0));
        track.plan(place::Change::Load(v("a@v1")));
        track.mark_sent(second(1));
        track.record_answer(case.answer, second(1));
        for (at, holds) in case.reads {
            track.observe(&versions(holds), second(*at));
        }
        for (at, open) in case.open {
            let found = track.can_order(true, lease, dwell, view::ViewNumber(2), second(*at));
            assert_eq!(found, *open, "{} at {at}", case.name);
        }
    }
}

#[test]
fn engine_without_fencing_waits_for_lease_of_earlier_owner() {
    let (lease, dwell) = (time::Millis::from_secs(10), time::Millis::from_secs(10));
    let number = view::ViewNumber(2);
    let mut track = order::Tracker::new(second(5));
    assert!(
        !track.can_order(true, lease, dwell, number, second(5)),
        "the engine has not been read yet"
    );
    track.observe(&BTreeSet::new(), second(5));
    for (fencing, at, open) in
        [(true, 5, true), (false, 5, false), (false, 14, false), (false, 15, true)]
    {
        assert_eq!(
            track.can_order(fencing, lease, dwell, number, second(at)),
            open,
            "{fencing} {at}"
        );
    }
}
