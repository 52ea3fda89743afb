//! Counts the results of versions under a roll-out, and advances or halts roll-outs.
//!
//! Each daemon writes a row of counts to the platform's table; one daemon judges the totals.
//! Any other can take over, since all state is in the table and the log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use ibishill_config::{change, declared, in_force};
use ibishill_core::{clock, event, id, time, view};
use ibishill_decide::rollout::{self, counts};
use ibishill_decide::{owner, plan};
use ibishill_platform::{failure, table};
use ibishill_state::{error::StateError, log};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{config_sync, context};

const COUNTS_TABLE: &str = "rollout-counts";
const STAGES_TABLE: &str = "rollout-stages";
const PAGE_ROWS: usize = 512;
const MAX_SUBMIT_ATTEMPTS: u32 = 5;
const AUTHOR: &str = "ibishill";

/// One stage of one roll-out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Stage {
    rollout: id::RolloutId,
    to: id::VersionRef,
    index: usize,
}

impl Stage {
    fn of(name: &id::RolloutId, rollout: &declared::Rollout) -> Self {
        Self { rollout: name.clone(), to: rollout.to.clone(), index: rollout.stage }
    }

    // Names contain no `~`, so no roll-out's row keys have another's as prefix.
    fn prefix(&self) -> String {
        format!("{}~{}~", self.rollout, self.to)
    }

    fn key(&self) -> String {
        format!("{}{:03}~", self.prefix(), self.index)
    }
}

/// Counts of both versions in one stage.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct StageCounts {
    stable: counts::Counts,
    candidate: counts::Counts,
}

/// Counts of this daemon for the roll-outs in force; clones share them.
#[derive(Clone)]
pub struct Counters {
    config: in_force::Cell,
    stages: Arc<Mutex<BTreeMap<Stage, StageCounts>>>,
}

impl Counters {
    /// Creates empty counters.
    pub fn new(config: in_force::Cell) -> Self {
        Self { config, stages: Arc::default() }
    }

    /// Counts an answer whose first byte came after `time`.
    pub fn record_answer(&self, target: &id::Target, time: time::Millis) {
        self.count(target, |counts| counts.record_answer(time));
    }

    /// Counts a request that failed at an endpoint.
    pub fn record_failure(&self, target: &id::Target) {
        self.count(target, counts::Counts::record_failure);
    }

    /// Counts a rating.
    pub fn record_rating(&self, version: &id::VersionRef, accepted: bool) {
        self.count(&id::Target::Version(version.clone()), |counts| counts.record_rating(accepted));
    }

    fn count<F>(&self, target: &id::Target, add: F)
    where
        F: Fn(&mut counts::Counts),
    {
        let id::Target::Version(version) = target else { return };
        let config = self.config.get();
        for (name, rollout) in active(&config.declared) {
            let mut stages = self.stages.lock().unwrap_or_else(PoisonError::into_inner);
            if rollout.from == *version {
                add(&mut stages.entry(Stage::of(name, rollout)).or_default().stable);
            } else if rollout.to == *version {
                add(&mut stages.entry(Stage::of(name, rollout)).or_default().candidate);
            }
        }
    }

    // Returns the counts of current stages and drops those of past ones.
    fn snapshot(&self, config: &declared::Declared) -> BTreeMap<Stage, StageCounts> {
        let current: Vec<_> = active(config).map(|(name, r)| Stage::of(name, r)).collect();
        let mut stages = self.stages.lock().unwrap_or_else(PoisonError::into_inner);
        stages.retain(|stage, _| current.contains(stage));
        stages.clone()
    }
}

fn active(
    declared: &declared::Declared,
) -> impl Iterator<Item = (&id::RolloutId, &declared::Rollout)> {
    declared.rollouts.iter().filter(|(_, rollout)| {
        let state = rollout.state;
        matches!(state, declared::RolloutState::Running | declared::RolloutState::Paused)
    })
}

