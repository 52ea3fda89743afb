//! A daemon of a run: the real keeper, log and standing behind a faulty connection.

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

use super::{Applied, Breakage, world};

/// Validity of a lease, in milliseconds.
pub const LEASE: time::Millis = time::Millis(12_000);

const RENEW_MS: u64 = 4_000;
const JOIN_MS: u64 = 500;
const POLL_MS: u64 = 2_000;
const BEAT_MS: u64 = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

#[derive(Default)]
struct Flags {
    cut: AtomicU64,
    parted: AtomicU64,
    paused: AtomicU64,
    stopped: AtomicBool,
    leaving: AtomicBool,
}

/// One daemon; clones share it.
#[derive(Clone)]
pub struct Node {
    /// Its VM.
    pub vm: id::VmId,
    /// Its log.
    pub log: log::Log,
    /// What it may admit.
    pub standing: membership::Membership,
    config: Arc<Mutex<Arc<in_force::InForce>>>,
    flags: Arc<Flags>,
    clock: keeper::Clock,
    keeper: Arc<Mutex<Option<keeper::Keeper>>>,
}

impl Node {
    /// Makes a daemon that is not running yet.
    pub fn new(world: &world::World, number: u64) -> Self {
        let vm: id::VmId = format!("vm-{number}").parse().expect("a valid name");
        let flags = Arc::new(Flags::default());
        let platform = faulty(world, &flags);
        // Clocks start anywhere and differ in rate by up to half a percent.
        let (offset, rate) = (world.draw(1..1_000_000), world.draw(9_950..10_050));
        let timed = world.clone();
        let clock: keeper::Clock =
            Arc::new(move || time::Tick(offset + timed.now() * rate / 10_000));
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
            standing: keeper.membership.clone(),
            config: Arc::default(),
            flags,
            clock,
            keeper: Arc::new(Mutex::new(Some(keeper))),
        }
    }

    /// Cuts the daemon off from the platform.
    pub fn cut(&self, until: u64) {
        self.flags.cut.fetch_max(until, Ordering::Relaxed);
    }

    /// Cuts the daemon off from its peers.
    pub fn part(&self, until: u64) {
        self.flags.parted.fetch_max(until, Ordering::Relaxed);
    }

    /// Pauses the daemon.
    pub fn pause(&self, until: u64) {
        self.flags.paused.fetch_max(until, Ordering::Relaxed);
    }

    /// Stops the daemon, with or without leaving its zone's view first.
    pub fn stop(&self, graceful: bool) {
        let flag = if graceful { &self.flags.leaving } else { &self.flags.stopped };
        flag.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon has been stopped or told to leave.
    pub fn stopped(&self) -> bool {
        self.flags.stopped.load(Ordering::Relaxed) || self.flags.leaving.load(Ordering::Relaxed)
    }

    /// Whether the daemon runs at `now`.
    pub fn runs(&self, now: u64) -> bool {
        !self.flags.stopped.load(Ordering::Relaxed)
            && now >= self.flags.paused.load(Ordering::Relaxed)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<in_force::InForce> {
        Arc::clone(&self.config.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn reaches(&self, peer: &Self, now: u64) -> bool {
        let open = |node: &Self| node.flags.parted.load(Ordering::Relaxed) <= now;
        open(self) && open(peer) && peer.runs(now)
    }

    /// Whether the daemon would admit to `endpoint` now.
    pub fn admits(&self, breakage: Breakage, endpoint: &id::EndpointId) -> bool {
        let owns = |view: &view::View| {
            owner::owner(view, endpoint).is_none_or(|owner| owner.vm == self.vm)
        };
        let now = (self.clock)();
        match breakage {
            Breakage::NoLease => {
                let view = self.standing.view();
                view.member(&self.vm).is_some() && owns(&view)
            }
            // Only the view in force is asked about.
            Breakage::NoWait => owns(&self.standing.view()) && now < self.standing.admits_until(),
            _ => self.standing.admits(now, owns),
        }
    }

    fn raise(&self, world: &world::World, next: in_force::InForce) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if next.version <= config.version && world.breakage != Breakage::NoRaise {
            return;
        }
        let (version, at) = (next.version.0, world.now());
        *config = Arc::new(next);
        let applied = Applied { vm: self.vm.clone(), version, at };
        world.record(|history| history.applied.push(applied));
    }

    /// Starts the daemon's duties.
    pub fn spawn(&self, world: &world::World) {
        tokio::spawn(membership(self.clone(), world.clone()));
        tokio::spawn(config(self.clone(), world.clone()));
        tokio::spawn(beats(self.clone(), world.clone()));
    }
}

// A paused daemon stands still wherever it was; a lost one never goes on.
async fn awake(flags: &Flags, world: &world::World) {
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

async fn through<T, F>(flags: &Flags, world: &world::World, call: F) -> Result<T, failure::Failure>
where
    F: Future<Output = Result<T, failure::Failure>> + Send + 'static,
    T: Send + 'static,
{
    awake(flags, world).await;
    let lost = |detail: &str| failure::Failure::Unknown { detail: detail.into() };
    if flags.cut.load(Ordering::Relaxed) > world.now() {
        return Err(failure::Failure::NotApplied { detail: "cut off".into() });
    }
    // A call that is under way takes effect even if its caller gives up or is lost.
    let mut under_way = tokio::spawn(call);
    let answer = tokio::time::timeout(CALL_TIMEOUT, &mut under_way).await;
    awake(flags, world).await;
    if flags.cut.load(Ordering::Relaxed) > world.now() {
        return Err(lost("cut off"));
    }
    match answer {
        Ok(Ok(answer)) => answer,
        _ => Err(lost("timeout")),
    }
}

fn strip(breakage: Breakage, mut transaction: table::Transaction) -> table::Transaction {
    let config = |name: &table::RowKey| name.table == "config";
    match breakage {
        Breakage::NoHeadCheck => transaction.checks.retain(|check| !config(&check.name)),
        Breakage::NoAudit => {
            // One in eight, so that daemons go on for a while.
            transaction.writes.retain(|write| {
                !(config(&write.name)
                    && write.name.key.starts_with("change/")
                    && write.name.key.ends_with('8'))
            });
        }
        _ => {}
    }
    transaction
}

fn faulty(world: &world::World, flags: &Arc<Flags>) -> Platform {
    let platform = world.memory.platform();
    let (inner, list) = (platform.table.clone(), platform.vms.clone());
    let (commit, read, listed) = (world.clone(), world.clone(), world.clone());
    let flag = [Arc::clone(flags), Arc::clone(flags), Arc::clone(flags)];
    let [first, second, third] = flag;
    let reading = inner.clone();
    let table = table::Table::new(
        move |transaction| {
            let (table, world, flags) = (inner.clone(), commit.clone(), Arc::clone(&first));
            let transaction = strip(world.breakage, transaction);
            let call = async move { table.commit(transaction).await };
            async move { through(&flags, &world, call).await }.boxed()
        },
        move |query| {
            let (table, world, flags) = (reading.clone(), read.clone(), Arc::clone(&second));
            let call = async move { table.read(query).await };
            async move { through(&flags, &world, call).await }.boxed()
        },
    );
    let vms = vm::Vms::new(move || {
        let (list, world, flags) = (list.clone(), listed.clone(), Arc::clone(&third));
        let call = async move { list.list().await };
        async move { through(&flags, &world, call).await }.boxed()
    });
    Platform { table, vms, ..platform }
}

async fn membership(node: Node, world: world::World) {
    let taken = node.keeper.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut keeper) = taken else { return };
    if world.breakage == Breakage::NoJoin {
        return;
    }
    while !node.flags.leaving.load(Ordering::Relaxed) {
        awake(&node.flags, &world).await;
        let _again = keeper.step().await;
        let settled = keeper.membership.is_joined() && !keeper.in_transition();
        let wait = if settled { RENEW_MS } else { JOIN_MS };
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
    for _ in 0..3 {
        if keeper.leave().await.is_ok() {
            break;
        }
    }
    node.stop(false);
    world.list();
}

async fn config(node: Node, world: world::World) {
    loop {
        awake(&node.flags, &world).await;
        let read = match world.breakage {
            // Reads whatever the platform shows, from the start.
            Breakage::NoRaise => node.log.catch_up(&in_force::InForce::default()).await.map(Some),
            _ => node.log.poll(&node.config()).await,
        };
        awake(&node.flags, &world).await;
        if let Ok(Some(next)) = read {
            node.raise(&world, next);
        }
        let period = if world.breakage == Breakage::NoPoll { 20 * POLL_MS } else { POLL_MS };
        let wait = world.draw(period / 2..period + period / 2);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

// The daemon's heartbeat over the link, with the same calls into the standing and log.
async fn beats(node: Node, world: world::World) {
    loop {
        awake(&node.flags, &world).await;
        let view = node.standing.view();
        for peer in world.live() {
            if peer.vm != node.vm && view.member(&peer.vm).is_some() {
                tokio::spawn(beat(node.clone(), peer, world.clone()));
            }
        }
        let wait = world.draw(BEAT_MS / 2..BEAT_MS);
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
}

async fn beat(node: Node, peer: Node, world: world::World) {
    let start = (node.clock)();
    let number = node.standing.view().number;
    let grant = node.standing.needs_grants(start);
    tokio::time::sleep(Duration::from_millis(world.draw(0..10))).await;
    if !node.reaches(&peer, world.now()) {
        return;
    }
    let heard = (peer.clock)();
    peer.standing.hear(node.vm.clone(), heard);
    let granted = match world.breakage {
        Breakage::NoPromise => grant,
        _ => grant && peer.standing.issue_grant(number, heard),
    };
    let ahead = peer.config();
    tokio::time::sleep(Duration::from_millis(world.draw(0..10))).await;
    awake(&node.flags, &world).await;
    if !node.reaches(&peer, world.now()) {
        return;
    }
    node.standing.hear(peer.vm.clone(), (node.clock)());
    if granted {
        node.standing.record_grant(peer.vm.clone(), number, start);
    }
    let current = node.config();
    if ahead.version > current.version && world.breakage != Breakage::NoPoll {
        let changes = peer.log.delta(current.version);
        let next = changes.and_then(|changes| node.log.apply_delta(&current, changes).ok());
        node.raise(&world, next.unwrap_or_else(|| in_force::InForce::clone(&ahead)));
    }
}
