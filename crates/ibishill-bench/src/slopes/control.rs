//! Cost of the control plane: what idle daemons use, by the number that share a zone.

use std::time::{Duration, Instant};

use ibishill_config::{change, declared};

use super::{deployment, engine, process};
use crate::report;

/// Number of daemons, spread evenly over the zones.
#[derive(Debug, Clone, Copy)]
struct Size {
    daemons: usize,
    zones: usize,
}

/// The largest with one zone has the target size of a zone; the last has the target number of
/// zones.
const SIZES: [Size; 5] = [
    Size { daemons: 1, zones: 1 },
    Size { daemons: 10, zones: 1 },
    Size { daemons: 38, zones: 1 },
    Size { daemons: 76, zones: 1 },
    Size { daemons: 72, zones: 12 },
];

// No requests are sent to the engines.
const IDLE_PACE: engine::Pace =
    engine::Pace { first_token: Duration::ZERO, token_interval: Duration::ZERO, token_count: 1 };

/// Time for the daemons to connect to each other.
const SETTLE_TIME: Duration = Duration::from_secs(12);
const MEASURE_TIME: Duration = Duration::from_secs(6);

/// Target for the time from the acceptance of a change until it is in force everywhere.
const IN_FORCE_MS: f64 = 8_000.0;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Measures idle daemons at several deployment sizes.
///
/// # Errors
///
/// Returns an error if a daemon fails to start or the change is not accepted.
pub async fn measure() -> Result<Vec<report::Figure>, String> {
    let mut figures = Vec::new();
    for size in SIZES {
        figures.extend(measure_size(size).await?);
    }
    Ok(figures)
}

async fn measure_size(size: Size) -> Result<Vec<report::Figure>, String> {
    let resident_before = process::resident_bytes();
    let zone = |n: usize| format!("zone-{}", char::from(b'a' + (n % size.zones) as u8));
    let sites: Vec<_> = (0..size.daemons)
        .map(|n| deployment::Site { vm: format!("vm-{n}"), zone: zone(n) })
        .collect();
    let deployment = deployment::Deployment::start(&sites, IDLE_PACE).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let grown_bytes = process::resident_bytes().saturating_sub(resident_before) as f64;
    let (counts_before, cpu_before, start) =
        (deployment.memory.counts(), process::cpu_time(), Instant::now());
    let sent_bytes = traffic_bytes(&deployment);
    tokio::time::sleep(MEASURE_TIME).await;
    let sent_bytes = traffic_bytes(&deployment).saturating_sub(sent_bytes);
    let seconds = start.elapsed().as_secs_f64();
    let cpu_used = process::cpu_time().saturating_sub(cpu_before).as_secs_f64();
    let counts_after = deployment.memory.counts();
    let per_daemon = |value: f64| value / size.daemons as f64;
    let rate = |after: u64, before: u64| per_daemon((after - before) as f64 / seconds);
    let name =
        |what: &str| format!("{what} per daemon, {} in {} zone(s)", size.daemons, size.zones);
    let mut figures = vec![
        report::Figure::new(
            name("processor"),
            "% of a core",
            per_daemon(cpu_used / seconds) * 100.0,
        )
        .bound(report::Bound::AtMost(3.1)),
        report::Figure::new(name("memory"), "MiB", per_daemon(grown_bytes) / 1_048_576.0)
            .bound(report::Bound::AtMost(64.0)),
        // Each byte is sent by one daemon and received by another.
        report::Figure::new(
            name("traffic"),
            "KB/s",
            per_daemon(2.0 * sent_bytes as f64 / seconds) / 1_000.0,
        )
        .bound(report::Bound::AtMost(12.0)),
        report::Figure::new(
            name("platform reads"),
            "1/s",
            rate(counts_after.reads, counts_before.reads),
        ),
        report::Figure::new(
            name("platform writes"),
            "1/s",
            rate(counts_after.writes, counts_before.writes),
        ),
    ];
    figures.push(measure_in_force(&deployment, size).await?);
    deployment.stop().await;
    Ok(figures)
}

// Every connection is counted on the side that opened it.
fn traffic_bytes(deployment: &deployment::Deployment) -> u64 {
    deployment.daemons.iter().map(|daemon| daemon.context.link.traffic_bytes()).sum()
}

async fn measure_in_force(
    deployment: &deployment::Deployment,
    size: Size,
) -> Result<report::Figure, String> {
    let version = deployment.daemons[0].context.config.get().version.next();
    let region = "region-1".parse().map_err(|_| "invalid region name")?;
    let zone = declared::Zone { region, state: declared::AdminState::In };
    let name = "zone-new".parse().map_err(|_| "invalid zone name")?;
    let start = Instant::now();
    deployment.accept(version.0, vec![change::Step::PutZone(name, zone)]).await?;
    let is_behind =
        |daemon: &ibishill_daemon::start::Daemon| daemon.context.config.get().version < version;
    while deployment.daemons.iter().any(is_behind) {
        if start.elapsed().as_secs_f64() * 1_000.0 > 2.0 * IN_FORCE_MS {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let took_ms = start.elapsed().as_secs_f64() * 1_000.0;
    let title = format!("a change in force everywhere, {} in {} zone(s)", size.daemons, size.zones);
    Ok(report::Figure::new(title, "ms", took_ms).bound(report::Bound::AtMost(IN_FORCE_MS)))
}
