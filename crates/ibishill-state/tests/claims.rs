//! Claims on idempotency keys: at most one winner per key, checked for linearizability.

mod claims {
    pub(crate) mod history;
    pub(crate) mod run;
}

use std::collections::BTreeSet;

use claims::{history, run};
use ibishill_core::{outcome, time};
use ibishill_platform::table;
use ibishill_standin::memory;
use ibishill_state::claim;

struct Case {
    name: &'static str,
    faults: memory::Faults,
    seeds: std::ops::Range<u64>,
}

fn cases() -> Vec<Case> {
    let none = memory::Faults::default();
    vec![
        Case { name: "no faults", faults: none.clone(), seeds: 0..20 },
        Case {
            name: "slow answers",
            faults: memory::Faults { delay_ms: 400, ..none.clone() },
            seeds: 20..40,
        },
        Case {
            name: "answers lost after the write",
            faults: memory::Faults { lose_after: 0.4, delay_ms: 50, ..none.clone() },
            seeds: 40..70,
        },
        Case {
            name: "answers lost before or after the write, slow",
            faults: memory::Faults {
                lose_after: 0.3,
                lose_before: 0.2,
                delay_ms: 300,
                ..none.clone()
            },
            seeds: 70..110,
        },
        Case {
            name: "writes that take effect after the caller gave up",
            faults: memory::Faults { late: 0.5, late_ms: 2_000, delay_ms: 50, ..none.clone() },
            seeds: 110..150,
        },
        Case {
            name: "all faults together",
            faults: memory::Faults {
                late: 0.25,
                late_ms: 1_000,
                lose_after: 0.2,
                lose_before: 0.1,
                delay_ms: 300,
                ..none
            },
            seeds: 150..190,
        },
    ]
}

#[test]
fn claims_are_linearizable_under_faults() {
    for case in cases() {
        for seed in case.seeds {
            let run = run::run(seed, &case.faults, run::unaltered);
            assert!(history::is_linearizable(&run.actions), "{} seed {seed}", case.name);
            assert!(
                run.double_dispatches().is_empty(),
                "{} seed {seed}: {:?}",
                case.name,
                run.double_dispatches()
            );
        }
    }
}

#[test]
fn checker_detects_claims_without_the_absence_check() {
    let faults = memory::Faults { delay_ms: 50, ..memory::Faults::default() };
    let unchecked = |mut transaction: table::Transaction| {
        transaction.checks.clear();
        transaction
    };
    let detected = (0..20).filter(|&seed| {
        let run = run::run(seed, &faults, unchecked);
        !history::is_linearizable(&run.actions) && !run.double_dispatches().is_empty()
    });
    assert_eq!(detected.count(), 20);
}

#[test]
fn claims_are_undecided_and_not_dispatched_during_an_outage() {
    let faults = memory::Faults { outage: true, ..memory::Faults::default() };
    let run = run::run(1, &faults, run::unaltered);
    assert_eq!(run.dispatched.len(), 0);
    assert!(run.undecided > 0);
}

fn recorded(request: &str) -> claim::Recorded {
    claim::Recorded {
        request: request.parse().unwrap(),
        outcome: outcome::Outcome::Ran,
        answer: Some(claim::Answer {
            target: ibishill_core::id::Target::Service("bookings".parse().unwrap()),
            zone: "zone-a".parse().unwrap(),
            status: 200,
            content: "text/plain".into(),
            headers: Vec::new(),
            body: Some("booked".into()),
        }),
    }
}

async fn verdict(claims: &claim::Claims, claim: &claim::Claim) -> claim::Verdict {
    claims.claim(std::slice::from_ref(claim)).await.remove(0).unwrap()
}

