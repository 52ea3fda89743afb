//! Admission to one endpoint: its own limit, lower while it is cold.

mod prefill;

use std::collections::BTreeMap;

use ibishill_core::time;

use crate::baseline;

/// Time after a takeover until every dispatch of the earlier owner has arrived.
///
/// It is longer than the connect timeout of a dispatch.
pub const SETTLE: time::Millis = time::Millis(600);

/// Good answers that raise the limit by one slot, as a divisor of the limit.
const GROWTH_DIVISOR: u32 = 2;

/// First token against the usual one from before a cold start, at which it is over.
const RECOVERED_FACTOR: f64 = 1.5;

/// Rise of the first token up to which the limit still grows.
const GROWTH_RISE: f64 = 1.25;

/// Rise of the first token from which on the limit of a warming endpoint is cut.
const OVERLOAD_RISE: f64 = 2.0;

/// Slow first tokens in a row after which they are the usual ones.
const SLOW_MAX: u32 = 256;

/// How warm an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It bears only its declared cold limit.
    Cold,
    /// Its limit rises with each good answer.
    Warming,
    /// It bears its full limit.
    Warm,
}

/// Limits of one endpoint, from its declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests at once when cold.
    pub cold: u32,
    /// Requests at once when warm.
    pub warm: u32,
}

/// How an answer ended, for the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Whole and in time.
    Good,
    /// Failed or late.
    Bad,
    /// No connection, or one that was cut: the endpoint may have restarted.
    Cut,
    /// The caller left or the request was never sent.
    Left,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// No later than when the endpoint counted.
    pub taken: time::Tick,
    /// Requests that it held then, from all owners.
    pub running: u32,
    /// Whether it says that it is cold.
    pub cold: bool,
    /// Identity of its process, if it tells; a new one means a restart.
    pub start: Option<u64>,
}

/// Size of a prompt, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prompt(pub u32);

/// Below this a prompt's size does not matter.
pub const PROMPT_MIN: Prompt = Prompt(256);

/// A first token within this time is never late.
const LATE_FLOOR: time::Millis = time::Millis(50);

/// Marks an admission, so that an answer from before a restart does not count after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    epoch: u32,
    number: u64,
}

// Work that an earlier owner may still run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Inherited {
    running: u32,
    since: time::Tick,
    until: time::Tick,
}

// What the endpoint was used to before it turned cold.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Before {
    mean: f64,
    slow: u32,
}

// What is restored if a report shows that a cut connection was no restart.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Suspected {
    limit: u32,
    baseline: baseline::Baseline,
    since: time::Tick,
}

/// Counts what runs at one endpoint and bounds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Gate {
    limits: Limits,
    limit: u32,
    running: u32,
    good: u32,
    epoch: u32,
    admitted: u64,
    start: Option<u64>,
    told_cold: bool,
    inherited: Option<Inherited>,
    waiting: BTreeMap<u64, prefill::Wait>,
    baseline: baseline::Baseline,
    prefill: prefill::Prefill,
    before: Option<Before>,
    suspected: Option<Suspected>,
}

impl Gate {
    /// Makes the gate of an endpoint that counts as cold and idle.
    pub fn cold(limits: Limits) -> Self {
        Self {
            limits,
            limit: limits.cold,
            running: 0,
            good: 0,
            epoch: 0,
            admitted: 0,
            start: None,
            told_cold: false,
            inherited: None,
            waiting: BTreeMap::new(),
            baseline: baseline::Baseline::default(),
            prefill: prefill::Prefill::default(),
            before: None,
            suspected: None,
        }
    }

    /// Takes the endpoint over from an owner that admits nothing after `since` and whose
    /// work runs no longer than `age`.
    ///
    /// Until a report shows what is left of that work, all slots count as taken. An
    /// endpoint that bears its full limit when cold has nothing to wait for.
    pub fn take_over(&mut self, since: time::Tick, age: time::Millis) {
        self.turn_cold();
        self.before = None;
        if self.limits.cold >= self.limits.warm {
            self.inherited = None;
            return;
        }
        self.inherited = Some(Inherited { running: u32::MAX, since, until: since + SETTLE + age });
    }

    /// How warm the endpoint is.
    pub fn warmth(&self) -> Warmth {
        if self.limit <= self.limits.cold && self.limit < self.limits.warm {
            return Warmth::Cold;
        }
        if self.limit < self.limits.warm { Warmth::Warming } else { Warmth::Warm }
    }

    /// Requests of this owner that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether an earlier owner's work may still run there.
    pub fn is_unsettled(&self) -> bool {
        self.inherited.is_some()
    }

    /// When the gate may admit at the earliest.
    pub fn ready_at(&self) -> time::Tick {
        let unknown = self.inherited.filter(|work| work.running == u32::MAX);
        unknown.map_or(time::Tick(0), |work| work.since + SETTLE)
    }

    /// Prompt bytes of this owner's requests that have no first token yet.
    pub fn work_waiting(&self) -> u64 {
        self.waiting.values().map(|wait| wait.work).sum()
    }

    /// Prompt bytes that are still to be worked through before a new prompt.
    pub fn work_left(&self, now: time::Tick) -> u64 {
        let Some((_, head)) = self.waiting.first_key_value() else { return 0 };
        let left = self.prefill.left(head.since, head.work, now);
        self.work_waiting() - head.work + left
    }

    /// The learned time to work through a prompt, in milliseconds for one byte.
    pub fn byte_ms(&self) -> Option<f64> {
        self.prefill.byte_ms()
    }

    /// The learned time to the first token, in milliseconds for one prompt byte.
    pub fn baseline(&self) -> &baseline::Baseline {
        &self.baseline
    }

