//! The clocks that a daemon reads; decisions only ever see their readings.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::time;

/// Reads the clock that goes on while the VM is suspended.
///
/// A lease that is checked against this clock has lapsed when a paused daemon wakes up.
pub fn boot_now() -> time::Tick {
    let spec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let millis = spec.tv_sec.unsigned_abs() * 1_000 + spec.tv_nsec.unsigned_abs() / 1_000_000;
    time::Tick(millis)
}

/// Reads the wall clock, in milliseconds since 1970, for records that people read.
pub fn wall_now() -> time::Tick {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time::Tick(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
