use ibishill_core::{id, time};
use ibishill_decide::wait_queue;

fn waiter(priority: u8, workspace: &str, since: u64) -> wait_queue::Waiter {
    wait_queue::Waiter {
        ticket: 0,
        priority,
        workspace: Some(workspace.parse().unwrap()),
        service: "pool".parse().unwrap(),
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
