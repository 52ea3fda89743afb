//! Simulation of an engine without sockets or clocks. Time is an input, so that experiments can
//! simulate hours of many engines in seconds.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use ibishill_core::{id, priority};
use ibishill_endpoint::wire;

use super::cache;
use super::order;

/// Durations that make up a step. A step generates one token for each sequence whose prompt has
/// been computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Costs {
    /// Fixed time for each prompt that a step computes a part of.
    pub prefill: Duration,
    /// Time for each prompt token that is not cached.
    pub prefill_token: Duration,
    /// Fixed time of a step.
    pub step: Duration,
    /// Additional time for each sequence in the batch.
    pub sequence: Duration,
}

/// Behaviour during a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Factor by which steps are slowed down.
    pub slowdown: u32,
    /// Most sequences, running or queued; one more crashes the engine.
    pub max_sequences: usize,
    /// Completed answers after which the engine is warm.
    pub warmup_answers: u32,
    /// Time for which the engine is down after a crash.
    pub restart: Duration,
}

/// Settings of a simulated engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Durations of steps.
    pub costs: Costs,
    /// Behaviour in a cold start.
    pub cold_start: ColdStart,
    /// The prefix cache.
    pub cache: cache::Settings,
    /// Most sequences in the batch.
    pub max_batch: usize,
    /// Most sequences that wait for a place in the batch.
    pub max_queue: usize,
    /// Most prompt tokens computed in one step.
    pub prefill_chunk: u64,
    /// Age of the state that a load report shows.
    pub report_lag: Duration,
    /// Whether orders with a lower fencing number than the highest seen are refused.
    pub fencing: bool,
    /// Time that loading a version takes.
    pub load_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            costs: Costs {
                prefill: Duration::from_millis(20),
                prefill_token: Duration::from_micros(100),
                step: Duration::from_millis(5),
                sequence: Duration::from_micros(200),
            },
            cold_start: ColdStart {
                slowdown: 4,
                max_sequences: 2,
                warmup_answers: 8,
                restart: Duration::from_secs(5),
            },
            cache: cache::Settings {
                max_blocks: 4_096,
                event_lag: Duration::from_millis(200),
                event_loss: 0.01,
            },
            max_batch: 16,
            max_queue: 64,
            prefill_chunk: 512,
            report_lag: Duration::from_millis(500),
            fencing: true,
            load_time: Duration::from_secs(2),
        }
    }
}

/// A generation to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Request that asks for it.
    pub request: id::RequestId,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's full blocks; each covers everything before its block too.
    pub blocks: Vec<wire::Block>,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Sequences of a higher priority enter the batch first.
    pub priority: priority::Priority,
}

/// Reason why a job was rejected; no part of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The queue is full.
    QueueFull,
    /// The engine is down after a crash.
    Down,
}

/// An event of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// Request of the job.
    pub request: id::RequestId,
    /// Time of the event.
    pub at: Duration,
    /// The event.
    pub event: Event,
}

/// What happened to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The token with this index, counted from 0, was generated.
    Token(u64),
    /// All tokens were generated.
    Done,
    /// The engine crashed before the job was done.
    Lost,
}

#[derive(Debug, Clone)]
struct Sequence {
    job: Job,
    // Prompt tokens still to be computed; `None` in the queue and after the prompt.
    prefill_remaining: Option<u64>,
    generated: u64,
}

/// A simulated engine with a batch, a queue and a prefix cache.
#[derive(Debug, Clone)]
pub struct Simulation {
    settings: Settings,
    cache: cache::Cache,
    order_state: order::State,
    waiting: Vec<Sequence>,
    batch: Vec<Sequence>,
    step_end: Option<Duration>,
    down_until: Duration,
    cold: bool,
    answered: u32,
    reports: VecDeque<(Duration, wire::Report)>,
    // Losses of a crash, not yet returned by `advance`.
    lost: Vec<Output>,
}

