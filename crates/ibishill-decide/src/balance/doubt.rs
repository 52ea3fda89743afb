//! Whether an endpoint is warm, by what is known of its latest start.
//!
//! Designed for endpoints that end and start again under their id, and hold nothing of before then. The registration
//! of the new start may come seconds late, after an older one, or not at all, so a sign of an end outlives the
//! registration, and only the endpoint itself ends the doubt.

use std::fmt;

use ibishill_core::{fleet, id, time};

use super::{Balancer, SlowStart};

/// Time for which an endpoint is remembered after its registration was removed.
const GONE_TTL: time::Millis = time::Millis::from_secs(60);

/// Maximum number of endpoints that are remembered so.
const GONE_MAX: usize = 4_096;

/// Time after which a registration of an earlier start counts: live endpoints have written their heartbeats since.
pub const EARLIER_HOLD: time::Millis = time::Millis(4_500);

/// Time for which an answer leaves a doubt to the check that was sent at once.
const CHECK_TIME: time::Millis = time::Millis(1_000);

/// What has raised a doubt, or ended it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The endpoint refused a connection of a request.
    Refused,
    /// It refused a check's connection as well, so that peers are told.
    Gone,
    /// No connection was established.
    Unreached,
    /// A connection ended before the answer was whole.
    Cut,
    /// A registration of an earlier start has come.
    EarlierEntry,
    /// A request that was sent after the sign was answered.
    Answered,
    /// A check has found the start that is registered.
    SameStart,
    /// A health check told whether it is cold.
    Health,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Gone => "gone",
            Self::Unreached => "unreached",
            Self::Cut => "cut",
            Self::EarlierEntry => "earlier entry",
            Self::Answered => "answered",
            Self::SameStart => "same start",
            Self::Health => "health",
        })
    }
}

/// A doubt that was raised or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Whether it is in doubt from now on.
    pub is_doubted: bool,
    /// Why.
    pub cause: Cause,
    /// Until when it counts as cold, beside the doubt.
    pub cold_until: time::Tick,
}

/// What is known of an endpoint's latest start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Warmth {
    // Start time by its registration or a check.
    pub(super) started: Option<u64>,
    // Last sign that this process may have ended; none if there is no doubt.
    pub(super) doubted: Option<time::Tick>,
    // Whether all that was noticed is that connections ended.
    pub(super) is_cut: bool,
    // Last refused check of this doubt, which peers are told of.
    pub(super) refused: Option<time::Tick>,
    // Time for which the endpoint is cold after a start, as of the last sign.
    pub(super) duration: time::Millis,
    pub(super) cold_until: time::Tick,
    // Until when a health check, of this daemon or of a peer, found it cold.
    pub(super) checked_until: time::Tick,
    // When it was last heard, from its health check or a peer, that it has turned cold.
    pub(super) heard: Option<time::Tick>,
    // Since when registrations of an earlier start come.
    pub(super) earlier_since: Option<time::Tick>,
    // When it was last checked because of a doubt.
    pub(super) asked: time::Tick,
}

impl Warmth {
    pub(super) fn is_cold(&self, now: time::Tick) -> bool {
        self.doubted.is_some() || self.cold_until > now
    }

    // Whether the answer to a request that began at `began` ends a doubt. While only connections were cut, a check
    // is about to tell more.
    pub(super) fn is_answered(&self, began: time::Tick, now: time::Tick) -> bool {
        let is_left = |sign| self.is_cut && now.since(sign) < CHECK_TIME;
        self.doubted.is_some_and(|sign| sign < began && !is_left(sign))
    }
}

impl Balancer {
    /// Records a sign that an endpoint may have ended, and started again since; `cold` is the rule of its service.
    /// Returns whether peers are to hear of it at once.
    pub fn doubt(
        &mut self,
        id: &id::EndpointId,
        cause: Cause,
        cold: SlowStart,
        now: time::Tick,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        let warmth = &mut endpoint.warmth;
        warmth.duration = cold.duration;
        let is_news = cause == Cause::Gone && warmth.refused.replace(now).is_none();
        let is_first = warmth.doubted.replace(now).is_none();
        warmth.is_cut = cause == Cause::Cut && (is_first || warmth.is_cut);
        if is_first {
            self.log_doubt(id, true, cause);
        }
        is_news
    }

