//! Records and merges what relays tell each other of endpoints.

use ibishill_core::{call, event, fleet, terms, time};
use ibishill_decide::{endpoint_key, gate, quarantine};

use super::State;
use crate::early_end;
use crate::told::News;

/// Maximum number of cold endpoints that a message tells of, 7 bytes each.
const COLD_MAX: usize = 64;

impl State {
    /// Records the terms that an endpoint's answer states; returns whether peers are to hear of it at once.
    pub(crate) fn record_terms(
        &mut self,
        registration: &fleet::Registration,
        statement: gate::Statement,
        now: time::Tick,
    ) -> bool {
        let endpoint = endpoint_key::EndpointKey::of(registration);
        let is_changed = self.balancer.gate().record(endpoint, statement, now);
        if statement.terms.is_leaving {
            self.exposures.expect_end(endpoint, true);
        }
        if is_changed {
            self.divide(now);
            let terms::Terms { limit, max_rejections, is_leaving, .. } = statement.terms;
            let limit = limit.map_or("-".to_owned(), |limit| limit.to_string());
            let max_rejections = max_rejections.map_or("-".to_owned(), |max| max.to_string());
            event::emit_json(
                event::Event::TermsChanged,
                &[
                    event::field("endpoint", &registration.id),
                    event::field("limit", &limit),
                    event::field("max_rejections", &max_rejections),
                    event::field("is_leaving", &is_leaving),
                ],
            );
        }
        is_changed
    }

    /// Divides what endpoints take between the daemons that send there.
    pub(crate) fn divide(&mut self, now: time::Tick) {
        let (own, peers) = (&self.settings.vm, &self.peers);
        let senders = |endpoint: endpoint_key::EndpointKey, count: usize| {
            peers.known_assigned(&endpoint.to_string(), count)
        };
        self.balancer.gate().divide(own, peers.generation(), senders, now);
    }

    /// Merges what a peer tells of endpoints: limits, and segments of prompts that end them.
    pub(crate) fn merge_news(&mut self, news: News, now: time::Tick) {
        let gate = self.balancer.gate();
        for (endpoint, _) in &news.leaving {
            self.exposures.expect_end(*endpoint, true);
        }
        gate.merge_leaving(news.leaving, now);
        let is_limited = gate.limits().merge(news.limits, now);
        if gate.slots().merge(news.fragile, now) || is_limited {
            self.divide(now);
        }
        for (key, remaining) in news.cold {
            let Some(id) = self.endpoint_ids.get(&key) else { continue };
            if self.balancer.hear_cold(id, remaining, now) {
                event::emit_json(
                    event::Event::ColdHeard,
                    &[event::field("endpoint", id), event::field("remaining", &remaining)],
                );
            }
        }
        self.quarantine.merge(news.evidence, now);
        self.exposures.merge(news.exposures, now);
        early_end::judge(self, now);
    }

    /// What peers are told of endpoints, at most so many limits and segments: all of it, or only
    /// what has changed lately.
    pub(crate) fn news(&mut self, max: (usize, usize), is_complete: bool, now: time::Tick) -> News {
        News {
            limits: self.balancer.gate().limits().told(max.0, is_complete, now),
            leaving: self.balancer.gate().told_leaving(max.0, now),
            fragile: self.balancer.gate().slots().told(max.0, now),
            evidence: self.quarantine.evidence(max.1, is_complete, now),
            cold: self.balancer.told_cold(COLD_MAX, false, now),
            // A report gets its own, as many as its receivers allow.
            exposures: if is_complete { self.exposures.gossip(now) } else { Vec::new() },
        }
    }

    /// What may be done with a request that has these keys.
    pub(crate) fn verdict(
        &self,
        keys: &[call::SuspectKey],
        now: time::Tick,
    ) -> quarantine::Verdict {
        let rank = |key: call::SuspectKey| self.peers.known_rank(&key.to_string());
        let verdict = self.quarantine.verdict(keys, rank, now);
        let is_suspect = |key: &call::SuspectKey| match key {
            call::SuspectKey::Segment(segment) => self.exposures.is_suspect(*segment),
            call::SuspectKey::Request(_) | call::SuspectKey::Prompt(_) => false,
        };
        if verdict == quarantine::Verdict::Allowed && keys.iter().any(is_suspect) {
            return quarantine::Verdict::Contained;
        }
        verdict
    }

    /// Records an answer that began at `began` and goes on, which clears its keys but for segments that are
    /// refused: their endpoints may end later.
    pub(crate) fn record_going_on(
        &mut self,
        keys: &[call::SuspectKey],
        began: time::Tick,
        now: time::Tick,
    ) {
        let is_open = |key: &&call::SuspectKey| {
            !matches!(key, call::SuspectKey::Segment(_)) || !self.quarantine.is_refused(**key)
        };
        let open: Vec<_> = keys.iter().filter(is_open).copied().collect();
        self.quarantine.record_survival(&open, began, now);
    }

    /// Records that an endpoint was still there at `at`, which clears the segments of earlier prompts.
    pub(crate) fn record_alive(
        &mut self,
        endpoint: endpoint_key::EndpointKey,
        at: time::Tick,
        now: time::Tick,
    ) {
        for survival in self.exposures.record_alive(endpoint, at, now) {
            let segments = survival.segments.into_iter().map(call::SuspectKey::Segment);
            let refused: Vec<_> = segments.filter(|key| self.quarantine.is_refused(*key)).collect();
            self.quarantine.record_survival(&refused, survival.sent, now);
        }
        early_end::judge(self, now);
    }
}
