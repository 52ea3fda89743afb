//! The second holder: copies of billing records go to another daemon of the zone.
//!
//! It runs beside the other duties between daemons, so that a slow peer never delays a
//! batch.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use futures::future;
use ibishill_core::{clock, id, time, view};
use ibishill_peer::frame;
use ibishill_state::{billing, holder};
use tokio::sync::mpsc;

use crate::context;

const NOTES_MAX: usize = 256;
const TRIES: usize = 3;

/// What the ledger tells.
#[derive(Debug, Clone)]
pub enum Message {
    /// A request has ended.
    Hold(billing::Record),
    /// The records of these requests are written.
    Written(Vec<id::RequestId>),
}

struct Sent {
    member: view::Member,
    at: time::Tick,
}

struct Duty {
    context: Arc<context::Context>,
    sent: BTreeMap<id::RequestId, Sent>,
}

/// Passes notes on until the ledger ends.
pub async fn run(context: Arc<context::Context>, mut inbox: mpsc::Receiver<Message>) {
    let mut duty = Duty { context, sent: BTreeMap::new() };
    let mut notes = Vec::new();
    while inbox.recv_many(&mut notes, NOTES_MAX).await > 0 {
        let (mut records, mut written) = (Vec::new(), Vec::new());
        for note in notes.drain(..) {
            match note {
                Message::Hold(record) => records.push(record),
                Message::Written(requests) => written.extend(requests),
            }
        }
        duty.hold(records).await;
        duty.confirm(written).await;
    }
}

impl Duty {
    async fn hold(&mut self, mut records: Vec<billing::Record>) {
        self.forget();
        for rank in 0..TRIES {
            if records.is_empty() {
                return;
            }
            records = self.attempt(records, rank).await;
        }
        if !records.is_empty() {
            self.context.ledger.single(records.len(), "no peer holds them");
        }
    }

    // Returns the records that found no holder.
    async fn attempt(
        &mut self,
        records: Vec<billing::Record>,
        rank: usize,
    ) -> Vec<billing::Record> {
        let views = self.context.views.get();
        let mut groups: BTreeMap<id::VmId, (view::Member, Vec<billing::Record>)> = BTreeMap::new();
        let mut left = Vec::new();
        for record in records {
            let view = views.zones.get(&self.context.location.zone);
            let order = view
                .map(|view| holder::candidates(view, &self.context.location.vm, &record.request))
                .unwrap_or_default();
            match order.get(rank) {
                Some(member) => {
                    let group = groups.entry(member.vm.clone());
                    let (_, list) = group.or_insert_with(|| ((*member).clone(), Vec::new()));
                    list.push(record);
                }
                None => left.push(record),
            }
        }
        let asked = groups.into_values().map(|(member, list)| {
            let context = Arc::clone(&self.context);
            async move {
                let text = serde_json::to_vec(&list).expect("records always encode");
                let ask = frame::Query::Hold(Bytes::from(text));
                let reply = context.link.query(&context.location.zone, &member, ask).await;
                (member, list, reply)
            }
        });
        for (member, list, reply) in future::join_all(asked).await {
            let held = if let Ok(frame::Reply::Held(held)) = reply { held } else { Vec::new() };
            for record in list {
                if held.contains(&record.request) {
                    let sent = Sent { member: member.clone(), at: clock::boot_now() };
                    self.sent.insert(record.request, sent);
                } else {
                    left.push(record);
                }
            }
        }
        left
    }

    async fn confirm(&mut self, written: Vec<id::RequestId>) {
        let mut groups: BTreeMap<id::VmId, (view::Member, Vec<id::RequestId>)> = BTreeMap::new();
        for request in written {
            let Some(sent) = self.sent.remove(&request) else { continue };
            let group = groups.entry(sent.member.vm.clone());
            group.or_insert_with(|| (sent.member, Vec::new())).1.push(request);
        }
        let asked = groups.into_values().map(|(member, requests)| {
            let context = Arc::clone(&self.context);
            async move {
                let ask = frame::Query::Written(requests);
                // A lost confirmation only costs a second write.
                let _reply = context.link.query(&context.location.zone, &member, ask).await;
            }
        });
        future::join_all(asked).await;
    }

    // Bounds what is remembered: the holder has written older records itself.
    fn forget(&mut self) {
        if self.sent.len() < holder::CAPACITY {
            return;
        }
        let (now, span) = (clock::boot_now(), self.context.ledger.hold_for);
        self.sent.retain(|_, sent| now.since(sent.at) < span);
        while self.sent.len() >= holder::CAPACITY {
            self.sent.pop_first();
        }
    }
}
