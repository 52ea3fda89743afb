//! One run: daemons, operators, faults, and the samples of admission.

use std::time::Duration;

use ibishill_config::{change, declared};
use ibishill_core::{id, time};
use ibishill_state::{error::StateError, log};

use super::{Breakage, End, History, Order, fault, world};

const DAEMONS: u64 = 3;

/// Daemons of a small zone, which one seed in four has.
const FEW_DAEMONS: u64 = 2;
const SMALL_ZONE_SEEDS: u64 = 4;
const OPERATORS: usize = 3;
const ENDPOINTS: u32 = 8;
const SAMPLE: Duration = Duration::from_millis(50);
const ORDERS_MS: u64 = 60_000;
/// The last fault has ended by then, and what has lapsed has been taken over.
const RUN_MS: u64 = 170_000;

/// Runs `seed` with faults drawn from it, and returns what was recorded.
pub fn run(seed: u64, breakage: Breakage) -> History {
    run_with(seed, breakage, fault::inject)
}

/// Runs `seed` with the faults that `inject` brings about.
pub fn run_with<I, F>(seed: u64, breakage: Breakage, inject: I) -> History
where
    I: FnOnce(world::World) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without sockets starts");
    runtime.block_on(async {
        let world = world::World::new(seed, breakage);
        let faults = inject(world.clone());
        let few = seed % SMALL_ZONE_SEEDS == SMALL_ZONE_SEEDS - 1;
        drive(world, if few { FEW_DAEMONS } else { DAEMONS }, faults).await
    })
}

async fn drive<F>(world: world::World, daemons: u64, faults: F) -> History
where
    F: Future<Output = ()> + Send + 'static,
{
    for _ in 0..daemons {
        world.start();
    }
    let faults = tokio::spawn(faults);
    for operator in 0..OPERATORS {
        tokio::spawn(operate(world.clone(), operator));
    }
    while world.now() < RUN_MS {
        sample(&world);
        tokio::time::sleep(SAMPLE).await;
    }
    let _done = faults.await;
    world.memory.set_faults(Default::default());
    finish(&world).await;
    world.history()
}

fn endpoints() -> impl Iterator<Item = id::EndpointId> {
    (0..ENDPOINTS).map(|number| format!("endpoint-{number}").parse().expect("a valid name"))
}

fn sample(world: &world::World) {
    let now = world.now();
    let nodes = world.nodes();
    for endpoint in endpoints() {
        let admitting: Vec<_> = nodes
            .iter()
            .filter(|node| node.runs(now) && node.admits(world.breakage, &endpoint))
            .map(|node| node.vm.to_string())
            .collect();
        world.record(|history| {
            history.samples += 1;
            if admitting.len() > 1 {
                history.overlaps.push(format!("{now} ms: {endpoint} by {}", admitting.join(", ")));
            }
        });
    }
}

async fn operate(world: world::World, operator: usize) {
    let mut number = 0;
    while world.now() < ORDERS_MS {
        let wait = world.draw(200..3_000);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        number += 1;
        order(&world, operator, number).await;
    }
}

async fn order(world: &world::World, operator: usize, number: u64) {
    let nodes = world.live();
    let node = nodes[world.draw(0..nodes.len() as u64) as usize].clone();
    let blind = world.draw(0..4) == 0;
    let expected = Some(node.config().version).filter(|_| !blind);
    let zone = declared::Zone {
        region: "region".parse().expect("a valid name"),
        state: Default::default(),
    };
    let order = log::Proposal {
        id: format!("change-{operator}-{number}").parse().expect("a valid name"),
        author: format!("operator-{operator}").parse().expect("a valid name"),
        action: "apply".into(),
        expected,
        steps: vec![change::Step::PutZone(world::zone(), zone)],
    };
    let (first, called) = (world.position(), world.now());
    let accepting = node.log.accept(&order, time::Tick(called));
    // The daemon may be lost while the operator waits.
    let answer = tokio::time::timeout(Duration::from_secs(40), accepting).await;
    let end = match answer {
        Ok(Ok(change)) => End::Accepted(change.version.0),
        Ok(Err(StateError::Conflict { winner, .. })) => End::Conflict(winner.version.0),
        Ok(Err(StateError::Undecided)) | Err(_) => End::Unknown,
        Ok(Err(_)) => End::NotDone,
    };
    let record = Order {
        id: order.id,
        operator,
        expected: expected.map(|version| version.0),
        called,
        answered: world.now(),
        first,
        last: world.position(),
        end,
    };
    world.record(|history| history.orders.push(record));
}

async fn finish(world: &world::World) {
    let log = log::Log::new(&world.memory.platform());
    let mut entries = Vec::new();
    let mut version = change::ConfigVersion(0);
    while let Ok(page) = log.tail(version).await {
        let Some(last) = page.last() else { break };
        version = last.version;
        entries.extend(page);
    }
    let nodes = world.live();
    let idle = endpoints()
        .filter(|endpoint| !nodes.iter().any(|node| node.admits(world.breakage, endpoint)));
    let idle: Vec<_> = idle.map(|endpoint| format!("{endpoint} has no owner")).collect();
    world.record(|history| {
        history.log = entries;
        history.idle = idle;
    });
}
