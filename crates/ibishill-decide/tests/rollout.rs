//! Verdicts on staged roll-outs: bad versions halt, good ones advance, and a stage continues while
//! the evidence is inconclusive or missing.

use ibishill_config::declared;
use ibishill_core::time;
use ibishill_decide::rollout::{self, counts};

fn counted(requests: u64, failed: u64, rated: u64, low: u64, millis: u64) -> counts::Counts {
    let mut counts = counts::Counts::default();
    for number in 0..requests {
        if number < failed {
            counts.record_failure();
        } else {
            counts.record_answer(time::Millis(millis + number % 10 * millis / 20));
        }
    }
    for number in 0..rated {
        counts.record_rating(number >= low);
    }
    counts
}

fn declared_rollout(state: declared::RolloutState) -> declared::Rollout {
    declared::Rollout {
        from: "m@v1".parse().unwrap(),
        to: "m@v2".parse().unwrap(),
        stages: vec![5, 100],
        stage: 0,
        dwell: time::Millis::from_secs(60),
        state,
        reason: None,
    }
}

struct Case {
    name: &'static str,
    // Requests, failed ones, ratings, low ones, milliseconds to the first part of the answer.
    candidate: (u64, u64, u64, u64, u64),
    elapsed: u64,
    state: declared::RolloutState,
    policy: declared::Policy,
    verdict: &'static str,
}

const BASE: Case = Case {
    name: "",
    candidate: (400, 4, 200, 18, 300),
    elapsed: 60,
    state: declared::RolloutState::Running,
    policy: declared::Policy::Cost,
    verdict: "advance",
};

const CASES: &[Case] = &[
    Case { name: "clean", ..BASE },
    Case { name: "too early", elapsed: 59, verdict: "stay", ..BASE },
    Case { name: "paused", state: declared::RolloutState::Paused, verdict: "stay", ..BASE },
    Case { name: "too few requests", candidate: (40, 0, 40, 2, 300), verdict: "stay", ..BASE },
    Case { name: "no ratings", candidate: (400, 4, 0, 0, 300), verdict: "stay", ..BASE },
    Case {
        name: "no ratings, latency first",
        candidate: (400, 4, 0, 0, 300),
        policy: declared::Policy::Latency,
        ..BASE
    },
    Case { name: "errors", candidate: (60, 20, 0, 0, 300), verdict: "errors", ..BASE },
    Case { name: "all fail", candidate: (20, 20, 0, 0, 300), verdict: "errors", ..BASE },
    Case { name: "quality", candidate: (200, 2, 100, 40, 300), verdict: "low ratings", ..BASE },
    Case { name: "latency", candidate: (100, 1, 50, 4, 900), verdict: "slow answers", ..BASE },
    Case { name: "doubt", candidate: (200, 2, 60, 13, 300), verdict: "stay", ..BASE },
    Case {
        name: "bad while paused",
        state: declared::RolloutState::Paused,
        candidate: (60, 20, 0, 0, 300),
        verdict: "errors",
        ..BASE
    },
];

#[test]
fn verdict_follows_evidence() {
    for case in CASES {
        let (requests, failed, rated, low, millis) = case.candidate;
        let stats = rollout::Stats {
            stable: counted(4_000, 40, 2_000, 200, 300),
            candidate: counted(requests, failed, rated, low, millis),
            elapsed: time::Millis::from_secs(case.elapsed),
        };
        let tuning = rollout::Tuning::of(case.policy);
        let verdict = rollout::judge(&declared_rollout(case.state), tuning, &stats);
        let text = match verdict {
            rollout::Verdict::Stay => "stay".to_owned(),
            rollout::Verdict::Advance => "advance".to_owned(),
            rollout::Verdict::Halt(reason) => reason.metric.to_string(),
        };
        assert_eq!(text, case.verdict, "{}", case.name);
    }
}

#[test]
fn counts_of_daemons_are_summed() {
    let (one, two) = (counted(100, 7, 30, 5, 200), counted(50, 1, 20, 2, 900));
    let mut sum = counts::Counts::default();
    sum.add(&one);
    sum.add(&two);
    assert_eq!((sum.requests, sum.failed, sum.rated, sum.low), (150, 8, 50, 7));
    assert_eq!(sum.at_or_above(0).total, 142);
}
