//! A model of an engine without sockets or clocks: time is an input, so that
//! experiments can drive many engines through hours in seconds.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use ibishill_core::{id, priority};
use ibishill_endpoint::wire;

use super::cache;
use super::order;

/// What steps of the engine take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Costs {
    /// Fixed time of the first step of a prompt.
    pub prompt: Duration,
    /// Time for one prompt token that is not cached.
    pub prompt_token: Duration,
    /// Fixed time of a step.
    pub step: Duration,
    /// Time that each sequence of the batch adds to a step.
    pub sequence: Duration,
}

/// What happens while the engine is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    /// Factor by which steps are slower.
    pub slowdown: u32,
    /// Most sequences at once; with more the engine collapses.
    pub limit: usize,
    /// Answers after which the engine is warm.
    pub answers: u32,
    /// Time for which a collapsed engine is down.
    pub restart: Duration,
}

/// How an engine is built.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// What steps take.
    pub costs: Costs,
    /// Behaviour in a cold start.
    pub cold: Cold,
    /// The prefix cache.
    pub cache: cache::Settings,
    /// Most sequences in the batch.
    pub batch: usize,
    /// Most sequences that wait for the batch.
    pub queue: usize,
    /// Most prompt tokens in one step.
    pub chunk: u64,
    /// Age of what a load report shows.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time to load a version.
    pub load_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            costs: Costs {
                prompt: Duration::from_millis(20),
                prompt_token: Duration::from_micros(100),
                step: Duration::from_millis(5),
                sequence: Duration::from_micros(200),
            },
            cold: Cold { slowdown: 4, limit: 2, answers: 8, restart: Duration::from_secs(5) },
            cache: cache::Settings { blocks: 4_096, lag: Duration::from_millis(200), loss: 0.01 },
            batch: 16,
            queue: 64,
            chunk: 512,
            report_lag: Duration::from_millis(500),
            fencing: true,
            load_time: Duration::from_secs(2),
        }
    }
}

/// One generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub request: id::RequestId,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Hashes of the prompt's full blocks, each over everything before it too.
    pub blocks: Vec<wire::Block>,
    /// Tokens to generate.
    pub output: u64,
    /// Its priority.
    pub priority: priority::Priority,
}

/// Why a job was not taken; nothing of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The queue is full.
    Full,
    /// The engine is down after a collapse.
    Down,
}

/// What came of a job at some moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// The request.
    pub request: id::RequestId,
    /// When.
    pub at: Duration,
    /// What.
    pub part: Part,
}

/// A part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The token with this index.
    Token(u64),
    /// All tokens were generated.
    Done,
    /// The engine collapsed.
    Lost,
}

#[derive(Debug, Clone)]
struct Sequence {
    job: Job,
    uncached: Option<u64>,
    generated: u64,
}

/// The engine.
#[derive(Debug, Clone)]
pub struct Simulation {
    settings: Settings,
    cache: cache::Cache,
    orders: order::Orders,
    waiting: Vec<Sequence>,
    batch: Vec<Sequence>,
    step_end: Option<Duration>,
    down_until: Duration,
    cold: bool,
    answers: u32,
    reports: VecDeque<(Duration, wire::Report)>,
    lost: Vec<Output>,
}

impl Simulation {
    /// Makes an engine that runs `versions` and starts cold.
    pub fn new(settings: Settings, versions: BTreeSet<id::VersionRef>, seed: u64) -> Self {
        Self {
            cache: cache::Cache::new(settings.cache, seed),
            orders: order::Orders::new(settings.fencing, settings.load_time, versions),
            settings,
            waiting: Vec::new(),
            batch: Vec::new(),
            step_end: None,
            down_until: Duration::ZERO,
            cold: true,
            answers: 0,
            reports: VecDeque::new(),
            lost: Vec::new(),
        }
    }

    /// Changes what steps take, from the next step on.
    pub fn set_costs(&mut self, costs: Costs) {
        self.settings.costs = costs;
    }

    /// Takes a job at `now`; advance the engine to `now` first.
    ///
    /// # Errors
    ///
    /// Refuses if the engine is down or its queue is full.
    pub fn submit(&mut self, now: Duration, job: Job) -> Result<(), Refused> {
        if now < self.down_until {
            return Err(Refused::Down);
        }
        if self.waiting.len() >= self.settings.queue {
            return Err(Refused::Full);
        }
        self.waiting.push(Sequence { job, uncached: None, generated: 0 });
        if self.cold && self.sequences() > self.settings.cold.limit {
            self.collapse(now);
            return Ok(());
        }
        self.begin_step(now);
        self.note(now);
        Ok(())
    }

    /// Ends a job; returns whether it was known.
    pub fn cancel(&mut self, now: Duration, request: &id::RequestId) -> bool {
        let before = self.sequences();
        self.waiting.retain(|sequence| sequence.job.request != *request);
        self.batch.retain(|sequence| sequence.job.request != *request);
        if self.batch.is_empty() {
            self.step_end = None;
            self.begin_step(now);
        }
        self.note(now);
        self.sequences() < before
    }

    /// When the engine has something to do next.
    pub fn next_step(&self) -> Option<Duration> {
        if self.lost.is_empty() { self.step_end } else { Some(self.down_until) }
    }

