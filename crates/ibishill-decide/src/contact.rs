//! Endpoints that this daemon does not reach although its peers do.
//!
//! Designed for a daemon that loses its paths to all endpoints, or to those of a zone or service, while
//! callers, the store and its peers still reach it. A failure alone does not tell a broken path from an
//! endpoint that has ended. An answer that a peer has had since from the same incarnation does.
//!
//! Where hundreds of daemons share the endpoints, one of them hears little from each, and an endpoint that is
//! busy with long prompts answers its peers all the while. So silence counts only once a probe of its own,
//! which waits behind no prompt, has got no answer either.
//!
//! What lies between may accept connections for endpoints that it does not reach, and reset them later. Where
//! endpoints have no health checks, a probe can only see that a connection stays open. How long it must do so doubles
//! each time that requests fail after it, so it exceeds the delay of the reset after a few of them.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{fleet, id, time};
use xxhash_rust::xxh3;

use crate::endpoint_key::EndpointKey;

/// Maximum number of endpoints that peers are asked about at once.
pub const QUESTION_MAX: usize = 16;

/// Time without any answer after which endpoints that owe one are suspected; streams send events several
/// times a second.
const SILENCE: time::Millis = time::Millis(600);

/// The same for one part only, whose endpoints may all be busy with a first event.
const PART_SILENCE: time::Millis = time::Millis(1_500);

/// Time without any answer after which an endpoint that owes one is checked; the check takes the rest of
/// [`SILENCE`].
const CHECK_SILENCE: time::Millis = time::Millis(250);

/// The same for one part only, and for [`PART_SILENCE`].
const PART_CHECK_SILENCE: time::Millis = time::Millis(1_100);

/// Interval of the checks of an endpoint.
const CHECK_INTERVAL: time::Millis = time::Millis(1_000);

/// Time after which an endpoint that owes an answer is no longer suspected; its caller may have left.
const WAITING_TTL: time::Millis = time::Millis::from_secs(30);

/// Time after its last failure for which an endpoint is suspected.
const FAILURE_TTL: time::Millis = time::Millis::from_secs(5);

/// Age at which an answer that a peer has had no longer counts.
const EVIDENCE_TTL: time::Millis = time::Millis(2_000);

/// Time by which a peer's answer must be later than the failure here, above the latency of a message.
const EVIDENCE_MARGIN: time::Millis = time::Millis(30);

/// Time after a failure from which on peers are asked: they need an answer that is later.
const QUESTION_DELAY: time::Millis = time::Millis(80);

/// Interval at which peers are asked about endpoints that have just failed.
const QUESTION_INTERVAL: time::Millis = time::Millis(200);

/// Time after a failure for which it has just happened.
const RECENT: time::Millis = time::Millis(1_000);

/// Interval for endpoints out of reach, shorter than the time for which evidence counts.
const REFRESH_INTERVAL: time::Millis = time::Millis(400);

/// Interval for endpoints that no peer has confirmed for a while, which have probably ended.
const IDLE_INTERVAL: time::Millis = time::Millis(1_000);

/// Interval of the probes of endpoints out of reach.
const PROBE_INTERVAL: time::Millis = time::Millis(400);

/// Time for which a peer that has not taken a request comes after the others.
const DECLINED_TTL: time::Millis = time::Millis(500);

/// Endpoints out of reach from which on the others of the same part, or all, count so as well, as long
/// as none of these answers.
const INFERENCE_MIN: usize = 2;

/// Time for which the connection of a probe must stay open. Meanwhile peers serve, so a long one costs callers nothing;
/// with 100 ms, relays on a busy VM failed more requests until the time had doubled often enough.
const HOLD_MIN: time::Millis = time::Millis(400);

/// Longest of these times, as a power of two of the shortest: 3.2 s.
const RELAPSES_MAX: u32 = 3;

/// Endpoints of one service in one zone: a low part of a hash of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part(u32);

impl Part {
    /// Part that an endpoint belongs to.
    pub fn of(registration: &fleet::Registration) -> Self {
        let zone = xxh3::xxh3_64(registration.zone.as_str().as_bytes());
        Self(xxh3::xxh3_64_with_seed(registration.service.as_str().as_bytes(), zone) as u32)
    }
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    part: Part,
    // Last answer, or part of one.
    answered: Option<time::Tick>,
    // First and last failure since.
    failed: Option<(time::Tick, time::Tick)>,
    // First send since that is not answered.
    waiting: Option<time::Tick>,
    // Whether a check since then has not been answered either.
    is_unanswered: bool,
    // Last check.
    checked: Option<time::Tick>,
    // Last answer that a peer has had, if it is later than the failure.
    confirmed: Option<time::Tick>,
    // Last probe.
    probed: time::Tick,
}

