use ibishill_core::time;
use ibishill_decide::retry;

use crate::bounds;

struct Load {
    name: &'static str,
    daemons: usize,
    // Requests of one daemon in each tenth of a second, by its number.
    rate: fn(u64) -> u64,
}

// Every request wants three further attempts; what all daemons take in any window stays
// within what the deployment allows.
#[test]
fn daemons_together_keep_within_the_budget() {
    let loads = [
        Load { name: "steady", daemons: 6, rate: |_| 1 },
        Load { name: "idle but for a few", daemons: 83, rate: |at| u64::from(at % 60 == 0) },
        Load { name: "a burst", daemons: 6, rate: |at| if at > 200 { 10 } else { 1 } },
        Load { name: "a burst that ends", daemons: 6, rate: |at| if at < 200 { 10 } else { 1 } },
        Load { name: "on and off", daemons: 10, rate: |at| 6 * u64::from((at / 50) % 2 == 0) },
    ];
    for load in loads {
        let mut daemons = vec![retry::Allowance::default(); load.daemons];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for at in 0..600 {
            let now = time::Tick(1_000_000 + at * 100);
            let (mut asked, mut taken) = (0, 0);
            for daemon in &mut daemons {
                for _ in 0..(load.rate)(at) {
                    asked += 1;
                    daemon.record_request(&bounds(), now);
                    for _ in 0..3 {
                        taken += u64::from(daemon.try_acquire(&bounds(), load.daemons, now));
                    }
                }
            }
            requests.push(asked);
            repeats.push(taken);
        }
        for from in 100..500 {
            let sum = |counts: &[u64], from: usize| counts[from..from + 100].iter().sum::<u64>();
            // The deployment counts requests of this window, the one before or between them.
            let most = [from, from - 50, from - 100].map(|from| sum(&requests, from));
            let allowed = *most.iter().max().unwrap() as f64 * 0.9 + 52.0;
            let taken = sum(&repeats, from) as f64;
            assert!(taken <= allowed, "{} at {from}: {taken} of {allowed}", load.name);
        }
        assert!(repeats.iter().sum::<u64>() > 0, "{}", load.name);
    }
}

#[test]
fn what_calm_seconds_leave_over_is_there_when_streams_break_together() {
    let mut daemon = retry::Allowance::default();
    for at in 0..100 {
        daemon.record_request(&bounds(), time::Tick(at * 100));
    }
    let now = time::Tick(9_999);
    let taken = (0..200).filter(|_| daemon.try_acquire(&bounds(), 6, now)).count();
    assert!(taken > 60, "{taken}");
}
