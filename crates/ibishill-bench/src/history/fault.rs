//! Faults of a run, drawn from its seed.

use std::time::Duration;

use ibishill_standin::memory;
use rand::RngExt;

use super::{Disturbance, world};

const FAULT_COUNT: u32 = 12;

/// Injects a fixed number of faults, which may overlap; the temporary ones end on their own.
pub async fn inject(world: world::World) {
    for _ in 0..FAULT_COUNT {
        let wait = world.draw(0..5_000);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let duration_ms = world.draw(500..25_000);
        match world.draw(0..8) {
            0 => platform_fault(&world, "outage", duration_ms, |faults| faults.outage = true),
            1 => platform_fault(&world, "answer lost after the write", duration_ms, |faults| {
                faults.lose_after = 0.3;
            }),
            2 => platform_fault(&world, "call lost before the write", duration_ms, |faults| {
                faults.lose_before = 0.3;
            }),
            3 => {
                platform_fault(&world, "slow store", duration_ms, |faults| faults.delay_ms = 3_000)
            }
            4 => cut_platform(&world, duration_ms),
            5 => cut_peers(&world, duration_ms),
            6 => pause(&world, duration_ms),
            _ => replace_vm(&world),
        }
    }
}

fn platform_fault<F>(world: &world::World, kind: &'static str, duration_ms: u64, set: F)
where
    F: Fn(&mut memory::Faults),
{
    world.count_fault(kind);
    let mut faults = world.memory.faults();
    set(&mut faults);
    world.memory.set_faults(faults);
    let now = world.now();
    world.record_disturbance(Disturbance { vm: None, from: now, until: now + duration_ms });
    let world = world.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
        // Where two faults overlap, the end of the first must not end the other.
        if world.is_undisturbed(world.now()) {
            world.memory.set_faults(world::base_faults());
        }
    });
}

// Cuts one daemon, or all but one, off from the platform.
fn cut_platform(world: &world::World, duration_ms: u64) {
    // Doubled, so that a cut can outlast a lease, a takeover and the wait for former owners
    // together.
    let until = world.now() + 2 * duration_ms;
    let all_but_one = world.draw(0..2) == 0;
    world.count_fault(if all_but_one {
        "all but one cut from the platform"
    } else {
        "one cut from the platform"
    });
    let daemons = world.live();
    let chosen = world.draw(0..daemons.len() as u64) as usize;
    for (index, daemon) in daemons.iter().enumerate() {
        if (index == chosen) != all_but_one {
            daemon.cut_platform(until);
            world.record_disturbance(Disturbance {
                vm: Some(daemon.vm.clone()),
                from: world.now(),
                until,
            });
        }
    }
}

// Cuts one daemon off from its peers.
fn cut_peers(world: &world::World, duration_ms: u64) {
    world.count_fault("one cut from its peers");
    let daemons = world.live();
    daemons[world.draw(0..daemons.len() as u64) as usize].cut_peers(world.now() + duration_ms);
}

fn pause(world: &world::World, duration_ms: u64) {
    world.count_fault("pause over a lease");
    let daemons = world.live();
    let daemon = &daemons[world.draw(0..daemons.len() as u64) as usize];
    let until = world.now() + duration_ms;
    daemon.pause(until);
    world.record_disturbance(Disturbance { vm: Some(daemon.vm.clone()), from: world.now(), until });
}

fn replace_vm(world: &world::World) {
    let graceful = world.draw(0..2) == 0;
    world.count_fault(if graceful { "VM leaves and is replaced" } else { "VM lost and replaced" });
    let daemons = world.live();
    let daemon = &daemons[world.draw(0..daemons.len() as u64) as usize];
    let from = world.now();
    daemon.stop(graceful);
    world.record_disturbance(Disturbance { vm: Some(daemon.vm.clone()), from, until: u64::MAX });
    world.start_daemon();
}

/// Draws a number from a run's generator.
pub fn draw(rng: &mut rand_chacha::ChaCha8Rng, range: std::ops::Range<u64>) -> u64 {
    rng.random_range(range)
}