impl Simulation {
    /// Creates a cold engine with `versions` loaded; `seed` decides which cache events are lost.
    pub fn new(settings: Settings, versions: BTreeSet<id::VersionRef>, seed: u64) -> Self {
        Self {
            cache: cache::Cache::new(settings.cache, seed),
            order_state: order::State::new(settings.fencing, settings.load_time, versions),
            settings,
            waiting: Vec::new(),
            batch: Vec::new(),
            step_end: None,
            down_until: Duration::ZERO,
            cold: true,
            answered: 0,
            reports: VecDeque::new(),
            lost: Vec::new(),
        }
    }

    /// Replaces the durations of steps, from the next step on.
    pub fn set_costs(&mut self, costs: Costs) {
        self.settings.costs = costs;
    }

    /// Queues a job at `now`; call [`advance`](Self::advance) with `now` first.
    ///
    /// A job that overloads a cold engine crashes it and is lost, although this returns `Ok`.
    ///
    /// # Errors
    ///
    /// Fails if the engine is down or its queue is full.
    pub fn submit(&mut self, now: Duration, job: Job) -> Result<(), SubmitError> {
        if now < self.down_until {
            return Err(SubmitError::Down);
        }
        if self.waiting.len() >= self.settings.max_queue {
            return Err(SubmitError::QueueFull);
        }
        self.waiting.push(Sequence { job, prefill_remaining: None, generated: 0 });
        if self.cold && self.in_flight() > self.settings.cold_start.max_sequences {
            self.crash(now);
            return Ok(());
        }
        self.begin_step(now);
        self.record_load(now);
        Ok(())
    }

    /// Removes a job and returns whether it was running or queued.
    pub fn cancel(&mut self, now: Duration, request: &id::RequestId) -> bool {
        let before = self.in_flight();
        self.waiting.retain(|sequence| sequence.job.request != *request);
        self.batch.retain(|sequence| sequence.job.request != *request);
        if self.batch.is_empty() {
            self.step_end = None;
            self.begin_step(now);
        }
        self.record_load(now);
        self.in_flight() < before
    }

    /// Time at which [`advance`](Self::advance) should be called next; `None` while idle.
    pub fn next_step(&self) -> Option<Duration> {
        if self.lost.is_empty() { self.step_end } else { Some(self.down_until) }
    }

