use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, request_rate, time};
use ibishill_decide::endpoint_key;
use ibishill_decide::endpoint_limit;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

const START: time::Tick = time::Tick(10_000_000);

fn endpoint() -> endpoint_key::EndpointKey {
    endpoint_key::EndpointKey::new(&"e0".parse().unwrap(), Some(1))
}

fn vm(number: usize) -> id::VmId {
    format!("vm{number}").parse().unwrap()
}

fn limit(per_second: f64) -> Option<request_rate::RequestRate> {
    Some(request_rate::RequestRate::try_from(per_second).unwrap())
}

enum Step {
    /// An answer names a limit, or none; its request was sent so many milliseconds ago.
    Answer(Option<f64>, u64),
    /// A peer tells a limit that it heard so many milliseconds ago.
    Told(Option<f64>, u64),
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Whether a limit is known in the end.
    is_limited: bool,
}

const CASES: &[Case] = &[
    Case { name: "nothing", steps: &[], is_limited: false },
    Case { name: "named", steps: &[Step::Answer(Some(2.0), 10)], is_limited: true },
    Case {
        name: "withdrawn",
        steps: &[Step::Answer(Some(2.0), 10), Step::Wait(100), Step::Answer(None, 50)],
        is_limited: false,
    },
    Case {
        name: "an answer without a limit, to a request from before it was named",
        steps: &[Step::Answer(Some(2.0), 10), Step::Wait(100), Step::Answer(None, 150)],
        is_limited: true,
    },
    Case {
        name: "an answer with a limit, to a request from before it was withdrawn",
        steps: &[
            Step::Answer(Some(2.0), 10),
            Step::Wait(100),
            Step::Answer(None, 50),
            Step::Wait(10),
            Step::Answer(Some(2.0), 90),
        ],
        is_limited: false,
    },
    Case { name: "told by a peer", steps: &[Step::Told(Some(2.0), 100)], is_limited: true },
    Case {
        name: "told by a peer, from before it was withdrawn",
        steps: &[
            Step::Answer(Some(2.0), 10),
            Step::Wait(1_000),
            Step::Answer(None, 50),
            Step::Told(Some(2.0), 500),
        ],
        is_limited: false,
    },
    Case {
        name: "withdrawal told by a peer",
        steps: &[Step::Answer(Some(2.0), 10), Step::Wait(1_000), Step::Told(None, 500)],
        is_limited: false,
    },
    Case {
        name: "no news for half a minute",
        steps: &[Step::Answer(Some(2.0), 10), Step::Wait(30_001)],
        is_limited: false,
    },
];

#[test]
fn limit_holds_until_it_is_withdrawn_or_out_of_date() {
    for case in CASES {
        let (mut limits, mut now) = (endpoint_limit::Limits::default(), START);
        for step in case.steps {
            match step {
                Step::Answer(named, ago) => {
                    let limit = named.and_then(limit);
                    let sent = time::Tick(now.0 - ago);
                    limits.record(endpoint(), endpoint_limit::Statement { limit, sent }, now);
                }
                Step::Told(named, ago) => {
                    let told = told_by_peer(named.and_then(limit), time::Tick(now.0 - ago), now);
                    limits.merge(told, now);
                }
                Step::Wait(millis) => now = now + time::Millis(*millis),
            }
        }
        limits.divide(&vm(0), 0, |_| vec![vm(0)], now);
        assert_eq!(!limits.is_empty(), case.is_limited, "{}", case.name);
    }
}

fn told_by_peer(
    limit: Option<request_rate::RequestRate>,
    heard: time::Tick,
    now: time::Tick,
) -> Vec<endpoint_limit::Told> {
    let mut peer = endpoint_limit::Limits::default();
    let before = time::Tick(heard.0 - 1);
    let named = Some(request_rate::RequestRate::default());
    peer.record(endpoint(), endpoint_limit::Statement { limit: named, sent: before }, before);
    peer.record(endpoint(), endpoint_limit::Statement { limit, sent: heard }, heard);
    peer.told(1, true, now)
}