    /// Requests that may still be admitted now.
    pub fn room(&mut self, now: time::Tick) -> u32 {
        if self.inherited.is_some_and(|work| now >= work.until) {
            self.inherited = None;
        }
        // Silence is a sign before the late answer is.
        let silent =
            self.waiting.first_key_value().is_some_and(|(_, wait)| self.is_late(wait, now));
        if silent && self.limit > self.limits.cold {
            self.turn_cold();
        }
        let inherited = self.inherited.map_or(0, |work| work.running);
        self.limit.saturating_sub(self.running.saturating_add(inherited))
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.limit = self.limit.clamp(limits.cold.min(limits.warm), limits.warm);
    }

    /// Admits one request if there is room.
    ///
    /// The gate watches for the first token if it is given the prompt of a stream.
    pub fn admit(&mut self, prompt: Option<Prompt>, now: time::Tick) -> Option<Mark> {
        if self.room(now) == 0 {
            return None;
        }
        self.running += 1;
        self.admitted += 1;
        if let Some(prompt) = prompt {
            let work = u64::from(prompt.0.max(PROMPT_MIN.0));
            let ahead = self.work_waiting();
            self.waiting.insert(self.admitted, prefill::Wait { since: now, work, ahead });
        }
        Some(Mark { epoch: self.epoch, number: self.admitted })
    }

    /// Notes the first token of a request.
    pub fn first(&mut self, mark: Mark, now: time::Tick) {
        // A stream from before the endpoint turned cold waits no more.
        let Some(wait) = self.waiting.remove(&mark.number) else { return };
        if self.is_late(&wait, now) {
            if self.limit > self.limits.cold {
                self.turn_cold();
            }
            return;
        }
        self.prefill.learn(wait.since, wait.work, now);
        let took = wait.relative(now);
        self.compare_with_before(took);
        self.baseline.record(took);
        if self.limit < self.limits.warm && self.baseline.growth() > OVERLOAD_RISE {
            self.shrink();
            self.baseline = baseline::Baseline::default();
        }
    }

    /// Ends one request.
    pub fn finish(&mut self, mark: Mark, answer: Answer, now: time::Tick) {
        // A slot is in use if it was before this request ended.
        let used = self.running.saturating_mul(2) >= self.limit;
        self.running = self.running.saturating_sub(1);
        self.waiting.remove(&mark.number);
        if mark.epoch != self.epoch {
            return;
        }
        match answer {
            Answer::Good if used && self.may_grow() => self.grow(),
            Answer::Good | Answer::Left => {}
            Answer::Bad => self.shrink(),
            Answer::Cut => self.suspect(now),
        }
    }

    /// Takes in what the endpoint says of itself.
    pub fn report(&mut self, report: &Report) {
        let restarted = self.start.is_some() && self.start != report.start;
        let same = report.start.is_some() && self.start == report.start;
        self.start = report.start;
        self.told_cold = report.cold;
        if restarted || (report.cold && self.limit > self.limits.cold) {
            self.turn_cold();
        }
        self.clear_suspicion(report, same);
        if let Some(work) = &mut self.inherited
            && report.taken >= work.since + SETTLE
        {
            // The earlier owner admits nothing more, so its share only falls.
            work.running = work.running.min(report.running);
        }
        if self.inherited.is_some_and(|work| work.running == 0) {
            self.inherited = None;
        }
    }

    fn is_late(&self, wait: &prefill::Wait, now: time::Tick) -> bool {
        now.since(wait.since) > LATE_FLOOR && self.baseline.is_outlier(wait.relative(now))
    }

    // While first tokens take longer than before the cold start, the limit does not rise.
    fn compare_with_before(&mut self, took: f64) {
        let Some(before) = &mut self.before else { return };
        if took <= RECOVERED_FACTOR * before.mean {
            before.slow = 0;
            return;
        }
        before.slow += 1;
        self.good = 0;
        if before.slow >= SLOW_MAX {
            self.before = None;
        }
    }

    fn suspect(&mut self, now: time::Tick) {
        let (limit, baseline) = (self.limit, self.baseline);
        self.turn_cold();
        self.suspected = Some(Suspected { limit, baseline, since: now });
    }

    fn clear_suspicion(&mut self, report: &Report, same: bool) {
        let Some(found) = self.suspected.filter(|found| report.taken >= found.since) else {
            return;
        };
        self.suspected = None;
        if same && !report.cold {
            self.limit = found.limit.min(self.limits.warm);
            self.baseline = found.baseline;
            self.before = None;
        }
    }

    fn turn_cold(&mut self) {
        let learned = self.baseline.reliable_mean();
        self.before = learned.map(|mean| Before { mean, slow: 1 }).or(self.before);
        self.suspected = None;
        self.limit = self.limits.cold.min(self.limits.warm);
        self.good = 0;
        self.epoch += 1;
        self.waiting.clear();
        self.prefill.reset();
        self.baseline = baseline::Baseline::default();
    }

    fn may_grow(&self) -> bool {
        if self.baseline.growth() > GROWTH_RISE {
            return false;
        }
        !self.told_cold
            && self.suspected.is_none()
            && self.before.is_none_or(|before| before.slow == 0)
    }

    // Additive increase: one slot for every share of the limit that was answered well.
    fn grow(&mut self) {
        self.good += 1;
        if self.good >= self.limit.div_ceil(GROWTH_DIVISOR) && self.limit < self.limits.warm {
            self.limit += 1;
            self.good = 0;
        }
    }

    // Multiplicative decrease.
    fn shrink(&mut self) {
        self.good = 0;
        self.limit = (self.limit / 2).max(self.limits.cold).min(self.limits.warm);
    }
}
