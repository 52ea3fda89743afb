//! Rate budget of the rating service, which is separate from those of reads and writes.

use ibishill_core::time;
use ibishill_platform::{budget, failure, rating};
use ibishill_standin::memory;

const UNUSED: budget::Rate = budget::Rate { per_second: 0, burst: 0 };

#[tokio::test]
async fn ratings_over_their_own_budget_are_refused() {
    let platform = memory::Memory::new(1).platform();
    let rates = budget::Rates {
        reads: UNUSED,
        writes: UNUSED,
        ratings: budget::Rate { per_second: 1, burst: 2 },
    };
    let limited = budget::limit(&platform, rates, || time::Tick(0));
    let request = rating::Request {
        request: "req-1".parse().unwrap(),
        workspace: "w".parse().unwrap(),
        version: "m@v1".parse().unwrap(),
        prompt: "[]".into(),
        answer: "text".into(),
    };
    for is_admitted in [true, true, false] {
        let rated = limited.ratings.rate(request.clone()).await;
        let is_refused = matches!(rated, Err(failure::Failure::NotApplied { .. }));
        assert_eq!(!is_refused, is_admitted, "{rated:?}");
    }
}
