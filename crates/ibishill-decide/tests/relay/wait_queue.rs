use ibishill_core::{id, time};
use ibishill_decide::wait_queue;

fn waiter(priority: u8, space: &str, since: u64) -> wait_queue::Waiter {
    wait_queue::Waiter {
        ticket: 0,
        priority,
        workspace: Some(space.parse().unwrap()),
        service: "pool".parse().unwrap(),
        since: time::Tick(since),
    }
}

#[test]
fn urgent_requests_then_small_workspaces_then_early_ones_get_room() {
    let mut line = wait_queue::Queue::default();
    let batch = line.push(waiter(2, "big", 1));
    let crowd = line.push(waiter(1, "big", 2));
    let late = line.push(waiter(1, "small", 4));
    let early = line.push(waiter(1, "small", 3));
    let urgent = line.push(waiter(0, "big", 5));
    let running = |space: Option<&id::WorkspaceId>| match space.map(id::WorkspaceId::as_str) {
        Some("big") => 40,
        _ => 1,
    };
    let service = "pool".parse().unwrap();
    let order = line.order(&service, running);
    assert_eq!(order, [urgent, early, late, crowd, batch]);
    assert!(line.has_more_urgent(&service, 1));
    line.remove(urgent);
    assert!(!line.has_more_urgent(&service, 1));
    assert_eq!(line.waiting(&service), 4);
}

#[test]
fn nobody_waits_longer_than_is_useful() {
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
