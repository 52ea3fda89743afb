//! Adaptive concurrency limit of one endpoint, with slow start after a cold start.

mod prefill;

use std::collections::BTreeMap;

use ibishill_core::time;

use crate::baseline;

/// Time after a takeover by which every dispatch of the previous owner has arrived; longer than
/// the connect timeout of a dispatch.
pub const SETTLE: time::Millis = time::Millis(600);

/// The limit rises by one slot after `limit / RAISE_DIVISOR` good responses.
const RAISE_DIVISOR: u32 = 2;

/// Ratio of the time to first token to the mean before a cold start, up to which the endpoint
/// counts as recovered.
const RECOVERED_FACTOR: f64 = 1.5;

/// Ratio of the time to first token to its recent minimum up to which the limit may rise.
const SLOWDOWN_MAX_TO_RAISE: f64 = 1.25;

/// Ratio of the time to first token to its recent minimum above which the limit of a warming
/// endpoint is halved.
const SLOWDOWN_OVERLOAD: f64 = 2.0;

/// Consecutive slow first tokens after which their time is taken as the normal one.
const SLOW_MAX: u32 = 256;

/// Stage of the slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The limit is the declared cold limit.
    Cold,
    /// The limit rises with good responses.
    Warming,
    /// The limit is the full one.
    Warm,
}

/// Declared limits of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent requests when cold.
    pub cold: u32,
    /// Concurrent requests when warm.
    pub warm: u32,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response in time.
    Good,
    /// Failure or late response.
    Failed,
    /// The connection failed or was closed early: the endpoint may have restarted.
    Disconnected,
    /// The caller disconnected, or the request was never sent.
    Cancelled,
}

/// Status report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Lower bound of the time at which the endpoint counted its requests.
    pub taken: time::Tick,
    /// Requests that it held then, from all owners.
    pub running: u32,
    /// Whether the endpoint reports itself as cold.
    pub cold: bool,
    /// Identity of its process, if reported; a changed one means a restart.
    pub start: Option<u64>,
}

/// Size of a prompt, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PromptBytes(pub u32);

/// Smaller prompts count as this size.
pub const PROMPT_MIN: PromptBytes = PromptBytes(256);

/// A first token within this time never counts as late.
const LATE_FLOOR: time::Millis = time::Millis(50);

/// Identifies an admission, so that a response from before a restart does not count after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    epoch: u32,
    number: u64,
}

// Requests of the previous owner that may still be running. `running` is `u32::MAX` until a
// report shows their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Inherited {
    running: u32,
    since: time::Tick,
    until: time::Tick,
}

// Mean time to first token before the endpoint turned cold, and the number of consecutive slow
// first tokens since.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Previous {
    mean: f64,
    slow: u32,
}

// State to restore if a report shows that a lost connection was no restart.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Suspected {
    limit: u32,
    baseline: baseline::Baseline,
    since: time::Tick,
}

/// Counts the running requests of one endpoint and limits them.
#[derive(Debug, Clone, PartialEq)]
pub struct Limiter {
    limits: Limits,
    limit: u32,
    running: u32,
    good_count: u32,
    epoch: u32,
    last_number: u64,
    start: Option<u64>,
    reported_cold: bool,
    inherited: Option<Inherited>,
    waiting: BTreeMap<u64, prefill::Wait>,
    baseline: baseline::Baseline,
    prefill: prefill::Prefill,
    previous: Option<Previous>,
    suspected: Option<Suspected>,
}

