//! Prompts at endpoints whose outcome is unknown, by endpoint and in the order in which their responses ended, so
//! that neither normal traffic nor a wave of restarts goes through all of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ibishill_core::time;

use super::{AFTERMATH, Prompt};
use crate::endpoint_key::EndpointKey;

/// Time for which the outcome of a response may stay unknown.
const KEPT: time::Millis = time::Millis(8_000);

/// Number of ended responses that are remembered, unless the memory of the VM allows fewer.
pub const ANSWERED_MAX: usize = 16_384;

/// Identifies a request sent to an endpoint until its outcome is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    endpoint: EndpointKey,
    number: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Open {
    pub(super) prompt: Prompt,
    pub(super) sent: time::Tick,
    pub(super) finished: Option<time::Tick>,
}

/// All of them.
#[derive(Debug, Clone)]
pub(super) struct Unresolved {
    endpoints: BTreeMap<EndpointKey, BTreeMap<u64, Open>>,
    // Responses that have ended, in that order; some may have been resolved since.
    finished: VecDeque<(time::Tick, Ticket)>,
    // Those whose outcome is wanted although no endpoint has ended lately.
    trials: BTreeSet<Ticket>,
    // When endpoints with such prompts were last checked.
    checked: BTreeMap<EndpointKey, time::Tick>,
    next: u64,
    /// Number of ended responses that are remembered.
    pub(super) answered_max: usize,
}

impl Default for Unresolved {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            finished: VecDeque::new(),
            trials: BTreeSet::new(),
            checked: BTreeMap::new(),
            next: 0,
            answered_max: ANSWERED_MAX,
        }
    }
}

impl Unresolved {
    pub(super) fn begin(
        &mut self,
        prompt: Prompt,
        endpoint: EndpointKey,
        is_trial: bool,
        now: time::Tick,
    ) -> Ticket {
        let ticket = Ticket { endpoint, number: self.next };
        self.next += 1;
        let open = Open { prompt, sent: now, finished: None };
        self.endpoints.entry(endpoint).or_default().insert(ticket.number, open);
        if is_trial {
            self.trials.insert(ticket);
        }
        ticket
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.trials.remove(&ticket);
        let Some(prompts) = self.endpoints.get_mut(&ticket.endpoint) else { return };
        prompts.remove(&ticket.number);
        if prompts.is_empty() {
            self.endpoints.remove(&ticket.endpoint);
            self.checked.remove(&ticket.endpoint);
        }
    }

    /// Records that a response has ended; returns whether an earlier one is forgotten for it before its time.
    pub(super) fn finish(&mut self, ticket: Ticket, now: time::Tick) -> bool {
        if let Some(open) = self.get_mut(ticket) {
            open.finished = Some(now);
            self.finished.push_back((now, ticket));
        }
        let mut is_forgotten = false;
        while let Some((at, oldest)) = self.finished.front().copied() {
            let is_wanted = now.since(at) < KEPT && self.has(oldest);
            let is_excess = self.finished.len() > self.answered_max;
            if is_wanted && !is_excess {
                break;
            }
            is_forgotten |= is_wanted;
            self.finished.pop_front();
            self.remove(oldest);
        }
        is_forgotten
    }

    fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Open> {
        self.endpoints.get_mut(&ticket.endpoint)?.get_mut(&ticket.number)
    }

    fn has(&self, ticket: Ticket) -> bool {
        let prompts = self.endpoints.get(&ticket.endpoint);
        prompts.is_some_and(|prompts| prompts.contains_key(&ticket.number))
    }

    pub(super) fn is_any_at(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    pub(super) fn len(&self) -> usize {
        self.endpoints.values().map(BTreeMap::len).sum()
    }

    /// Takes all prompts that are or were at an endpoint.
    pub(super) fn take_all(&mut self, endpoint: EndpointKey) -> Vec<Open> {
        self.checked.remove(&endpoint);
        let taken = self.endpoints.remove(&endpoint).unwrap_or_default();
        for number in taken.keys() {
            self.trials.remove(&Ticket { endpoint, number: *number });
        }
        taken.into_values().collect()
    }

    /// Takes those whose response had ended for long enough at `at`.
    pub(super) fn take_past(&mut self, endpoint: EndpointKey, at: time::Tick) -> Vec<Open> {
        let is_past = |open: &Open| open.finished.is_some_and(|end| end + AFTERMATH <= at);
        let Some(prompts) = self.endpoints.get(&endpoint) else { return Vec::new() };
        let past = prompts.iter().filter(|(_, open)| is_past(open));
        let past: Vec<(u64, Open)> = past.map(|(key, open)| (*key, open.clone())).collect();
        for (number, _) in &past {
            self.remove(Ticket { endpoint, number: *number });
        }
        past.into_iter().map(|(_, open)| open).collect()
    }

    /// Endpoints with prompts whose response has ended for long enough, all or those of trials only; those that were
    /// never checked or the longest ago come first, so that endpoints that do not answer do not keep back the others.
    pub(super) fn due(&self, is_trial: bool, now: time::Tick) -> Vec<EndpointKey> {
        let is_past = |open: &Open| open.finished.is_some_and(|at| now.since(at) >= AFTERMATH);
        let endpoints: BTreeSet<EndpointKey> = if is_trial {
            let past = self.trials.iter().filter(|ticket| {
                let prompts = self.endpoints.get(&ticket.endpoint);
                prompts.and_then(|prompts| prompts.get(&ticket.number)).is_some_and(is_past)
            });
            past.map(|ticket| ticket.endpoint).collect()
        } else {
            let past = self.finished.iter().take_while(|(at, _)| now.since(*at) >= AFTERMATH);
            let open = past.filter(|(_, ticket)| self.has(*ticket));
            open.map(|(_, ticket)| ticket.endpoint).collect()
        };
        let mut endpoints: Vec<_> = endpoints.into_iter().collect();
        endpoints.sort_by_key(|endpoint| self.checked.get(endpoint));
        endpoints
    }

    pub(super) fn record_check(&mut self, endpoint: EndpointKey, now: time::Tick) {
        if self.is_any_at(endpoint) {
            self.checked.insert(endpoint, now);
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Open)> {
        let all = self.endpoints.iter();
        all.flat_map(|(endpoint, prompts)| prompts.values().map(|open| (*endpoint, open)))
    }
}
