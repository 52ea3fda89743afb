use ibishill_core::{call, id, time};
use ibishill_decide::endpoint_key;
use ibishill_decide::quarantine::{self, evidence};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: time::Tick = time::Tick(10_000_000);

const fn segment(id: u64) -> call::SuspectKey {
    call::SuspectKey::Segment(call::SegmentId(id))
}

// Shared by sound and poison prompts.
const FIRST: call::SuspectKey = segment(0xf1);
const SOUND: call::SuspectKey = segment(0xaa);
const POISON: call::SuspectKey = segment(0xbad);

const POISON_PROMPT: &[call::SuspectKey] = &[FIRST, POISON];
const SOUND_PROMPT: &[call::SuspectKey] = &[FIRST, SOUND];

fn key(number: usize) -> endpoint_key::EndpointKey {
    let name: id::EndpointId = format!("e{number}").parse().unwrap();
    endpoint_key::EndpointKey::new(&name, Some(1))
}

fn verdict(
    quarantine: &quarantine::Quarantine,
    prompt: &[call::SuspectKey],
    now: time::Tick,
) -> quarantine::Verdict {
    quarantine.verdict(prompt, |_| 0, now)
}

fn is_refused(
    quarantine: &quarantine::Quarantine,
    prompt: &[call::SuspectKey],
    now: time::Tick,
) -> bool {
    matches!(verdict(quarantine, prompt, now), quarantine::Verdict::Refused(_))
}

