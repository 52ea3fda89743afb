//! What the next order of a roll-out keeps of the earlier ones.

use ibishill_core::{fleet, id, store_version, time};
use ibishill_decide::{balance, canary};

use crate::bounds;

const fn row(era: u64, number: u64) -> store_version::StoreVersion {
    store_version::StoreVersion { era: store_version::Era(era), number }
}

fn ordered_to(to: &str, number: u64) -> canary::Canary {
    let order = fleet::Rollout {
        service: "pool".parse().unwrap(),
        to: to.parse().unwrap(),
        duration: time::Millis(24_000),
    };
    let mut canary = canary::Canary::new(order, &bounds(), time::Tick(0));
    canary.set_version(row(0, number));
    canary
}

// Whether requests of the old variant go to a version, if only the versions that are `served` have endpoints.
fn is_old(canary: &canary::Canary, version: &str, served: &[&str]) -> bool {
    let served: Vec<id::VersionId> =
        served.iter().map(|version| version.parse().unwrap()).collect();
    let serves =
        |versions: balance::Versions<'_>| served.iter().any(|version| versions.allows(version));
    canary.versions(canary::Variant::Stable, serves).allows(&version.parse().unwrap())
}

// Guards against the next order making an old version of one that was rolled back, superseded or replaced.
#[test]
fn next_order_keeps_what_is_known_of_earlier_versions() {
    struct Case {
        name: &'static str,
        progress: fleet::Progress,
        // Versions that requests of the old variant go to, of v1 and v2.
        old: (bool, bool),
        // The same if only v2 has endpoints beside the newest version.
        alone: bool,
        may_end: (bool, bool),
    }
    let cases = [
        Case {
            name: "rolled back",
            progress: fleet::Progress::RolledBack,
            old: (true, false),
            alone: false,
            may_end: (false, true),
        },
        Case {
            name: "superseded",
            progress: fleet::Progress::Running,
            old: (true, false),
            alone: true,
            may_end: (false, false),
        },
        Case {
            name: "completed",
            progress: fleet::Progress::Completed,
            old: (false, true),
            alone: true,
            may_end: (true, false),
        },
    ];
    for case in cases {
        let mut last = ordered_to("v2", 5);
        last.merge_progress(case.progress);
        let mut canary = ordered_to("v3", 9);
        canary.succeed(&last);
        // The one after the next knows as well.
        let mut later = ordered_to("v4", 12);
        later.succeed(&canary);
        // A peer that has heard of the last order only is told.
        let mut peer = ordered_to("v3", 9);
        let told = canary.snapshot(&"vm".parse().unwrap(), false, time::Tick(0));
        assert!(peer.merge_earlier(&told), "{}", case.name);
        assert!(!peer.merge_earlier(&told), "{}: told again", case.name);
        // So is one by a peer that has not heard of it yet.
        let mut ahead = ordered_to("v3", 9);
        let behind = last.snapshot(&"vm".parse().unwrap(), false, time::Tick(0));
        assert!(ahead.merge_earlier(&behind), "{}", case.name);
        for (who, canary) in
            [("own", &canary), ("later", &later), ("peer", &peer), ("ahead", &ahead)]
        {
            let name = format!("{}, {who}", case.name);
            let all = ["v1", "v2", "v3", "v4"];
            let old = (is_old(canary, "v1", &all), is_old(canary, "v2", &all));
            assert_eq!(old, case.old, "{name}");
            assert!(!is_old(canary, canary.order().to.as_str(), &all), "{name}");
            assert_eq!(is_old(canary, "v2", &["v2"]), case.alone, "{name}");
            assert_eq!(canary.allows(&"v2".parse().unwrap()), case.alone, "{name}");
            let may_end =
                |version: &str| canary.is_end_expected(&version.parse().unwrap(), |_| true);
            assert_eq!((may_end("v1"), may_end("v2")), case.may_end, "{name}");
        }
        let mut again = ordered_to("v2", 15);
        again.succeed(&later);
        assert!(again.allows(&"v2".parse().unwrap()), "{}: ordered again", case.name);
    }
}

