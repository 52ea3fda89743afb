//! Canary roll-outs that all daemons judge together, without a leader on the request path.
//!
//! Each daemon counts the answers that it received and gossips the counts. Every daemon sums the
//! counts that it knows and reaches its own verdict, so a bad version loses its traffic wherever
//! its failures are known. Sessions enter by a stable hash. During the first half of the
//! roll-out the share stays small and no session moves from the old version to the new one;
//! during the second half the share grows, and sessions only move forward.
//!
//! Designed for roll-outs that have to tell a bad version from a good one within a few seconds,
//! from a tenth of the requests, of all sizes and amid unrelated faults. A bad version may be
//! slow, or fail on a single route, only late or only under load.

mod earlier;
mod exchange;
mod recent_sessions;
mod tally;

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{fleet, id, store_version, time};
use xxhash_rust::xxh3;

pub use exchange::Snapshot;
pub use recent_sessions::RecentSessions;
pub use tally::{Answers, Comparison, Routes, Source, Tally};

use crate::rollout::{counts, moments, sequential};

/// Share of the declared exposure that is used, as daemons count independently of each other.
const EXPOSURE_FACTOR: f64 = 0.8;

/// Stages of the second half: elapsed share of the duration, and share of the sessions.
const STAGES: [(f64, f64); 4] = [(0.50, 0.2), (0.58, 0.4), (0.64, 0.7), (0.70, 1.0)];

/// Share of the duration after which the roll-out of a good version completes.
const COMPLETE_AT: f64 = 0.78;

/// Share of the duration after which it completes even with few answers.
const COMPLETE_LATE: f64 = 0.88;

/// Share of the duration after which a daemon completes the roll-out by itself if no verdict of
/// a deciding daemon has reached it, and a deciding one rolls back a version that is not cleared.
const DECIDE_LAST: f64 = 0.93;

/// Answers of the new version that an early completion requires.
const CANDIDATE_MIN: u64 = 20;

/// Probability that a good version is rolled back. Operators can order it again, whereas a bad
/// version that goes undetected reaches all callers.
const ALPHA: f64 = 0.005;

/// False alarm probability at which the share stops growing and the version doesn't complete
/// at the end: if one of five versions is bad, one with this evidence is as likely bad as good.
const DOUBT_ALPHA: f64 = 0.25;

/// Probability that a bad version is cleared, before which its share doesn't grow.
const CLEARED_ALPHA: f64 = 0.01;

/// Time for which a doubt reported by a peer counts; daemons in doubt repeat it every round.
const DOUBT_TTL: time::Millis = time::Millis(1_500);

/// Time windows by which a roll-out's answers are counted. If a version starts to fail late or
/// under load, its earlier answers would otherwise hide the failures.
const WINDOW_COUNT: f64 = 8.0;

/// Parts of a roll-out in which times are compared: its first half, and each window of the second.
const PART_COUNT: f64 = WINDOW_COUNT / 2.0 + 1.0;

/// Amount by which the new version's failure share may exceed the old version's.
const ERRORS_TOLERANCE: f64 = 0.03;

/// Tolerated slowdown of the new version, in doublings of the time to the first event. A good
/// version is not slower but faster, by 0.02 to 0.7 doublings, as it gets the smaller share of
/// the load; one with half of its answers eight times as slow is slower by 0.4 to 2.2.
const SLOW_TOLERANCE: f64 = 0.1;

/// First window in which the new version has the larger share of the load.
const LATE_WINDOW: u8 = 5;

/// Tolerance that replaces [`SLOW_TOLERANCE`] from [`LATE_WINDOW`] on.
const LATE_TIME_TOLERANCE: f64 = 1.0;

/// Largest number of daemons that send the new version's requests to a subset of its endpoints.
/// More daemons would choose the same endpoint before they learn of each other's load; a good
/// version then looks slow, by up to 1.4 doublings with 65 or 83 daemons, and is rolled back.
const SUBSET_DAEMONS_MAX: usize = 8;

/// The same for paces, which depend less on the load.
const LATE_PACE_TOLERANCE: f64 = 0.5;

/// Times to the first event that are needed to judge by them. With fewer, a few prompts that none
/// of the new version's endpoints has cached would decide.
const TIMES_MIN: u64 = 16;

/// Paces that are needed to judge by them; they hardly depend on the prompt.
const PACES_MIN: u64 = 8;

