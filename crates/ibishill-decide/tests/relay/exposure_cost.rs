use std::time;

use ibishill_core::{call, id, time as clock};
use ibishill_decide::{endpoint_key, exposure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: clock::Tick = clock::Tick(10_000_000);
const DURATION: u64 = 40_000;
const STEP: u64 = 10;
const RESPONSE: u64 = 1_500;
/// Ends of endpoints a second, each of a process that is replaced.
const CRASHES: f64 = 5.0;
/// Prompts a second that a relay sends.
const RATE: f64 = 230.0;

struct Case {
    name: &'static str,
    endpoints: usize,
    crashes: f64,
}

const CASES: &[Case] = &[
    Case { name: "60 endpoints, calm", endpoints: 60, crashes: 0.0 },
    Case { name: "60 endpoints, restarts", endpoints: 60, crashes: CRASHES },
    Case { name: "4,800 endpoints, calm", endpoints: 4_800, crashes: 0.0 },
    Case { name: "4,800 endpoints, restarts", endpoints: 4_800, crashes: 8.0 * CRASHES },
];

struct Running {
    ticket: exposure::Ticket,
    is_peer: bool,
    until: u64,
}

// Processor time of one relay's evidence. A peer tells as many outcomes as the reports of 59 relays hold.
fn cost(case: &Case) -> time::Duration {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (mut relay, mut peer) = (exposure::Exposures::default(), exposure::Exposures::default());
    let mut incarnations = vec![0_u64; case.endpoints];
    let name: id::EndpointId = "e".parse().unwrap();
    let key = |at: usize, incarnation: u64| {
        endpoint_key::EndpointKey::new(&name, Some(at as u64 * 10_000 + incarnation))
    };
    let (mut running, mut request, mut total) = (Vec::new(), 0, time::Duration::ZERO);
    for passed in (0..DURATION).step_by(STEP as usize) {
        let now = START + clock::Millis(passed);
        let mut sent = Vec::new();
        for is_peer in [false, true] {
            let mean = RATE * STEP as f64 / 1_000.0;
            for _ in 0..mean as usize + usize::from(random.random_bool(mean.fract())) {
                request += 1;
                let second = 0xa00 + request % 20;
                let segments = [0xf1, second, 0x1_0000 + request].map(call::SegmentId).to_vec();
                let prompt = exposure::Prompt { request: request as u32, service: 1, segments };
                let at = random.random_range(0..case.endpoints);
                sent.push((is_peer, prompt, key(at, incarnations[at])));
            }
        }
        let begin = time::Instant::now();
        let mut peers = time::Duration::ZERO;
        for (is_peer, prompt, endpoint) in sent {
            let owner = if is_peer { &mut peer } else { &mut relay };
            let ticket = owner.begin(prompt, endpoint, false, now);
            running.push(Running { ticket, is_peer, until: passed + RESPONSE });
        }
        for found in running.extract_if(.., |found| found.until <= passed) {
            let owner = if found.is_peer { &mut peer } else { &mut relay };
            owner.finish(found.ticket, now);
        }
        if random.random_bool(case.crashes * STEP as f64 / 1_000.0) {
            let at = random.random_range(0..case.endpoints);
            let ended = key(at, incarnations[at]);
            incarnations[at] += 1;
            for owner in [&mut relay, &mut peer] {
                if owner.has_unresolved(ended) {
                    owner.record_end(ended, now);
                }
            }
        }
        if passed % 200 == 0 {
            for due in relay.due(now) {
                relay.record_alive(due, now, now);
                relay.judge(|_| false, now);
            }
            let other = time::Instant::now();
            for due in peer.due(now) {
                peer.record_alive(due, now, now);
            }
            peers += other.elapsed();
        }
        if passed % 100 == 0 {
            relay.merge(peer.report(1, now), now);
            relay.judge(|_| false, now);
            relay.report(64, now);
        }
        if passed % 400 == 0 {
            relay.merge(peer.gossip(now), now);
            relay.gossip(now);
            relay.judge(|_| false, now);
        }
        total += begin.elapsed().saturating_sub(peers);
    }
    total
}

// Guards against evidence that takes a noticeable part of a relay's processor time. Ignored, as it is a measurement:
// cargo test --release -p ibishill-decide --test relay exposure_cost -- --ignored --nocapture
#[test]
#[ignore = "measurement"]
fn evidence_takes_little_processor_time() {
    for case in CASES {
        let seconds = DURATION / 1_000;
        println!("{}: {:?} of processor time in {seconds} s", case.name, cost(case));
    }
}
