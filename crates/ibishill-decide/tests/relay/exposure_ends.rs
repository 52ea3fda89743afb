//! Ends of endpoints that no prompt has caused: of a version or zone that is stopped, and of endpoints that leave.

use ibishill_core::{call, id, time};
use ibishill_decide::{endpoint_key, exposure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: time::Tick = time::Tick(10_000_000);
const FIRST: u64 = 0xf1;
const SUSPECT: u64 = 0xaa;

/// Endpoints of two groups, of which those of the second end, one after the other.
struct Case {
    name: &'static str,
    /// Endpoints in each group.
    size: u64,
    /// Share of the prompts of the second group that have the segment, and of those of the first one.
    shares: (f64, f64),
    /// Time before the first end at which a prompt with the segment was sent to each endpoint of the second group.
    batch: Option<u64>,
    /// Time from the first end to the last one.
    duration: u64,
    /// Whether the ends are known beforehand: the version is withdrawn, the zone out of service or they leave.
    is_expected: bool,
}

const BASE: Case = Case {
    name: "",
    size: 10,
    shares: (0.03, 0.03),
    batch: None,
    duration: 1_000,
    is_expected: false,
};

const CASES: &[Case] = &[
    Case { name: "a version is stopped at once", duration: 0, ..BASE },
    Case { name: "a version is stopped within a second", ..BASE },
    Case { name: "a version with prompts of its own is stopped", shares: (0.5, 0.0), ..BASE },
    Case { name: "one with some prompts of its own is stopped", shares: (0.15, 0.0), ..BASE },
    Case { name: "a zone ends within two seconds", duration: 2_000, size: 20, ..BASE },
    Case { name: "a zone, just after a batch", batch: Some(100), size: 20, ..BASE },
    Case { name: "a zone, some time after a batch", batch: Some(700), duration: 2_000, ..BASE },
    Case {
        name: "endpoints leave, each with the segment",
        shares: (0.0, 0.0),
        batch: Some(50),
        is_expected: true,
        ..BASE
    },
];

fn key(group: u64, number: u64) -> endpoint_key::EndpointKey {
    let name: id::EndpointId = format!("e{number}").parse().unwrap();
    endpoint_key::EndpointKey::new(&name, Some(group))
}

fn after(millis: u64) -> time::Tick {
    START + time::Millis(millis)
}

struct Running {
    ticket: exposure::Ticket,
    endpoint: endpoint_key::EndpointKey,
    until: u64,
}

// Segments that are blamed while and after the second group ends; by a daemon that sends the prompts, and by one that
// is told.
fn run(case: &Case, seed: u64) -> Vec<u64> {
    const CALM: u64 = 6_000;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = [exposure::Exposures::default(), exposure::Exposures::default()];
    for daemon in &mut daemons {
        for (group, number) in (0..2).flat_map(|group| (0..case.size).map(move |at| (group, at))) {
            daemon.place(key(group, number), group as u32, START);
            daemon.expect_end(key(group, number), case.is_expected && group == 1);
        }
    }
    let (mut running, mut blamed, mut request) = (Vec::<Running>::new(), Vec::new(), 0);
    let ends: Vec<u64> =
        (0..case.size).map(|at| CALM + case.duration * at / (case.size - 1)).collect();
    for passed in (0..CALM + 5_000).step_by(10) {
        let now = after(passed);
        let mut sent = Vec::new();
        for _ in 0..2 * case.size {
            let (group, number) = (random.random_range(0..2), random.random_range(0..case.size));
            let share = if group == 1 { case.shares.0 } else { case.shares.1 };
            // Each endpoint gets three prompts a second.
            if random.random_bool(0.03) {
                sent.push((group, number, random.random_bool(share)));
            }
        }
        if case.batch.is_some_and(|lead| passed + lead == CALM) {
            sent.extend((0..case.size).map(|number| (1, number, true)));
        }
        for (group, number, has_segment) in sent {
            if group == 1 && ends[number as usize] <= passed {
                continue;
            }
            request += 1;
            let own = 0x1_0000 + u64::from(request);
            let segments = [FIRST].into_iter().chain(has_segment.then_some(SUSPECT)).chain([own]);
            let segments = segments.map(call::SegmentId).collect();
            let prompt = exposure::Prompt { request, service: 1, segments };
            let endpoint = key(group, number);
            let ticket = daemons[0].begin(prompt, endpoint, false, now);
            running.push(Running { ticket, endpoint, until: passed + 1_500 });
        }
        for found in running.extract_if(.., |found| found.until <= passed) {
            daemons[0].finish(found.ticket, now);
        }
        for number in (0..case.size).filter(|number| ends[*number as usize] / 10 == passed / 10) {
            daemons[0].record_end(key(1, number), now);
            running.retain(|found| found.endpoint != key(1, number));
        }
        if passed % 200 == 0 {
            for due in daemons[0].due(now) {
                daemons[0].record_alive(due, now, now);
            }
            let told = daemons[0].report(1, now);
            daemons[1].merge(told, now);
            let told = daemons[0].gossip(now);
            daemons[1].merge(told, now);
        }
        for daemon in &mut daemons {
            blamed.extend(daemon.judge(|_| false, now).into_iter().map(|blame| blame.segment.0));
        }
    }
    blamed
}

// Guards against the blame of segments that happen to be where endpoints are ended for other reasons.
#[test]
fn ends_that_are_no_crashes_count_against_no_segment() {
    for case in CASES {
        for seed in 0..10 {
            let blamed = run(case, seed);
            assert!(blamed.is_empty(), "{} {seed}: {blamed:x?}", case.name);
        }
    }
}