impl Contact {
    const fn new(part: Part) -> Self {
        Self {
            part,
            answered: None,
            failed: None,
            waiting: None,
            is_unanswered: false,
            checked: None,
            confirmed: None,
            probed: time::Tick(0),
        }
    }
}

/// How a part was reached again by connections that stayed open.
#[derive(Debug, Clone, Copy, Default)]
struct Kept {
    // When, if nothing has answered or failed since.
    at: Option<time::Tick>,
    // Times in a row that requests failed after it.
    relapses: u32,
}

/// What is out of reach.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Cut {
    is_total: bool,
    parts: BTreeSet<Part>,
    endpoints: BTreeSet<EndpointKey>,
}

/// Contacts with all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    known: BTreeMap<EndpointKey, Contact>,
    // Last answer by part, and of any endpoint.
    parts: BTreeMap<Part, time::Tick>,
    answered: Option<time::Tick>,
    kept: BTreeMap<Part, Kept>,
    // Last answer that each peer has confirmed, and when it last did not take a request.
    peers: BTreeMap<id::VmId, time::Tick>,
    declined: BTreeMap<id::VmId, time::Tick>,
    cut: Cut,
    asked: time::Tick,
    // Last probe of any endpoint.
    probed: time::Tick,
}

/// An endpoint and the age of what is asked or told about it.
pub type Aged = (EndpointKey, time::Millis);

fn is_quiet(last: Option<time::Tick>, limit: time::Millis, now: time::Tick) -> bool {
    last.is_none_or(|last| now.since(last) >= limit)
}

impl Contacts {
    /// Adds an endpoint, if it is unknown.
    pub fn register(&mut self, key: EndpointKey, part: Part) {
        self.known.entry(key).or_insert(Contact::new(part));
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        self.known.remove(&key);
        self.cut.endpoints.remove(&key);
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, key: EndpointKey, now: time::Tick) {
        if let Some(contact) = self.known.get_mut(&key) {
            contact.waiting.get_or_insert(now);
        }
    }

    /// Records an answer of an endpoint, or a part of one; returns whether the cut has changed.
    pub fn record_answer(&mut self, key: EndpointKey, now: time::Tick) -> bool {
        let Some(contact) = self.known.get(&key) else { return false };
        self.kept.remove(&contact.part);
        self.record_reached(key, Some(now), now)
    }

    /// Records that the connection of a probe has stayed open for [`Contacts::hold`]; returns whether the cut has
    /// changed. Peers are not told of it as of an answer.
    pub fn record_kept(&mut self, key: EndpointKey, now: time::Tick) -> bool {
        let Some(contact) = self.known.get(&key) else { return false };
        let answered = contact.answered;
        self.kept.entry(contact.part).or_default().at = Some(now);
        self.record_reached(key, answered, now)
    }

    /// Time for which the connection of a probe must stay open.
    pub fn hold(&self, key: EndpointKey) -> time::Millis {
        let part = self.known.get(&key).map(|contact| contact.part);
        let kept = part.and_then(|part| self.kept.get(&part)).copied().unwrap_or_default();
        time::Millis(HOLD_MIN.0 << kept.relapses)
    }

    fn record_reached(
        &mut self,
        key: EndpointKey,
        answered: Option<time::Tick>,
        now: time::Tick,
    ) -> bool {
        let is_out = self.is_out(key);
        let Some(contact) = self.known.get_mut(&key) else { return false };
        *contact = Contact { answered, ..Contact::new(contact.part) };
        self.parts.insert(contact.part, now);
        self.answered = Some(now);
        if is_out {
            // What else is out of reach may be back as well.
            self.probed = time::Tick(0);
        }
        is_out && self.judge(now)
    }

    /// Records that something has answered at its address: the path is whole. It may be another endpoint.
    pub fn record_path(&mut self, key: EndpointKey) {
        if let Some(contact) = self.known.get_mut(&key) {
            *contact = Contact { answered: contact.answered, ..Contact::new(contact.part) };
        }
    }

    /// Records a failed connection, or one that ended without a whole answer.
    pub fn record_failure(&mut self, key: EndpointKey, now: time::Tick) {
        if let Some(contact) = self.known.get_mut(&key) {
            let first = contact.failed.map_or(now, |(first, _)| first);
            contact.failed = Some((first, now));
            if let Some(kept) = self.kept.get_mut(&contact.part)
                && kept.at.take().is_some_and(|at| now.since(at) < FAILURE_TTL)
            {
                kept.relapses = (kept.relapses + 1).min(RELAPSES_MAX);
            }
        }
    }