// Regression class: an age that is passed on again and again seems newer each time.
#[test]
fn limit_that_is_passed_on_for_long_does_not_seem_newer() {
    let (mut first, mut second) =
        (endpoint_limit::Limits::default(), endpoint_limit::Limits::default());
    let (old, new) = (limit(9.0), limit(2.0));
    first.record(endpoint(), endpoint_limit::Statement { limit: old, sent: START }, START);
    let mut now = START;
    for _ in 0..1_000 {
        now = now + time::Millis(5);
        second.merge(first.told(1, true, now), now + time::Millis(3));
        first.merge(second.told(1, true, now), now + time::Millis(3));
    }
    let named = START + time::Millis(50);
    let mut third = endpoint_limit::Limits::default();
    third.record(endpoint(), endpoint_limit::Statement { limit: new, sent: named }, named);
    assert!(second.merge(third.told(1, true, now), now));
    assert!(!second.merge(first.told(1, true, now), now));
}

const STEP_MS: u64 = 10;
const REPORT_INTERVAL: u64 = 500;
const FANOUT: usize = 64;
const CONTACT: u64 = 3_000;
const WINDOW: u64 = 4_000;
const DURATION: u64 = 16_000;

struct Fleet {
    name: &'static str,
    daemons: usize,
    /// Requests per second that each daemon offers; they are repeated over the fleet.
    demand: &'static [f64],
    /// Limit, and the one that replaces it after eight seconds.
    limits: [f64; 2],
    /// Lost datagrams, in percent.
    loss: u32,
    /// Whether two halves don't hear of each other from the fifth second on.
    is_cut: bool,
    /// Whether a tenth of the daemons leaves and others join in the sixth second, of which each daemon
    /// learns within a second.
    is_changing: bool,
}

const FLEETS: &[Fleet] = &[
    Fleet {
        name: "six daemons, even",
        daemons: 6,
        demand: &[10.0],
        limits: [2.0, 1.0],
        loss: 2,
        is_cut: false,
        is_changing: false,
    },
    Fleet {
        name: "six daemons, uneven",
        daemons: 6,
        demand: &[40.0, 1.0, 0.0, 4.0, 0.2, 15.0],
        limits: [8.0, 2.0],
        loss: 2,
        is_cut: false,
        is_changing: false,
    },
    Fleet {
        name: "six daemons, cut in two",
        daemons: 6,
        demand: &[20.0, 2.0],
        limits: [30.0, 20.0],
        loss: 2,
        is_cut: true,
        is_changing: false,
    },
    Fleet {
        name: "83 daemons, members come and go",
        daemons: 83,
        demand: &[6.0, 0.0, 20.0],
        limits: [10.0, 3.0],
        loss: 5,
        is_cut: false,
        is_changing: true,
    },
    Fleet {
        name: "910 daemons",
        daemons: 910,
        demand: &[15.0, 5.0, 25.0],
        limits: [12.0, 3.0],
        loss: 5,
        is_cut: false,
        is_changing: false,
    },
    Fleet {
        name: "910 daemons, cut in two",
        daemons: 910,
        demand: &[15.0],
        limits: [20.0, 30.0],
        loss: 5,
        is_cut: true,
        is_changing: true,
    },
];

fn senders(members: std::ops::Range<usize>) -> Vec<id::VmId> {
    let mut all: Vec<id::VmId> = members.map(vm).collect();
    all.sort_by_key(|vm| std::cmp::Reverse(xxh3::xxh3_64(vm.as_str().as_bytes())));
    all.truncate(endpoint_limit::SENDERS);
    all
}

