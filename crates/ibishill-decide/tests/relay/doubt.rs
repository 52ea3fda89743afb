use ibishill_core::{fleet, id, time};
use ibishill_decide::balance::{self, doubt};
use ibishill_decide::{endpoint_key, outlier};

const COLD_START: time::Millis = time::Millis(3_000);
const SLOW_START: balance::SlowStart =
    balance::SlowStart { duration: COLD_START, rate: 10.0, is_stale: false };

/// Start times of the endpoint's two processes.
const FIRST: u64 = 1_000_000;
const SECOND: u64 = 2_000_000;

fn entry(name: &str, started: u64, cold: u64) -> fleet::Registration {
    fleet::Registration {
        id: name.parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        readiness: fleet::Readiness::Ready,
        cold_remaining: time::Millis(cold),
        started: Some(started),
    }
}

/// What a daemon learns, and when in milliseconds.
enum Step {
    Sign(doubt::Cause, u64),
    /// A request that began at the first time is answered at the second.
    Answer(u64, u64),
    /// An attempt that began at the first time fails at the second.
    Failure(u64, u64),
    Removal(u64),
    /// A registration of this start, with this cold time.
    Entry(u64, u64, u64),
    /// A peer has had an answer since, so that the endpoint is out of reach; then it answers.
    Reach(u64, u64),
    /// A check of the first time tells this start.
    Check(u64, u64),
    /// A health check of this time tells this cold time.
    Health(u64, u64),
}

use Step::{Answer, Check, Entry, Failure, Health, Reach, Removal, Sign};
use doubt::Cause::{Cut, Gone, Refused};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// After all steps, times at which it is still cold, and warm.
    cold: Option<u64>,
    warm: Option<u64>,
}

const CASES: &[Case] = &[
    Case {
        name: "an entry of the same start returns after the removal",
        steps: &[Sign(Refused, 100), Removal(1_800), Entry(FIRST, 0, 2_200)],
        cold: Some(60_000),
        warm: None,
    },
    Case {
        name: "the entry of the second start comes late",
        steps: &[Sign(Refused, 100), Entry(SECOND, 2_994, 3_900), Health(4_000, 100)],
        cold: Some(6_890),
        warm: Some(6_900),
    },
    Case {
        name: "peers are answered before this daemon",
        steps: &[Sign(Refused, 100), Reach(300, 400)],
        cold: Some(60_000),
        warm: None,
    },
    Case {
        name: "a request from before the sign fails, and one is answered",
        steps: &[Sign(Refused, 100), Failure(50, 120), Answer(60, 130)],
        cold: Some(60_000),
        warm: None,
    },
    Case {
        name: "a request after the sign is answered",
        steps: &[Sign(Refused, 100), Answer(4_000, 4_020)],
        cold: Some(7_010),
        warm: Some(7_020),
    },
    Case {
        name: "only connections are cut, and the start is the same",
        steps: &[Sign(Cut, 100), Check(100, FIRST)],
        cold: None,
        warm: Some(101),
    },
    Case {
        name: "it is back between two requests",
        steps: &[Sign(Cut, 100), Check(100, SECOND), Health(103, 2_990)],
        cold: Some(3_090),
        warm: Some(3_101),
    },
    Case {
        name: "a request is answered while the check of a cut connection runs",
        steps: &[Sign(Cut, 100), Answer(101, 103), Check(100, FIRST)],
        cold: None,
        warm: Some(104),
    },
    Case {
        name: "a sign comes while a check runs",
        steps: &[Sign(Cut, 100), Sign(Cut, 102), Check(101, FIRST)],
        cold: Some(60_000),
        warm: None,
    },
    Case {
        name: "its health check says that it is warm",
        steps: &[Sign(Refused, 100), Health(8_000, 0)],
        cold: None,
        warm: Some(8_001),
    },
];

