//! A roll-out that all daemons judge together, without a leader on the path of requests.
//!
//! Each daemon counts its own answers and passes the counts on; every daemon adds up what it
//! has heard and comes to its own verdict, so a bad version is left wherever its failures are
//! known. Sessions enter by a stable hash. During the first half the share stays small and no
//! session changes its version; in the second half it grows, and sessions only move forward.
//!
//! The load this is for: a few seconds in which a tenth of the requests, of all sizes and amid
//! other trouble, must tell a bad version from a good one; bad ones may fail on one route, late
//! or under load only, or be slow.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{fleet, id, time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::rollout::{counts, moments, sequential};

/// Share of the declared exposure that is used, as daemons count apart.
const EXPOSE_USED: f64 = 0.8;

/// Stages of the second half: share of the duration that is over, and percent of sessions.
const STAGES: [(f64, f64); 4] = [(0.50, 0.2), (0.58, 0.4), (0.64, 0.7), (0.70, 1.0)];

/// Share of the duration after which a good version is complete.
const COMPLETE_AT: f64 = 0.78;

/// Share of the duration after which it is complete although few answers came.
const COMPLETE_LATE: f64 = 0.88;

/// Share of the duration after which a daemon that hears of no verdict takes it as complete.
const COMPLETE_ALONE: f64 = 0.93;

/// Answers of the new version without which it is not complete early.
const CANDIDATE_MIN: u64 = 20;

/// Chance that a good version is halted. Operators order it again; a bad version that goes
/// unseen reaches all callers.
const ALPHA: f64 = 0.005;

/// Chance of a false alarm from which on the share does not grow, and at which the version is
/// not taken as complete at the end: if one of five versions is bad, one with this evidence
/// is as likely bad as good.
const DOUBT: f64 = 0.25;

/// Time for which a peer's doubt counts; those that judge tell it in each round.
const DOUBT_KEPT: time::Millis = time::Millis(1_500);

/// Windows of time in which a roll-out's answers are counted; those before a version began to
/// fail, late or under load, would hide that it does.
const WINDOWS: f64 = 8.0;

/// Share of failures by which the new version may be worse.
const ERRORS_TOLERANCE: f64 = 0.03;

/// Doublings of the time to the first event by which the new version may be slower. As it
/// gets the smaller share of the load, a good one is faster by 0.02 to 0.7 doublings on the
/// days of docs/MEASURES.md, and one that is eight times as slow on half of its answers
/// slower by 0.4 to 2.2.
const SLOW_TOLERANCE: f64 = 0.1;

/// The same once the new version has the larger share of the load, from this window on.
const LATE_TOLERANCE: (u8, f64) = (5, 1.0);

/// Daemons up to which trials go to few endpoints. More of them would all choose the same one
/// before they hear of each other: with 65 and 83, a good version was slower by up to 1.4
/// doublings and was halted.
const TRIAL_DAEMONS: usize = 8;

/// Sessions that are remembered.
const SESSIONS_MAX: usize = 4_096;

/// Time after the order in which daemons tell each other which sessions have run on the old
/// version; none enters the new one before.
const HOLD: time::Millis = time::Millis(1_200);

/// Longest time that an answer takes for which its session is still remembered.
const ANSWER_MAX: time::Millis = time::Millis(15_000);

/// Sessions that ran lately, so that a roll-out knows which have begun on the old version.
#[derive(Debug, Clone, Default)]
pub struct RecentSessions {
    seen: BTreeMap<u64, time::Tick>,
}

impl RecentSessions {
    /// Notes a request of a session.
    pub fn record(&mut self, session: u64, now: time::Tick) {
        if self.seen.len() >= SESSIONS_MAX {
            self.seen.retain(|_, at| now.since(*at) < ANSWER_MAX);
        }
        if self.seen.len() < SESSIONS_MAX {
            self.seen.insert(session, now);
        }
    }

    /// Sessions that may still go on.
    pub fn active(&self, span: time::Millis, now: time::Tick) -> impl Iterator<Item = u64> {
        let recent = move |at: &time::Tick| now.since(*at).0 < span.0 + ANSWER_MAX.0;
        self.seen.iter().filter(move |(_, at)| recent(at)).map(|(session, _)| *session)
    }
}

/// Which version a request runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The old one.
    Stable,
    /// The new one.
    Candidate,
}

