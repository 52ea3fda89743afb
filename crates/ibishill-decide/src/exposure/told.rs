//! What daemons tell each other of prompts and their endpoints: each its own outcomes to all it reports to, and in
//! the gossip also what it has heard lately, as far as the allowance goes.

use std::collections::VecDeque;

use ibishill_core::{call, time};
use serde::{Deserialize, Serialize};

use super::records::{Key, Record, Records};
use super::{Exposures, Prompt, SEGMENTS_MAX};
use crate::{endpoint_key::EndpointKey, rate};

/// Time for which an outcome is passed on.
const NEWS_TTL: time::Millis = time::Millis(3_000);

/// Age from which on an outcome is passed on no longer. A daemon that has evicted it would add it anew, and pass it on
/// again.
const AGE_MAX: time::Millis = time::Millis(12_000);

/// Size of a record with two segments in a message, about, in bytes; each further one takes ten.
const RECORD_SIZE: usize = 45;

/// Allowance for the records in load reports, over all peers that they go to: 3 KB/s with two segments
/// a prompt.
const REPORT_RATE: rate::Rate = rate::Rate { per_second: 3_000.0, burst: 6_000.0 };

/// Maximum number of records in a load report, which is a single datagram.
const REPORT_MAX: usize = 8;

/// Maximum number of records in a message of the gossip.
const MESSAGE_MAX: usize = 16;

/// Maximum number of outcomes that wait to be told; the oldest make room.
const OUTBOX_MAX: usize = 256;

/// Outcome of one attempt; times are ages as of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    request: u32,
    service: u32,
    endpoint: EndpointKey,
    // Since the response or the endpoint ended.
    age: time::Millis,
    // From the sending of the request until then.
    ran: time::Millis,
    is_ended: bool,
    segments: Vec<call::SegmentId>,
}

/// Own outcomes that no report has told yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Outbox {
    waiting: VecDeque<(Key, bool)>,
    level: Option<(f64, time::Tick)>,
}

impl Outbox {
    pub(super) fn push(&mut self, key: Key, is_ended: bool) {
        let item = (key, is_ended);
        if is_ended {
            self.waiting.push_front(item);
        } else {
            self.waiting.push_back(item);
        }
        self.waiting.truncate(OUTBOX_MAX);
    }

    // Number of records that a report to so many peers may hold now.
    fn allowance(&mut self, peers: usize, now: time::Tick) -> usize {
        let cost = (RECORD_SIZE * peers.max(1)) as f64;
        let (level, at) = self.level.unwrap_or((REPORT_RATE.burst, now));
        let added = now.since(at).0 as f64 / 1_000.0 * REPORT_RATE.per_second;
        let level = (level + added).min(REPORT_RATE.burst.max(cost));
        let count = (level / cost) as usize;
        let count = count.min(self.waiting.len()).min(REPORT_MAX);
        self.level = Some((level - count as f64 * cost, now));
        count
    }
}

impl Exposures {
    /// Own outcomes for a load report that goes to so many peers.
    pub fn report(&mut self, peers: usize, now: time::Tick) -> Vec<Told> {
        let count = self.told.allowance(peers, now);
        let taken: Vec<_> = self.told.waiting.drain(..count).collect();
        let found = taken.iter().filter_map(|(key, is_ended)| {
            let records = if *is_ended { &self.ended } else { &self.survived };
            let record = records.get(key)?;
            Some(tell(*key, record, *is_ended, now))
        });
        found.collect()
    }

    /// Outcomes for the gossip that this daemon has seen or heard of lately.
    pub fn gossip(&self, now: time::Tick) -> Vec<Told> {
        let of = |records: &Records, is_ended: bool, count: usize| -> Vec<Told> {
            let from = time::Tick(now.0.saturating_sub(NEWS_TTL.0));
            let recent = records.heard_since(from);
            // Ages grow with each daemon that passes a record on, so it stops being told.
            let recent = recent.filter(|(_, record)| now.since(record.until) < AGE_MAX);
            recent.take(count).map(|(key, record)| tell(*key, record, is_ended, now)).collect()
        };
        let mut told = of(&self.ended, true, MESSAGE_MAX * 3 / 4);
        let left = MESSAGE_MAX - told.len();
        told.extend(of(&self.survived, false, left));
        told
    }

    /// Merges what a peer tells.
    pub fn merge(&mut self, told: Vec<Told>, now: time::Tick) {
        for Told { request, service, endpoint, age, ran, is_ended, segments } in told {
            if is_ended && self.is_expected(endpoint) {
                continue;
            }
            let until = time::Tick(now.0.saturating_sub(age.0));
            let sent = time::Tick(until.0.saturating_sub(ran.0));
            let excess = segments.len().saturating_sub(SEGMENTS_MAX);
            let segments = segments.into_iter().skip(excess).collect();
            let prompt = Prompt { request, service, segments };
            let record = Record { prompt, sent, until, heard: now };
            let records = if is_ended { &mut self.ended } else { &mut self.survived };
            if !records.add((endpoint, request), record) || !is_ended {
                continue;
            }
            self.is_dirty = true;
            match self.ends.get_mut(&endpoint) {
                // Some daemons find out later than others.
                Some(at) => *at = until.min(*at),
                // Own prompts were there as well.
                None => _ = self.record_end_at(endpoint, until, now),
            }
        }
    }
}

fn tell((endpoint, request): Key, record: &Record, is_ended: bool, now: time::Tick) -> Told {
    Told {
        request,
        service: record.prompt.service,
        endpoint,
        age: now.since(record.until),
        ran: record.until.since(record.sent),
        is_ended,
        segments: record.prompt.segments.clone(),
    }
}
