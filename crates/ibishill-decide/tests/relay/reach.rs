use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, outlier, reach};

const SLOW_START: balance::SlowStart =
    balance::SlowStart { duration: time::Millis(3_000), rate: 0.0, is_stale: false };

const TIMED_OUT: reach::Contact = reach::Contact::TimedOut;

const ANSWERED: reach::Contact = reach::Contact::Answered;

const QUICK: time::Millis = time::Millis(2);

fn zone(name: &str) -> id::ZoneId {
    name.parse().unwrap()
}

fn endpoint(name: &str) -> id::EndpointId {
    name.parse().unwrap()
}

enum Step {
    /// A connection to an endpoint timed out.
    TimedOut(&'static str),
    /// The same, and this process was delayed.
    TimedOutLate(&'static str),
    /// An endpoint accepted or refused a connection.
    Answered,
    /// This process could not try to connect.
    NotAttempted,
    /// Time passes.
    Wait(u64),
    /// A probe starts.
    Probe,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    allowed: bool,
}

#[test]
fn zone_is_suspected_after_two_endpoints_time_out() {
    let cases = [
        Case { name: "nothing known", steps: &[], allowed: true },
        Case { name: "one endpoint", steps: &[Step::TimedOut("e0")], allowed: true },
        Case {
            name: "one endpoint twice",
            steps: &[Step::TimedOut("e0"), Step::TimedOut("e0")],
            allowed: true,
        },
        Case {
            name: "two endpoints",
            steps: &[Step::TimedOut("e0"), Step::TimedOut("e1")],
            allowed: false,
        },
        Case {
            name: "an answer between them",
            steps: &[Step::TimedOut("e0"), Step::Answered, Step::TimedOut("e1")],
            allowed: true,
        },
        Case {
            name: "this process was delayed",
            steps: &[Step::TimedOutLate("e0"), Step::TimedOutLate("e1")],
            allowed: true,
        },
        Case {
            name: "due for a probe",
            steps: &[Step::TimedOut("e0"), Step::TimedOut("e1"), Step::Wait(400)],
            allowed: true,
        },
        Case {
            name: "one probe at a time",
            steps: &[Step::TimedOut("e0"), Step::TimedOut("e1"), Step::Wait(400), Step::Probe],
            allowed: false,
        },
        Case {
            name: "a timed-out probe doubles the delay",
            steps: &[
                Step::TimedOut("e0"),
                Step::TimedOut("e1"),
                Step::Wait(400),
                Step::Probe,
                Step::TimedOut("e2"),
                Step::Wait(700),
            ],
            allowed: false,
        },
        Case {
            name: "connections begun before it was suspected are no probes",
            steps: &[
                Step::TimedOut("e0"),
                Step::TimedOut("e1"),
                Step::TimedOut("e2"),
                Step::TimedOut("e3"),
                Step::Wait(400),
            ],
            allowed: true,
        },
        Case {
            name: "a probe that times out counts once",
            steps: &[
                Step::TimedOut("e0"),
                Step::TimedOut("e1"),
                Step::Wait(400),
                Step::Probe,
                Step::TimedOut("e2"),
                Step::TimedOut("e3"),
                Step::Wait(800),
            ],
            allowed: true,
        },
        Case {
            name: "this process lacks descriptors in between",
            steps: &[
                Step::TimedOut("e0"),
                Step::NotAttempted,
                Step::TimedOut("e1"),
                Step::NotAttempted,
            ],
            allowed: false,
        },
        Case {
            name: "reached again",
            steps: &[Step::TimedOut("e0"), Step::TimedOut("e1"), Step::Answered],
            allowed: true,
        },
    ];
    for case in cases {
        let (mut reach, at) = (reach::Reach::default(), zone("b"));
        let mut now = time::Tick(1_000);
        for step in case.steps {
            let limit = reach.connect_timeout(&at);
            let late = time::Millis(limit.0 + 500);
            match step {
                Step::TimedOut(name) => {
                    reach.record(&at, &endpoint(name), TIMED_OUT, (limit, limit), now);
                }
                Step::TimedOutLate(name) => {
                    reach.record(&at, &endpoint(name), TIMED_OUT, (limit, late), now);
                }
                Step::Answered => {
                    reach.record(&at, &endpoint("e9"), ANSWERED, (limit, QUICK), now);
                }
                Step::NotAttempted => {
                    let not_attempted = reach::Contact::NotAttempted;
                    reach.record(&at, &endpoint("e9"), not_attempted, (limit, QUICK), now);
                }
                Step::Wait(wait) => now = now + time::Millis(*wait),
                Step::Probe => reach.begin(&at, now),
            }
        }
        assert_eq!(reach.allows(&at, now), case.allowed, "{}", case.name);
        assert!(reach.allows(&zone("a"), now), "{}: another zone", case.name);
    }
}

#[test]
fn connect_timeout_follows_slowest_recent_connection() {
    struct Case {
        took: &'static [u64],
        limit: u64,
    }
    let cases = [
        Case { took: &[], limit: 400 },
        Case { took: &[2, 3], limit: 120 },
        Case { took: &[2, 30, 2], limit: 216 },
        Case { took: &[200], limit: 400 },
    ];
    for case in cases {
        let mut reach = reach::Reach::default();
        for took in case.took {
            let took = (time::Millis(400), time::Millis(*took));
            reach.record(&zone("b"), &endpoint("e0"), ANSWERED, took, time::Tick(0));
        }
        assert_eq!(reach.connect_timeout(&zone("b")).0, case.limit, "{:?}", case.took);
    }
}

/// Endpoints of each zone in the test of a partitioned zone.
const ENDPOINTS: usize = 24;

/// Requests of that test, one every 5 ms; none of them ends.
const REQUESTS: u64 = 1_000;

/// Slots of an endpoint of that test; the daemon's own zone alone holds all requests.
const SLOTS: u32 = 60;

// A zone is partitioned for five seconds under load. Two timeouts make it suspected, then it is
// probed after 0.4, 0.8, 1.6 and 1.6 s; one more request may be in flight at each.
const WASTED_MAX: usize = 12;

#[test]
fn partitioned_zone_costs_few_connect_timeouts() {
    let service: id::ServiceId = "pool".parse().unwrap();
    let mut balancer = balance::Balancer::new("own".parse().unwrap(), zone("a"));
    for (name, at) in ["a", "b"].into_iter().flat_map(|z| (0..ENDPOINTS).map(move |n| (z, n))) {
        let entry = fleet::Registration {
            id: endpoint(&format!("{name}{at}")),
            service: service.clone(),
            address: "127.0.0.1:80".parse().unwrap(),
            zone: zone(name),
            version: "v1".parse().unwrap(),
            slots: SLOTS,
            readiness: fleet::Readiness::Ready,
            cold_remaining: time::Millis(0),
            started: Some(1),
        };
        balancer.register(entry, time::Tick(0));
    }
    let took = (time::Millis(400), QUICK);
    balancer.reach().record(&zone("b"), &endpoint("e0"), ANSWERED, took, time::Tick(0));
    let mut pending = Vec::new();
    let mut wasted = 0;
    for number in 0..REQUESTS {
        let now = time::Tick(number * 5);
        pending.retain(|(until, id, limit): &(time::Tick, id::EndpointId, time::Millis)| {
            let is_over = *until <= now;
            if is_over {
                balancer.reach().record(&zone("b"), id, TIMED_OUT, (*limit, *limit), now);
                balancer.record_attempt(
                    id,
                    outlier::Attempt::Unreachable,
                    None,
                    SLOW_START,
                    (now, now),
                );
            }
            !is_over
        });
        let request = balance::Request {
            service: &service,
            versions: balance::Versions::Any,
            tried: &[],
            prefix: None,
            model: None,
            tokens: 0,
            capacity: 0,
            prefill: 0.0,
            saved: 0.0,
            tier: balance::Tier::Any,
            uses_subset: false,
            seed: number,
        };
        let choice = balancer.pick(&request, SLOW_START, |_| 0, now);
        let balance::Choice::Send(id) = choice else { panic!("{choice:?}") };
        balancer.begin(&id, balance::Work::default(), SLOW_START, 0, now);
        if id.as_str().starts_with('b') {
            wasted += 1;
            let limit = balancer.reach().connect_timeout(&zone("b"));
            pending.push((now + limit, id, limit));
        }
    }
    assert!(wasted > 0, "the partitioned zone was never tried");
    // Requests sent before the first timeout are spread by load.
    let before = usize::try_from(balancer.reach().connect_timeout(&zone("b")).0 / 5).unwrap();
    assert!(wasted <= WASTED_MAX + before, "{wasted}");
}