/// How an answer of a version went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It failed.
    Failed,
    /// It came; its time tells nothing, as its endpoint has just started.
    Cold,
    /// Its first part came after this time.
    Answered(time::Millis),
}

/// Answers of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// All.
    pub all: u64,
    /// Those that failed.
    pub failed: u64,
    /// Times of others while both versions were asked.
    pub times: moments::Moments,
}

impl Answers {
    const fn add(&mut self, other: &Self) {
        self.all += other.all;
        self.failed += other.failed;
        self.times.add(&other.times);
    }

    const fn errors(&self) -> counts::Proportion {
        counts::Proportion { hits: self.failed, total: self.all }
    }
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// The old version.
    pub stable: Answers,
    /// The new version.
    pub candidate: Answers,
}

impl Comparison {
    const fn add(&mut self, other: &Self) {
        self.stable.add(&other.stable);
        self.candidate.add(&other.candidate);
    }
}

/// One daemon's counts in a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// When the daemon's process started.
    pub start: u64,
    /// Answers by window of time, as a version may fail late or under load only, and by
    /// route, as it may fail one kind of request only.
    pub windows: BTreeMap<u8, Routes>,
}

/// Answers of both versions by route.
pub type Routes = BTreeMap<id::RouteId, Comparison>;

impl Tally {
    fn size(&self) -> (u64, u64) {
        let all = |pair: &Comparison| pair.stable.all + pair.candidate.all;
        (self.start, self.windows.values().flat_map(Routes::values).map(all).sum())
    }
}

/// What daemons tell each other of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The service.
    pub service: id::ServiceId,
    /// The version that it moves to.
    pub to: id::VersionId,
    /// Time since the order.
    pub age: time::Millis,
    /// How it stands.
    pub progress: fleet::Progress,
    /// Counts by daemon.
    pub tallies: BTreeMap<id::VmId, Tally>,
    /// Whether the sender judges it and has doubts.
    pub is_doubted: bool,
    /// Sessions of the first share that began on the old version.
    pub pinned: Vec<u64>,
}

/// A roll-out as one daemon knows it.
#[derive(Debug, Clone)]
pub struct Canary {
    order: fleet::Rollout,
    began: time::Tick,
    progress: fleet::Progress,
    tallies: BTreeMap<id::VmId, Tally>,
    pinned: BTreeSet<u64>,
    expose: f64,
    // The share that was reached, which does not grow while there is doubt.
    stage: f64,
    // Whether the last look at the counts here left doubt.
    sees_doubt: bool,
    // When a peer last told of doubt.
    doubted: Option<time::Tick>,
}

impl Canary {
    /// Begins a roll-out; `age` is the time since the order.
    pub fn new(order: fleet::Rollout, bounds: &fleet::Bounds, now: time::Tick) -> Self {
        Self {
            order,
            began: now,
            progress: fleet::Progress::Running,
            tallies: BTreeMap::new(),
            pinned: BTreeSet::new(),
            expose: bounds.expose_share * EXPOSE_USED,
            stage: bounds.expose_share * EXPOSE_USED,
            sees_doubt: false,
            doubted: None,
        }
    }

    /// The order.
    pub const fn order(&self) -> &fleet::Rollout {
        &self.order
    }

    /// How it stands.
    pub const fn progress(&self) -> fleet::Progress {
        self.progress
    }

    /// Time since the order.
    pub const fn age(&self, now: time::Tick) -> time::Millis {
        now.since(self.began)
    }

