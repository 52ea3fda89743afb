use ibishill_core::{fleet, id, store_version, time};
use ibishill_decide::canary;

use crate::bounds;

const DURATION: u64 = 24_000;

fn order() -> fleet::Rollout {
    fleet::Rollout {
        service: "pool".parse().unwrap(),
        to: "v2".parse().unwrap(),
        duration: time::Millis(DURATION),
    }
}

fn start() -> canary::Canary {
    canary::Canary::new(order(), &bounds(), time::Tick(0))
}

struct Case {
    name: &'static str,
    // Milliseconds between requests.
    gap: u64,
    // Percentage of failed answers: old version, new version.
    fails: (u64, u64),
    // Percentage of both versions' requests that get no answer.
    losses: u64,
    // The only route on which the new version fails; all routes if absent.
    route: Option<u64>,
    // Milliseconds to the first event: old version, new version.
    times: (u64, u64),
    // Percentage of the new version's answers that take eight times as long.
    slow: u64,
    // Milliseconds between events: old version, new version, new version with the larger share of
    // the load.
    paces: (u64, u64, u64),
    // Period in which the new version fails or is slow, in milliseconds since the order.
    from: u64,
    until: u64,
    expected: fleet::Progress,
}

const BASE: Case = Case {
    name: "",
    gap: 16,
    fails: (0, 0),
    losses: 0,
    route: None,
    times: (100, 100),
    slow: 0,
    paces: (60, 30, 110),
    from: 0,
    until: DURATION,
    expected: fleet::Progress::Completed,
};

// Percentages of the mean time. They span a factor of eight, as prompts and answers differ in size.
const SPREAD: [u64; 6] = [50, 70, 100, 140, 200, 400];

// Percentages of the mean pace, which hardly depends on the request.
const PACE_SPREAD: [u64; 5] = [70, 85, 100, 120, 160];

// Time from which on the new version has the larger share of the load.
const LOADED: u64 = DURATION * 5 / 8;

const ROUTES: u64 = 3;

// Sends requests at a constant rate until the deadline, with a verdict after each one. Returns
// the final progress, the number of all requests and that of the new version's requests.
fn simulate(case: &Case) -> (fleet::Progress, u64, u64) {
    let own: id::VmId = "vm".parse().unwrap();
    let mut canary = start();
    let (mut all, mut exposed) = (0_u64, 0_u64);
    let mut streams: std::collections::BTreeMap<u64, Vec<(id::RouteId, id::VersionId, u64)>> =
        std::collections::BTreeMap::new();
    for now in (0..DURATION).step_by(case.gap as usize) {
        let at = time::Tick(now);
        all += 1;
        // Sessions of two requests each, in an order unrelated to their hashes.
        let variant = canary.assign((all / 2) * 7_919, at);
        let is_new = variant == canary::Variant::Candidate;
        exposed += u64::from(is_new);
        let hash = xxhash_rust::xxh3::xxh3_64(&all.to_le_bytes());
        let (route, percent) = (hash % ROUTES, hash / 8 % 100);
        let is_bad = is_new && (case.from..case.until).contains(&now);
        let fails = if is_bad { case.fails.1 } else { case.fails.0 };
        let is_spared = is_new && case.route.is_some_and(|only| only != route);
        let mean = if is_new { case.times.1 } else { case.times.0 };
        let is_slow = is_bad && hash / 1_024 % 100 < case.slow;
        let time = mean * SPREAD[(hash / 4_096) as usize % SPREAD.len()] / 100;
        let outcome = if hash / 524_288 % 100 < case.losses {
            canary::Outcome::Lost
        } else if percent < fails && !is_spared {
            canary::Outcome::Failed
        } else {
            canary::Outcome::Answered(time::Millis(if is_slow { 8 * time } else { time }))
        };
        let version = if is_new { "v2" } else { "v1" }.parse().unwrap();
        let route: id::RouteId = format!("r-{route}").parse().unwrap();
        canary.record_answer((&own, 1), &route, &version, outcome, at);
        let pace = match (is_new, now < LOADED) {
            (false, _) => case.paces.0,
            (true, true) => case.paces.1,
            (true, false) => case.paces.2,
        };
        let pace = pace * PACE_SPREAD[(hash / 65_536) as usize % PACE_SPREAD.len()] / 100;
        streams.entry(now + (8 * pace).min(500)).or_default().push((route, version, pace));
        let later = streams.split_off(&(now + 1));
        for (route, version, pace) in std::mem::replace(&mut streams, later).into_values().flatten()
        {
            canary.record_pace((&own, 1), &route, &version, time::Millis(pace), at);
        }
        let verdict = canary.verdict(true, at);
        canary.merge_progress(verdict);
    }
    (canary.progress(), all, exposed)
}

