//! What this process has used.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// Processor time of this process so far.
pub fn cpu() -> Duration {
    let spec = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::new(spec.tv_sec.unsigned_abs(), u32::try_from(spec.tv_nsec).unwrap_or_default())
}

/// Resident memory of this process, in bytes; 0 if the system does not tell.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Median and half of the distance between the quartiles.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// Half of the distance between the quartiles.
    pub half: f64,
}

/// Summarises repeated measurements; all zero if there are none.
pub fn spread(mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = ((values.len().saturating_sub(1)) as f64 * share).round() as usize;
        values.get(index).copied().unwrap_or_default()
    };
    Spread { median: at(0.5), half: (at(0.75) - at(0.25)) / 2.0 }
}
