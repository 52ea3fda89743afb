//! Growth of each cost of a daemon with its load, measured on one host with small stand-ins.
//!
//! `docs/CAPACITY.md` extrapolates from these slopes to the target size.

pub mod control;
pub mod deployment;
pub mod engine;
pub mod path;
pub mod process;

use std::io;

use crate::report;

/// Which slopes to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The request path and the control plane.
    All,
    /// The control plane alone.
    Control,
}

/// Measures the slopes of `scope`.
///
/// # Errors
///
/// Returns an error if a daemon or engine fails to start or to respond.
pub fn run(scope: Scope, seed: u64) -> Result<report::Report, String> {
    // Keeps the daemons' log out of the report.
    let config = simplelog::Config::default();
    let logger = simplelog::WriteLogger::init(simplelog::LevelFilter::Off, config, io::sink());
    logger.map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let measured = runtime.block_on(measure(scope));
    // The servers of the stand-ins never finish.
    runtime.shutdown_background();
    let figures = measured?;
    Ok(report::Report { name: "slopes".into(), seed, figures, ..report::Report::default() })
}

async fn measure(scope: Scope) -> Result<Vec<report::Figure>, String> {
    let mut figures = Vec::new();
    if scope == Scope::All {
        figures.extend(path::measure().await?);
    }
    figures.extend(control::measure().await?);
    Ok(figures)
}