#[test]
fn bad_version_is_rolled_back_and_good_one_completes() {
    let bad = fleet::Progress::RolledBack;
    let cases = [
        Case { name: "as good as the old one", fails: (1, 1), ..BASE },
        Case { name: "both fail alike, as their network does", fails: (6, 6), ..BASE },
        Case { name: "a tenth slower, as its prompts are not read yet", times: (100, 110), ..BASE },
        Case { name: "faster, as it has less load", times: (100, 70), ..BASE },
        Case { name: "good, with few requests", gap: 160, ..BASE },
        Case { name: "as fast as the old one at the same load", paces: (60, 60, 60), ..BASE },
        Case { name: "both lose requests alike, as endpoints end", losses: 40, ..BASE },
        Case {
            name: "a third of its answers fail, while endpoints of both end",
            gap: 40,
            fails: (1, 30),
            losses: 40,
            expected: bad,
            ..BASE
        },
        Case { name: "half of its answers fail", fails: (0, 50), expected: bad, ..BASE },
        Case { name: "a third of its answers fail", fails: (1, 30), expected: bad, ..BASE },
        Case {
            name: "half of the answers of one route fail",
            fails: (0, 50),
            route: Some(1),
            expected: bad,
            ..BASE
        },
        Case {
            name: "half of the answers of one route fail beside an endpoint that fails often",
            fails: (8, 50),
            route: Some(1),
            expected: bad,
            ..BASE
        },
        Case {
            name: "half of its answers fail, after many good ones",
            gap: 4,
            fails: (0, 50),
            from: DURATION * 13 / 20,
            expected: bad,
            ..BASE
        },
        Case {
            name: "half of its answers fail in a short burst, after many good ones",
            gap: 4,
            fails: (0, 50),
            from: DURATION * 5 / 8,
            until: DURATION * 5 / 8 + 400,
            expected: bad,
            ..BASE
        },
        Case { name: "nearly three times as slow", times: (100, 280), expected: bad, ..BASE },
        Case { name: "eight times as slow", times: (100, 800), expected: bad, ..BASE },
        Case {
            name: "half of its answers are slow, with less load",
            times: (100, 75),
            slow: 50,
            expected: bad,
            ..BASE
        },
        Case {
            name: "half of its answers are slow from the second half on",
            slow: 50,
            from: DURATION / 2,
            expected: bad,
            ..BASE
        },
        Case {
            name: "half of its answers are slow, with few requests",
            gap: 40,
            times: (100, 75),
            slow: 50,
            expected: bad,
            ..BASE
        },
        // Regression: such a version was completed and kept.
        Case {
            name: "its answers begin in time and go on slowly, with few requests",
            gap: 80,
            paces: (60, 140, 280),
            expected: bad,
            ..BASE
        },
        Case {
            name: "its answers go on slowly from the second half on",
            paces: (60, 30, 360),
            expected: bad,
            ..BASE
        },
    ];
    for case in cases {
        let (progress, all, exposed) = simulate(&case);
        assert_eq!(progress, case.expected, "{}", case.name);
        if progress == fleet::Progress::RolledBack {
            let most = all as f64 * bounds().expose_share + 30.0;
            assert!((exposed as f64) < most, "{}: {exposed} of {all}", case.name);
        }
    }
}