/// Background task that writes counts and judges roll-outs.
pub struct Task {
    /// Counts of this daemon.
    pub counters: Counters,
    /// Table that holds the counts of all daemons.
    pub table: table::Table,
    /// Configuration log, which takes the changes of roll-outs.
    pub log: log::Log,
    /// Configuration in force.
    pub config: in_force::Cell,
    /// Zone views in force.
    pub views: context::ViewCell,
    /// VM and zone of this daemon.
    pub location: plan::Location,
    /// Lifecycle of the daemon; the task ends with it.
    pub lifecycle: context::Lifecycle,
    /// Wakes the configuration reader after a change.
    pub refresh: config_sync::Refresh,
    /// Time between two iterations.
    pub period: time::Millis,
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(task: Task) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("rollouts".into()).spawn(move || {
        runtime.block_on(task.run());
    })?;
    Ok(())
}

impl Task {
    async fn run(self) {
        // Separates the rows of two daemon processes on the same VM.
        let process_start = clock::wall_now();
        let mut written = BTreeMap::new();
        while !self.lifecycle.is_closed() || self.lifecycle.caller_requests() > 0 {
            let config = self.config.get();
            // A failed write is retried in the next iteration.
            let _outage = self.write(&config, process_start, &mut written).await;
            for (name, rollout) in
                active(&config.declared).filter(|(name, _)| self.is_decider(name))
            {
                let _outage = self.judge(&config, name, rollout).await;
            }
            tokio::time::sleep(self.period.to_std()).await;
        }
    }

    async fn write(
        &self,
        config: &in_force::InForce,
        process_start: time::Tick,
        written: &mut BTreeMap<Stage, StageCounts>,
    ) -> Result<(), failure::Failure> {
        let stages = self.counters.snapshot(&config.declared);
        let mut transaction = table::Transaction::default();
        for (stage, counts) in
            stages.iter().filter(|(stage, counts)| written.get(*stage) != Some(*counts))
        {
            let key = format!("{}{}~{}", stage.key(), self.location.vm, process_start.0);
            let value = serde_json::to_string(counts).expect("counts always encode");
            transaction = transaction.put(table::RowKey::new(COUNTS_TABLE, key), value);
        }
        if !transaction.writes.is_empty() {
            self.table.commit(transaction).await?;
            *written = stages;
        }
        Ok(())
    }

    // One daemon judges each roll-out. While views differ it may be two; the log then accepts
    // the change of only one.
    fn is_decider(&self, name: &id::RolloutId) -> bool {
        let views = self.views.get();
        let members = views.zones.values().flat_map(|view| view.members.iter().cloned()).collect();
        let all = view::View { number: view::ViewNumber::default(), members };
        // Reuses the rendezvous hashing of endpoints, with the roll-out's name, to choose one daemon.
        let Ok(name) = name.as_str().parse() else { return false };
        owner::owner(&all, &name).is_some_and(|member| member.vm == self.location.vm)
    }

    async fn judge(
        &self,
        config: &in_force::InForce,
        name: &id::RolloutId,
        rollout: &declared::Rollout,
    ) -> Result<(), StateError> {
        let platform_error = |source| StateError::Platform { source };
        let stage = Stage::of(name, rollout);
        let start = self.stage_start(&stage).await.map_err(platform_error)?;
        let (stable, candidate) = self.totals(&stage).await.map_err(platform_error)?;
        let elapsed = clock::wall_now().since(start);
        let stats = rollout::Stats { stable, candidate, elapsed };
        let tuning = rollout::Tuning::of(config.declared.policy);
        match rollout::judge(rollout, tuning, &stats) {
            rollout::Verdict::Stay => Ok(()),
            rollout::Verdict::Advance => {
                let next = advanced(rollout);
                let fields = [event::field("rollout", name), event::field("stage", &next.stage)];
                let steps = vec![change::Step::PutRollout(name.clone(), next.clone())];
                if self.submit(name, rollout, "rollout-advance", steps).await? {
                    event::emit(event::Event::RolloutAdvanced, &fields);
                }
                Ok(())
            }
            rollout::Verdict::Halt(reason) => {
                let steps = halt_steps(&config.declared, name, rollout, tuning, &reason);
                if self.submit(name, rollout, "rollout-halt", steps).await? {
                    let fields = [event::field("rollout", name), event::field("reason", &reason)];
                    event::emit(event::Event::RolloutHalted, &fields);
                }
                Ok(())
            }
        }
    }