    /// Carries out everything up to `now` and returns what came out, in order of time.
    pub fn advance(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.lost);
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.finish_step(end, &mut outputs);
            self.begin_step(end);
            self.note(end);
        }
        outputs
    }

    /// The load report as seen at `now`.
    pub fn report(&self, now: Duration) -> wire::Report {
        let seen = now.saturating_sub(self.settings.report_lag);
        let found = self.reports.iter().rev().find(|(at, _)| *at <= seen);
        let report = found
            .map_or(wire::Report { cold: true, ..wire::Report::default() }, |(_, report)| *report);
        let age_ms = u64::try_from((now - seen).as_millis()).unwrap_or(u64::MAX);
        wire::Report { age_ms, ..report }
    }

    /// Takes the cache events that are due at `now`.
    pub fn cache_events(&mut self, now: Duration) -> Vec<wire::CacheEvent> {
        self.cache.events(now)
    }

    /// Carries out an order; a loaded version puts the engine into a cold start.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number, if the engine checks it.
    pub fn order(&mut self, now: Duration, order: &wire::Order) -> Result<(), wire::Refused> {
        let loads = self.orders.carry_out(now, order)?;
        if loads {
            self.chill(now);
        }
        Ok(())
    }

    /// What orders have made of the engine.
    pub fn orders(&self) -> &order::Orders {
        &self.orders
    }

    /// Puts the engine into a cold start without warning.
    pub fn chill(&mut self, now: Duration) {
        self.cold = true;
        self.answers = 0;
        self.cache.clear();
        self.note(now);
    }

    /// Ends the cold start.
    pub fn warm(&mut self, now: Duration) {
        self.cold = false;
        self.note(now);
    }

    /// Whether the engine is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Whether the engine is down after a collapse.
    pub fn is_down(&self, now: Duration) -> bool {
        now < self.down_until
    }

    /// Sequences that run or wait.
    pub fn sequences(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    fn collapse(&mut self, now: Duration) {
        let all = self.batch.drain(..).chain(self.waiting.drain(..));
        let lost = all.map(|s| Output { request: s.job.request, at: now, part: Part::Lost });
        self.lost.extend(lost);
        self.step_end = None;
        self.down_until = now + self.settings.cold.restart;
        self.chill(now);
    }

    // The highest priority first, then in order of arrival.
    fn fill(&mut self) {
        while self.batch.len() < self.settings.batch && !self.waiting.is_empty() {
            let highest = self.waiting.iter().map(|s| s.job.priority).max();
            let next = self.waiting.iter().position(|s| Some(s.job.priority) == highest);
            let mut sequence = self.waiting.remove(next.unwrap_or(0));
            let hit = self.cache.hit(&sequence.job.blocks);
            // The last token of a prompt is always computed.
            sequence.uncached = Some(sequence.job.prompt.saturating_sub(hit).max(1));
            self.batch.push(sequence);
        }
    }

    fn begin_step(&mut self, now: Duration) {
        if self.step_end.is_some() {
            return;
        }
        self.fill();
        if self.batch.is_empty() {
            return;
        }
        let costs = self.settings.costs;
        let mut time = costs.step + costs.sequence * small(self.batch.len() as u64);
        let mut room = self.settings.chunk;
        for sequence in &self.batch {
            let Some(left) = sequence.uncached.filter(|_| room > 0) else { continue };
            let taken = left.min(room);
            room -= taken;
            time += costs.prompt + costs.prompt_token * small(taken);
        }
        let factor = if self.cold { self.settings.cold.slowdown } else { 1 };
        self.step_end = Some(now + time * factor);
    }

    fn finish_step(&mut self, end: Duration, outputs: &mut Vec<Output>) {
        self.step_end = None;
        let mut room = self.settings.chunk;
        for sequence in &mut self.batch {
            if let Some(left) = sequence.uncached {
                let taken = left.min(room);
                room -= taken;
                if taken < left {
                    sequence.uncached = Some(left - taken);
                    continue;
                }
                sequence.uncached = None;
                self.cache.store(end, &sequence.job.blocks);
            }
            let request = sequence.job.request.clone();
            let part = Part::Token(sequence.generated);
            outputs.push(Output { request, at: end, part });
            sequence.generated += 1;
        }
        let is_done = |s: &Sequence| s.uncached.is_none() && s.generated >= s.job.output;
        for sequence in self.batch.extract_if(.., |s| is_done(s)) {
            self.answers += 1;
            let request = sequence.job.request;
            outputs.push(Output { request, at: end, part: Part::Done });
        }
        if self.answers >= self.settings.cold.answers {
            self.cold = false;
        }
    }

    fn note(&mut self, now: Duration) {
        let report = wire::Report {
            age_ms: 0,
            running: small(self.batch.len() as u64),
            waiting: small(self.waiting.len() as u64),
            cold: self.cold,
            start: Some(0),
        };
        self.reports.push_back((now, report));
        let seen = now.saturating_sub(self.settings.report_lag);
        while self.reports.get(1).is_some_and(|(at, _)| *at <= seen) {
            self.reports.pop_front();
        }
    }
}

fn small(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
