//! A simulated daemon: the real lease keeper, configuration log and zone membership behind an
//! unreliable connection to the platform.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use ibishill_config::in_force;
use ibishill_core::{id, time, view};
use ibishill_decide::owner;
use ibishill_platform::{Platform, failure, table, vm};
use ibishill_state::lease::{self, keeper, membership};
use ibishill_state::log;

use super::{Ablation, Applied, world};

/// Duration of a lease.
pub const LEASE: time::Millis = time::Millis(12_000);

const RENEW_INTERVAL_MS: u64 = 4_000;
const JOIN_INTERVAL_MS: u64 = 500;
const POLL_INTERVAL_MS: u64 = 2_000;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

#[derive(Default)]
struct Flags {
    platform_cut: AtomicU64,
    peer_cut: AtomicU64,
    paused: AtomicU64,
    stopped: AtomicBool,
    leaving: AtomicBool,
}

/// One daemon; clones share its state.
#[derive(Clone)]
pub struct Daemon {
    /// VM on which it runs.
    pub vm: id::VmId,
    /// Its configuration log.
    pub log: log::Log,
    /// Its membership in the zone, which decides what it may admit.
    pub membership: membership::Membership,
    config: Arc<Mutex<Arc<in_force::InForce>>>,
    flags: Arc<Flags>,
    clock: keeper::Clock,
    keeper: Arc<Mutex<Option<keeper::Keeper>>>,
}

impl Daemon {
    /// Creates a daemon; [`Self::spawn_tasks`] starts it.
    pub fn new(world: &world::World, number: u64) -> Self {
        let vm: id::VmId = format!("vm-{number}").parse().expect("a valid name");
        let flags = Arc::new(Flags::default());
        let platform = faulty_platform(world, &flags);
        // Clocks have random offsets and run up to half a percent too fast or too slow.
        let (offset, rate) = (world.draw(1..1_000_000), world.draw(9_950..10_050));
        let clock_world = world.clone();
        let clock: keeper::Clock =
            Arc::new(move || time::Tick(offset + clock_world.now() * rate / 10_000));
        let keeper = keeper::Keeper::new(keeper::Config {
            rows: lease::Rows::new(platform.table.clone()),
            vms: platform.vms.clone(),
            zone: world::zone(),
            member: view::Member {
                vm: vm.clone(),
                peers: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            },
            process: number,
            lease: LEASE,
            clock: Arc::clone(&clock),
        });
        Self {
            vm,
            log: log::Log::new(&platform),
            membership: keeper.membership.clone(),
            config: Arc::default(),
            flags,
            clock,
            keeper: Arc::new(Mutex::new(Some(keeper))),
        }
    }

    /// Cuts the daemon off from the platform until this virtual time, in milliseconds.
    pub fn cut_platform(&self, until: u64) {
        self.flags.platform_cut.fetch_max(until, Ordering::Relaxed);
    }

    /// Cuts the daemon off from its peers until this virtual time, in milliseconds.
    pub fn cut_peers(&self, until: u64) {
        self.flags.peer_cut.fetch_max(until, Ordering::Relaxed);
    }

    /// Pauses the daemon until this virtual time, in milliseconds.
    pub fn pause(&self, until: u64) {
        self.flags.paused.fetch_max(until, Ordering::Relaxed);
    }

