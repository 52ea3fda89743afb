//! Free loopback ports for tests, outside the range of ephemeral ports.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{PoisonError, RwLock};

// Below the ephemeral ports: an outgoing connection could otherwise take a free port before the
// server binds it.
const PORTS: std::ops::Range<u32> = 12_000..32_000;
// Distance between the first ports that processes with successive ids try.
const PORTS_PER_PROCESS: u32 = 500;

static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

// Held for writing while a port is tried, for reading while a process starts: until it executes its
// program, it holds copies of all open sockets.
static TRIAL: RwLock<()> = RwLock::new(());

/// Returns a loopback address whose port is free for both TCP and UDP. Each call in a
/// process returns another port.
///
/// The port stays free only if this process starts others by [`spawn`].
pub fn free_address() -> SocketAddr {
    let base = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    let _trial = TRIAL.write().unwrap_or_else(PoisonError::into_inner);
    loop {
        let offset = base.wrapping_add(ATTEMPTS.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).unwrap_or(u16::MAX);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a process that holds no port which [`free_address`] returns.
///
/// # Errors
///
/// Fails as [`Command::spawn`] does.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _start = TRIAL.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
