//! Histories of concurrent runs over the real code of configuration and ownership.
//!
//! Daemons, operators and faults run on a virtual clock with seeded delays, so that a
//! seed always gives the same history. [`check`] holds the invariants.

use std::collections::BTreeMap;
use std::fmt;

use ibishill_config::change;
use ibishill_core::id;
use serde::Serialize;

pub mod check;
pub mod daemon;
pub mod fault;
pub mod head;
pub mod run;
pub mod world;

/// A mechanism that a run leaves out, to show that a checker notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Breakage {
    /// Everything is in place.
    #[default]
    None,
    /// Transactions of the configuration log check nothing.
    NoHeadCheck,
    /// Daemons apply what they read, also when it is older.
    NoRaise,
    /// Daemons hardly ever read the configuration and pull nothing.
    NoPoll,
    /// The change row, which is the audit row, is not written.
    NoAudit,
    /// Admission ignores the lease.
    NoLease,
    /// A new owner does not wait for the owners before it.
    NoWait,
    /// Peers grant without promising to keep the view.
    NoPromise,
    /// A new daemon never joins.
    NoJoin,
}

/// The end of one order.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// It was accepted as this version.
    Accepted(u64),
    /// Another change, of this version, came first.
    Conflict(u64),
    /// It is known not to have taken effect.
    NotDone,
    /// It is not known.
    Unknown,
}

/// One order as its operator saw it.
#[derive(Debug, Clone)]
pub struct Order {
    /// The order's id.
    pub id: id::ChangeId,
    /// Which operator gave it.
    pub operator: usize,
    /// The version that it expected.
    pub expected: Option<u64>,
    /// Virtual time of the call, in milliseconds.
    pub called: u64,
    /// Virtual time of the answer, in milliseconds.
    pub answered: u64,
    /// Position of the call among all events.
    pub first: u64,
    /// Position of the answer among all events.
    pub last: u64,
    /// The answer.
    pub end: End,
}

/// A version that one daemon put in force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// The daemon.
    pub vm: id::VmId,
    /// The version.
    pub version: u64,
    /// Virtual time, in milliseconds.
    pub at: u64,
}

/// Virtual time during which a daemon could not be expected to follow.
#[derive(Debug, Clone)]
pub struct Span {
    /// The daemon; none means all.
    pub vm: Option<id::VmId>,
    /// Start, in milliseconds.
    pub from: u64,
    /// End, in milliseconds.
    pub until: u64,
}

/// What was recorded in one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Orders in the order of their answers.
    pub orders: Vec<Order>,
    /// Versions as daemons put them in force.
    pub applied: Vec<Applied>,
    /// When daemons were disturbed, paused or not alive.
    pub disturbed: Vec<Span>,
    /// Each daemon that was started.
    pub started: Vec<id::VmId>,
    /// The log at the end.
    pub log: Vec<change::Change>,
    /// Samples in which two daemons admitted to one endpoint.
    pub overlaps: Vec<String>,
    /// Samples of admission that were taken.
    pub samples: u64,
    /// Endpoints without an owner once all faults had ended.
    pub idle: Vec<String>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// The figures of one or more runs.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Runs.
    pub runs: u64,
    /// Orders, applied versions and samples of admission.
    pub operations: u64,
    /// Orders that were accepted.
    pub accepted: u64,
    /// Orders that lost to another.
    pub conflicts: u64,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Violations, with the seed.
    pub violations: Vec<String>,
}

impl Summary {
    /// Adds the run of one seed.
    pub fn add(&mut self, seed: u64, history: &History) {
        self.runs += 1;
        self.operations += history.orders.len() as u64;
        self.operations += history.applied.len() as u64 + history.samples;
        let ends = history.orders.iter().map(|order| &order.end);
        self.accepted += ends.clone().filter(|end| matches!(end, End::Accepted(_))).count() as u64;
        self.conflicts += ends.filter(|end| matches!(end, End::Conflict(_))).count() as u64;
        for (kind, count) in &history.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        let found = check::check(history).into_iter();
        self.violations.extend(found.map(|found| format!("seed {seed}: {found}")));
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "runs        {}", self.runs)?;
        writeln!(f, "operations  {}", self.operations)?;
        writeln!(f, "accepted    {}", self.accepted)?;
        writeln!(f, "conflicts   {}", self.conflicts)?;
        for (kind, count) in &self.faults {
            writeln!(f, "fault       {kind}: {count}")?;
        }
        for found in &self.violations {
            writeln!(f, "violation   {found}")?;
        }
        writeln!(f, "violations  {}", self.violations.len())
    }
}