fn play(step: &Step, balancer: &mut balance::Balancer, id: &id::EndpointId) {
    let at = time::Tick;
    match *step {
        Sign(cause, now) => {
            balancer.doubt(id, cause, SLOW_START, at(now));
        }
        Answer(began, now) => {
            let span = (at(began), at(now));
            balancer.record_attempt(id, outlier::Attempt::Good, None, SLOW_START, span);
        }
        Failure(began, now) => {
            let span = (at(began), at(now));
            balancer.record_attempt(id, outlier::Attempt::Failed, None, SLOW_START, span);
        }
        Removal(now) => balancer.remove(id, at(now)),
        Entry(started, cold, now) => {
            balancer.register(entry(id.as_str(), started, cold), at(now));
        }
        Reach(confirmed, reached) => {
            let key = balancer.key(id).unwrap();
            balancer.contacts().record_failure(key, at(100));
            let answers = [(key, time::Millis(0))];
            balancer.contacts().record_evidence(&"peer".parse().unwrap(), &answers, at(confirmed));
            assert!(balancer.judge_contacts(at(confirmed)));
            assert!(balancer.is_out_of_reach(id));
            balancer.contacts().record_answer(key, at(reached));
            assert!(!balancer.is_out_of_reach(id));
        }
        Check(asked, started) => {
            balancer.record_start(id, started, at(asked));
        }
        Health(now, cold) => {
            balancer.record_health(id, time::Millis(cold), (at(now), at(now)));
        }
    }
}

#[test]
fn endpoint_that_may_have_started_again_is_cold_until_it_shows_otherwise() {
    let id: id::EndpointId = "e0".parse().unwrap();
    for case in CASES {
        let mut balancer = balance::Balancer::new("own".parse().unwrap(), "a".parse().unwrap());
        balancer.register(entry("e0", FIRST, 0), time::Tick(1));
        case.steps.iter().for_each(|step| play(step, &mut balancer, &id));
        let cold = case.cold.is_none_or(|cold| balancer.is_cold(&id, time::Tick(cold)));
        assert!(cold, "{}", case.name);
        let warm = case.warm.is_none_or(|warm| !balancer.is_cold(&id, time::Tick(warm)));
        assert!(warm, "{}", case.name);
    }
}

#[test]
fn registration_of_an_earlier_start_does_not_replace_a_later_one() {
    let id: id::EndpointId = "e0".parse().unwrap();
    let mut balancer = balance::Balancer::new("own".parse().unwrap(), "a".parse().unwrap());
    balancer.register(entry("e0", SECOND, 0), time::Tick(1));
    let mut is_earlier =
        |started, now| balancer.is_earlier_start(&entry("e0", started, 0), time::Tick(now));
    assert!(is_earlier(FIRST, 2));
    assert!(!is_earlier(SECOND, 3));
    assert!((10..4_500).step_by(1_200).all(|now| is_earlier(FIRST, now)), "each heartbeat");
    assert!(!is_earlier(FIRST, 4_511), "the clock was set back");
    balancer.remove(&id, time::Tick(5_000));
    balancer.register(entry("e0", SECOND, 0), time::Tick(5_001));
    balancer.remove(&id, time::Tick(5_002));
    assert!(
        balancer.is_earlier_start(&entry("e0", FIRST, 0), time::Tick(5_003)),
        "after the removal"
    );
}

// Half of a service's endpoints end at the same moment, more than a message tells of.
#[test]
fn peers_hear_of_all_endpoints_that_end_at_once_by_either_start() {
    let mut balancer = balance::Balancer::new("own".parse().unwrap(), "a".parse().unwrap());
    let mut expected = std::collections::BTreeSet::new();
    for number in 0..60 {
        let name = format!("e{number}");
        let id: id::EndpointId = name.parse().unwrap();
        balancer.register(entry(&name, FIRST, 0), time::Tick(1));
        balancer.register(entry(&name, SECOND, 0), time::Tick(2));
        balancer.doubt(&id, Gone, SLOW_START, time::Tick(100));
        expected.insert(endpoint_key::EndpointKey::new(&id, Some(FIRST)));
        expected.insert(endpoint_key::EndpointKey::new(&id, Some(SECOND)));
    }
    let mut heard = std::collections::BTreeSet::new();
    // Reports and messages of four daemons that have noticed it, within the time for which they tell of it.
    for now in (100..2_000).step_by(120) {
        let told = balancer.told_cold(64, false, time::Tick(now));
        assert!(told.len() <= 64);
        assert!(told.iter().all(|(_, remaining)| *remaining >= COLD_START));
        heard.extend(told.into_iter().map(|(key, _)| key));
    }
    assert_eq!(heard, expected);
}
