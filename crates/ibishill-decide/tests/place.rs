//! Placement: what is loaded where, in which order, and what becomes of orders.

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

fn even(count: u32) -> place::Target {
    place::Target { count, required: count }
}

// An engine with room for one version and one adapter.
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
    /// Version, needed slots and target.
    wanted: &'static [(&'static str, f64, u32)],
    withdrawn: &'static str,
    steps: &'static [&'static str],
}

fn shown(step: &place::Step) -> String {
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
            name: "spare versions stay while nobody needs the room",
            engines: vec![engine("a@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "room first",
            engines: vec![engine("a@v1"), engine("")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 8.0, 1)],
            withdrawn: "",
            steps: &["e1 load b@v1"],
        },
        Case {
            name: "a withdrawn version goes before a spare one",
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
            name: "the last engine of a version is not taken",
            engines: vec![engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 80.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "a version with several gives one to a version with none",
            engines: vec![engine("a@v1"), engine("a@v1")],
            wanted: &[("a@v1", 16.0, 2), ("b@v1", 1.0, 1)],
            withdrawn: "",
            steps: &["e0 unload a@v1"],
        },
        Case {
            name: "room that is on its way is not made twice",
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
            name: "one change at an engine",
            engines: vec![two("")],
            wanted: &[("a@v1", 8.0, 1), ("b@v1", 8.0, 1)],
            withdrawn: "",
            steps: &["e0 load a@v1"],
        },
        Case {
            name: "unfenced engines change one after another",
            engines: vec![unfenced(""), unfenced(""), engine("")],
            wanted: &[("a@v1", 8.0, 3)],
            withdrawn: "",
            steps: &["e0 load a@v1", "e2 load a@v1"],
        },
        Case {
            name: "an unfenced engine waits for the effect at another",
            engines: vec![
                place::Engine { pending: true, ready: false, ..unfenced("") },
                unfenced(""),
            ],
            wanted: &[("a@v1", 8.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "a load that is under way counts",
            engines: vec![
                place::Engine { loading: Some(v("a@v1")), ready: false, ..engine("") },
                engine(""),
            ],
            wanted: &[("a@v1", 8.0, 1)],
            withdrawn: "",
            steps: &[],
        },
        Case {
            name: "an adapter goes where its base is",
            engines: vec![engine("b@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 1.0, 1), ("x@v1", 1.0, 1)],
            withdrawn: "",
            steps: &["e1 load x@v1"],
        },
        Case {
            name: "the base of a wanted adapter stays",
            engines: vec![engine("a@v1 x@v1"), engine("a@v1")],
            wanted: &[("a@v1", 1.0, 1), ("b@v1", 8.0, 1), ("x@v1", 1.0, 1)],
            withdrawn: "",
            steps: &["e1 unload a@v1"],
        },
    ]
}

#[test]
fn each_state_gives_its_orders() {
    for case in cases() {
        let slots: Vec<_> = case.wanted.iter().map(|(name, slots, _)| (*name, *slots)).collect();
        let targets =
            case.wanted.iter().map(|(name, _, target)| (v(name), even(*target))).collect();
        let withdrawn = versions(case.withdrawn);
        let steps = place::steps(&engines(&case.engines), &needs(&slots), &targets, &withdrawn);
        let steps: Vec<_> = steps.iter().map(shown).collect();
        assert_eq!(steps, case.steps, "{}", case.name);
    }
}

#[test]
fn any_state_keeps_the_last_engine_of_each_wanted_version() {
    let config =
        Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() };
    let names = ["a@v1", "b@v1", "c@v1"];
    let held = proptest::collection::vec((0..4_usize, 0..2_u8), 1..8);
    let wants = proptest::array::uniform3(0..5_u32);
    let wants = wants.prop_filter("something is wanted", |wants| wants.iter().any(|n| *n > 0));
    let check = |(held, wants): (Vec<(usize, u8)>, [u32; 3])| {
        let one = |(n, fencing): &(usize, u8)| place::Engine {
            fencing: *fencing == 0,
            ..engine(names.get(*n).copied().unwrap_or(""))
        };
        let all: Vec<_> = held.iter().map(one).collect();
        let targets: BTreeMap<_, _> =
            names.iter().map(|name| v(name)).zip(wants.map(even)).collect();
        let slots: Vec<_> = names.iter().map(|name| (*name, 1.0)).collect();
        let all = engines(&all);
        let steps = place::steps(&all, &needs(&slots), &targets, &BTreeSet::new());
        let changed: BTreeSet<_> = steps.iter().map(|step| &step.endpoint).collect();
        assert_eq!(changed.len(), steps.len(), "two changes at one engine");
        let unfenced = changed.iter().filter(|name| !all[**name].fencing).count();
        assert!(unfenced <= 1, "{unfenced} unfenced engines at once");
        for (version, target) in &targets {
            let holds = all.values().filter(|engine| engine.loaded.contains(version)).count();
            let gone = |step: &&place::Step| step.change == place::Change::Unload(version.clone());
            let left = holds - steps.iter().filter(gone).count();
            assert!(target.count == 0 || holds == 0 || left > 0, "{version} lost its last engine");
        }
        Ok(())
    };
    TestRunner::new(config).run(&(held, wants), check).unwrap();
}

#[test]
fn headroom_gives_way_to_need_and_need_does_not() {
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
fn without_history_what_is_found_stays_for_one_hold() {
    let all = engines(&[engine("a@v1"), engine("a@v1")]);
    let mut demand = target::Demand::default();
    let hold = rules().hold.0;
    for (at, count) in [(0, 2), (hold - 1, 2), (hold, 0)] {
        let targets = demand.targets(&all, &needs(&[("a@v1", 0.0)]), &rules(), time::Tick(at));
        assert_eq!(targets[&v("a@v1")], even(count), "{at}");
    }
}

fn rules() -> place::Rules {
    place::Rules::of(declared::Policy::Cost)
}

#[test]
fn a_target_rises_at_once_and_falls_only_after_the_hold() {
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
    assert_eq!(at(20.0, hold + 1), 3, "a swing starts the hold anew");
    assert_eq!(at(1.0, hold + 2), 3);
    assert_eq!(at(10.0, hold + 3), 3);
    assert_eq!(at(1.0, 2 * hold + 2), 2, "as much as was needed meanwhile");
    assert_eq!(at(30.0, 2 * hold + 3), 4, "no more than there are engines");
}

#[test]
fn a_short_pool_gives_every_version_an_engine_first() {
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
fn homes_keep_to_the_memory_and_adapters_to_their_base() {
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
fn a_roll_out_asks_for_its_stage_and_under_latency_for_the_next() {
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

struct After {
    name: &'static str,
    answer: order::Answer,
    /// What the engine holds when read at this second.
    reads: &'static [(u64, &'static str)],
    /// Whether another order may be given, at this second under view 2.
    open: &'static [(u64, bool)],
}

const AFTER: &[After] = &[
    After {
        name: "taken and seen",
        answer: order::Answer::Accepted,
        reads: &[(2, "a@v1")],
        open: &[(3, false), (12, true)],
    },
    After {
        name: "taken, not seen yet",
        answer: order::Answer::Accepted,
        reads: &[(2, ""), (299, "")],
        open: &[(300, false)],
    },
    After {
        name: "taken, never seen",
        answer: order::Answer::Accepted,
        reads: &[(302, "")],
        open: &[(303, true)],
    },
    After {
        name: "a lost answer is not repeated before a reading",
        answer: order::Answer::Unknown,
        reads: &[],
        open: &[(100, false)],
    },
    After {
        name: "a lost answer whose effect shows",
        answer: order::Answer::Unknown,
        reads: &[(2, "a@v1")],
        open: &[(12, true)],
    },
    After {
        name: "a lost order counts as lost only after a while",
        answer: order::Answer::Unknown,
        reads: &[(2, "")],
        open: &[(12, false)],
    },
    After {
        name: "a lost order",
        answer: order::Answer::Unknown,
        reads: &[(31, "")],
        open: &[(32, true)],
    },
    After {
        name: "a reading from before the order says nothing",
        answer: order::Answer::Unknown,
        reads: &[(0, "a@v1")],
        open: &[(100, false)],
    },
    After {
        name: "not reached",
        answer: order::Answer::Unreachable,
        reads: &[],
        open: &[(2, false), (6, true)],
    },
    After {
        name: "refused under a newer view",
        answer: order::Answer::Fenced(view::ViewNumber(3)),
        reads: &[],
        open: &[(6, false), (900, false)],
    },
    After {
        name: "refused under this view's number",
        answer: order::Answer::Fenced(view::ViewNumber(2)),
        reads: &[],
        open: &[(6, true)],
    },
];

fn second(secs: u64) -> time::Tick {
    time::Tick(secs * 1_000)
}

#[test]
fn orders_are_read_back_before_the_next() {
    let (lease, dwell) = (time::Millis::from_secs(10), time::Millis::from_secs(10));
    for case in AFTER {
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
fn an_unfenced_engine_waits_for_the_lease_of_an_earlier_owner() {
    let (lease, dwell) = (time::Millis::from_secs(10), time::Millis::from_secs(10));
    let number = view::ViewNumber(2);
    let mut track = order::Tracker::new(second(5));
    assert!(!track.can_order(true, lease, dwell, number, second(5)), "it was not read yet");
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