#[test]
fn doubt_of_deciding_daemon_stops_growth_on_peers() {
    let (one, two): (id::VmId, id::VmId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let (mut decider, mut peer) = (start(), start());
    let route = "r".parse().unwrap();
    let mut now = time::Tick(2_000);
    let record = |decider: &mut canary::Canary, version: &str, outcome, at| {
        decider.record_answer((&one, 1), &route, &version.parse().unwrap(), outcome, at);
    };
    for window in 0..4 {
        let at = time::Tick(1_200 + window * DURATION / 8);
        for _ in 0..50 {
            record(&mut decider, "v1", canary::Outcome::Answered(time::Millis(100)), at);
        }
        for _ in 0..4 {
            record(&mut decider, "v2", canary::Outcome::Answered(time::Millis(100)), at);
        }
        assert_eq!(decider.verdict(true, at), fleet::Progress::Running);
    }
    for _ in 0..6 {
        record(&mut decider, "v2", canary::Outcome::Failed, now);
    }
    assert_eq!(decider.verdict(true, now), fleet::Progress::Running);
    // The doubt is repeated every round until the share would otherwise be 1.
    let count = |peer: &mut canary::Canary, now| {
        let new = |session: &u64| peer.assign(*session, now) == canary::Variant::Candidate;
        (0..1_000).filter(new).count()
    };
    while now.0 < DURATION * 3 / 4 {
        peer.merge(decider.snapshot(&one, true, now), &two, now);
        now = now + time::Millis(400);
    }
    assert!(count(&mut peer, now) < 150);
    // Once the doubt has expired, the share grows.
    assert_eq!(count(&mut peer, now + time::Millis(2_000)), 1_000);
}

struct Silence {
    name: &'static str,
    // Period without any answer, in milliseconds since the order.
    away: std::ops::Range<u64>,
    // Percentage of the new version's answers that fail.
    fails: u64,
    expected: fleet::Progress,
}

// No share of a roll-out grows, and none completes, by the passage of time alone.
#[test]
fn version_without_proof_is_not_completed() {
    let bad = fleet::Progress::RolledBack;
    let cases = [
        Silence { name: "no answer at all", away: 0..DURATION, fails: 0, expected: bad },
        Silence {
            name: "bad, away for most of the time",
            away: 1_000..DURATION * 3 / 4,
            fails: 30,
            expected: bad,
        },
        Silence {
            name: "good, away for a third of the time",
            away: 1_000..DURATION / 3,
            fails: 0,
            expected: fleet::Progress::Completed,
        },
    ];
    for case in cases {
        let own: id::VmId = "vm".parse().unwrap();
        let route = "r".parse().unwrap();
        let mut canary = start();
        let (mut all, mut exposed) = (0_u64, 0_u64);
        for now in (0..DURATION).step_by(40) {
            let at = time::Tick(now);
            let is_new = canary.assign(now * 7_919, at) == canary::Variant::Candidate;
            if !case.away.contains(&now) {
                all += 1;
                exposed += u64::from(is_new);
                let hash = xxhash_rust::xxh3::xxh3_64(&now.to_le_bytes());
                let percent = if is_new { case.fails } else { 8 };
                let outcome = if hash % 100 < percent {
                    canary::Outcome::Failed
                } else {
                    canary::Outcome::Answered(time::Millis(30 + hash / 128 % 40))
                };
                let version = if is_new { "v2" } else { "v1" }.parse().unwrap();
                canary.record_answer((&own, 1), &route, &version, outcome, at);
            }
            let verdict = canary.verdict(true, at);
            canary.merge_progress(verdict);
        }
        assert_eq!(canary.progress(), case.expected, "{}", case.name);
        let most = all as f64 * bounds().expose_share + 30.0;
        let is_kept = case.expected == fleet::Progress::Completed || (exposed as f64) < most;
        assert!(is_kept, "{}: {exposed} of {all}", case.name);
    }
}

#[test]
fn session_on_old_version_stays_there_in_first_half() {
    let mut canary = start();
    let sessions: Vec<u64> = (0..2_000).collect();
    for session in &sessions {
        canary.pin(*session);
    }
    for session in &sessions {
        let variant = canary.assign(*session, time::Tick(5_000));
        assert_eq!(variant, canary::Variant::Stable, "session {session}");
    }
}

#[test]
fn session_never_returns_to_old_version_of_good_rollout() {
    let mut canary = start();
    for session in 0..500 {
        let mut was_new = false;
        for now in (2_000..DURATION).step_by(200) {
            let is_new = canary.assign(session, time::Tick(now)) == canary::Variant::Candidate;
            assert!(is_new || !was_new, "session {session} at {now}");
            was_new = is_new;
        }
    }
}

#[test]
fn snapshot_carries_pinned_sessions_and_age() {
    let (one, two): (id::VmId, id::VmId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let mut first = start();
    let mut second = canary::Canary::new(order(), &bounds(), time::Tick(500));
    for session in 0..500 {
        let _variant = first.assign(session, time::Tick(600));
    }
    second.merge(first.snapshot(&one, true, time::Tick(600)), &two, time::Tick(600));
    assert_eq!(second.age(time::Tick(600)), time::Millis(600));
    for session in 0..500 {
        assert_eq!(second.assign(session, time::Tick(4_000)), canary::Variant::Stable);
    }
}

#[test]
fn rollback_overrides_completion() {
    struct MergeCase {
        merged: &'static [fleet::Progress],
        expected: fleet::Progress,
    }
    let cases = [
        MergeCase {
            merged: &[fleet::Progress::RolledBack, fleet::Progress::Completed],
            expected: fleet::Progress::RolledBack,
        },
        MergeCase {
            merged: &[fleet::Progress::Completed, fleet::Progress::RolledBack],
            expected: fleet::Progress::RolledBack,
        },
        MergeCase {
            merged: &[fleet::Progress::Completed, fleet::Progress::Running],
            expected: fleet::Progress::Completed,
        },
    ];
    for case in cases {
        let mut canary = start();
        for progress in case.merged {
            canary.merge_progress(*progress);
        }
        assert_eq!(canary.progress(), case.expected, "{:?}", case.merged);
    }
}

const fn row(era: u64, number: u64) -> store_version::StoreVersion {
    store_version::StoreVersion { era: store_version::Era(era), number }
}

// A roll-out whose order is the row `version`.
fn ordered(version: store_version::StoreVersion) -> canary::Canary {
    let mut canary = start();
    canary.set_version(version);
    canary
}

#[test]
fn stored_status_counts_for_its_own_order_only() {
    use fleet::Progress::{Completed, RolledBack, Running};
    struct Case {
        name: &'static str,
        own: fleet::Progress,
        status: (store_version::StoreVersion, fleet::Progress),
        expected: fleet::Progress,
    }
    let case = |name, own, status, expected| Case { name, own, status, expected };
    let cases = [
        case("rolled back", Running, (row(1, 11), RolledBack), RolledBack),
        case("completed", Running, (row(1, 11), Completed), Completed),
        case("older than the order", Running, (row(1, 9), RolledBack), Running),
        case("completed before the order", Running, (row(1, 9), Completed), Running),
        case("rollback of a restored store", Running, (row(2, 3), RolledBack), RolledBack),
        case("completion of a restored store", Running, (row(2, 3), Completed), Running),
        case("rollback over a completion", Completed, (row(1, 11), RolledBack), RolledBack),
        case("completion over evidence", RolledBack, (row(1, 11), Completed), RolledBack),
        case("running says nothing", RolledBack, (row(1, 11), Running), RolledBack),
    ];
    for case in cases {
        let mut canary = ordered(row(1, 10));
        canary.merge_progress(case.own);
        if canary.is_about(case.status.0, case.status.1) {
            canary.merge_stored(case.status.1);
        }
        assert_eq!(canary.progress(), case.expected, "{}", case.name);
    }
}

#[test]
fn peers_verdict_counts_for_its_own_order_only() {
    use fleet::Progress::{Completed, RolledBack, Running};
    struct Case {
        name: &'static str,
        // The order of the peer; none if its build does not tell.
        order: Option<store_version::StoreVersion>,
        is_unproven: bool,
        own: fleet::Progress,
        expected: fleet::Progress,
    }
    let case =
        |name, order, is_unproven, own, expected| Case { name, order, is_unproven, own, expected };
    let cases = [
        case("same order", Some(row(1, 10)), false, Running, RolledBack),
        case("an order before", Some(row(1, 4)), false, Running, Running),
        case("a restored store", Some(row(2, 4)), false, Running, RolledBack),
        case("an earlier build", None, false, Running, RolledBack),
        case("evidence over a completion", Some(row(1, 10)), false, Completed, RolledBack),
        case("want of proof over a completion", Some(row(1, 10)), true, Completed, Completed),
    ];
    let own: id::VmId = "own".parse().unwrap();
    for case in cases {
        let mut canary = ordered(row(1, 10));
        canary.merge_progress(case.own);
        let mut peer = start();
        peer.merge_progress(RolledBack);
        let snapshot = peer.snapshot(&"peer".parse().unwrap(), false, time::Tick(0));
        let told =
            canary::Snapshot { order: case.order, is_unproven: case.is_unproven, ..snapshot };
        canary.merge(told, &own, time::Tick(0));
        assert_eq!(canary.progress(), case.expected, "{}", case.name);
    }
}

#[test]
fn rollback_for_want_of_proof_yields_to_a_completion() {
    let mut canary = start();
    let verdict = canary.verdict(true, time::Tick(DURATION));
    canary.merge_progress(verdict);
    assert_eq!(canary.progress(), fleet::Progress::RolledBack);
    canary.merge_progress(fleet::Progress::Completed);
    assert_eq!(canary.progress(), fleet::Progress::Completed);
}

#[test]
fn order_from_before_the_start_waits_for_news() {
    let assigned = |canary: &mut canary::Canary| {
        (0..200).any(|session| {
            let at = time::Tick(DURATION * 3 / 5);
            canary.assign(session * 7_919, at) == canary::Variant::Candidate
        })
    };
    let mut canary = start();
    canary.require_news();
    assert!(!assigned(&mut canary), "nobody has told");
    let own: id::VmId = "own".parse().unwrap();
    let mut peer = start();
    peer.require_news();
    let told =
        |peer: &canary::Canary| peer.snapshot(&"peer".parse().unwrap(), false, time::Tick(0));
    canary.merge(told(&peer), &own, time::Tick(0));
    assert!(!assigned(&mut canary), "a peer has told that does not know either");
    canary.merge(told(&start()), &own, time::Tick(0));
    assert!(assigned(&mut canary), "a peer has told");
    let mut canary = start();
    canary.require_news();
    canary.merge_stored(fleet::Progress::Running);
    assert!(assigned(&mut canary), "the store has told");
}

#[test]
fn same_order_written_again_is_a_new_one_after_its_deadline_only() {
    let mut canary = ordered(row(1, 10));
    assert!(!canary.is_over(time::Tick(DURATION)), "still running");
    canary.merge_progress(fleet::Progress::RolledBack);
    assert!(!canary.is_over(time::Tick(DURATION - 1)), "a repeated write");
    assert!(canary.is_over(time::Tick(DURATION)), "ordered again");
}

#[test]
fn counts_of_a_relay_outlive_its_restart() {
    let (own, peer): (id::VmId, id::VmId) = ("own".parse().unwrap(), "peer".parse().unwrap());
    let route = "route".parse().unwrap();
    let mut decider = start();
    for process in 1..=2_u64 {
        let mut canary = start();
        for _ in 0..5 {
            let version = order().to;
            let of_peer = (&peer, process);
            canary.record_answer(of_peer, &route, &version, canary::Outcome::Failed, time::Tick(0));
        }
        decider.merge(canary.snapshot(&peer, true, time::Tick(0)), &own, time::Tick(0));
    }
    assert_eq!(decider.totals().candidate.failed, 10);
    assert_eq!(decider.sources(time::Tick(7)).len(), 2);
}

#[test]
fn version_that_was_rolled_back_may_get_no_request() {
    let mut canary = start();
    let (old, new) = ("v1".parse().unwrap(), order().to);
    assert!(canary.allows(&old) && canary.allows(&new));
    canary.merge_progress(fleet::Progress::RolledBack);
    assert!(canary.allows(&old) && !canary.allows(&new));
}
