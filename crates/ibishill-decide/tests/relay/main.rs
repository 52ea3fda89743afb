//! Decisions of the relay, each tested against the load that it is for.

mod balance;
mod canary;
mod contact;
mod doubt;
mod earlier_rollouts;
mod endpoint_limit;
mod escalation;
mod exposure;
mod exposure_cost;
mod exposure_ends;
mod fair_share;
mod forecast;
mod memory;
mod pace;
mod peers;
mod portion;
mod promise;
mod quarantine;
mod reach;
mod readers;
mod report_targets;
mod retry;
mod routing;
mod slot_share;
mod surge;
mod wait_queue;
mod zone_local;

use ibishill_core::{fleet, time};

// Bounds of a small deployment.
fn bounds() -> fleet::Bounds {
    fleet::Bounds {
        grace: time::Millis(8_000),
        drain: time::Millis(2_000),
        apply: time::Millis(2_000),
        retry_ratio: 0.9,
        retry_slack: 52.0,
        retry_window: time::Millis(10_000),
        expose_share: 0.15,
        session_gap: time::Millis(5_000),
    }
}