    /// Forgets all failures, since a suspension of this VM looks like a cut.
    pub fn reset(&mut self, now: time::Tick) {
        for contact in self.known.values_mut() {
            *contact = Contact { answered: contact.answered, ..Contact::new(contact.part) };
        }
        self.answered = Some(now);
        self.cut = Cut::default();
    }

    // Since when an endpoint is suspected; none if it is not.
    fn suspected(&self, contact: &Contact, now: time::Tick) -> Option<time::Tick> {
        let failed = contact.failed.filter(|(_, last)| now.since(*last) < FAILURE_TTL);
        let failed = failed.map(|(first, _)| first);
        failed.or_else(|| {
            let waiting = contact.waiting.filter(|_| contact.is_unanswered)?;
            self.is_silent(contact, (SILENCE, PART_SILENCE), now).then_some(waiting)
        })
    }

    // Whether an endpoint owes an answer, and there was none of any endpoint, or of its part, for these times.
    fn is_silent(
        &self,
        contact: &Contact,
        (total, of_part): (time::Millis, time::Millis),
        now: time::Tick,
    ) -> bool {
        let waited = contact.waiting.map_or(time::Millis(0), |waiting| now.since(waiting));
        let part = self.parts.get(&contact.part).copied();
        let is_silent = (waited >= total && is_quiet(self.answered, total, now))
            || (waited >= of_part && is_quiet(part, of_part, now));
        is_silent && waited < WAITING_TTL
    }

    /// Endpoint that owes an answer for so long that it is to be checked now; none if there is none.
    pub fn take_check(&mut self, now: time::Tick) -> Option<EndpointKey> {
        let limits = (CHECK_SILENCE, PART_CHECK_SILENCE);
        let is_due = |contact: &Contact| {
            !contact.is_unanswered
                && is_quiet(contact.checked, CHECK_INTERVAL, now)
                && self.is_silent(contact, limits, now)
        };
        let due = self.known.iter().filter(|(key, contact)| is_due(contact) && !self.is_out(**key));
        let next = due.min_by_key(|(_, contact)| contact.waiting).map(|(key, _)| *key)?;
        self.known.get_mut(&next)?.checked = Some(now);
        Some(next)
    }

    /// Records that a check was not answered.
    pub fn record_unanswered(&mut self, key: EndpointKey) {
        if let Some(contact) = self.known.get_mut(&key) {
            contact.is_unanswered = contact.waiting.is_some();
        }
    }

