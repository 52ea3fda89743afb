//! Resource usage of this process.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// Processor time that this process has used.
pub fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Resident memory of this process; 0 if the system does not report it.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Median and half of the interquartile range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// Half of the interquartile range.
    pub half_iqr: f64,
}

/// Summarises repeated measurements; all zero if there are none.
pub fn spread(mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        let index = ((values.len().saturating_sub(1)) as f64 * q).round() as usize;
        values.get(index).copied().unwrap_or_default()
    };
    Spread { median: quantile(0.5), half_iqr: (quantile(0.75) - quantile(0.25)) / 2.0 }
}
