//! Free loopback ports.

use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use ibishill_standin::port::{free_address, spawn};

const PROCESSES: u32 = 400;

#[test]
fn free_port_is_not_held_by_a_process_that_is_being_started() {
    let started = AtomicU32::new(0);
    let failures = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while started.fetch_add(1, Ordering::Relaxed) < PROCESSES {
                    spawn(&mut Command::new("true")).unwrap().wait().unwrap();
                }
            });
        }
        let mut failures = 0;
        while started.load(Ordering::Relaxed) < PROCESSES {
            let address = free_address();
            let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
            failures += u32::from(!is_free);
        }
        failures
    });
    assert_eq!(failures, 0);
}