    // Start of the stage, as written by the first daemon that judged it.
    async fn stage_start(&self, stage: &Stage) -> Result<time::Tick, failure::Failure> {
        let name = table::RowKey::new(STAGES_TABLE, stage.key());
        let row = self.table.row(name.clone()).await?;
        if let Some(start) = row.value.and_then(|text| text.parse().ok()) {
            return Ok(time::Tick(start));
        }
        let now = clock::wall_now();
        let transaction = table::Transaction::default().check(name.clone(), 0);
        self.table.commit(transaction.put(name, now.0.to_string())).await?;
        Ok(now)
    }

    // Totals of the stable version over the whole roll-out and of the candidate in this stage.
    async fn totals(
        &self,
        stage: &Stage,
    ) -> Result<(counts::Counts, counts::Counts), failure::Failure> {
        let mut stable = counts::Counts::default();
        let mut candidate = counts::Counts::default();
        let mut after = String::new();
        loop {
            let scan = table::Scan {
                table: COUNTS_TABLE.into(),
                prefix: stage.prefix(),
                after,
                limit: PAGE_ROWS,
            };
            let rows = self.table.read(table::Query::Scan(scan)).await?;
            for row in &rows {
                let counts = row.value.as_deref().and_then(|text| serde_json::from_str(text).ok());
                let counts: StageCounts = counts.unwrap_or_default();
                stable.add(&counts.stable);
                if row.name.key.starts_with(&stage.key()) {
                    candidate.add(&counts.candidate);
                }
            }
            match rows.last() {
                Some(last) if rows.len() == PAGE_ROWS => after = last.name.key.clone(),
                _ => return Ok((stable, candidate)),
            }
        }
    }

    // Submits the change unless the roll-out differs from the judged one, so that a change by
    // an operator takes precedence.
    async fn submit(
        &self,
        name: &id::RolloutId,
        expected: &declared::Rollout,
        action: &str,
        steps: Vec<change::Step>,
    ) -> Result<bool, StateError> {
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let current = self.log.catch_up(&self.config.get()).await?;
            if current.declared.rollouts.get(name) != Some(expected) {
                return Ok(false);
            }
            let proposal = log::Proposal {
                id: change_id(name, action, current.version),
                author: AUTHOR.parse().expect("a valid name"),
                action: action.into(),
                expected: Some(current.version),
                steps: steps.clone(),
            };
            match self.log.accept(&proposal, clock::wall_now()).await {
                Ok(_) => {
                    self.refresh.request();
                    return Ok(true);
                }
                Err(StateError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }
}

fn advanced(rollout: &declared::Rollout) -> declared::Rollout {
    let mut next = rollout.clone();
    if rollout.stage + 1 < rollout.stages.len() {
        next.stage += 1;
    } else {
        next.state = declared::RolloutState::Done;
    }
    next
}

fn halt_steps(
    declared: &declared::Declared,
    name: &id::RolloutId,
    rollout: &declared::Rollout,
    tuning: rollout::Tuning,
    reason: &rollout::Reason,
) -> Vec<change::Step> {
    let mut next = rollout.clone();
    next.state = declared::RolloutState::Halted;
    next.reason = Some(reason.to_string());
    let mut steps = vec![change::Step::PutRollout(name.clone(), next)];
    let version = declared.versions.get(&rollout.to);
    let candidate = version.filter(|v| v.state == declared::VersionState::Candidate);
    if let Some(version) = candidate.filter(|_| tuning.withdraws) {
        let state = declared::VersionState::Withdrawn;
        let version = declared::Version { state, ..version.clone() };
        steps.push(change::Step::PutVersion(rollout.to.clone(), version));
    }
    steps
}

// The same decision on the same configuration version gets the same id, which makes it
// idempotent.
fn change_id(name: &id::RolloutId, action: &str, version: change::ConfigVersion) -> id::ChangeId {
    let digest = Sha256::digest(format!("{name}~{action}~{version}"));
    let hex: String = digest.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    format!("{action}-{hex}").parse().expect("letters, digits and dashes make a valid name")
}
