use ibishill_core::{id, time};
use ibishill_decide::{fair_share, wait_queue};

fn waiter(priority: u8, workspace: &str, since: u64) -> wait_queue::Waiter {
    wait_queue::Waiter {
        ticket: 0,
        priority,
        workspace: Some(workspace.parse().unwrap()),
        service: "pool".parse().unwrap(),
        until: time::Tick(0),
        since: time::Tick(since),
    }
}

#[test]
fn order_is_by_priority_then_requests_in_flight_then_waiting_time() {
    let mut queue = wait_queue::Queue::default();
    let low = queue.push(waiter(2, "big", 1));
    let busy = queue.push(waiter(1, "big", 2));
    let late = queue.push(waiter(1, "small", 4));
    let early = queue.push(waiter(1, "small", 3));
    let urgent = queue.push(waiter(0, "big", 5));
    let running = |workspace: Option<&id::WorkspaceId>| match workspace.map(id::WorkspaceId::as_str)
    {
        Some("big") => 40,
        _ => 1,
    };
    let service = "pool".parse().unwrap();
    let order = queue.order(&service, running);
    assert_eq!(order, [urgent, early, late, busy, low]);
    assert!(queue.has_more_urgent(&service, 1));
    queue.remove(urgent);
    assert!(!queue.has_more_urgent(&service, 1));
    assert_eq!(queue.waiting(&service), 4);
}

// Where several workspaces send requests, one that yields is behind requests of a lower priority, and those of the
// same rank go by the time left to start, then by age.
#[test]
fn order_is_by_share_then_time_left_then_age() {
    let mut queue = wait_queue::Queue::default();
    let mut push = |priority, workspace: &str, until, since| {
        let until = time::Tick(until);
        queue.push(wait_queue::Waiter { until, ..waiter(priority, workspace, since) })
    };
    let yielding = push(0, "surging", 10, 1);
    let over = push(1, "over", 20, 1);
    let late = push(1, "even", 90, 2);
    let newer = push(1, "other", 50, 4);
    let older = push(1, "even", 50, 3);
    let low = push(2, "even", 10, 1);
    let rank = |workspace: Option<&id::WorkspaceId>| match workspace.map(id::WorkspaceId::as_str) {
        Some("surging") => fair_share::YIELDING + 40,
        Some("over") => 5,
        _ => 0,
    };
    let service = "pool".parse().unwrap();
    assert_eq!(queue.order(&service, rank), [older, newer, late, over, low, yielding]);
    assert!(!queue.has_earlier(&service, 1, 0, false, rank));
    assert!(queue.has_earlier(&service, 1, 0, true, rank));
    assert!(queue.has_earlier(&service, 1, 5, false, rank));
    assert!(queue.has_earlier(&service, 0, fair_share::YIELDING, false, rank));
    assert!(!queue.has_earlier(&service, 0, 0, true, rank));
}

#[test]
fn wait_is_limited_by_latency_target_and_deadline() {
    struct Case {
        target: u64,
        left: u64,
        expected: u64,
    }
    let cases = [
        Case { target: 100, left: 1_000, expected: 50 },
        Case { target: 3_000, left: 25_000, expected: 1_500 },
        Case { target: 3_000, left: 900, expected: 300 },
        Case { target: 3_000, left: 0, expected: 0 },
    ];
    for case in cases {
        let found = wait_queue::wait_limit(time::Millis(case.target), time::Millis(case.left));
        assert_eq!(found, time::Millis(case.expected), "{} {}", case.target, case.left);
    }
}
