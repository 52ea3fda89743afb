//! Clocks of a daemon. Decision code does not read them; it receives their readings as input.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::time;

/// Reads the boot clock, which keeps running while the VM is suspended.
///
/// A daemon that resumes after a long suspension therefore sees that its lease has expired.
pub fn boot_now() -> time::Tick {
    let spec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let millis = spec.tv_sec.unsigned_abs() * 1_000 + spec.tv_nsec.unsigned_abs() / 1_000_000;
    time::Tick(millis)
}

/// Reads the wall clock, in milliseconds since 1970 (Unix epoch), for records that people read.
pub fn wall_now() -> time::Tick {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time::Tick(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
