//! The owner's wait queues: fair shares, priorities, deadlines, and changes during the wait.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::{outcome, priority, time};
use ibishill_decide::{admit, dispatch, limiter, queue};

use crate::support;

const THROUGHPUT: queue::Throughput =
    queue::Throughput { slots: 2, mean_ms: 100.0, upper_ms: 200.0 };
const FAR_DEADLINE: u64 = 1_000_000;

fn entry(n: u64, job: admit::Job) -> queue::Entry {
    queue::Entry { ticket: queue::Ticket(n), job }
}

fn drain(queue: &mut queue::Queue, count: usize) -> Vec<queue::Entry> {
    (0..count).filter_map(|_| queue.pop(true)).collect()
}

#[test]
fn workspaces_share_slots_by_weight() {
    struct Case {
        weight: u32,
        small: usize,
    }
    for case in [Case { weight: 1, small: 20 }, Case { weight: 3, small: 30 }] {
        let mut queue = queue::Queue::default();
        for n in 0..100 {
            assert!(
                queue
                    .enqueue(entry(n, support::job(n, "w", FAR_DEADLINE)), 1, None, time::Tick(0))
                    .is_empty()
            );
        }
        for n in 100..140 {
            let small = entry(n, support::job(n, "small", FAR_DEADLINE));
            assert!(queue.enqueue(small, case.weight, None, time::Tick(0)).is_empty());
        }
        let first = drain(&mut queue, 40);
        let small = first.iter().filter(|entry| entry.job.workspace.as_str() == "small").count();
        assert!(small.abs_diff(case.small) <= 1, "weight {}: {small}", case.weight);
    }
}

#[test]
fn priority_orders_requests_within_one_workspace_only() {
    let mut queue = queue::Queue::default();
    let ranks = [priority::Priority::Low, priority::Priority::Normal, priority::Priority::High];
    for n in 0..30 {
        let mut job = support::job(n, "w", FAR_DEADLINE);
        job.priority = ranks[n as usize % 3];
        queue.enqueue(entry(n, job), 1, None, time::Tick(0));
    }
    for n in 30..40 {
        let mut job = support::job(n, "small", FAR_DEADLINE);
        job.priority = priority::Priority::Low;
        queue.enqueue(entry(n, job), 1, None, time::Tick(0));
    }
    let first = drain(&mut queue, 20);
    let own = |space: &str| first.iter().filter(|e| e.job.workspace.as_str() == space).count();
    assert_eq!((own("w"), own("small")), (10, 10));
    let high = |e: &&queue::Entry| e.job.priority == priority::Priority::High;
    assert_eq!(first.iter().filter(high).count(), 10);
}

struct DeadlineCase {
    name: &'static str,
    ahead: u64,
    deadline: u64,
    refused: Option<(outcome::Reason, u64)>,
}

// With THROUGHPUT, each request ahead takes 50 ms, and an answer up to 200 ms.
const DEADLINE_CASES: &[DeadlineCase] = &[
    DeadlineCase { name: "idle", ahead: 0, deadline: 250, refused: None },
    DeadlineCase {
        name: "no answer in time",
        ahead: 0,
        deadline: 150,
        refused: Some((outcome::Reason::Deadline, 100)),
    },
    DeadlineCase { name: "short queue", ahead: 10, deadline: 800, refused: None },
    DeadlineCase {
        name: "long queue",
        ahead: 20,
        deadline: 800,
        refused: Some((outcome::Reason::Overloaded, 400)),
    },
    DeadlineCase {
        name: "past",
        ahead: 0,
        deadline: 0,
        refused: Some((outcome::Reason::Deadline, 100)),
    },
];

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_early() {
    for case in DEADLINE_CASES {
        let mut queue = queue::Queue::default();
        for n in 0..case.ahead {
            queue.enqueue(
                entry(n, support::job(n, "w", FAR_DEADLINE)),
                1,
                Some(THROUGHPUT),
                time::Tick(0),
            );
        }
        let late = entry(99, support::job(99, "w", case.deadline));
        let refused = queue.enqueue(late, 1, Some(THROUGHPUT), time::Tick(0));
        let found = refused.first().map(|refused| {
            let refusal = &refused.refusal;
            assert_eq!(refusal.outcome, outcome::Outcome::NotRun);
            (refusal.reason, refusal.retry_after.unwrap().0)
        });
        assert_eq!(found, case.refused, "{}", case.name);
    }
}

#[test]
fn full_queue_refuses_from_workspace_with_most_requests() {
    let mut queue = queue::Queue::default();
    let small = entry(0, support::job(0, "small", FAR_DEADLINE));
    queue.enqueue(small, 1, None, time::Tick(0));
    let full = queue::ENTRIES_MAX as u64;
    for n in 1..full {
        assert!(
            queue
                .enqueue(entry(n, support::job(n, "w", FAR_DEADLINE)), 1, None, time::Tick(0))
                .is_empty()
        );
    }
    let refused = queue.enqueue(
        entry(full, support::job(full, "small", FAR_DEADLINE)),
        1,
        None,
        time::Tick(0),
    );
    assert_eq!(refused[0].ticket, queue::Ticket(full - 1));
    assert_eq!(queue.len(), queue::ENTRIES_MAX);
}