/// Maximum number of sessions that are remembered.
const SESSIONS_MAX: usize = 4_096;

/// Time after the order in which daemons exchange the sessions that ran on the old version.
/// Until it has passed, no session enters the new one.
const SYNC_PERIOD: time::Millis = time::Millis(1_200);

/// The version that a request runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The old version.
    Stable,
    /// The new version.
    Candidate,
}

/// The result of a request to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with an error.
    Failed,
    /// It got no valid answer: its endpoint ended, or did not respond in time.
    Lost,
    /// It was answered, but by an endpoint that has just started, so its time isn't comparable.
    Cold,
    /// The first part of the answer arrived after this time.
    Answered(time::Millis),
}

/// One daemon's view of a roll-out.
#[derive(Debug, Clone)]
pub struct Canary {
    order: fleet::Rollout,
    // When this daemon heard of it.
    known_at: time::Tick,
    ordered_at: time::Tick,
    progress: fleet::Progress,
    // Version of the order's row.
    version: Option<store_version::StoreVersion>,
    // By process, as a VM's next process counts anew.
    tallies: BTreeMap<(id::VmId, u64), Tally>,
    heard: BTreeMap<(id::VmId, u64), time::Tick>,
    pinned: BTreeSet<u64>,
    exposure: f64,
    // Share reached so far; it does not grow while the version is in doubt.
    reached: f64,
    // Whether the last verdict of this daemon left the version in doubt.
    sees_doubt: bool,
    // When a peer last reported doubt.
    peer_doubt: Option<time::Tick>,
    // Whether answers have proved that the version is sound; without it, the share does not grow.
    is_cleared: bool,
    // Whether its rollback is, or would be by the last verdict, for want of proof.
    is_unproven: bool,
    // Whether this daemon would know of a verdict on the order.
    is_informed: bool,
    // Whether this daemon has sent a request to the new version.
    has_sent: bool,
    // Roll-outs of the service before this one.
    earlier: earlier::Earlier,
}

impl Canary {
    /// Starts a roll-out that was ordered at `now`.
    pub fn new(order: fleet::Rollout, bounds: &fleet::Bounds, now: time::Tick) -> Self {
        Self {
            order,
            known_at: now,
            ordered_at: now,
            progress: fleet::Progress::Running,
            version: None,
            tallies: BTreeMap::new(),
            heard: BTreeMap::new(),
            pinned: BTreeSet::new(),
            exposure: bounds.expose_share * EXPOSURE_FACTOR,
            reached: bounds.expose_share * EXPOSURE_FACTOR,
            sees_doubt: false,
            peer_doubt: None,
            is_cleared: false,
            is_unproven: false,
            is_informed: true,
            has_sent: false,
            earlier: earlier::Earlier::default(),
        }
    }

    /// Names the order by the version of its row.
    pub const fn set_version(&mut self, version: store_version::StoreVersion) {
        self.version = Some(version);
    }

    /// Version of the order's row, if it is known.
    pub const fn version(&self) -> Option<store_version::StoreVersion> {
        self.version
    }

    /// Whether a stored status was written after the order, so that it is about this one.
    pub fn is_about(&self, status: store_version::StoreVersion, progress: fleet::Progress) -> bool {
        // Rows of a restored store have other numbers; a rollback counts all the same.
        let is_rollback = progress == fleet::Progress::RolledBack;
        self.version.is_none_or(
            |order| {
                if order.era == status.era { status > order } else { is_rollback }
            },
        )
    }

    /// Time since this daemon heard of the order, while what the store says of it matters: until a while
    /// after its deadline, or until a verdict would be known.
    pub fn follows_store(&self, now: time::Tick) -> Option<time::Millis> {
        let is_open = self.age(now).0 < self.order.duration.0.saturating_mul(2);
        (is_open || !self.is_informed).then(|| now.since(self.known_at))
    }

    /// Whether a later row of the same store with this order is a new one, and not the same written
    /// again: operators repeat a write that was not answered.
    pub fn is_over(&self, now: time::Tick) -> bool {
        self.progress != fleet::Progress::Running && self.age(now) >= self.order.duration
    }

    /// Requires that a peer or the store says how far the roll-out is, before the new version gets
    /// requests: the order is older than this process.
    pub const fn require_news(&mut self) {
        self.is_informed = false;
    }