#[tokio::test(start_paused = true)]
async fn duplicate_claims_get_the_state_of_the_first() {
    let memory = memory::Memory::new(1);
    let claims = claim::Claims::new(memory.platform().table, claim::Timeouts::default());
    let first = run::claim(1, 1, time::Tick(0));
    let duplicate = claim::Claim { nonce: claim::Nonce(2), ..first.clone() };
    assert_eq!(verdict(&claims, &first).await, claim::Verdict::Won);
    assert_eq!(verdict(&claims, &duplicate).await, claim::Verdict::InProgress);
    let late = claim::Claim { at: time::Tick(601_000), ..duplicate.clone() };
    assert_eq!(verdict(&claims, &late).await, claim::Verdict::Lapsed);
    let other = claim::Claim { fingerprint: claim::Fingerprint::of(&[b"x"]), ..duplicate.clone() };
    assert_eq!(verdict(&claims, &other).await, claim::Verdict::Reused);
    let foreign = claim::Claim { workspace: "other".parse().unwrap(), ..duplicate.clone() };
    assert_eq!(verdict(&claims, &foreign).await, claim::Verdict::Won);

    let done = recorded("req-1");
    claims.finish(&[(first, claim::Ending::Recorded(done.clone()))]).await.unwrap();
    assert_eq!(verdict(&claims, &duplicate).await, claim::Verdict::Recorded(done));
}

#[tokio::test(start_paused = true)]
async fn only_the_winner_can_abandon_a_claim() {
    let memory = memory::Memory::new(1);
    let claims = claim::Claims::new(memory.platform().table, claim::Timeouts::default());
    let first = run::claim(1, 1, time::Tick(0));
    let duplicate = claim::Claim { nonce: claim::Nonce(2), ..first.clone() };
    assert_eq!(verdict(&claims, &first).await, claim::Verdict::Won);
    claims.finish(&[(duplicate.clone(), claim::Ending::Abandoned)]).await.unwrap();
    assert_eq!(verdict(&claims, &duplicate).await, claim::Verdict::InProgress);
    claims.finish(&[(first, claim::Ending::Abandoned)]).await.unwrap();
    assert_eq!(verdict(&claims, &duplicate).await, claim::Verdict::Won);
}

#[tokio::test(start_paused = true)]
async fn batch_shares_one_transaction() {
    let memory = memory::Memory::new(1);
    let claims = claim::Claims::new(memory.platform().table, claim::Timeouts::default());
    let batch: Vec<_> = (0..64).map(|n| run::claim(n, n, time::Tick(0))).collect();
    let verdicts = claims.claim(&batch).await;
    assert!(verdicts.iter().all(|verdict| *verdict == Ok(claim::Verdict::Won)));
    assert_eq!(memory.counts().writes, 1);
    // One key that is already claimed costs one more transaction for the whole batch.
    let mut next: Vec<_> = (100..163).map(|n| run::claim(n, n, time::Tick(0))).collect();
    next.push(run::claim(5, 999, time::Tick(0)));
    let verdicts = claims.claim(&next).await;
    let won = verdicts.iter().filter(|verdict| **verdict == Ok(claim::Verdict::Won)).count();
    assert_eq!((won, memory.counts().writes), (63, 3));
}

#[tokio::test(start_paused = true)]
async fn sweep_removes_only_expired_claims() {
    let memory = memory::Memory::new(1);
    let claims = claim::Claims::new(memory.platform().table, claim::Timeouts::default());
    let day = time::Millis::from_secs(24 * 3_600);
    let old: Vec<_> = (0..5).map(|n| run::claim(n, n, time::Tick(0))).collect();
    let new: Vec<_> = (5..10).map(|n| run::claim(n, n, time::Tick(0) + day)).collect();
    claims.claim(&old).await;
    claims.claim(&new).await;
    let now = time::Tick(1) + day;
    let mut after = Some(String::new());
    while let Some(from) = after {
        after = claims.sweep(from, 3, now).await.unwrap();
    }
    let again: Vec<_> = (0..10).map(|n| run::claim(n, n + 100, now)).collect();
    let verdicts = claims.claim(&again).await;
    let won: BTreeSet<_> = (0..10).filter(|&n| verdicts[n] == Ok(claim::Verdict::Won)).collect();
    assert_eq!(won, BTreeSet::from([0, 1, 2, 3, 4]));
}
