use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, outlier, reach};

const CALM: balance::SlowStart =
    balance::SlowStart { duration: time::Millis(3_000), rate: 0.0, is_stale: false };

const SILENT: reach::Contact = reach::Contact::TimedOut;

const ANSWERED: reach::Contact = reach::Contact::Answered;

const QUICK: time::Millis = time::Millis(2);

fn zone(name: &str) -> id::ZoneId {
    name.parse().unwrap()
}

fn endpoint(name: &str) -> id::EndpointId {
    name.parse().unwrap()
}

enum Step {
    /// A connection to an endpoint was silent for all of its time.
    Silent(&'static str),
    /// The same, and this process woke late.
    SilentLate(&'static str),
    /// An endpoint took or refused a connection.
    Heard,
    /// This process could not try to connect.
    Untried,
    /// Time passes.
    Wait(u64),
    /// A probe is begun.
    Probe,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    allowed: bool,
}

#[test]
fn a_zone_is_in_doubt_after_two_silent_endpoints_in_a_row() {
    let cases = [
        Case { name: "nothing known", steps: &[], allowed: true },
        Case { name: "one endpoint", steps: &[Step::Silent("e0")], allowed: true },
        Case {
            name: "one endpoint twice",
            steps: &[Step::Silent("e0"), Step::Silent("e0")],
            allowed: true,
        },
        Case {
            name: "two endpoints",
            steps: &[Step::Silent("e0"), Step::Silent("e1")],
            allowed: false,
        },
        Case {
            name: "an answer between them",
            steps: &[Step::Silent("e0"), Step::Heard, Step::Silent("e1")],
            allowed: true,
        },
        Case {
            name: "this process stood still",
            steps: &[Step::SilentLate("e0"), Step::SilentLate("e1")],
            allowed: true,
        },
        Case {
            name: "due for a probe",
            steps: &[Step::Silent("e0"), Step::Silent("e1"), Step::Wait(400)],
            allowed: true,
        },
        Case {
            name: "one probe at a time",
            steps: &[Step::Silent("e0"), Step::Silent("e1"), Step::Wait(400), Step::Probe],
            allowed: false,
        },
        Case {
            name: "a silent probe doubles the wait",
            steps: &[
                Step::Silent("e0"),
                Step::Silent("e1"),
                Step::Wait(400),
                Step::Probe,
                Step::Silent("e2"),
                Step::Wait(700),
            ],
            allowed: false,
        },
        Case {
            name: "this process lacks descriptors between them",
            steps: &[Step::Silent("e0"), Step::Untried, Step::Silent("e1"), Step::Untried],
            allowed: false,
        },
        Case {
            name: "reached again",
            steps: &[Step::Silent("e0"), Step::Silent("e1"), Step::Heard],
            allowed: true,
        },
    ];
    for case in cases {
        let (mut known, at) = (reach::Reach::default(), zone("b"));
        let mut now = time::Tick(1_000);
        for step in case.steps {
            let limit = known.connect_timeout(&at);
            let late = time::Millis(limit.0 + 500);
            match step {
                Step::Silent(name) => {
                    known.record(&at, &endpoint(name), SILENT, (limit, limit), now);
                }
                Step::SilentLate(name) => {
                    known.record(&at, &endpoint(name), SILENT, (limit, late), now);
                }
                Step::Heard => {
                    known.record(&at, &endpoint("e9"), ANSWERED, (limit, QUICK), now);
                }
                Step::Untried => {
                    let untried = reach::Contact::NotAttempted;
                    known.record(&at, &endpoint("e9"), untried, (limit, QUICK), now);
                }
                Step::Wait(wait) => now = now + time::Millis(*wait),
                Step::Probe => known.begin(&at, now),
            }
        }
        assert_eq!(known.allows(&at, now), case.allowed, "{}", case.name);
        assert!(known.allows(&zone("a"), now), "{}: another zone", case.name);
    }
}

#[test]
fn a_connection_may_take_a_few_times_the_slowest_of_late() {
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
        let mut known = reach::Reach::default();
        for took in case.took {
            let took = (time::Millis(400), time::Millis(*took));
            known.record(&zone("b"), &endpoint("e0"), ANSWERED, took, time::Tick(0));
        }
        assert_eq!(known.connect_timeout(&zone("b")).0, case.limit, "{:?}", case.took);
    }
}

/// Endpoints of each zone in the load below.
const ENDPOINTS: usize = 24;

/// Requests of the load below, one each 5 ms; each stays until its end.
const REQUESTS: u64 = 1_000;

/// Slots of an endpoint in the load below; its own zone alone holds all requests.
const SLOTS: u32 = 60;

// A zone is cut off for five seconds under load. Two connections show it, then there is a
// probe after 0.4, 0.8, 1.6 and 1.6 s; one more request may be under way at each.
const WASTED_MAX: usize = 12;

#[test]
fn a_cut_zone_costs_few_requests_a_silent_connection() {
    let service: id::ServiceId = "pool".parse().unwrap();
    let mut pool = balance::Balancer::new(zone("a"));
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
        pool.register(entry, time::Tick(0));
    }
    let took = (time::Millis(400), QUICK);
    pool.reach().record(&zone("b"), &endpoint("e0"), ANSWERED, took, time::Tick(0));
    let mut pending = Vec::new();
    let mut wasted = 0;
    for number in 0..REQUESTS {
        let now = time::Tick(number * 5);
        pending.retain(|(until, id, limit): &(time::Tick, id::EndpointId, time::Millis)| {
            let is_over = *until <= now;
            if is_over {
                pool.reach().record(&zone("b"), id, SILENT, (*limit, *limit), now);
                pool.record_attempt(id, outlier::Attempt::Unreachable, None, CALM, now);
            }
            !is_over
        });
        let ask = balance::Request {
            service: &service,
            versions: balance::Versions::Any,
            tried: &[],
            prefix: None,
            tokens: 0,
            capacity: 0,
            prefill: 0.0,
            tier: balance::Tier::Any,
            uses_subset: false,
            seed: number,
        };
        let choice = pool.pick(&ask, CALM, |_| 0, now);
        let balance::Choice::Send(id) = choice else { panic!("{choice:?}") };
        pool.begin(&id, balance::Work::default(), CALM, 0, now);
        if id.as_str().starts_with('b') {
            wasted += 1;
            let limit = pool.reach().connect_timeout(&zone("b"));
            pending.push((now + limit, id, limit));
        }
    }
    assert!(wasted > 0, "the cut zone was never tried");
    // Those that were sent before the first connection had timed out are spread by load.
    let before = usize::try_from(pool.reach().connect_timeout(&zone("b")).0 / 5).unwrap();
    assert!(wasted <= WASTED_MAX + before, "{wasted}");
}