    /// Endpoints in doubt, those first that have not been checked for the longest time.
    pub fn doubted(&self) -> impl Iterator<Item = &fleet::Registration> {
        let doubted = self.endpoints.values().filter(|found| found.warmth.doubted.is_some());
        let mut doubted: Vec<_> = doubted.collect();
        doubted.sort_by_key(|found| found.warmth.asked);
        doubted.into_iter().map(|found| &found.entry)
    }

    /// Whether an endpoint may have started again, as far as this daemon has noticed itself.
    pub fn is_doubted(&self, id: &id::EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|found| found.warmth.doubted.is_some())
    }

    /// Number of endpoints in doubt.
    pub fn doubt_count(&self) -> usize {
        self.endpoints.values().filter(|found| found.warmth.doubted.is_some()).count()
    }

    /// Whether an endpoint in doubt is to be checked, as its last check was `interval` ago; records the check then.
    pub fn take_doubt_check(
        &mut self,
        id: &id::EndpointId,
        interval: time::Millis,
        now: time::Tick,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        let warmth = &mut endpoint.warmth;
        let is_due = warmth.doubted.is_some()
            && (warmth.asked == time::Tick(0) || now.since(warmth.asked) >= interval);
        if is_due {
            warmth.asked = now;
        }
        is_due
    }

    /// Records the start time that an endpoint told in a check sent at `asked`; returns whether it is the one that is
    /// known, which ends the doubt. A health check tells whether another one is cold.
    pub fn record_start(&mut self, id: &id::EndpointId, started: u64, asked: time::Tick) -> bool {
        let known = self.endpoints.get(id).and_then(|found| found.warmth.started);
        let is_same = known == Some(started);
        if is_same {
            self.settle(id, Cause::SameStart, asked);
        }
        is_same
    }

    /// Replaces the latest start of an endpoint by one that it has told itself.
    pub fn replace_start(&mut self, id: &id::EndpointId, started: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.warmth.started = Some(started);
        self.prefixes.remove(endpoint.report_key);
    }

    /// Ends the doubt of an endpoint unless a sign has come after `asked`.
    pub(super) fn settle(&mut self, id: &id::EndpointId, cause: Cause, asked: time::Tick) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let warmth = &mut endpoint.warmth;
        if warmth.doubted.is_some_and(|sign| sign <= asked) {
            (warmth.doubted, warmth.refused) = (None, None);
            self.log_doubt(id, false, cause);
        }
    }

    fn log_doubt(&mut self, id: &id::EndpointId, is_doubted: bool, cause: Cause) {
        let endpoint = id.clone();
        let cold_until = self.endpoints.get(id).map_or(time::Tick(0), |it| it.warmth.cold_until);
        self.doubts.push(Change { endpoint, is_doubted, cause, cold_until });
    }

    /// Doubts that were raised or have ended since the last call.
    pub fn take_doubts(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.doubts)
    }

    /// Whether a registration is of an earlier start than the latest that is known, and has not come for long enough to
    /// count: a late write is replaced by the endpoint's next ones, unless its time of day was set back.
    pub fn is_earlier_start(&mut self, entry: &fleet::Registration, now: time::Tick) -> bool {
        let known = self.endpoints.get_mut(&entry.id).map(|found| &mut found.warmth);
        let gone = self.gone.get_mut(&entry.id).map(|(warmth, _)| warmth);
        let Some(warmth) = known.or(gone) else { return false };
        let is_earlier =
            warmth.started.zip(entry.started).is_some_and(|(known, started)| started < known);
        if !is_earlier {
            warmth.earlier_since = None;
            return false;
        }
        now.since(*warmth.earlier_since.get_or_insert(now)) < EARLIER_HOLD
    }

    // What is known of an endpoint that is registered, or was lately.
    pub(super) fn warmth(&self, id: &id::EndpointId) -> Option<Warmth> {
        let known = self.endpoints.get(id).map(|found| found.warmth);
        known.or_else(|| self.gone.get(id).map(|(warmth, _)| *warmth))
    }

    pub(super) fn record_gone(&mut self, id: &id::EndpointId, warmth: Warmth, now: time::Tick) {
        if self.gone.len() >= GONE_MAX {
            let first = self.gone.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(first) = first.map(|(id, _)| id.clone()) {
                self.gone.remove(&first);
            }
        }
        self.gone.insert(id.clone(), (warmth, now));
    }

    /// Forgets endpoints that have been gone for long.
    pub fn expire(&mut self, now: time::Tick) {
        self.gone.retain(|_, (_, at)| now.since(*at) < GONE_TTL);
    }
}
