//! Fault-injection histories over the real code of the configuration log and of endpoint
//! ownership.
//!
//! Daemons, operators and faults run on a virtual clock with seeded delays, so that a
//! seed always gives the same history. [`check`] verifies the invariants.

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

/// A mechanism that a run disables, to show that a checker detects its absence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Ablation {
    /// Nothing is disabled.
    #[default]
    None,
    /// Transactions of the configuration log have no preconditions.
    NoHeadCheck,
    /// Daemons apply each configuration that they read, even an older one.
    NoVersionCheck,
    /// Daemons poll the configuration 20 times less often and pull nothing from their peers.
    NoPoll,
    /// Some change rows, which form the audit log, are not written.
    NoAudit,
    /// Admission ignores the lease.
    NoLease,
    /// A new owner does not wait until the leases of former owners have expired.
    NoTakeoverWait,
    /// Peers grant admission without promising to keep the view.
    NoPromise,
    /// Daemons never join the zone's view.
    NoJoin,
}

/// The result of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Accepted as this version.
    Accepted(u64),
    /// Another change was accepted first, as this version.
    Conflict(u64),
    /// Known to have had no effect.
    NotDone,
    /// Not known, for instance after a time-out.
    Unknown,
}

/// A proposed change as its operator saw it.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Id of the change.
    pub id: id::ChangeId,
    /// Index of the operator.
    pub operator: usize,
    /// The version that it must follow; none if it is unconditional.
    pub expected: Option<u64>,
    /// Virtual time of the call, in milliseconds.
    pub called_ms: u64,
    /// Virtual time of the reply, in milliseconds.
    pub answered_ms: u64,
    /// Position of the call among all events.
    pub call_position: u64,
    /// Position of the reply among all events.
    pub reply_position: u64,
    /// What the operator learned.
    pub outcome: Outcome,
}

/// A configuration version that a daemon put in force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// Daemon that applied the version.
    pub vm: id::VmId,
    /// Configuration version that it applied.
    pub version: u64,
    /// Virtual time, in milliseconds.
    pub at_ms: u64,
}

/// A period in which a daemon is exempt from the bound on applying a change.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// The daemon; none if all are affected.
    pub vm: Option<id::VmId>,
    /// Start in virtual time, in milliseconds.
    pub from: u64,
    /// End in virtual time, in milliseconds.
    pub until: u64,
}

/// What was recorded in one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Proposals in the order of their replies.
    pub proposals: Vec<Proposal>,
    /// Versions in the order in which daemons put them in force.
    pub applied: Vec<Applied>,
    /// Periods in which daemons were disturbed, paused or not alive.
    pub disturbances: Vec<Disturbance>,
    /// Every daemon that was started.
    pub started: Vec<id::VmId>,
    /// The configuration log at the end.
    pub log: Vec<change::Change>,
    /// Samples in which more than one daemon would admit to an endpoint.
    pub overlaps: Vec<String>,
    /// Number of admission samples.
    pub samples: u64,
    /// Endpoints without an owner after all faults have ended.
    pub unowned: Vec<String>,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// The figures of one or more runs.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Number of runs.
    pub runs: u64,
    /// Total of proposals, applied versions and admission samples.
    pub operations: u64,
    /// Number of accepted proposals.
    pub accepted: u64,
    /// Number of proposals that lost to another.
    pub conflicts: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Violated invariants, each with its seed.
    pub violations: Vec<String>,
}

impl Summary {
    /// Adds the run of one seed.
    pub fn add(&mut self, seed: u64, history: &History) {
        self.runs += 1;
        self.operations += history.proposals.len() as u64;
        self.operations += history.applied.len() as u64 + history.samples;
        let outcomes = history.proposals.iter().map(|proposal| &proposal.outcome);
        self.accepted +=
            outcomes.clone().filter(|outcome| matches!(outcome, Outcome::Accepted(_))).count()
                as u64;
        self.conflicts +=
            outcomes.filter(|outcome| matches!(outcome, Outcome::Conflict(_))).count() as u64;
        for (kind, count) in &history.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        let violations = check::check(history).into_iter();
        self.violations.extend(violations.map(|text| format!("seed {seed}: {text}")));
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
        for violation in &self.violations {
            writeln!(f, "violation   {violation}")?;
        }
        writeln!(f, "violations  {}", self.violations.len())
    }
}
