//! How each cost of a daemon grows, measured on one machine with small stand-ins.
//!
//! docs/CAPACITY.md multiplies these slopes by the stated size.

pub mod control;
pub mod deployment;
pub mod path;
pub mod process;
pub mod source;

use std::io;

use crate::report;

/// Which slopes to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The request path and control.
    All,
    /// Control alone.
    Control,
}

/// Measures the slopes of `part`.
///
/// # Errors
///
/// Names what could not be started or did not answer.
pub fn run(part: Part, seed: u64) -> Result<report::Report, String> {
    // The daemons' events would stand between the figures.
    let silent = simplelog::Config::default();
    let logger = simplelog::WriteLogger::init(simplelog::LevelFilter::Off, silent, io::sink());
    logger.map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let measured = runtime.block_on(measure(part));
    // Servers of the stand-ins have no end of their own.
    runtime.shutdown_background();
    let figures = measured?;
    Ok(report::Report { name: "slopes".into(), seed, figures, ..report::Report::default() })
}

async fn measure(part: Part) -> Result<Vec<report::Figure>, String> {
    let mut figures = Vec::new();
    if part == Part::All {
        figures.extend(path::measure().await?);
    }
    figures.extend(control::measure().await?);
    Ok(figures)
}
