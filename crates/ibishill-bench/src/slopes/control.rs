//! Control: what idle daemons cost, against how many of them share a zone.

use std::time::{Duration, Instant};

use ibishill_config::{change, declared};

use super::{deployment, process, source};
use crate::report;

/// A number of daemons, spread evenly over some zones.
#[derive(Debug, Clone, Copy)]
struct Size {
    daemons: usize,
    zones: usize,
}

/// The last of one zone is the stated size of a zone; the last has the stated number of zones.
const SIZES: [Size; 5] = [
    Size { daemons: 1, zones: 1 },
    Size { daemons: 10, zones: 1 },
    Size { daemons: 38, zones: 1 },
    Size { daemons: 76, zones: 1 },
    Size { daemons: 72, zones: 12 },
];

// Nothing is asked of the sources here.
const IDLE_PACE: source::Pace =
    source::Pace { first: Duration::ZERO, token: Duration::ZERO, tokens: 1 };

/// Time in which connections between daemons are made.
const SETTLE: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(6);

/// Time within which a change must be in force, from the stated target.
const IN_FORCE_MS: f64 = 8_000.0;
const POLL: Duration = Duration::from_millis(10);

/// Measures idle daemons at several sizes of a zone.
///
/// # Errors
///
/// Names what could not be started.
pub async fn measure() -> Result<Vec<report::Figure>, String> {
    let mut figures = Vec::new();
    for size in SIZES {
        figures.extend(measure_size(size).await?);
    }
    Ok(figures)
}

async fn measure_size(size: Size) -> Result<Vec<report::Figure>, String> {
    let resident = process::resident();
    let zone = |n: usize| format!("zone-{}", char::from(b'a' + (n % size.zones) as u8));
    let sites: Vec<_> = (0..size.daemons)
        .map(|n| deployment::Site { vm: format!("vm-{n}"), zone: zone(n) })
        .collect();
    let deployment = deployment::Deployment::start(&sites, IDLE_PACE).await?;
    tokio::time::sleep(SETTLE).await;
    let grown = process::resident().saturating_sub(resident) as f64;
    let (counts, cpu, start) = (deployment.memory.counts(), process::cpu(), Instant::now());
    let sent = traffic(&deployment);
    tokio::time::sleep(WINDOW).await;
    let sent = traffic(&deployment).saturating_sub(sent);
    let seconds = start.elapsed().as_secs_f64();
    let cpu = process::cpu().saturating_sub(cpu).as_secs_f64();
    let after = deployment.memory.counts();
    let each = |value: f64| value / size.daemons as f64;
    let rate = |now: u64, then: u64| each((now - then) as f64 / seconds);
    let name =
        |what: &str| format!("{what} per daemon, {} in {} zone(s)", size.daemons, size.zones);
    let mut figures = vec![
        report::Figure::new(name("processor"), "% of a core", each(cpu / seconds) * 100.0)
            .bound(report::Bound::AtMost(3.1)),
        report::Figure::new(name("memory"), "MiB", each(grown) / 1_048_576.0)
            .bound(report::Bound::AtMost(64.0)),
        // Each byte is sent by one daemon and received by another.
        report::Figure::new(name("traffic"), "KB/s", each(2.0 * sent as f64 / seconds) / 1_000.0)
            .bound(report::Bound::AtMost(12.0)),
        report::Figure::new(name("platform reads"), "1/s", rate(after.reads, counts.reads)),
        report::Figure::new(name("platform writes"), "1/s", rate(after.writes, counts.writes)),
    ];
    figures.push(in_force(&deployment, size).await?);
    deployment.stop().await;
    Ok(figures)
}

// Every connection is counted at the side that opened it.
fn traffic(deployment: &deployment::Deployment) -> u64 {
    deployment.daemons.iter().map(|daemon| daemon.context.link.traffic_bytes()).sum()
}

async fn in_force(
    deployment: &deployment::Deployment,
    size: Size,
) -> Result<report::Figure, String> {
    let version = deployment.daemons[0].context.config.get().version.next();
    let region = "region-1".parse().map_err(|_| "a region's name is not valid")?;
    let zone = declared::Zone { region, state: declared::AdminState::In };
    let name = "zone-new".parse().map_err(|_| "a zone's name is not valid")?;
    let start = Instant::now();
    deployment.accept(version.0, vec![change::Step::PutZone(name, zone)]).await?;
    let behind =
        |daemon: &ibishill_daemon::start::Daemon| daemon.context.config.get().version < version;
    while deployment.daemons.iter().any(behind) {
        if start.elapsed().as_secs_f64() * 1_000.0 > 2.0 * IN_FORCE_MS {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    let took = start.elapsed().as_secs_f64() * 1_000.0;
    let title = format!("a change in force everywhere, {} in {} zone(s)", size.daemons, size.zones);
    Ok(report::Figure::new(title, "ms", took).bound(report::Bound::AtMost(IN_FORCE_MS)))
}