impl Limiter {
    /// Creates the limiter of an endpoint that is taken as cold and idle.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            limit: limits.cold,
            running: 0,
            good_count: 0,
            epoch: 0,
            last_number: 0,
            start: None,
            reported_cold: false,
            inherited: None,
            waiting: BTreeMap::new(),
            baseline: baseline::Baseline::default(),
            prefill: prefill::Prefill::default(),
            previous: None,
            suspected: None,
        }
    }

    /// Takes the endpoint over from an owner that admits nothing after `since` and whose
    /// requests run no longer than `run_max`.
    ///
    /// Until a report shows how many of those requests are left, all slots count as taken. An
    /// endpoint whose cold limit is its full limit is available at once.
    pub fn take_over(&mut self, since: time::Tick, run_max: time::Millis) {
        self.turn_cold();
        self.previous = None;
        if self.limits.cold >= self.limits.warm {
            self.inherited = None;
            return;
        }
        self.inherited =
            Some(Inherited { running: u32::MAX, since, until: since + SETTLE + run_max });
    }

    /// Stage of the endpoint's slow start.
    pub fn state(&self) -> State {
        if self.limit <= self.limits.cold && self.limit < self.limits.warm {
            return State::Cold;
        }
        if self.limit < self.limits.warm { State::Warming } else { State::Warm }
    }

    /// Number of running requests of this owner.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Current limit of concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether requests of the previous owner may still be running.
    pub fn is_unsettled(&self) -> bool {
        self.inherited.is_some()
    }

    /// Earliest time at which the limiter may admit a request; zero if nothing delays it.
    pub fn ready_at(&self) -> time::Tick {
        let unknown = self.inherited.filter(|work| work.running == u32::MAX);
        unknown.map_or(time::Tick(0), |work| work.since + SETTLE)
    }

    /// Prompt bytes of this owner's requests that have no first token yet.
    pub fn pending_bytes(&self) -> u64 {
        self.waiting.values().map(|wait| wait.work).sum()
    }

    /// Estimated prompt bytes to process before a new prompt.
    pub fn backlog_bytes(&self, now: time::Tick) -> u64 {
        let Some((_, head)) = self.waiting.first_key_value() else { return 0 };
        let remaining = self.prefill.remaining(head.since, head.work, now);
        self.pending_bytes() - head.work + remaining
    }

    /// Learned prompt processing time, in milliseconds per byte; absent before the first token.
    pub fn ms_per_byte(&self) -> Option<f64> {
        self.prefill.ms_per_byte()
    }

    /// Learned time to first token, in milliseconds per byte of the prompt and those ahead.
    pub fn baseline(&self) -> &baseline::Baseline {
        &self.baseline
    }

    /// Number of requests that may be admitted now.
    ///
    /// Turns the endpoint cold if the oldest request without a first token is overdue.
    pub fn available(&mut self, now: time::Tick) -> u32 {
        if self.inherited.is_some_and(|work| now >= work.until) {
            self.inherited = None;
        }
        // An overdue first token shows a restart earlier than the late response does.
        let is_overdue =
            self.waiting.first_key_value().is_some_and(|(_, wait)| self.is_late(wait, now));
        if is_overdue && self.limit > self.limits.cold {
            self.turn_cold();
        }
        let inherited = self.inherited.map_or(0, |work| work.running);
        self.limit.saturating_sub(self.running.saturating_add(inherited))
    }

    /// Applies changed limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.limit = self.limit.clamp(limits.cold.min(limits.warm), limits.warm);
    }

    /// Admits one request, unless the limit is reached.
    ///
    /// The prompt size is given for streams, whose time to first token is observed.
    pub fn admit(&mut self, prompt: Option<PromptBytes>, now: time::Tick) -> Option<Ticket> {
        if self.available(now) == 0 {
            return None;
        }
        self.running += 1;
        self.last_number += 1;
        if let Some(prompt) = prompt {
            let work = u64::from(prompt.0.max(PROMPT_MIN.0));
            let ahead = self.pending_bytes();
            self.waiting.insert(self.last_number, prefill::Wait { since: now, work, ahead });
        }
        Some(Ticket { epoch: self.epoch, number: self.last_number })
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, ticket: Ticket, now: time::Tick) {
        // Streams from before the endpoint turned cold are no longer tracked.
        let Some(wait) = self.waiting.remove(&ticket.number) else { return };
        if self.is_late(&wait, now) {
            if self.limit > self.limits.cold {
                self.turn_cold();
            }
            return;
        }
        self.prefill.record(wait.since, wait.work, now);
        let took = wait.ms_per_byte(now);
        self.compare_with_previous(took);
        self.baseline.record(took);
        if self.limit < self.limits.warm && self.baseline.slowdown() > SLOWDOWN_OVERLOAD {
            self.shrink();
            self.baseline = baseline::Baseline::default();
        }
    }

    /// Records the end of a request.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: time::Tick) {
        // The limit rises only if at least half of it was in use when this request ended.
        let was_used = self.running.saturating_mul(2) >= self.limit;
        self.running = self.running.saturating_sub(1);
        self.waiting.remove(&ticket.number);
        if ticket.epoch != self.epoch {
            return;
        }
        match outcome {
            Outcome::Good if was_used && self.may_grow() => self.grow(),
            Outcome::Good | Outcome::Cancelled => {}
            Outcome::Failed => self.shrink(),
            Outcome::Disconnected => self.suspect(now),
        }
    }

    /// Applies a status report of the endpoint.
    pub fn record_report(&mut self, report: &Report) {
        let has_restarted = self.start.is_some() && self.start != report.start;
        let is_same = report.start.is_some() && self.start == report.start;
        self.start = report.start;
        self.reported_cold = report.cold;
        if has_restarted || (report.cold && self.limit > self.limits.cold) {
            self.turn_cold();
        }
        self.resolve_suspicion(report, is_same);
        if let Some(work) = &mut self.inherited
            && report.taken >= work.since + SETTLE
        {
            // The previous owner admits nothing more, so its number of requests only falls.
            work.running = work.running.min(report.running);
        }
        if self.inherited.is_some_and(|work| work.running == 0) {
            self.inherited = None;
        }
    }

    fn is_late(&self, wait: &prefill::Wait, now: time::Tick) -> bool {
        now.since(wait.since) > LATE_FLOOR && self.baseline.is_outlier(wait.ms_per_byte(now))
    }

    // The limit does not rise while first tokens take longer than before the cold start.
    fn compare_with_previous(&mut self, took: f64) {
        let Some(previous) = &mut self.previous else { return };
        if took <= RECOVERED_FACTOR * previous.mean {
            previous.slow = 0;
            return;
        }
        previous.slow += 1;
        self.good_count = 0;
        if previous.slow >= SLOW_MAX {
            self.previous = None;
        }
    }

    fn suspect(&mut self, now: time::Tick) {
        let (limit, baseline) = (self.limit, self.baseline);
        self.turn_cold();
        self.suspected = Some(Suspected { limit, baseline, since: now });
    }

    fn resolve_suspicion(&mut self, report: &Report, is_same: bool) {
        let Some(saved) = self.suspected.filter(|saved| report.taken >= saved.since) else {
            return;
        };
        self.suspected = None;
        if is_same && !report.cold {
            self.limit = saved.limit.min(self.limits.warm);
            self.baseline = saved.baseline;
            self.previous = None;
        }
    }

    fn turn_cold(&mut self) {
        let learned = self.baseline.reliable_mean();
        // Starts at 1, so that the limit does not rise until a first token shows the endpoint
        // recovered.
        self.previous = learned.map(|mean| Previous { mean, slow: 1 }).or(self.previous);
        self.suspected = None;
        self.limit = self.limits.cold.min(self.limits.warm);
        self.good_count = 0;
        self.epoch += 1;
        self.waiting.clear();
        self.prefill.reset();
        self.baseline = baseline::Baseline::default();
    }

    fn may_grow(&self) -> bool {
        if self.baseline.slowdown() > SLOWDOWN_MAX_TO_RAISE {
            return false;
        }
        !self.reported_cold
            && self.suspected.is_none()
            && self.previous.is_none_or(|previous| previous.slow == 0)
    }

    // Additive increase: one slot after `limit / RAISE_DIVISOR` good responses.
    fn grow(&mut self) {
        self.good_count += 1;
        if self.good_count >= self.limit.div_ceil(RAISE_DIVISOR) && self.limit < self.limits.warm {
            self.limit += 1;
            self.good_count = 0;
        }
    }

    // Multiplicative decrease.
    fn shrink(&mut self) {
        self.good_count = 0;
        self.limit = (self.limit / 2).max(self.limits.cold).min(self.limits.warm);
    }
}
