//! Replicates billing records to a second holder, another daemon of the zone.
//!
//! Runs apart from the ledger thread, so that a slow peer never delays a batch.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use futures::future;
use ibishill_core::{clock, id, time, view};
use ibishill_peer::frame;
use ibishill_state::{billing, holder};
use tokio::sync::mpsc;

use crate::context;

const MESSAGES_MAX: usize = 256;
const MAX_ATTEMPTS: usize = 3;

/// Message from the ledger.
#[derive(Debug, Clone)]
pub enum Message {
    /// Have a second daemon hold this record.
    Hold(billing::Record),
    /// The records of these requests are written and need not be held any longer.
    Written(Vec<id::RequestId>),
}

struct Sent {
    member: view::Member,
    at: time::Tick,
}

struct Replicator {
    context: Arc<context::Context>,
    sent: BTreeMap<id::RequestId, Sent>,
}

/// Replicates records until the ledger thread ends.
pub async fn run(context: Arc<context::Context>, mut inbox: mpsc::Receiver<Message>) {
    let mut replicator = Replicator { context, sent: BTreeMap::new() };
    let mut messages = Vec::new();
    while inbox.recv_many(&mut messages, MESSAGES_MAX).await > 0 {
        let (mut records, mut written) = (Vec::new(), Vec::new());
        for message in messages.drain(..) {
            match message {
                Message::Hold(record) => records.push(record),
                Message::Written(requests) => written.extend(requests),
            }
        }
        replicator.hold(records).await;
        replicator.confirm(written).await;
    }
}

impl Replicator {
    async fn hold(&mut self, mut records: Vec<billing::Record>) {
        self.evict_sent();
        for rank in 0..MAX_ATTEMPTS {
            if records.is_empty() {
                return;
            }
            records = self.attempt(records, rank).await;
        }
        if !records.is_empty() {
            self.context.ledger.record_unreplicated(records.len(), "no peer holds them");
        }
    }

    // Sends each record to its candidate of this rank; returns the records that found no holder.
    async fn attempt(
        &mut self,
        records: Vec<billing::Record>,
        rank: usize,
    ) -> Vec<billing::Record> {
        let views = self.context.views.get();
        let mut groups: BTreeMap<id::VmId, (view::Member, Vec<billing::Record>)> = BTreeMap::new();
        let mut unheld = Vec::new();
        for record in records {
            let view = views.zones.get(&self.context.location.zone);
            let candidates = view
                .map(|view| holder::candidates(view, &self.context.location.vm, &record.request))
                .unwrap_or_default();
            match candidates.get(rank) {
                Some(member) => {
                    let group = groups.entry(member.vm.clone());
                    let (_, list) = group.or_insert_with(|| ((*member).clone(), Vec::new()));
                    list.push(record);
                }
                None => unheld.push(record),
            }
        }
        let calls = groups.into_values().map(|(member, list)| {
            let context = Arc::clone(&self.context);
            async move {
                let bytes = serde_json::to_vec(&list).expect("records always encode");
                let request = frame::Query::Hold(Bytes::from(bytes));
                let reply = context.link.query(&context.location.zone, &member, request).await;
                (member, list, reply)
            }
        });
        for (member, list, reply) in future::join_all(calls).await {
            let held = if let Ok(frame::Reply::Held(held)) = reply { held } else { Vec::new() };
            for record in list {
                if held.contains(&record.request) {
                    let sent = Sent { member: member.clone(), at: clock::boot_now() };
                    self.sent.insert(record.request, sent);
                } else {
                    unheld.push(record);
                }
            }
        }
        unheld
    }

    async fn confirm(&mut self, written: Vec<id::RequestId>) {
        let mut groups: BTreeMap<id::VmId, (view::Member, Vec<id::RequestId>)> = BTreeMap::new();
        for request in written {
            let Some(sent) = self.sent.remove(&request) else { continue };
            let group = groups.entry(sent.member.vm.clone());
            group.or_insert_with(|| (sent.member, Vec::new())).1.push(request);
        }
        let calls = groups.into_values().map(|(member, requests)| {
            let context = Arc::clone(&self.context);
            async move {
                let request = frame::Query::Written(requests);
                // A lost confirmation only costs a second write.
                let _reply = context.link.query(&context.location.zone, &member, request).await;
            }
        });
        future::join_all(calls).await;
    }

    // Bounds the map; older records have been written by their holder.
    fn evict_sent(&mut self) {
        if self.sent.len() < holder::CAPACITY {
            return;
        }
        let (now, hold_for) = (clock::boot_now(), self.context.ledger.hold_for);
        self.sent.retain(|_, sent| now.since(sent.at) < hold_for);
        while self.sent.len() >= holder::CAPACITY {
            self.sent.pop_first();
        }
    }
}