    /// Runs the simulation up to `now` and returns the new events in order of time.
    pub fn advance(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.lost);
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.finish_step(end, &mut outputs);
            self.begin_step(end);
            self.record_load(end);
        }
        outputs
    }

    /// Load report visible at `now`, which lags by [`Settings::report_lag`].
    ///
    /// It shows a cold, idle engine if nothing was recorded by then.
    pub fn load_report(&self, now: Duration) -> wire::Report {
        let seen = now.saturating_sub(self.settings.report_lag);
        let visible = self.reports.iter().rev().find(|(at, _)| *at <= seen);
        let report = visible
            .map_or(wire::Report { cold: true, ..wire::Report::default() }, |(_, report)| *report);
        let age_ms = u64::try_from((now - seen).as_millis()).unwrap_or(u64::MAX);
        wire::Report { age_ms, ..report }
    }

    /// Removes and returns the cache events that are due at `now`.
    pub fn take_cache_events(&mut self, now: Duration) -> Vec<wire::CacheEvent> {
        self.cache.take_events(now)
    }

    /// Applies an order; loading a version starts a cold start.
    ///
    /// # Errors
    ///
    /// Fails if fencing is on and the order's fencing number is lower than the highest one seen.
    pub fn apply_order(&mut self, now: Duration, order: &wire::Order) -> Result<(), wire::Refused> {
        let starts_load = self.order_state.apply(now, order)?;
        if starts_load {
            self.begin_cold_start(now);
        }
        Ok(())
    }

    /// Loaded versions and role.
    pub fn order_state(&self) -> &order::State {
        &self.order_state
    }

    /// Starts a cold start and empties the cache.
    pub fn begin_cold_start(&mut self, now: Duration) {
        self.cold = true;
        self.answered = 0;
        self.cache.clear();
        self.record_load(now);
    }

    /// Ends the cold start.
    pub fn end_cold_start(&mut self, now: Duration) {
        self.cold = false;
        self.record_load(now);
    }

    /// Whether the engine is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Whether the engine is down after a crash.
    pub fn is_down(&self, now: Duration) -> bool {
        now < self.down_until
    }

    /// Sequences that are running or queued.
    pub fn in_flight(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    fn crash(&mut self, now: Duration) {
        let all = self.batch.drain(..).chain(self.waiting.drain(..));
        let lost = all.map(|s| Output { request: s.job.request, at: now, event: Event::Lost });
        self.lost.extend(lost);
        self.step_end = None;
        self.down_until = now + self.settings.cold_start.restart;
        self.begin_cold_start(now);
    }

    // Takes the highest priority first, then in order of arrival.
    fn fill_batch(&mut self) {
        while self.batch.len() < self.settings.max_batch && !self.waiting.is_empty() {
            let highest = self.waiting.iter().map(|s| s.job.priority).max();
            let next = self.waiting.iter().position(|s| Some(s.job.priority) == highest);
            let mut sequence = self.waiting.remove(next.unwrap_or(0));
            let cached = self.cache.cached_tokens(&sequence.job.blocks);
            // The last token of a prompt is always computed, even if it is cached.
            sequence.prefill_remaining =
                Some(sequence.job.prompt_tokens.saturating_sub(cached).max(1));
            self.batch.push(sequence);
        }
    }

    fn begin_step(&mut self, now: Duration) {
        if self.step_end.is_some() {
            return;
        }
        self.fill_batch();
        if self.batch.is_empty() {
            return;
        }
        let costs = self.settings.costs;
        let mut time = costs.step + costs.sequence * saturating_u32(self.batch.len() as u64);
        let mut budget = self.settings.prefill_chunk;
        for sequence in &self.batch {
            let Some(remaining) = sequence.prefill_remaining.filter(|_| budget > 0) else {
                continue;
            };
            let computed = remaining.min(budget);
            budget -= computed;
            time += costs.prefill + costs.prefill_token * saturating_u32(computed);
        }
        let factor = if self.cold { self.settings.cold_start.slowdown } else { 1 };
        self.step_end = Some(now + time * factor);
    }

    fn finish_step(&mut self, end: Duration, outputs: &mut Vec<Output>) {
        self.step_end = None;
        let mut budget = self.settings.prefill_chunk;
        for sequence in &mut self.batch {
            if let Some(remaining) = sequence.prefill_remaining {
                let computed = remaining.min(budget);
                budget -= computed;
                if computed < remaining {
                    sequence.prefill_remaining = Some(remaining - computed);
                    continue;
                }
                sequence.prefill_remaining = None;
                self.cache.insert(end, &sequence.job.blocks);
            }
            let request = sequence.job.request.clone();
            let event = Event::Token(sequence.generated);
            outputs.push(Output { request, at: end, event });
            sequence.generated += 1;
        }
        let is_done =
            |s: &Sequence| s.prefill_remaining.is_none() && s.generated >= s.job.output_tokens;
        for sequence in self.batch.extract_if(.., |s| is_done(s)) {
            self.answered += 1;
            let request = sequence.job.request;
            outputs.push(Output { request, at: end, event: Event::Done });
        }
        if self.answered >= self.settings.cold_start.warmup_answers {
            self.cold = false;
        }
    }

    fn record_load(&mut self, now: Duration) {
        let report = wire::Report {
            age_ms: 0,
            running: saturating_u32(self.batch.len() as u64),
            waiting: saturating_u32(self.waiting.len() as u64),
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

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