#[test]
fn later_or_graver_end_of_an_earlier_rollout_counts() {
    use fleet::RolloutEnd as End;
    struct Case {
        name: &'static str,
        told: [(u64, End); 2],
        is_allowed: bool,
    }
    let cases = [
        Case {
            name: "rolled back, as another peer says",
            told: [(5, End::Superseded), (5, End::RolledBack)],
            is_allowed: false,
        },
        Case {
            name: "completed, which was proved",
            told: [(5, End::Unproven), (5, End::Completed)],
            is_allowed: true,
        },
        Case {
            name: "rolled back for evidence",
            told: [(5, End::RolledBack), (5, End::Completed)],
            is_allowed: false,
        },
        Case {
            name: "ordered again since",
            told: [(7, End::Completed), (5, End::RolledBack)],
            is_allowed: true,
        },
    ];
    for case in cases {
        let mut canary = ordered_to("v3", 9);
        let snapshot = canary.snapshot(&"vm".parse().unwrap(), false, time::Tick(0));
        for (number, end) in case.told {
            let to = "v2".parse().unwrap();
            let earlier = vec![fleet::EarlierRollout { to, row: row(0, number), end }];
            canary.merge_earlier(&canary::Snapshot { earlier, ..snapshot.clone() });
        }
        assert_eq!(canary.allows(&"v2".parse().unwrap()), case.is_allowed, "{}", case.name);
    }
}

#[test]
fn stored_status_of_an_earlier_order_counts() {
    struct Case {
        name: &'static str,
        number: u64,
        progress: fleet::Progress,
        is_allowed: bool,
    }
    let rolled_back = fleet::Progress::RolledBack;
    let cases = [
        Case { name: "of an earlier order", number: 7, progress: rolled_back, is_allowed: false },
        Case { name: "written since", number: 11, progress: rolled_back, is_allowed: true },
        Case { name: "no end", number: 7, progress: fleet::Progress::Running, is_allowed: true },
    ];
    for case in cases {
        let mut canary = ordered_to("v3", 9);
        let to: id::VersionId = "v2".parse().unwrap();
        let status = fleet::Status {
            service: "pool".parse().unwrap(),
            to: to.clone(),
            progress: case.progress,
        };
        let is_new = canary.record_earlier(&status, row(0, case.number));
        assert_eq!(is_new, !case.is_allowed, "{}", case.name);
        assert_eq!(canary.allows(&to), case.is_allowed, "{}", case.name);
    }
}

// Guards against errors of a rolled-back version hiding those of the next one.
#[test]
fn answers_of_a_rolled_back_version_are_not_compared() {
    let mut last = ordered_to("v2", 5);
    last.merge_progress(fleet::Progress::RolledBack);
    let mut canary = ordered_to("v3", 9);
    canary.succeed(&last);
    let (own, route): (id::VmId, id::RouteId) = ("vm".parse().unwrap(), "r".parse().unwrap());
    for version in ["v1", "v2", "v3"] {
        let version = version.parse().unwrap();
        let at = time::Tick(2_000);
        canary.record_answer((&own, 1), &route, &version, canary::Outcome::Failed, at);
        canary.record_pace((&own, 1), &route, &version, time::Millis(50), at);
    }
    let totals = canary.totals();
    assert_eq!((totals.stable.all, totals.candidate.all), (1, 1));
}

#[test]
fn earlier_rollouts_are_remembered_in_a_limited_number() {
    let mut last = ordered_to("v1", 1);
    for number in 2..60 {
        last.merge_progress(fleet::Progress::RolledBack);
        let mut canary = ordered_to(&format!("v{number}"), number);
        canary.succeed(&last);
        last = canary;
    }
    assert_eq!(last.earlier().len(), 16);
    assert!(!last.allows(&"v58".parse().unwrap()) && last.allows(&"v2".parse().unwrap()));
    // What is too early to be remembered is no news, however often peers tell it.
    let told = fleet::EarlierRollout {
        to: "v2".parse().unwrap(),
        row: row(0, 2),
        end: fleet::RolloutEnd::RolledBack,
    };
    assert!(!last.record_told(told));
}