    /// Stops the daemon; if `graceful`, it leaves its zone's view first.
    pub fn stop(&self, graceful: bool) {
        let flag = if graceful { &self.flags.leaving } else { &self.flags.stopped };
        flag.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon has been stopped or told to leave.
    pub fn is_stopped(&self) -> bool {
        self.flags.stopped.load(Ordering::Relaxed) || self.flags.leaving.load(Ordering::Relaxed)
    }

    /// Whether the daemon is neither stopped nor paused at `now`.
    pub fn is_running(&self, now: u64) -> bool {
        !self.flags.stopped.load(Ordering::Relaxed)
            && now >= self.flags.paused.load(Ordering::Relaxed)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<in_force::InForce> {
        Arc::clone(&self.config.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn can_reach(&self, peer: &Self, now: u64) -> bool {
        let is_connected = |daemon: &Self| daemon.flags.peer_cut.load(Ordering::Relaxed) <= now;
        is_connected(self) && is_connected(peer) && peer.is_running(now)
    }

    /// Whether the daemon would admit to `endpoint` now.
    pub fn admits(&self, ablation: Ablation, endpoint: &id::EndpointId) -> bool {
        let owns = |view: &view::View| {
            owner::owner(view, endpoint).is_none_or(|owner| owner.vm == self.vm)
        };
        let now = (self.clock)();
        match ablation {
            Ablation::NoLease => {
                let view = self.membership.view();
                view.member(&self.vm).is_some() && owns(&view)
            }
            // Checks only the view in force, not the former owners.
            Ablation::NoTakeoverWait => {
                owns(&self.membership.view()) && now < self.membership.admits_until()
            }
            _ => self.membership.admits(now, owns),
        }
    }

    fn apply(&self, world: &world::World, next: in_force::InForce) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if next.version <= config.version && world.ablation != Ablation::NoVersionCheck {
            return;
        }
        let (version, at_ms) = (next.version.0, world.now());
        *config = Arc::new(next);
        let applied = Applied { vm: self.vm.clone(), version, at_ms };
        world.record(|history| history.applied.push(applied));
    }

    /// Starts the daemon's background tasks.
    pub fn spawn_tasks(&self, world: &world::World) {
        tokio::spawn(maintain_membership(self.clone(), world.clone()));
        tokio::spawn(poll_config(self.clone(), world.clone()));
        tokio::spawn(send_heartbeats(self.clone(), world.clone()));
    }
}

// Suspends the calling task while the daemon is paused, and for ever once it is stopped.
async fn wait_until_running(flags: &Flags, world: &world::World) {
    loop {
        if flags.stopped.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let until = flags.paused.load(Ordering::Relaxed);
        let now = world.now();
        if until <= now {
            return;
        }
        tokio::time::sleep(Duration::from_millis(until - now)).await;
    }
}

async fn call_platform<T, F>(
    flags: &Flags,
    world: &world::World,
    call: F,
) -> Result<T, failure::Failure>
where
    F: Future<Output = Result<T, failure::Failure>> + Send + 'static,
    T: Send + 'static,
{
    wait_until_running(flags, world).await;
    let unknown = |detail: &str| failure::Failure::Unknown { detail: detail.into() };
    if flags.platform_cut.load(Ordering::Relaxed) > world.now() {
        return Err(failure::Failure::NotApplied { detail: "cut off".into() });
    }
    // A call in flight takes effect even if its caller times out or is stopped.
    let mut in_flight = tokio::spawn(call);
    let reply = tokio::time::timeout(CALL_TIMEOUT, &mut in_flight).await;
    wait_until_running(flags, world).await;
    if flags.platform_cut.load(Ordering::Relaxed) > world.now() {
        return Err(unknown("cut off"));
    }
    match reply {
        Ok(Ok(reply)) => reply,
        _ => Err(unknown("timeout")),
    }
}

fn ablate(ablation: Ablation, mut transaction: table::Transaction) -> table::Transaction {
    let is_config = |name: &table::RowKey| name.table == "config";
    match ablation {
        Ablation::NoHeadCheck => transaction.checks.retain(|check| !is_config(&check.name)),
        Ablation::NoAudit => {
            // Only changes whose key ends in 8 lose their row, so that daemons run on for a while.
            transaction.writes.retain(|write| {
                !(is_config(&write.name)
                    && write.name.key.starts_with("change/")
                    && write.name.key.ends_with('8'))
            });
        }
        _ => {}
    }
    transaction
}

fn faulty_platform(world: &world::World, flags: &Arc<Flags>) -> Platform {
    let platform = world.memory.platform();
    let (commit_table, inner_vms) = (platform.table.clone(), platform.vms.clone());
    let (commit_world, read_world, list_world) = (world.clone(), world.clone(), world.clone());
    let clones = [Arc::clone(flags), Arc::clone(flags), Arc::clone(flags)];
    let [commit_flags, read_flags, list_flags] = clones;
    let read_table = commit_table.clone();
    let table = table::Table::new(
        move |transaction| {
            let (table, world, flags) =
                (commit_table.clone(), commit_world.clone(), Arc::clone(&commit_flags));
            let transaction = ablate(world.ablation, transaction);
            let call = async move { table.commit(transaction).await };
            async move { call_platform(&flags, &world, call).await }.boxed()
        },
        move |query| {
            let (table, world, flags) =
                (read_table.clone(), read_world.clone(), Arc::clone(&read_flags));
            let call = async move { table.read(query).await };
            async move { call_platform(&flags, &world, call).await }.boxed()
        },
    );
    let vms = vm::Vms::new(move || {
        let (vms, world, flags) = (inner_vms.clone(), list_world.clone(), Arc::clone(&list_flags));
        let call = async move { vms.list().await };
        async move { call_platform(&flags, &world, call).await }.boxed()
    });
    Platform { table, vms, ..platform }
}

async fn maintain_membership(daemon: Daemon, world: world::World) {
    let keeper = daemon.keeper.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut keeper) = keeper else { return };
    if world.ablation == Ablation::NoJoin {
        return;
    }
    while !daemon.flags.leaving.load(Ordering::Relaxed) {
        wait_until_running(&daemon.flags, &world).await;
        let _retry = keeper.step().await;
        let is_stable = keeper.membership.is_joined() && !keeper.in_transition();
        let wait = if is_stable { RENEW_INTERVAL_MS } else { JOIN_INTERVAL_MS };
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
    for _ in 0..3 {
        if keeper.leave().await.is_ok() {
            break;
        }
    }
    daemon.stop(false);
    world.publish_vms();
}

async fn poll_config(daemon: Daemon, world: world::World) {
    loop {
        wait_until_running(&daemon.flags, &world).await;
        let read = match world.ablation {
            // Reads the whole log again, which may be a stale copy.
            Ablation::NoVersionCheck => {
                daemon.log.catch_up(&in_force::InForce::default()).await.map(Some)
            }
            _ => daemon.log.poll(&daemon.config()).await,
        };
        wait_until_running(&daemon.flags, &world).await;
        if let Ok(Some(next)) = read {
            daemon.apply(&world, next);
        }
        let period = if world.ablation == Ablation::NoPoll {
            20 * POLL_INTERVAL_MS
        } else {
            POLL_INTERVAL_MS
        };
        let wait = world.draw(period / 2..period + period / 2);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

// Simulates the heartbeats over peer links, with the same calls to membership and log.
async fn send_heartbeats(daemon: Daemon, world: world::World) {
    loop {
        wait_until_running(&daemon.flags, &world).await;
        let view = daemon.membership.view();
        for peer in world.live() {
            if peer.vm != daemon.vm && view.member(&peer.vm).is_some() {
                tokio::spawn(heartbeat(daemon.clone(), peer, world.clone()));
            }
        }
        let wait = world.draw(HEARTBEAT_INTERVAL_MS / 2..HEARTBEAT_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

async fn heartbeat(daemon: Daemon, peer: Daemon, world: world::World) {
    let sent = (daemon.clock)();
    let number = daemon.membership.view().number;
    let wants_grant = daemon.membership.needs_grants(sent);
    tokio::time::sleep(Duration::from_millis(world.draw(0..10))).await;
    if !daemon.can_reach(&peer, world.now()) {
        return;
    }
    let received = (peer.clock)();
    peer.membership.record_heard(daemon.vm.clone(), received);
    let granted = match world.ablation {
        Ablation::NoPromise => wants_grant,
        _ => wants_grant && peer.membership.issue_grant(number, received),
    };
    let peer_config = peer.config();
    tokio::time::sleep(Duration::from_millis(world.draw(0..10))).await;
    wait_until_running(&daemon.flags, &world).await;
    if !daemon.can_reach(&peer, world.now()) {
        return;
    }
    daemon.membership.record_heard(peer.vm.clone(), (daemon.clock)());
    if granted {
        daemon.membership.record_grant(peer.vm.clone(), number, sent);
    }
    let current = daemon.config();
    if peer_config.version > current.version && world.ablation != Ablation::NoPoll {
        let changes = peer.log.delta(current.version);
        let next = changes.and_then(|changes| daemon.log.apply_delta(&current, changes).ok());
        daemon.apply(&world, next.unwrap_or_else(|| in_force::InForce::clone(&peer_config)));
    }
}
