//! Counts what versions under a roll-out do, and advances or halts their roll-outs.
//!
//! Each daemon adds a row of counts to the platform's table; one daemon judges the sums.
//! Any other one can take over, as nothing else is kept.

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
const ORDER_TRIES: u32 = 5;
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

    // Names hold no `~`, so that no roll-out's rows start like another's.
    fn prefix(&self) -> String {
        format!("{}~{}~", self.rollout, self.to)
    }

    fn key(&self) -> String {
        format!("{}{:03}~", self.prefix(), self.index)
    }
}

/// Counts of both versions in one stage.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Pair {
    stable: counts::Counts,
    candidate: counts::Counts,
}

/// What this daemon has counted.
#[derive(Clone)]
pub struct Counters {
    cell: in_force::Cell,
    pairs: Arc<Mutex<BTreeMap<Stage, Pair>>>,
}

impl Counters {
    /// Makes empty counters of the roll-outs in force.
    pub fn new(cell: in_force::Cell) -> Self {
        Self { cell, pairs: Arc::default() }
    }

    /// Counts an answer that began after `time`.
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
        let config = self.cell.get();
        for (name, rollout) in active(&config.declared) {
            let mut pairs = self.pairs.lock().unwrap_or_else(PoisonError::into_inner);
            if rollout.from == *version {
                add(&mut pairs.entry(Stage::of(name, rollout)).or_default().stable);
            } else if rollout.to == *version {
                add(&mut pairs.entry(Stage::of(name, rollout)).or_default().candidate);
            }
        }
    }

    // The counts of a stage; those of stages that are over are dropped.
    fn take(&self, config: &declared::Declared) -> BTreeMap<Stage, Pair> {
        let stages: Vec<_> = active(config).map(|(name, r)| Stage::of(name, r)).collect();
        let mut pairs = self.pairs.lock().unwrap_or_else(PoisonError::into_inner);
        pairs.retain(|stage, _| stages.contains(stage));
        pairs.clone()
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

/// What the duty works with.
pub struct Task {
    /// What this daemon has counted.
    pub counters: Counters,
    /// Where counts are summed.
    pub table: table::Table,
    /// Where orders go.
    pub log: log::Log,
    /// The configuration in force.
    pub config: in_force::Cell,
    /// The views in force.
    pub views: context::ViewCell,
    /// Where the daemon stands.
    pub location: plan::Location,
    /// How far the daemon's life has come.
    pub lifecycle: context::Lifecycle,
    /// Wakes the reader of the configuration after an order.
    pub refresh: config_sync::Refresh,
    /// Time between two rounds.
    pub period: time::Millis,
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(duty: Task) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("rollouts".into()).spawn(move || {
        runtime.block_on(duty.run());
    })?;
    Ok(())
}

impl Task {
    async fn run(self) {
        // Two lives of a VM write rows of their own.
        let life = clock::wall_now();
        let mut written = BTreeMap::new();
        while !self.lifecycle.is_closed() || self.lifecycle.running() > 0 {
            let config = self.config.get();
            // A row that could not be written is written again in the next round.
            let _outage = self.write(&config, life, &mut written).await;
            for (name, rollout) in active(&config.declared).filter(|(name, _)| self.judges(name)) {
                let _outage = self.judge(&config, name, rollout).await;
            }
            tokio::time::sleep(self.period.to_std()).await;
        }
    }

    async fn write(
        &self,
        config: &in_force::InForce,
        life: time::Tick,
        written: &mut BTreeMap<Stage, Pair>,
    ) -> Result<(), failure::Failure> {
        let pairs = self.counters.take(&config.declared);
        let mut transaction = table::Transaction::default();
        for (stage, pair) in pairs.iter().filter(|(stage, pair)| written.get(*stage) != Some(*pair))
        {
            let key = format!("{}{}~{}", stage.key(), self.location.vm, life.0);
            let value = serde_json::to_string(pair).expect("counts always encode");
            transaction = transaction.put(table::RowKey::new(COUNTS_TABLE, key), value);
        }
        if !transaction.writes.is_empty() {
            self.table.commit(transaction).await?;
            *written = pairs;
        }
        Ok(())
    }

    // One daemon judges; if views differ for a while, the log takes only one order.
    fn judges(&self, name: &id::RolloutId) -> bool {
        let views = self.views.get();
        let members = views.zones.values().flat_map(|view| view.members.iter().cloned()).collect();
        let all = view::View { number: view::ViewNumber::default(), members };
        let Ok(name) = name.as_str().parse() else { return false };
        owner::owner(&all, &name).is_some_and(|member| member.vm == self.location.vm)
    }

    async fn judge(
        &self,
        config: &in_force::InForce,
        name: &id::RolloutId,
        rollout: &declared::Rollout,
    ) -> Result<(), StateError> {
        let failed = |source| StateError::Platform { source };
        let stage = Stage::of(name, rollout);
        let began = self.began(&stage).await.map_err(failed)?;
        let (stable, candidate) = self.sums(&stage).await.map_err(failed)?;
        let dwelt = clock::wall_now().since(began);
        let stand = rollout::Stats { stable, candidate, elapsed: dwelt };
        let tuning = rollout::Tuning::of(config.declared.policy);
        match rollout::judge(rollout, tuning, &stand) {
            rollout::Verdict::Stay => Ok(()),
            rollout::Verdict::Advance => {
                let next = advanced(rollout);
                let fields = [event::field("rollout", name), event::field("stage", &next.stage)];
                let steps = vec![change::Step::PutRollout(name.clone(), next.clone())];
                if self.order(name, rollout, "rollout-advance", steps).await? {
                    event::emit(event::Event::RolloutAdvanced, &fields);
                }
                Ok(())
            }
            rollout::Verdict::Halt(reason) => {
                let steps = halted(&config.declared, name, rollout, tuning, &reason);
                if self.order(name, rollout, "rollout-halt", steps).await? {
                    let fields = [event::field("rollout", name), event::field("reason", &reason)];
                    event::emit(event::Event::RolloutHalted, &fields);
                }
                Ok(())
            }
        }
    }

    // When the stage began, as the first daemon that judged it has noted.
    async fn began(&self, stage: &Stage) -> Result<time::Tick, failure::Failure> {
        let name = table::RowKey::new(STAGES_TABLE, stage.key());
        let row = self.table.row(name.clone()).await?;
        if let Some(began) = row.value.and_then(|text| text.parse().ok()) {
            return Ok(time::Tick(began));
        }
        let now = clock::wall_now();
        let note = table::Transaction::default().check(name.clone(), 0);
        self.table.commit(note.put(name, now.0.to_string())).await?;
        Ok(now)
    }

    // The stable version over the whole roll-out, the new one in this stage.
    async fn sums(
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
                let pair = row.value.as_deref().and_then(|text| serde_json::from_str(text).ok());
                let pair: Pair = pair.unwrap_or_default();
                stable.add(&pair.stable);
                if row.name.key.starts_with(&stage.key()) {
                    candidate.add(&pair.candidate);
                }
            }
            match rows.last() {
                Some(last) if rows.len() == PAGE_ROWS => after = last.name.key.clone(),
                _ => return Ok((stable, candidate)),
            }
        }
    }

    // Orders only while the roll-out stands as it was judged; an operator's order goes first.
    async fn order(
        &self,
        name: &id::RolloutId,
        judged: &declared::Rollout,
        action: &str,
        steps: Vec<change::Step>,
    ) -> Result<bool, StateError> {
        for _ in 0..ORDER_TRIES {
            let current = self.log.catch_up(&self.config.get()).await?;
            if current.declared.rollouts.get(name) != Some(judged) {
                return Ok(false);
            }
            let order = log::Proposal {
                id: change_id(name, action, current.version),
                author: AUTHOR.parse().expect("a valid name"),
                action: action.into(),
                expected: Some(current.version),
                steps: steps.clone(),
            };
            match self.log.accept(&order, clock::wall_now()).await {
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

fn halted(
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

// The same decision on the same configuration has the same id, so that it takes effect once.
fn change_id(name: &id::RolloutId, action: &str, version: change::ConfigVersion) -> id::ChangeId {
    let digest = Sha256::digest(format!("{name}~{action}~{version}"));
    let hex: String = digest.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    format!("{action}-{hex}").parse().expect("letters, digits and dashes make a valid name")
}
