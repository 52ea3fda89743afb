//! What goes wrong in a run, drawn from its seed.

use std::time::Duration;

use ibishill_standin::memory;
use rand::RngExt;

use super::{Span, world};

const FAULTS: u32 = 12;

/// Injects faults, which overlap, until there have been enough; then ends them all.
pub async fn inject(world: world::World) {
    for _ in 0..FAULTS {
        let wait = world.draw(0..5_000);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let lasting = world.draw(500..25_000);
        match world.draw(0..8) {
            0 => platform(&world, "outage", lasting, |faults| faults.outage = true),
            1 => platform(&world, "answer lost after the write", lasting, |faults| {
                faults.lose_after = 0.3;
            }),
            2 => platform(&world, "call lost before the write", lasting, |faults| {
                faults.lose_before = 0.3;
            }),
            3 => platform(&world, "slow store", lasting, |faults| faults.delay_ms = 3_000),
            4 => cut(&world, lasting),
            5 => part(&world, lasting),
            6 => pause(&world, lasting),
            _ => replace(&world),
        }
    }
}

fn platform<F>(world: &world::World, kind: &'static str, lasting: u64, set: F)
where
    F: Fn(&mut memory::Faults),
{
    world.count(kind);
    let mut faults = world.memory.faults();
    set(&mut faults);
    world.memory.set_faults(faults);
    let now = world.now();
    world.disturb(Span { vm: None, from: now, until: now + lasting });
    let ended = world.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(lasting)).await;
        // Where two faults overlap, the end of the first does not end the other.
        if ended.calm_at(ended.now()) {
            ended.memory.set_faults(world::base_faults());
        }
    });
}

// Cuts one daemon, or all of them but one, off from the platform.
fn cut(world: &world::World, lasting: u64) {
    // Longer than a lease, a takeover and the wait for former owners together.
    let until = world.now() + 2 * lasting;
    let but_one = world.draw(0..2) == 0;
    world.count(if but_one {
        "all but one cut from the platform"
    } else {
        "one cut from the platform"
    });
    let nodes = world.live();
    let chosen = world.draw(0..nodes.len() as u64) as usize;
    for (index, node) in nodes.iter().enumerate() {
        if (index == chosen) != but_one {
            node.cut(until);
            world.disturb(Span { vm: Some(node.vm.clone()), from: world.now(), until });
        }
    }
}

// Cuts one daemon off from its peers.
fn part(world: &world::World, lasting: u64) {
    world.count("one cut from its peers");
    let nodes = world.live();
    nodes[world.draw(0..nodes.len() as u64) as usize].part(world.now() + lasting);
}

fn pause(world: &world::World, lasting: u64) {
    world.count("pause over a lease");
    let nodes = world.live();
    let node = &nodes[world.draw(0..nodes.len() as u64) as usize];
    let until = world.now() + lasting;
    node.pause(until);
    world.disturb(Span { vm: Some(node.vm.clone()), from: world.now(), until });
}

fn replace(world: &world::World) {
    let graceful = world.draw(0..2) == 0;
    world.count(if graceful { "VM leaves and is replaced" } else { "VM lost and replaced" });
    let nodes = world.live();
    let node = &nodes[world.draw(0..nodes.len() as u64) as usize];
    let from = world.now();
    node.stop(graceful);
    world.disturb(Span { vm: Some(node.vm.clone()), from, until: u64::MAX });
    world.start();
}

/// Draws a number from a run's generator.
pub fn draw(rng: &mut rand_chacha::ChaCha8Rng, range: std::ops::Range<u64>) -> u64 {
    rng.random_range(range)
}