    /// Endpoints to ask peers about, and how far back their answers matter; empty if none is due.
    pub fn questions(&mut self, now: time::Tick) -> Vec<Aged> {
        let suspects = self.known.iter().filter_map(|(key, contact)| {
            let age = now.since(self.suspected(contact, now)?);
            (age >= QUESTION_DELAY).then_some((contact.confirmed, *key, age))
        });
        let mut suspects: Vec<_> = suspects.collect();
        let interval = if suspects.iter().any(|(_, _, age)| *age < RECENT) {
            QUESTION_INTERVAL
        } else if self.is_cut() {
            REFRESH_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        if suspects.is_empty() || now.since(self.asked) < interval {
            return Vec::new();
        }
        self.asked = now;
        suspects.sort_unstable();
        // Keeps room for endpoints out of reach, whose evidence must be refreshed, if many have ended.
        let (new, known): (Vec<_>, Vec<_>) =
            suspects.into_iter().partition(|(confirmed, _, _)| confirmed.is_none());
        let new_count = QUESTION_MAX - known.len().min(QUESTION_MAX / 2);
        let chosen = new.into_iter().take(new_count).chain(known).take(QUESTION_MAX);
        chosen.map(|(_, key, age)| (key, age.min(EVIDENCE_TTL))).collect()
    }

    /// Which of the endpoints that a peer asks about have answered here recently enough, and when.
    pub fn answers(&self, questions: &[Aged], now: time::Tick) -> Vec<Aged> {
        let answer = |(key, age): &Aged| {
            let ago = now.since(self.known.get(key)?.answered?);
            (ago <= *age).then_some((*key, ago))
        };
        questions.iter().take(QUESTION_MAX).filter_map(answer).collect()
    }

    /// Records which endpoints have answered a peer, and when.
    pub fn record_evidence(&mut self, peer: &id::VmId, answers: &[Aged], now: time::Tick) {
        for (key, ago) in answers {
            let at = time::Tick(now.0.saturating_sub(ago.0));
            let Some(contact) = self.known.get(key) else { continue };
            let is_later =
                self.suspected(contact, now).is_some_and(|since| at >= since + EVIDENCE_MARGIN);
            if !is_later {
                continue;
            }
            if let Some(contact) = self.known.get_mut(key) {
                contact.confirmed = contact.confirmed.max(Some(at));
            }
            let last = self.peers.entry(peer.clone()).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Decides what is out of reach; returns whether that has changed.
    pub fn judge(&mut self, now: time::Tick) -> bool {
        self.peers.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
        self.declined.retain(|_, at| now.since(*at) < DECLINED_TTL);
        let is_fresh = |at: time::Tick| now.since(at) < EVIDENCE_TTL;
        let confirmed =
            self.known.iter().filter(|(_, contact)| contact.confirmed.is_some_and(is_fresh));
        let confirmed = confirmed
            .filter_map(|(key, contact)| Some((*key, contact.part, self.suspected(contact, now)?)));
        let confirmed: Vec<(EndpointKey, Part, time::Tick)> = confirmed.collect();
        let cut = if confirmed.is_empty() { Cut::default() } else { self.infer(&confirmed) };
        std::mem::replace(&mut self.cut, cut.clone()) != cut
    }

    fn infer(&self, confirmed: &[(EndpointKey, Part, time::Tick)]) -> Cut {
        let is_enough = |last: Option<time::Tick>, part: Option<Part>| {
            let is_inside = |other: Part| part.is_none_or(|part| part == other);
            let size = self.known.values().filter(|contact| is_inside(contact.part)).count();
            let later = confirmed.iter().filter(|(_, other, since)| {
                is_inside(*other) && last.is_none_or(|last| last < *since)
            });
            later.count() >= size.min(INFERENCE_MIN)
        };
        let parts: BTreeSet<Part> = confirmed.iter().map(|(_, part, _)| *part).collect();
        let is_cut = |part: &Part| is_enough(self.parts.get(part).copied(), Some(*part));
        Cut {
            is_total: is_enough(self.answered, None),
            parts: parts.into_iter().filter(is_cut).collect(),
            endpoints: confirmed.iter().map(|(key, _, _)| *key).collect(),
        }
    }

    /// Whether any endpoint is out of reach.
    pub fn is_cut(&self) -> bool {
        !self.cut.endpoints.is_empty()
    }

    /// Whether all endpoints are out of reach.
    pub const fn is_isolated(&self) -> bool {
        self.cut.is_total
    }

    /// Whether an endpoint is out of reach, itself or by what others of its part tell.
    pub fn is_out(&self, key: EndpointKey) -> bool {
        if !self.is_cut() {
            return false;
        }
        let part = self.known.get(&key).map(|contact| contact.part);
        self.cut.is_total
            || part.is_some_and(|part| self.cut.parts.contains(&part))
            || self.cut.endpoints.contains(&key)
    }

    /// Endpoints out of reach.
    pub fn out(&self) -> impl Iterator<Item = EndpointKey> {
        self.known.keys().copied().filter(|key| self.is_out(*key))
    }

    /// Endpoint out of reach that is to be probed now; none if no probe is due.
    ///
    /// One that has not failed itself comes first, as its answer ends the inference from others.
    pub fn take_probe(&mut self, now: time::Tick) -> Option<EndpointKey> {
        if !self.is_cut() || now.since(self.probed) < PROBE_INTERVAL {
            return None;
        }
        let is_due = |contact: &Contact| {
            contact.probed.0 == 0 || now.since(contact.probed) >= PROBE_INTERVAL
        };
        let due = self.known.iter().filter(|(key, contact)| self.is_out(**key) && is_due(contact));
        let next = due.min_by_key(|(_, contact)| (contact.failed.is_some(), contact.probed));
        let next = next.map(|(key, _)| *key)?;
        self.probed = now;
        if let Some(contact) = self.known.get_mut(&next) {
            contact.probed = now;
        }
        Some(next)
    }

    /// Whether an endpoint has answered here or a peer later than `at`.
    pub fn has_answered_since(&self, key: EndpointKey, at: time::Tick) -> bool {
        let last = self.known.get(&key).and_then(|contact| contact.answered.max(contact.confirmed));
        last.is_some_and(|last| last > at)
    }

    /// Records that a peer has not taken a request for endpoints out of reach.
    pub fn record_declined(&mut self, peer: &id::VmId, now: time::Tick) {
        self.declined.insert(peer.clone(), now);
    }

    /// Whether a peer has lately not taken a request.
    pub fn has_declined(&self, peer: &id::VmId, now: time::Tick) -> bool {
        self.declined.get(peer).is_some_and(|at| now.since(*at) < DECLINED_TTL)
    }

    /// Peers that have lately had answers from endpoints that are out of reach here.
    pub fn reaching(&self, now: time::Tick) -> impl Iterator<Item = &id::VmId> {
        self.peers.iter().filter(move |(_, at)| now.since(**at) < EVIDENCE_TTL).map(|(vm, _)| vm)
    }
}
