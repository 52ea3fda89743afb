//! Runs daemons, operators and faults, and samples admission.

use std::time::Duration;

use ibishill_config::{change, declared};
use ibishill_core::{id, time};
use ibishill_state::{error::StateError, log};

use super::{Ablation, History, Outcome, Proposal, fault, world};

const DAEMONS: u64 = 3;

/// Number of daemons in a small zone, which one seed in [`SMALL_ZONE_SEEDS`] has.
const SMALL_ZONE_DAEMONS: u64 = 2;
const SMALL_ZONE_SEEDS: u64 = 4;
const OPERATORS: usize = 3;
const ENDPOINTS: u32 = 8;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const PROPOSALS_MS: u64 = 60_000;
/// By then the last fault has ended and the endpoints of expired leases have new owners.
const RUN_MS: u64 = 170_000;

/// Runs `seed` with faults drawn from it, and returns the recorded history.
pub fn run(seed: u64, ablation: Ablation) -> History {
    run_with(seed, ablation, fault::inject)
}

/// Runs `seed` with the faults that `inject` causes.
pub fn run_with<I, F>(seed: u64, ablation: Ablation, inject: I) -> History
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
        let world = world::World::new(seed, ablation);
        let faults = inject(world.clone());
        let is_small = seed % SMALL_ZONE_SEEDS == SMALL_ZONE_SEEDS - 1;
        drive(world, if is_small { SMALL_ZONE_DAEMONS } else { DAEMONS }, faults).await
    })
}

async fn drive<F>(world: world::World, daemons: u64, faults: F) -> History
where
    F: Future<Output = ()> + Send + 'static,
{
    for _ in 0..daemons {
        world.start_daemon();
    }
    let faults = tokio::spawn(faults);
    for operator in 0..OPERATORS {
        tokio::spawn(run_operator(world.clone(), operator));
    }
    while world.now() < RUN_MS {
        sample_admission(&world);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let _done = faults.await;
    world.memory.set_faults(Default::default());
    record_final_state(&world).await;
    world.history()
}

fn endpoints() -> impl Iterator<Item = id::EndpointId> {
    (0..ENDPOINTS).map(|number| format!("endpoint-{number}").parse().expect("a valid name"))
}

fn sample_admission(world: &world::World) {
    let now = world.now();
    let daemons = world.daemons();
    for endpoint in endpoints() {
        let admitting: Vec<_> = daemons
            .iter()
            .filter(|daemon| daemon.is_running(now) && daemon.admits(world.ablation, &endpoint))
            .map(|daemon| daemon.vm.to_string())
            .collect();
        world.record(|history| {
            history.samples += 1;
            if admitting.len() > 1 {
                history.overlaps.push(format!("{now} ms: {endpoint} by {}", admitting.join(", ")));
            }
        });
    }
}

async fn run_operator(world: world::World, operator: usize) {
    let mut number = 0;
    while world.now() < PROPOSALS_MS {
        let wait = world.draw(200..3_000);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        number += 1;
        propose(&world, operator, number).await;
    }
}

async fn propose(world: &world::World, operator: usize, number: u64) {
    let daemons = world.live();
    let daemon = daemons[world.draw(0..daemons.len() as u64) as usize].clone();
    let unconditional = world.draw(0..4) == 0;
    let expected = Some(daemon.config().version).filter(|_| !unconditional);
    let zone = declared::Zone {
        region: "region".parse().expect("a valid name"),
        state: Default::default(),
    };
    let proposal = log::Proposal {
        id: format!("change-{operator}-{number}").parse().expect("a valid name"),
        author: format!("operator-{operator}").parse().expect("a valid name"),
        action: "apply".into(),
        expected,
        steps: vec![change::Step::PutZone(world::zone(), zone)],
    };
    let (call_position, called_ms) = (world.position(), world.now());
    let accepting = daemon.log.accept(&proposal, time::Tick(called_ms));
    // The daemon may be stopped while the operator waits, so the wait is bounded.
    let reply = tokio::time::timeout(Duration::from_secs(40), accepting).await;
    let outcome = match reply {
        Ok(Ok(change)) => Outcome::Accepted(change.version.0),
        Ok(Err(StateError::Conflict { winner, .. })) => Outcome::Conflict(winner.version.0),
        Ok(Err(StateError::Undecided)) | Err(_) => Outcome::Unknown,
        Ok(Err(_)) => Outcome::NotDone,
    };
    let record = Proposal {
        id: proposal.id,
        operator,
        expected: expected.map(|version| version.0),
        called_ms,
        answered_ms: world.now(),
        call_position,
        reply_position: world.position(),
        outcome,
    };
    world.record(|history| history.proposals.push(record));
}

async fn record_final_state(world: &world::World) {
    let log = log::Log::new(&world.memory.platform());
    let mut entries = Vec::new();
    let mut version = change::ConfigVersion(0);
    while let Ok(page) = log.tail(version).await {
        let Some(last) = page.last() else { break };
        version = last.version;
        entries.extend(page);
    }
    let daemons = world.live();
    let unowned = endpoints()
        .filter(|endpoint| !daemons.iter().any(|daemon| daemon.admits(world.ablation, endpoint)));
    let unowned: Vec<_> = unowned.map(|endpoint| format!("{endpoint} has no owner")).collect();
    world.record(|history| {
        history.log = entries;
        history.unowned = unowned;
    });
}
