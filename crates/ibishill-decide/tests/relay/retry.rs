use ibishill_core::time;
use ibishill_decide::retry;

use crate::bounds;

struct Load {
    name: &'static str,
    daemons: usize,
    // Requests of one daemon in each interval of 100 ms, by the interval's index.
    rate: fn(u64) -> u64,
}

// Every request asks for three retries. The retries of all daemons in any window have to stay
// within the deployment's bounds.
#[test]
fn retries_of_all_daemons_stay_within_deployment_bounds() {
    let loads = [
        Load { name: "steady", daemons: 6, rate: |_| 1 },
        Load { name: "idle but for a few", daemons: 83, rate: |at| u64::from(at % 60 == 0) },
        Load { name: "a burst", daemons: 6, rate: |at| if at > 200 { 10 } else { 1 } },
        Load { name: "a burst that ends", daemons: 6, rate: |at| if at < 200 { 10 } else { 1 } },
        Load { name: "on and off", daemons: 10, rate: |at| 6 * u64::from((at / 50) % 2 == 0) },
    ];
    for load in loads {
        let mut daemons = vec![retry::Allowance::default(); load.daemons];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for at in 0..600 {
            let now = time::Tick(1_000_000 + at * 100);
            let (mut requested, mut granted) = (0, 0);
            for daemon in &mut daemons {
                for _ in 0..(load.rate)(at) {
                    requested += 1;
                    daemon.record_request(&bounds(), now);
                    for _ in 0..3 {
                        granted += u64::from(daemon.try_acquire(&bounds(), load.daemons, now));
                    }
                }
            }
            requests.push(requested);
            retries.push(granted);
        }
        for from in 100..500 {
            let sum = |counts: &[u64], from: usize| counts[from..from + 100].iter().sum::<u64>();
            // The deployment may count the requests of this window, of the one before, or of one
            // that overlaps both.
            let counted = [from, from - 50, from - 100].map(|from| sum(&requests, from));
            let allowed = *counted.iter().max().unwrap() as f64 * 0.9 + 52.0;
            let granted = sum(&retries, from) as f64;
            assert!(granted <= allowed, "{} at {from}: {granted} of {allowed}", load.name);
        }
        assert!(retries.iter().sum::<u64>() > 0, "{}", load.name);
    }
}

#[test]
fn unused_retries_are_available_when_streams_break_together() {
    let mut daemon = retry::Allowance::default();
    for at in 0..100 {
        daemon.record_request(&bounds(), time::Tick(at * 100));
    }
    let now = time::Tick(9_999);
    let granted = (0..200).filter(|_| daemon.try_acquire(&bounds(), 6, now)).count();
    assert!(granted > 60, "{granted}");
}