    /// Records that a verdict on the order would be known here.
    pub const fn inform(&mut self) {
        self.is_informed = true;
    }

    /// Whether a verdict on the order would be known here.
    pub const fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Records a request to a version; returns whether it is the first one to the new version.
    pub fn record_send(&mut self, version: &id::VersionId) -> bool {
        *version == self.order.to && !std::mem::replace(&mut self.has_sent, true)
    }

    /// The order that started the roll-out.
    pub const fn order(&self) -> &fleet::Rollout {
        &self.order
    }

    /// Progress as this daemon knows it.
    pub const fn progress(&self) -> fleet::Progress {
        self.progress
    }

    /// Time since the order, by the earliest daemon known to have seen it.
    pub const fn age(&self, now: time::Tick) -> time::Millis {
        now.since(self.ordered_at)
    }

    fn elapsed(&self, now: time::Tick) -> f64 {
        self.age(now).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Whether the roll-out is in its first half, in which sessions that began on the old version
    /// stay there.
    pub fn pins_sessions(&self, now: time::Tick) -> bool {
        self.elapsed(now) < STAGES[0].0
    }

    fn share(&self, now: time::Tick) -> f64 {
        let elapsed = self.elapsed(now);
        let stage = STAGES.iter().rev().find(|(from, _)| elapsed >= *from);
        let stage = stage.filter(|_| self.is_cleared);
        let due = stage.map_or(self.exposure, |(_, share)| share.max(self.exposure));
        if self.is_doubted(now) { due.min(self.reached) } else { due }
    }

    /// Whether the new version's requests go to a subset of its endpoints: while its share is
    /// small, unless there are too many `daemons`.
    pub fn uses_subset(&self, daemons: usize) -> bool {
        let is_small = self.progress == fleet::Progress::Running && self.reached <= self.exposure;
        is_small && daemons <= SUBSET_DAEMONS_MAX
    }

    fn is_doubted(&self, now: time::Tick) -> bool {
        self.sees_doubt || self.peer_doubt.is_some_and(|at| now.since(at) < DOUBT_TTL)
    }

    /// Assigns a request of `session` to a version; pins the session if that is the old one.
    pub fn assign(&mut self, session: u64, now: time::Tick) -> Variant {
        match self.progress {
            fleet::Progress::RolledBack => return Variant::Stable,
            fleet::Progress::Completed => return Variant::Candidate,
            fleet::Progress::Running if !self.is_informed => {
                self.pin(session);
                return Variant::Stable;
            }
            fleet::Progress::Running => {}
        }
        let is_held = self.pins_sessions(now)
            && (self.age(now) < SYNC_PERIOD || self.pinned.contains(&session));
        self.reached = self.share(now);
        if !is_held && self.position(session) < self.reached {
            return Variant::Candidate;
        }
        self.pin(session);
        Variant::Stable
    }

    // Position of a session in the order in which sessions enter, 0 to 1.
    fn position(&self, session: u64) -> f64 {
        let seed = xxh3::xxh3_64(self.order.to.as_str().as_bytes());
        xxh3::xxh3_64_with_seed(&session.to_le_bytes(), seed) as f64 / u64::MAX as f64
    }

    /// Records that a session runs on the old version. Only sessions of the initial share are
    /// kept, as no others can enter while sessions are pinned.
    pub fn pin(&mut self, session: u64) {
        if self.position(session) < self.exposure && self.pinned.len() < SESSIONS_MAX {
            self.pinned.insert(session);
        }
    }

    /// Counts an answer that this daemon received on a route; `start` is that of its process.
    pub fn record_answer(
        &mut self,
        (own, start): (&id::VmId, u64),
        route: &id::RouteId,
        version: &id::VersionId,
        outcome: Outcome,
        now: time::Tick,
    ) {
        // Its requests may outlast the order of the next version, and it is no old one.
        if self.earlier.is_withdrawn(version) {
            return;
        }
        let is_compared = self.age(now) >= SYNC_PERIOD;
        let answers = self.answers((own, start), route, version, now);
        answers.all += u64::from(outcome != Outcome::Lost);
        match outcome {
            Outcome::Failed => answers.failed += 1,
            Outcome::Lost => answers.lost += 1,
            Outcome::Answered(time) if is_compared => answers.times.record(time),
            Outcome::Answered(_) | Outcome::Cold => {}
        }
    }

    /// Records the pace of a stream from an endpoint that has not just started.
    pub fn record_pace(
        &mut self,
        daemon: (&id::VmId, u64),
        route: &id::RouteId,
        version: &id::VersionId,
        pace: time::Millis,
        now: time::Tick,
    ) {
        if self.age(now) >= SYNC_PERIOD && !self.earlier.is_withdrawn(version) {
            self.answers(daemon, route, version, now).paces.record(pace);
        }
    }

    // Answers that this daemon counts in the current window.
    fn answers(
        &mut self,
        (own, start): (&id::VmId, u64),
        route: &id::RouteId,
        version: &id::VersionId,
        now: time::Tick,
    ) -> &mut Answers {
        let window = (self.elapsed(now) * WINDOW_COUNT).min(WINDOW_COUNT - 1.0) as u8;
        let key = (own.clone(), start);
        self.heard.insert(key.clone(), now);
        let tally = self.tallies.entry(key).or_default();
        tally.start = start;
        let routes = tally.windows.entry(window).or_default();
        let pair = routes.entry(route.clone()).or_default();
        if *version == self.order.to { &mut pair.candidate } else { &mut pair.stable }
    }

    // Answers counted by all daemons, by time window.
    fn windows(&self) -> BTreeMap<u8, Routes> {
        let mut windows: BTreeMap<u8, Routes> = BTreeMap::new();
        for (window, routes) in self.tallies.values().flat_map(|tally| &tally.windows) {
            merge_routes(windows.entry(*window).or_default(), routes);
        }
        windows
    }

    /// Answers counted by all daemons, over all windows and routes.
    pub fn totals(&self) -> Comparison {
        let mut sums = Comparison::default();
        for pair in self.windows().values().flat_map(Routes::values) {
            sums.add(pair);
        }
        sums
    }

    /// Natural logarithm of the likelihood ratio between a worse new version and an equally good
    /// one. Considers errors and losses since the start of each window, and the times and paces since
    /// the start of each part, each over all routes together and on every single route. Errors and
    /// losses are compared apart, as ends of endpoints hit both versions and would hide errors.
    ///
    /// By Ville's inequality, it ever exceeds `ln(1 / alpha)` with a probability of at most
    /// `alpha` if the new version is as good, however often it is evaluated.
    pub fn evidence(&self) -> f64 {
        let windows = self.windows();
        let mut since = Routes::new();
        let mut strongest = f64::NEG_INFINITY;
        for routes in windows.values().rev() {
            merge_routes(&mut since, routes);
            let failures = |select: fn(&Answers) -> counts::Proportion| {
                over_routes(&since, |routes| {
                    let pairs = routes.iter().filter_map(|route| since.get(*route));
                    let mut sum = Comparison::default();
                    pairs.for_each(|pair| sum.add(pair));
                    let (stable, candidate) = (select(&sum.stable), select(&sum.candidate));
                    sequential::share_evidence(stable, candidate, ERRORS_TOLERANCE)
                })
            };
            let failures = failures(Answers::errors).max(failures(Answers::losses));
            strongest = strongest.max(failures - WINDOW_COUNT.ln());
        }
        let parts = parts(&windows);
        // Considered since the start of each part, as a version that turns slow late may have been
        // faster before, with less load.
        let slowdown = |select: fn(&Answers) -> &moments::Moments, late_tolerance, min| {
            let since_parts = (0..parts.len()).map(|start| {
                over_routes(&since, |routes| {
                    let pairs = parts[start..].iter().flat_map(|(window, part)| {
                        let is_late = *window >= LATE_WINDOW;
                        let tolerance = if is_late { late_tolerance } else { SLOW_TOLERANCE };
                        let pairs = routes.iter().filter_map(|route| part.get(*route));
                        pairs.map(move |pair| {
                            (select(&pair.stable), select(&pair.candidate), tolerance)
                        })
                    });
                    sequential::slowdown_evidence(pairs, min)
                })
            });
            since_parts.fold(f64::NEG_INFINITY, f64::max) - PART_COUNT.ln()
        };
        let times = slowdown(|answers| &answers.times, LATE_TIME_TOLERANCE, TIMES_MIN);
        let paces = slowdown(|answers| &answers.paces, LATE_PACE_TOLERANCE, PACES_MIN);
        // The false alarm probability is split evenly between errors, losses, times and paces.
        strongest.max(times).max(paces) - 4_f64.ln()
    }

    // Whether the answers prove that the new version is sound: in errors and in times, over all windows
    // and routes, and in as many windows as the first half has. An outage may leave only a few answers
    // of a moment, which say nothing of a version that fails late.
    fn is_sound(&self) -> bool {
        let windows = self.windows();
        let has_answers = |routes: &&Routes| routes.values().any(|pair| pair.candidate.all > 0);
        let answered = windows.values().filter(has_answers).count();
        if (answered as f64) < WINDOW_COUNT * STAGES[0].0 {
            return false;
        }
        let totals = self.totals();
        let (stable, candidate) = (totals.stable.errors(), totals.candidate.errors());
        let errors = sequential::share_soundness(stable, candidate, ERRORS_TOLERANCE);
        let parts = parts(&windows);
        let times = parts.iter().flat_map(|(window, routes)| {
            let is_late = *window >= LATE_WINDOW;
            let tolerance = if is_late { LATE_TIME_TOLERANCE } else { SLOW_TOLERANCE };
            routes.values().map(move |pair| (&pair.stable.times, &pair.candidate.times, tolerance))
        });
        errors.min(sequential::slowdown_soundness(times)) > (1.0 / CLEARED_ALPHA).ln()
    }

    /// The progress that the roll-out should have, judged by the counts that are known here.
    ///
    /// Every daemon rolls back on the evidence that it has. Only a daemon that `decides`, to which
    /// the others send their counts, completes it, unless the duration has nearly elapsed. A version
    /// is completed only if its answers have proved it sound.
    pub fn verdict(&mut self, decides: bool, now: time::Tick) -> fleet::Progress {
        if self.progress != fleet::Progress::Running {
            return self.progress;
        }
        let evidence = self.evidence();
        self.sees_doubt = evidence > (1.0 / DOUBT_ALPHA).ln();
        self.is_cleared = self.is_cleared || self.is_sound();
        self.is_unproven = evidence <= (1.0 / ALPHA).ln();
        if !self.is_unproven {
            return fleet::Progress::RolledBack;
        }
        let elapsed = self.elapsed(now);
        let is_good = evidence <= 0.0 && self.totals().candidate.all >= CANDIDATE_MIN;
        let is_due = elapsed >= COMPLETE_LATE || (elapsed >= COMPLETE_AT && is_good);
        if elapsed < DECIDE_LAST && !(decides && is_due) {
            return fleet::Progress::Running;
        }
        if self.is_doubted(now) {
            return fleet::Progress::RolledBack;
        }
        if self.is_cleared {
            return fleet::Progress::Completed;
        }
        // A daemon that knows few of the answers leaves this verdict to those that decide.
        if decides && elapsed >= DECIDE_LAST {
            return fleet::Progress::RolledBack;
        }
        fleet::Progress::Running
    }
}

// Parts of a roll-out in which times are comparable, as the share is constant: its first half, and each
// window of the second; with the first window of each.
fn parts(windows: &BTreeMap<u8, Routes>) -> Vec<(u8, Routes)> {
    let half = (WINDOW_COUNT * STAGES[0].0) as u8;
    let mut first = Routes::new();
    windows.range(..half).for_each(|(_, routes)| merge_routes(&mut first, routes));
    let later = windows.range(half..).map(|(window, routes)| (*window, routes.clone()));
    std::iter::once((0, first)).chain(later).collect()
}

fn merge_routes(routes: &mut Routes, more: &Routes) {
    for (route, pair) in more {
        routes.entry(route.clone()).or_default().add(pair);
    }
}

// The strongest evidence over all routes together or on a single one. Half of the false alarm
// probability goes to all routes together, the other half is split between the single routes.
fn over_routes<F>(routes: &Routes, evidence: F) -> f64
where
    F: Fn(&[&id::RouteId]) -> f64,
{
    let all: Vec<&id::RouteId> = routes.keys().collect();
    let single = all.iter().map(|route| evidence(&[*route]));
    let strongest = single.fold(f64::NEG_INFINITY, f64::max) - (2.0 * all.len() as f64).ln();
    strongest.max(evidence(&all) - std::f64::consts::LN_2)
}