    fn elapsed(&self, now: time::Tick) -> f64 {
        self.age(now).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Whether sessions may still change from the old version to the new one.
    pub fn pins_sessions(&self, now: time::Tick) -> bool {
        self.elapsed(now) < STAGES[0].0
    }

    fn share(&self, now: time::Tick) -> f64 {
        let elapsed = self.elapsed(now);
        let stage = STAGES.iter().rev().find(|(from, _)| elapsed >= *from);
        let due = stage.map_or(self.expose, |(_, share)| share.max(self.expose));
        if self.is_doubted(now) { due.min(self.stage) } else { due }
    }

    /// Whether the new version's few requests go to few of its endpoints, for so many daemons.
    pub fn uses_subset(&self, daemons: usize) -> bool {
        let is_small = self.progress == fleet::Progress::Running && self.stage <= self.expose;
        is_small && daemons <= TRIAL_DAEMONS
    }

    fn is_doubted(&self, now: time::Tick) -> bool {
        self.sees_doubt || self.doubted.is_some_and(|at| now.since(at) < DOUBT_KEPT)
    }

    /// The version that a request of `session` runs on.
    pub fn assign(&mut self, session: u64, now: time::Tick) -> Variant {
        match self.progress {
            fleet::Progress::RolledBack => return Variant::Stable,
            fleet::Progress::Completed => return Variant::Candidate,
            fleet::Progress::Running => {}
        }
        let is_held =
            self.pins_sessions(now) && (self.age(now) < HOLD || self.pinned.contains(&session));
        self.stage = self.share(now);
        if !is_held && self.slot(session) < self.stage {
            return Variant::Candidate;
        }
        self.pin(session);
        Variant::Stable
    }

    fn slot(&self, session: u64) -> f64 {
        let seed = xxh3::xxh3_64(self.order.to.as_str().as_bytes());
        xxh3::xxh3_64_with_seed(&session.to_le_bytes(), seed) as f64 / u64::MAX as f64
    }

    /// Notes that a session runs on the old version; only the first share needs to be known.
    pub fn pin(&mut self, session: u64) {
        if self.slot(session) < self.expose && self.pinned.len() < SESSIONS_MAX {
            self.pinned.insert(session);
        }
    }

    /// Counts an answer that this daemon got on a route; `start` is that of its process.
    pub fn record_answer(
        &mut self,
        (own, start): (&id::VmId, u64),
        route: &id::RouteId,
        version: &id::VersionId,
        outcome: Outcome,
        now: time::Tick,
    ) {
        let is_compared = self.age(now) >= HOLD;
        let window = (self.elapsed(now) * WINDOWS).min(WINDOWS - 1.0) as u8;
        let tally = self.tallies.entry(own.clone()).or_default();
        tally.start = start;
        let routes = tally.windows.entry(window).or_default();
        let pair = routes.entry(route.clone()).or_default();
        let is_new = *version == self.order.to;
        let answers = if is_new { &mut pair.candidate } else { &mut pair.stable };
        answers.all += 1;
        match outcome {
            Outcome::Failed => answers.failed += 1,
            Outcome::Answered(time) if is_compared => answers.times.record(time),
            Outcome::Answered(_) | Outcome::Cold => {}
        }
    }

    /// Takes in what a peer tells.
    pub fn merge(&mut self, news: Snapshot, own: &id::VmId, now: time::Tick) {
        if news.to != self.order.to {
            return;
        }
        if news.age > self.age(now) {
            self.began = time::Tick(now.0.saturating_sub(news.age.0));
        }
        for (vm, tally) in news.tallies {
            if vm != *own && self.tallies.get(&vm).is_none_or(|known| known.size() < tally.size()) {
                self.tallies.insert(vm, tally);
            }
        }
        for session in news.pinned {
            self.pin(session);
        }
        if news.is_doubted {
            self.doubted = Some(now);
        }
        self.merge_progress(news.progress);
    }

    /// Takes in how the roll-out stands; an end is final, and a halt goes before all else.
    pub fn merge_progress(&mut self, progress: fleet::Progress) {
        let is_halt = progress == fleet::Progress::RolledBack;
        if is_halt || self.progress == fleet::Progress::Running {
            self.progress = progress;
        }
    }

    /// Takes in the state that the operator was told, which nothing changes any more.
    pub fn set_progress(&mut self, progress: fleet::Progress) {
        self.progress = progress;
    }

    /// What is told to a peer: this daemon's counts if it `decides`, sessions while they matter.
    pub fn snapshot(&self, own: &id::VmId, decides: bool, now: time::Tick) -> Snapshot {
        let is_running = self.progress == fleet::Progress::Running;
        let has_pins = is_running && self.pins_sessions(now);
        let tally = self.tallies.get(own).filter(|_| decides && is_running);
        let own_tally = tally.map(|tally| (own.clone(), tally.clone()));
        Snapshot {
            service: self.order.service.clone(),
            to: self.order.to.clone(),
            age: self.age(now),
            progress: self.progress,
            tallies: own_tally.into_iter().collect(),
            is_doubted: self.sees_doubt && is_running,
            pinned: if has_pins { self.pinned.iter().copied().collect() } else { Vec::new() },
        }
    }

    // Answers of all daemons by window.
    fn windows(&self) -> BTreeMap<u8, Routes> {
        let mut windows: BTreeMap<u8, Routes> = BTreeMap::new();
        for (window, routes) in self.tallies.values().flat_map(|tally| &tally.windows) {
            merge(windows.entry(*window).or_default(), routes);
        }
        windows
    }

    /// Answers of all daemons.
    pub fn totals(&self) -> Comparison {
        let mut sums = Comparison::default();
        for pair in self.windows().values().flat_map(Routes::values) {
            sums.add(pair);
        }
        sums
    }

    /// Natural logarithm of the likelihood ratio between a worse new version and one that is
    /// as good: by errors since any window, and by all times, over all routes and on each.
    ///
    /// By Ville's inequality it exceeds `ln(1 / alpha)` at any look with a chance of at most
    /// `alpha` if the new version is as good.
    pub fn evidence(&self) -> f64 {
        let windows = self.windows();
        let mut since = Routes::new();
        let mut most = f64::NEG_INFINITY;
        for routes in windows.values().rev() {
            merge(&mut since, routes);
            let errors = over_routes(&since, |routes| {
                let pairs = routes.iter().filter_map(|route| since.get(*route));
                let mut sum = Comparison::default();
                pairs.for_each(|pair| sum.add(pair));
                let (stable, candidate) = (sum.stable.errors(), sum.candidate.errors());
                sequential::share_evidence(stable, candidate, ERRORS_TOLERANCE)
            });
            most = most.max(errors - WINDOWS.ln());
        }
        // Answers are alike while the share stands still, in the first half, and in each window
        // of the second one.
        let half = (WINDOWS * STAGES[0].0) as u8;
        let mut first = Routes::new();
        windows.range(..half).for_each(|(_, routes)| merge(&mut first, routes));
        let parts: Vec<(u8, &Routes)> = std::iter::once((0, &first))
            .chain(windows.range(half..).map(|(window, routes)| (*window, routes)))
            .collect();
        let times = over_routes(&since, |routes| {
            let pairs = parts.iter().flat_map(|(window, part)| {
                let (late, tolerance) = LATE_TOLERANCE;
                let tolerance = if *window < late { SLOW_TOLERANCE } else { tolerance };
                let pairs = routes.iter().filter_map(|route| part.get(*route));
                pairs.map(move |pair| (&pair.stable.times, &pair.candidate.times, tolerance))
            });
            sequential::slowdown_evidence(pairs)
        });
        // Half of the chance of a false halt goes to errors, half to times.
        most.max(times) - std::f64::consts::LN_2
    }

    /// How the roll-out should stand, by what is known here.
    ///
    /// Every daemon halts by what it sees; only those that `decide`, to which the others send
    /// their counts, find it complete, unless the time is nearly over.
    pub fn verdict(&mut self, decides: bool, now: time::Tick) -> fleet::Progress {
        if self.progress != fleet::Progress::Running {
            return self.progress;
        }
        let evidence = self.evidence();
        self.sees_doubt = evidence > (1.0 / DOUBT).ln();
        if evidence > (1.0 / ALPHA).ln() {
            return fleet::Progress::RolledBack;
        }
        let elapsed = self.elapsed(now);
        let is_seen = evidence <= 0.0 && self.totals().candidate.all >= CANDIDATE_MIN;
        let is_due = elapsed >= COMPLETE_LATE || (elapsed >= COMPLETE_AT && is_seen);
        if elapsed < COMPLETE_ALONE && !(decides && is_due) {
            return fleet::Progress::Running;
        }
        if self.is_doubted(now) {
            return fleet::Progress::RolledBack;
        }
        fleet::Progress::Completed
    }
}

fn merge(routes: &mut Routes, more: &Routes) {
    for (route, pair) in more {
        routes.entry(route.clone()).or_default().add(pair);
    }
}

// The most evidence on all routes or on any of them, each with its part of the chance of a
// false halt: half goes to the whole.
fn over_routes<F>(routes: &Routes, evidence: F) -> f64
where
    F: Fn(&[&id::RouteId]) -> f64,
{
    let all: Vec<&id::RouteId> = routes.keys().collect();
    let parts = all.iter().map(|route| evidence(&[*route]));
    let part = parts.fold(f64::NEG_INFINITY, f64::max) - (2.0 * all.len() as f64).ln();
    part.max(evidence(&all) - std::f64::consts::LN_2)
}
