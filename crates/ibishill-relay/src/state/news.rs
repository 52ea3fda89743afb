//! What relays tell each other of endpoints: limits, segments of prompts that end them, and which have
//! turned cold.

use ibishill_core::{call, event, fleet, time};
use ibishill_decide::{endpoint_key, endpoint_limit, quarantine};
use serde::{Deserialize, Serialize};

use super::State;
use crate::early_end;

/// What relays tell each other of endpoints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct News {
    limits: Vec<endpoint_limit::Told>,
    evidence: Vec<quarantine::evidence::Evidence>,
    /// Endpoints that have turned cold, and how long they stay so.
    cold: Vec<(endpoint_key::EndpointKey, time::Millis)>,
}

impl State {
    /// Records what an endpoint's answer says of its limit.
    pub(crate) fn record_limit(
        &mut self,
        registration: &fleet::Registration,
        statement: endpoint_limit::Statement,
        now: time::Tick,
    ) {
        let endpoint = endpoint_key::EndpointKey::of(registration);
        if self.balancer.limits().record(endpoint, statement, now) {
            self.divide_limits(now);
            let limit = statement.limit.map_or("-".to_owned(), |limit| limit.to_string());
            event::emit_json(
                event::Event::LimitChanged,
                &[event::field("endpoint", &registration.id), event::field("limit", &limit)],
            );
        }
    }

    /// Divides the limits of endpoints between the daemons that send there.
    pub(crate) fn divide_limits(&mut self, now: time::Tick) {
        let (own, peers) = (&self.settings.vm, &self.peers);
        let senders = |endpoint: endpoint_key::EndpointKey| {
            peers.known_assigned(&endpoint.to_string(), endpoint_limit::SENDERS)
        };
        self.balancer.limits().divide(own, peers.generation(), senders, now);
    }

    /// Merges what a peer tells of endpoints: limits, and segments of prompts that end them.
    pub(crate) fn merge_news(&mut self, news: News, now: time::Tick) {
        if self.balancer.limits().merge(news.limits, now) {
            self.divide_limits(now);
        }
        self.balancer.merge_cold(news.cold, now);
        self.quarantine.merge(news.evidence, now);
        early_end::judge(self, now);
    }

    /// What peers are told of endpoints, at most so many limits and segments: all of it, or only
    /// what has changed lately.
    pub(crate) fn news(&mut self, max: (usize, usize), is_complete: bool, now: time::Tick) -> News {
        News {
            limits: self.balancer.limits().told(max.0, is_complete, now),
            evidence: self.quarantine.evidence(max.1, is_complete, now),
            cold: self.balancer.told_cold(max.0, now),
        }
    }

    /// What may be done with a request that has these keys.
    pub(crate) fn verdict(
        &self,
        keys: &[call::SuspectKey],
        now: time::Tick,
    ) -> quarantine::Verdict {
        let rank = |key: call::SuspectKey| self.peers.known_rank(&key.to_string());
        self.quarantine.verdict(keys, rank, now)
    }
}