enum Step {
    /// An endpoint ends as it begins an answer.
    End(&'static [call::SuspectKey], usize),
    /// As many endpoints end one after the other, 200 ms apart.
    Ends(&'static [call::SuspectKey], usize),
    /// An answer that began 200 ms ago goes on.
    Survival(&'static [call::SuspectKey]),
    Wait(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Allowed,
    Contained,
    Refused,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    poison: Expected,
    sound: Expected,
}

const CASES: &[Case] = &[
    Case { name: "nothing", steps: &[], poison: Expected::Allowed, sound: Expected::Allowed },
    Case {
        name: "one end",
        steps: &[Step::Ends(POISON_PROMPT, 1), Step::Wait(2_000)],
        poison: Expected::Allowed,
        sound: Expected::Allowed,
    },
    Case {
        name: "two ends, and the first segment is cleared",
        steps: &[
            Step::Ends(POISON_PROMPT, 2),
            Step::Wait(200),
            Step::Survival(SOUND_PROMPT),
            Step::Wait(2_000),
        ],
        poison: Expected::Contained,
        sound: Expected::Allowed,
    },
    Case {
        name: "four ends, and the first segment is cleared",
        steps: &[Step::Survival(SOUND_PROMPT), Step::Ends(POISON_PROMPT, 4), Step::Wait(1_000)],
        poison: Expected::Refused,
        sound: Expected::Allowed,
    },
    Case {
        name: "four ends, and nothing is cleared: the deeper segment is to blame",
        steps: &[Step::Ends(POISON_PROMPT, 4), Step::Wait(1_000)],
        poison: Expected::Refused,
        sound: Expected::Allowed,
    },
    Case {
        name: "one endpoint, told four times",
        steps: &[
            Step::End(POISON_PROMPT, 1),
            Step::End(POISON_PROMPT, 1),
            Step::End(POISON_PROMPT, 1),
            Step::End(POISON_PROMPT, 1),
            Step::Wait(2_000),
        ],
        poison: Expected::Allowed,
        sound: Expected::Allowed,
    },
    Case {
        name: "four endpoints at the same moment, before answers could clear the segment",
        steps: &[
            Step::End(POISON_PROMPT, 1),
            Step::End(POISON_PROMPT, 2),
            Step::End(POISON_PROMPT, 3),
            Step::End(POISON_PROMPT, 4),
        ],
        poison: Expected::Contained,
        sound: Expected::Contained,
    },
    Case {
        name: "a wave of crashes, and a later answer goes on",
        steps: &[
            Step::Ends(SOUND_PROMPT, 3),
            Step::Wait(300),
            Step::Survival(SOUND_PROMPT),
            Step::Ends(SOUND_PROMPT, 3),
            Step::Wait(2_000),
        ],
        poison: Expected::Allowed,
        sound: Expected::Allowed,
    },
    Case {
        name: "seven ends of a segment that was sound",
        steps: &[Step::Survival(SOUND_PROMPT), Step::Ends(SOUND_PROMPT, 7), Step::Wait(2_000)],
        poison: Expected::Allowed,
        sound: Expected::Allowed,
    },
    Case {
        name: "eight ends of a segment that was sound: it has turned",
        steps: &[Step::Survival(SOUND_PROMPT), Step::Ends(SOUND_PROMPT, 8), Step::Wait(2_000)],
        poison: Expected::Allowed,
        sound: Expected::Refused,
    },
    Case {
        name: "the segment that sound prompts share is in more ends than the poison one",
        steps: &[
            Step::Survival(SOUND_PROMPT),
            Step::End(POISON_PROMPT, 0),
            Step::End(SOUND_PROMPT, 4),
            Step::Wait(900),
            Step::End(POISON_PROMPT, 1),
            Step::End(POISON_PROMPT, 2),
            Step::End(SOUND_PROMPT, 5),
            Step::End(SOUND_PROMPT, 6),
            Step::End(SOUND_PROMPT, 7),
            Step::Wait(150),
            Step::End(POISON_PROMPT, 3),
            Step::Wait(1_000),
        ],
        poison: Expected::Refused,
        sound: Expected::Allowed,
    },
    Case {
        name: "the same, before the poison one has enough ends",
        steps: &[
            Step::Survival(SOUND_PROMPT),
            Step::Ends(POISON_PROMPT, 3),
            Step::Ends(SOUND_PROMPT, 8),
            Step::Wait(1_000),
        ],
        poison: Expected::Contained,
        sound: Expected::Allowed,
    },
    Case {
        name: "ends that the segment in quarantine explains",
        steps: &[
            Step::Ends(POISON_PROMPT, 4),
            Step::Wait(1_000),
            Step::End(SOUND_PROMPT, 0),
            Step::End(SOUND_PROMPT, 1),
            Step::End(SOUND_PROMPT, 2),
            Step::End(SOUND_PROMPT, 3),
            Step::Wait(2_000),
        ],
        poison: Expected::Refused,
        sound: Expected::Allowed,
    },
];

#[test]
fn ends_are_blamed_on_the_segment_that_nothing_clears() {
    for case in CASES {
        let mut quarantine = quarantine::Quarantine::default();
        let mut now = START;
        for step in case.steps {
            match step {
                Step::End(prompt, endpoint) => {
                    quarantine.record_end(prompt, key(*endpoint), now);
                }
                Step::Ends(prompt, count) => {
                    for number in 0..*count {
                        quarantine.record_end(prompt, key(number), now);
                        now = now + time::Millis(200);
                    }
                }
                Step::Survival(prompt) => {
                    let began = time::Tick(now.0 - 200);
                    quarantine.record_survival(prompt, began, now);
                }
                Step::Wait(millis) => now = now + time::Millis(*millis),
            }
            quarantine.judge(now);
        }
        for (prompt, expected) in [(POISON_PROMPT, case.poison), (SOUND_PROMPT, case.sound)] {
            let found = match verdict(&quarantine, prompt, now) {
                quarantine::Verdict::Allowed => Expected::Allowed,
                quarantine::Verdict::Contained => Expected::Contained,
                quarantine::Verdict::Refused(_) => Expected::Refused,
            };
            assert_eq!(found, expected, "{}: {prompt:?}", case.name);
        }
    }
}

fn refusing(now: time::Tick) -> quarantine::Quarantine {
    let mut quarantine = quarantine::Quarantine::default();
    for number in 0..4 {
        quarantine.record_end(POISON_PROMPT, key(number), time::Tick(now.0 - 2_000));
    }
    quarantine.judge(now);
    assert!(is_refused(&quarantine, POISON_PROMPT, now));
    quarantine
}

#[test]
fn one_daemon_tries_a_segment_again_when_its_hold_has_ended() {
    let mut quarantine = refusing(START);
    let due = START + time::Millis::from_secs(120);
    assert!(is_refused(&quarantine, POISON_PROMPT, time::Tick(due.0 - 1)));
    let second = quarantine.verdict(POISON_PROMPT, |_| 1, due);
    assert!(
        matches!(second, quarantine::Verdict::Refused(_)),
        "the next daemon waits for the first"
    );
    assert_eq!(verdict(&quarantine, POISON_PROMPT, due), quarantine::Verdict::Contained);
    quarantine.record_send(POISON_PROMPT, due);
    assert!(is_refused(&quarantine, POISON_PROMPT, due), "one trial at a time");
    let after = due + time::Millis(300);
    quarantine.record_end(POISON_PROMPT, key(9), after);
    quarantine.judge(after);
    let again = after + time::Millis::from_secs(240);
    assert!(is_refused(&quarantine, POISON_PROMPT, time::Tick(again.0 - 1)));
    assert_eq!(verdict(&quarantine, POISON_PROMPT, again), quarantine::Verdict::Contained);
}

#[test]
fn trial_that_goes_on_releases_the_segment_at_all_daemons() {
    let mut first = refusing(START);
    let mut second = quarantine::Quarantine::default();
    second.merge(first.evidence(8, false, START), START);
    assert!(is_refused(&second, POISON_PROMPT, START));
    let began = START + time::Millis::from_secs(120);
    first.record_send(POISON_PROMPT, began);
    let now = began + time::Millis(500);
    first.record_survival(POISON_PROMPT, began, now);
    assert_eq!(verdict(&first, POISON_PROMPT, now), quarantine::Verdict::Allowed);
    // The second daemon knows nothing of the trial until then, and its old verdict does not win.
    first.merge(second.evidence(8, true, now), now);
    second.merge(first.evidence(8, false, now), now);
    assert_eq!(verdict(&first, POISON_PROMPT, now), quarantine::Verdict::Allowed);
    assert_eq!(verdict(&second, POISON_PROMPT, now), quarantine::Verdict::Allowed);
}

#[test]
fn segment_that_the_store_keeps_is_refused_by_a_daemon_that_starts() {
    struct Case {
        name: &'static str,
        // Time between the write and the read, by the wall clock.
        passed: time::Millis,
        is_refused: bool,
    }
    let cases = [
        Case { name: "soon", passed: time::Millis(3_000), is_refused: true },
        Case { name: "after its hold", passed: time::Millis::from_secs(130), is_refused: false },
        Case { name: "a day later", passed: time::Millis::from_secs(86_400), is_refused: false },
    ];
    let (wall, writer) = (1_700_000_000_000, refusing(START));
    assert!(writer.unstored(|_| false, wall, START).is_empty(), "another daemon writes");
    let stored = writer.unstored(|_| true, wall, START);
    assert_eq!(stored.len(), 1);
    for case in cases {
        let mut fresh = quarantine::Quarantine::default();
        fresh.merge_stored(&stored[0], wall + case.passed.0, START);
        assert_eq!(is_refused(&fresh, POISON_PROMPT, START), case.is_refused, "{}", case.name);
        assert!(fresh.unstored(|_| true, wall, START).is_empty(), "{}", case.name);
    }
    let mut writer = writer;
    writer.mark_stored(POISON, stored[0].epoch);
    assert!(writer.unstored(|_| true, wall, START).is_empty());
    writer.mark_unstored();
    assert_eq!(writer.unstored(|_| true, wall, START), stored, "after a restore of the store");
}

#[test]
fn memory_stays_bounded_and_keeps_what_is_refused() {
    let mut quarantine = refusing(START);
    for number in 0..10_000 {
        let last = segment(0x1000 + number);
        let now = START + time::Millis(number);
        quarantine.record_end(&[last], key(number as usize), now);
        quarantine.record_survival(&[segment(0x100_0000 + number)], now, now);
    }
    let now = START + time::Millis(10_000);
    assert!(is_refused(&quarantine, POISON_PROMPT, now));
    assert!(quarantine.evidence(usize::MAX, true, now).len() <= 512);
}

/// Peers that a datagram is sent to, as in the relay.
const FANOUT: usize = 64;

/// Interval between datagrams of one daemon.
const REPORT_INTERVAL: u64 = 500;

const EVIDENCE_MAX: usize = 4;

struct Fleet {
    name: &'static str,
    daemons: usize,
    /// Lost datagrams, in percent.
    loss: u32,
}

// Five ends are seen by five daemons, each also sees sound answers. Returns the time until all
// daemons refuse the segment, and the evidence that the busiest one sent, in bytes.
fn spread(fleet: &Fleet, seed: u64) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut daemons = vec![quarantine::Quarantine::default(); fleet.daemons];
    let phases: Vec<u64> =
        (0..fleet.daemons).map(|_| rng.random_range(0..REPORT_INTERVAL)).collect();
    let mut sent = vec![0; fleet.daemons];
    let last_end = 1_000;
    for at in 0..10_000_u64 {
        let now = START + time::Millis(at);
        let is_end = at <= last_end && at % 250 == 0;
        if is_end {
            let number = (at / 250) as usize;
            let seer = (number * 7919) % fleet.daemons;
            daemons[seer].record_end(POISON_PROMPT, key(number), now);
        }
        if at % 100 == 0 {
            let seer = rng.random_range(0..fleet.daemons);
            daemons[seer].record_survival(SOUND_PROMPT, time::Tick(now.0 - 200), now);
        }
        let mut datagrams: Vec<(usize, Vec<evidence::Evidence>)> = Vec::new();
        for daemon in 0..fleet.daemons {
            let is_due = (at + phases[daemon]).is_multiple_of(REPORT_INTERVAL);
            if is_due || (is_end && (at as usize / 250 * 7919) % fleet.daemons == daemon) {
                daemons[daemon].judge(now);
                let evidence = daemons[daemon].evidence(EVIDENCE_MAX, false, now);
                if evidence.is_empty() {
                    continue;
                }
                let size = postcard::to_stdvec(&evidence).unwrap().len();
                for _ in 0..FANOUT.min(fleet.daemons - 1) {
                    sent[daemon] += size;
                    if rng.random_range(0..100) >= fleet.loss {
                        datagrams.push((rng.random_range(0..fleet.daemons), evidence.clone()));
                    }
                }
            }
        }
        for (daemon, evidence) in datagrams {
            daemons[daemon].merge(evidence, now);
            daemons[daemon].judge(now);
        }
        let refuse = |daemon: &quarantine::Quarantine| is_refused(daemon, POISON_PROMPT, now);
        if at > last_end && daemons.iter().all(refuse) {
            let sound = daemons.iter().filter(|daemon| is_refused(daemon, SOUND_PROMPT, now));
            assert_eq!(sound.count(), 0, "{}", fleet.name);
            return (at - last_end, sent.into_iter().max().unwrap_or(0));
        }
    }
    panic!("{}: not all daemons refuse the segment", fleet.name);
}

#[test]
fn ends_seen_by_five_daemons_are_known_to_all_in_time() {
    let fleets = [
        Fleet { name: "six daemons", daemons: 6, loss: 5 },
        Fleet { name: "83 daemons", daemons: 83, loss: 5 },
        Fleet { name: "910 daemons", daemons: 910, loss: 5 },
    ];
    for fleet in &fleets {
        for seed in 0..3 {
            let (took, bytes) = spread(fleet, seed);
            println!("{}: {took} ms, {bytes} bytes sent by the busiest", fleet.name);
            assert!(took <= 3_000, "{}: {took} ms", fleet.name);
        }
    }
}

const COPY: call::SuspectKey = call::SuspectKey::Request(call::RequestKey([0xc0; 16]));

struct CopyCase {
    name: &'static str,
    steps: &'static [Step],
    expected: Expected,
}

#[test]
fn whole_request_is_contained_after_one_end_and_refused_after_three() {
    const KEYS: &[call::SuspectKey] = &[COPY];
    let cases = [
        CopyCase { name: "one end", steps: &[Step::End(KEYS, 1)], expected: Expected::Contained },
        CopyCase {
            name: "two ends",
            steps: &[Step::Ends(KEYS, 2), Step::Wait(2_000)],
            expected: Expected::Contained,
        },
        CopyCase {
            name: "three ends",
            steps: &[Step::Ends(KEYS, 3), Step::Wait(1_000)],
            expected: Expected::Refused,
        },
        CopyCase {
            name: "one endpoint's end, seen three times",
            steps: &[Step::End(KEYS, 1), Step::End(KEYS, 1), Step::End(KEYS, 1)],
            expected: Expected::Contained,
        },
        CopyCase {
            name: "an answer after the ends",
            steps: &[Step::Ends(KEYS, 3), Step::Wait(200), Step::Survival(KEYS)],
            expected: Expected::Allowed,
        },
        CopyCase {
            name: "popular, three ends of a wave",
            steps: &[Step::Survival(KEYS), Step::Ends(KEYS, 3), Step::Wait(1_000)],
            expected: Expected::Allowed,
        },
    ];
    for case in cases {
        let mut quarantine = quarantine::Quarantine::default();
        let mut now = START;
        let mut next = 100;
        for step in case.steps {
            match step {
                Step::End(keys, endpoint) => {
                    quarantine.record_end(keys, key(*endpoint), now);
                }
                Step::Ends(keys, count) => {
                    for _ in 0..*count {
                        quarantine.record_end(keys, key(next), now);
                        (next, now) = (next + 1, now + time::Millis(200));
                    }
                }
                Step::Survival(keys) => quarantine.record_survival(keys, now, now),
                Step::Wait(millis) => now = now + time::Millis(*millis),
            }
            quarantine.judge(now);
        }
        let found = match verdict(&quarantine, KEYS, now) {
            quarantine::Verdict::Allowed => Expected::Allowed,
            quarantine::Verdict::Contained => Expected::Contained,
            quarantine::Verdict::Refused(_) => Expected::Refused,
        };
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

// A caller asks ten times a second. Trials are few, also if nobody learns how they end.
#[test]
fn trials_of_a_whole_request_are_few_and_one_that_is_answered_releases_it() {
    struct TrialCase {
        name: &'static str,
        // Whether a trial is answered; its outcome may also stay unknown.
        is_answered: bool,
        most: usize,
    }
    let cases = [
        TrialCase { name: "lost", is_answered: false, most: 3 },
        TrialCase { name: "answered", is_answered: true, most: 1 },
    ];
    for case in cases {
        let mut quarantine = quarantine::Quarantine::default();
        for number in 0..3 {
            quarantine.record_end(&[COPY], key(number), START);
        }
        let start = START + time::Millis(1_000);
        quarantine.judge(start);
        let mut trials = 0;
        for at in (0..100_000).step_by(100) {
            let now = start + time::Millis(at);
            let is_held = quarantine.refused_count().1 > 0;
            if !is_held
                || matches!(verdict(&quarantine, &[COPY], now), quarantine::Verdict::Refused(_))
            {
                continue;
            }
            trials += 1;
            quarantine.record_send(&[COPY], now);
            if case.is_answered {
                let answered = now + time::Millis(20);
                quarantine.record_survival(&[COPY], answered, answered);
            }
            quarantine.judge(now);
        }
        assert!((1..=case.most).contains(&trials), "{}: {trials} trials", case.name);
    }
}

// Copies reach all daemons, and no trial has an outcome: its endpoint refused it, or its caller left.
#[test]
fn trials_without_outcome_do_not_go_from_daemon_to_daemon() {
    let mut daemons = vec![quarantine::Quarantine::default(); 6];
    for number in 0..3 {
        daemons[0].record_end(&[COPY], key(number), START);
    }
    let mut trials = 0;
    for at in (0..100_000).step_by(100) {
        let now = START + time::Millis(at);
        for rank in 0..daemons.len() {
            let daemon = &mut daemons[rank];
            daemon.judge(now);
            let verdict = daemon.verdict(&[COPY], |_| rank, now);
            if at >= 3_000 && !matches!(verdict, quarantine::Verdict::Refused(_)) {
                trials += 1;
                daemon.record_send(&[COPY], now);
            }
            if at % 500 == 0 {
                let evidence = daemon.evidence(16, true, now);
                for peer in &mut daemons {
                    peer.merge(evidence.clone(), now);
                }
            }
        }
    }
    assert!((1..=3).contains(&trials), "{trials} trials");
}

// Copies of both are in flight at the same endpoints, so the ends of one explain those of the other.
#[test]
fn two_poison_requests_that_share_their_ends_are_both_refused() {
    let other = call::SuspectKey::Request(call::RequestKey([0x0e; 16]));
    let mut quarantine = quarantine::Quarantine::default();
    for number in 0..3 {
        let now = START + time::Millis(200 * number as u64);
        quarantine.record_end(&[COPY], key(number), now);
        quarantine.record_end(&[other], key(number), now);
    }
    let now = START + time::Millis(1_000);
    quarantine.judge(now);
    assert!(is_refused(&quarantine, &[COPY], now));
    assert!(is_refused(&quarantine, &[other], now));
}

#[test]
fn segment_stays_trusted_however_many_requests_are_answered() {
    let mut quarantine = quarantine::Quarantine::default();
    quarantine.record_survival(SOUND_PROMPT, START, START);
    for number in 0..10_000_u128 {
        let copy = call::SuspectKey::Request(call::RequestKey(number.to_be_bytes()));
        quarantine.record_survival(&[copy], START, START);
    }
    for number in 0..5 {
        quarantine.record_end(SOUND_PROMPT, key(number), START + time::Millis(100));
    }
    let now = START + time::Millis(2_000);
    quarantine.judge(now);
    assert_eq!(verdict(&quarantine, SOUND_PROMPT, now), quarantine::Verdict::Allowed);
}

#[test]
fn ends_of_endpoints_that_answer_later_are_withdrawn_and_the_key_is_released() {
    let mut quarantine = quarantine::Quarantine::default();
    for number in 0..3 {
        quarantine.record_end(&[COPY], key(number), START);
    }
    let later = START + time::Millis(1_500);
    quarantine.judge(later);
    assert!(is_refused(&quarantine, &[COPY], later));
    quarantine.void_ends(|endpoint, _| endpoint == key(7), later);
    assert!(is_refused(&quarantine, &[COPY], later));
    quarantine.void_ends(|endpoint, _| endpoint == key(1), later);
    assert_eq!(quarantine.judge(later).len(), 1);
    assert!(!is_refused(&quarantine, &[COPY], later));
}