#[test]
fn queued_request_is_refused_when_deadline_is_out_of_reach() {
    let mut queue = queue::Queue::default();
    queue.enqueue(entry(1, support::job(1, "w", 1_000)), 1, Some(THROUGHPUT), time::Tick(0));
    assert_eq!(queue.next_expiry(Some(THROUGHPUT)), Some(time::Tick(800)));
    assert!(queue.expire(Some(THROUGHPUT), time::Tick(799)).is_empty());
    let refused = queue.expire(Some(THROUGHPUT), time::Tick(800));
    assert_eq!(refused[0].refusal.reason, outcome::Reason::Deadline);
    assert!(queue.is_empty());
}

fn dispatcher(fixture: &support::Fixture) -> dispatch::Dispatcher {
    let mut owner = admit::Owner::new(support::PERIODS);
    support::report_idle(&mut owner, fixture, 0);
    dispatch::Dispatcher::new(owner)
}

struct ChangeCase {
    name: &'static str,
    apply: fn(&mut support::Fixture),
    reason: outcome::Reason,
}

const CHANGE_CASES: &[ChangeCase] = &[
    ChangeCase {
        name: "withdrawn version",
        apply: |fixture| {
            let versions = &mut fixture.config.declared.versions;
            versions.values_mut().for_each(|v| v.state = declared::VersionState::Withdrawn);
        },
        reason: outcome::Reason::Withdrawn,
    },
    ChangeCase {
        name: "zone out",
        apply: |fixture| {
            let zones = &mut fixture.config.declared.zones;
            zones.values_mut().for_each(|zone| zone.state = declared::AdminState::Out);
        },
        reason: outcome::Reason::NoEndpoint,
    },
    ChangeCase {
        name: "endpoint out",
        apply: |fixture| {
            let endpoints = &mut fixture.config.declared.endpoints;
            endpoints.values_mut().for_each(|e| e.state = declared::AdminState::Out);
        },
        reason: outcome::Reason::NoEndpoint,
    },
    ChangeCase {
        name: "workspace may not",
        apply: |fixture| {
            let spaces = &mut fixture.config.declared.workspaces;
            spaces.values_mut().for_each(|space| space.models.clear());
        },
        reason: outcome::Reason::NotAllowed,
    },
    ChangeCase {
        name: "view without this daemon",
        apply: |fixture| fixture.view.members.clear(),
        reason: outcome::Reason::NoEndpoint,
    },
    ChangeCase {
        name: "lapsed lease",
        apply: |fixture| fixture.until = time::Tick(0),
        reason: outcome::Reason::NotReady,
    },
];

#[test]
fn change_that_forbids_a_queued_request_refuses_it_as_not_run() {
    for case in CHANGE_CASES {
        let mut fixture = support::Fixture::new(1, 1, 1);
        let mut dispatcher = dispatcher(&fixture);
        let (running, _) =
            dispatcher.enqueue(&fixture.facts(1_000), support::job(1, "w", FAR_DEADLINE));
        let (waiting, _) =
            dispatcher.enqueue(&fixture.facts(1_000), support::job(2, "w", FAR_DEADLINE));
        let first = dispatcher.dispatch(&fixture.facts(1_000));
        assert_eq!(first.len(), 1);
        assert_eq!(first[0].ticket, running);
        let admission = first[0].result.clone().unwrap();
        (case.apply)(&mut fixture);
        fixture.config.version.0 += 1;
        // A slot becomes free at the same time: the change has to take effect before dispatch.
        let target = support::job(2, "w", FAR_DEADLINE).target;
        dispatcher.finish(&target, &admission, limiter::Outcome::Good, time::Tick(1_100));
        let then = dispatcher.dispatch(&fixture.facts(1_100));
        assert_eq!(then.len(), 1, "{}", case.name);
        assert_eq!(then[0].ticket, waiting);
        let refusal = then[0].result.clone().unwrap_err();
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(refusal.outcome, outcome::Outcome::NotRun);
        assert_eq!(dispatcher.waiting(), 0);
    }
}

#[test]
fn every_request_gets_exactly_one_decision() {
    let fixture = support::Fixture::new(2, 1, 4);
    let mut dispatcher = dispatcher(&fixture);
    let mut decided = BTreeMap::new();
    let mut running = Vec::new();
    for n in 0..500 {
        let now = 1_000 + n * 10;
        let space = if n % 7 == 0 { "small" } else { "w" };
        let job = support::job(n, space, now + 300);
        let target = job.target.clone();
        let (_, mut decisions) = dispatcher.enqueue(&fixture.facts(now), job);
        if n % 2 == 0 && !running.is_empty() {
            let admission = running.remove(0);
            dispatcher.finish(&target, &admission, limiter::Outcome::Good, time::Tick(now));
        }
        decisions.extend(dispatcher.dispatch(&fixture.facts(now)));
        for decision in decisions {
            running.extend(decision.result.clone().ok());
            assert!(decided.insert(decision.ticket, decision.result).is_none());
        }
    }
    for decision in dispatcher.dispatch(&fixture.facts(FAR_DEADLINE)) {
        assert!(decided.insert(decision.ticket, decision.result).is_none());
    }
    assert_eq!(decided.len(), 500);
    assert!(decided.values().any(Result::is_ok) && decided.values().any(Result::is_err));
}