// Plays a fleet, and returns the times at which requests reach the endpoint and the most bytes of
// limits that a daemon sends in a second.
fn play(fleet: &Fleet, seed: u64) -> (Vec<u64>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let changed = if fleet.is_changing { fleet.daemons / 10 } else { 0 };
    let total = fleet.daemons + changed;
    let mut daemons = vec![endpoint_limit::Limits::default(); total];
    let steps = REPORT_INTERVAL / STEP_MS;
    let phases: Vec<u64> = (0..total).map(|_| rng.random_range(0..steps) * STEP_MS).collect();
    let learns: Vec<u64> = (0..total).map(|_| rng.random_range(6_000..7_000)).collect();
    let names: Vec<id::VmId> = (0..total).map(vm).collect();
    let numbers: BTreeMap<&id::VmId, usize> =
        names.iter().enumerate().map(|(number, name)| (name, number)).collect();
    let (before, after) = (senders(0..fleet.daemons), senders(changed..total));
    let mut arrivals = Vec::new();
    let mut sent = vec![VecDeque::new(); total];
    let mut most = 0;
    for at in (0..DURATION).step_by(STEP_MS as usize) {
        let now = START + time::Millis(at);
        let named = limit(fleet.limits[usize::from(at >= 8_000)]);
        let is_member = |number: usize| {
            if at < 6_000 { number < fleet.daemons } else { number >= changed }
        };
        let mut datagrams = Vec::new();
        for number in (0..total).filter(|number| is_member(*number)) {
            let daemon = &mut daemons[number];
            if (at + phases[number]).is_multiple_of(200) {
                let generation = u64::from(at >= learns[number]);
                let known = if generation == 0 { &before } else { &after };
                daemon.divide(&names[number], generation, |_| known.clone(), now);
            }
            let rate = fleet.demand[number % fleet.demand.len()];
            if rng.random_bool((rate * STEP_MS as f64 / 1_000.0).min(1.0)) {
                daemon.demands().record_request(now);
                if daemon.admits(endpoint(), now) {
                    daemon.record_send(endpoint(), now);
                    arrivals.push(at);
                    let known = if at >= learns[number] { &after } else { &before };
                    daemon.record(
                        endpoint(),
                        endpoint_limit::Statement { limit: named, sent: now },
                        now,
                    );
                    let generation = u64::from(at >= learns[number]);
                    daemon.divide(&names[number], generation, |_| known.clone(), now);
                }
            }
            if (at + phases[number]).is_multiple_of(REPORT_INTERVAL) {
                let told = daemon.told(16, false, now);
                let demand = daemon.demands().own(now);
                let size = postcard::to_stdvec(&told).unwrap().len();
                let partners = daemon.partners(&names[number]);
                let to_all = total <= FANOUT;
                let partners: Vec<usize> = partners.iter().map(|vm| numbers[vm]).collect();
                for pick in 0..FANOUT.min(total) {
                    sent[number].push_back((at, size));
                    let peer = match partners.get(pick) {
                        Some(partner) => *partner,
                        None if to_all => pick,
                        None => rng.random_range(0..total),
                    };
                    let is_apart = fleet.is_cut && at >= 5_000 && (peer + number) % 2 == 1;
                    if !is_apart && rng.random_range(0..100) >= fleet.loss {
                        datagrams.push((number, peer, told.clone(), demand));
                    }
                }
                while sent[number].front().is_some_and(|(first, _)| first + 1_000 <= at) {
                    sent[number].pop_front();
                }
                most = most.max(sent[number].iter().map(|(_, size)| size).sum());
            }
        }
        for (from, to, told, demand) in datagrams {
            daemons[to].merge(told, now);
            daemons[to].demands().record_peer(&names[from], demand, now);
        }
    }
    (arrivals, most)
}

#[test]
fn sum_over_all_daemons_keeps_the_limit_and_uses_it() {
    for fleet in FLEETS {
        // A large fleet takes seconds to play.
        let seeds = if fleet.daemons > 100 { 1 } else { 3 };
        for seed in 0..seeds {
            let (arrivals, bytes) = play(fleet, seed);
            let name = fleet.name;
            println!("{name}: at most {bytes} bytes a second");
            for from in (CONTACT..DURATION - WINDOW).step_by(100) {
                let until = from + WINDOW;
                let named = match (from < 8_000, until > 8_000) {
                    (true, true) => fleet.limits[0].max(fleet.limits[1]),
                    (is_first, _) => fleet.limits[usize::from(!is_first)],
                };
                let inside = arrivals.iter().filter(|at| (from..until).contains(at)).count();
                let allowed = 1.5 * named * 4.0 + 5.0;
                assert!(inside as f64 <= allowed, "{name}: {inside} after {from}, of {allowed}");
            }
            let last = DURATION - WINDOW;
            let used = arrivals.iter().filter(|at| **at >= last).count() as f64;
            let named = fleet.limits[1] * 4.0;
            assert!(used >= (named / 3.0).floor(), "{name}: {used} of {named} used");
        }
    }
}
