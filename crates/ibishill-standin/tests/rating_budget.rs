//! The rate budget before the rating service.

use ibishill_core::time;
use ibishill_platform::{budget, failure, rating};
use ibishill_standin::memory;

const NONE: budget::Rate = budget::Rate { per_second: 0, burst: 0 };

#[tokio::test]
async fn ratings_over_the_budget_are_refused_and_do_not_use_up_others() {
    let platform = memory::Memory::new(1).platform();
    let rates = budget::Rates {
        reads: NONE,
        writes: NONE,
        ratings: budget::Rate { per_second: 1, burst: 2 },
    };
    let limited = budget::limit(&platform, rates, || time::Tick(0));
    let question = rating::Request {
        request: "req-1".parse().unwrap(),
        workspace: "w".parse().unwrap(),
        version: "m@v1".parse().unwrap(),
        prompt: "[]".into(),
        answer: "text".into(),
    };
    for passes in [true, true, false] {
        let rated = limited.ratings.rate(question.clone()).await;
        let refused = matches!(rated, Err(failure::Failure::NotApplied { .. }));
        assert_eq!(!refused, passes, "{rated:?}");
    }
}
