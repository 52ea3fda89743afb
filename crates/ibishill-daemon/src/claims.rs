//! The claims thread, which batches the claims of many requests into one transaction.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use ibishill_core::{clock, event, outcome, time};
use ibishill_state::claim;
use tokio::sync::{mpsc, oneshot};

const REQUEST_SLOTS: usize = 1_024;
const ENDING_SLOTS: usize = 4_096;
const BATCH_MAX: usize = 64;
const BATCH_DELAY: Duration = Duration::from_millis(5);
const FINISH_RETRY_DELAY: Duration = Duration::from_millis(500);
const SWEEP_PERIOD: Duration = Duration::from_secs(30);
const SWEEP_PAGE: usize = 256;

type Reply = oneshot::Sender<Result<Claimed, claim::Undecided>>;

struct Request {
    claim: claim::Claim,
    // Its ending stays "abandoned" if nobody waits for the verdict any more.
    ticket: Ticket,
    reply: Reply,
}

struct Ended {
    claim: claim::Claim,
    ending: claim::Ending,
    _open: OpenGuard,
}

/// Counts one claim whose ending is not recorded yet, until dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handle to the claims thread; clones share it.
#[derive(Clone)]
pub struct Handle {
    sender: mpsc::Sender<Request>,
    ended: mpsc::Sender<Ended>,
    open: Arc<AtomicUsize>,
}

/// Slot for the ending of a claim. Until the caller receives the won claim, dropping it abandons
/// the claim; afterwards it records an unknown outcome, unless another ending was set.
pub struct Ticket {
    claim: claim::Claim,
    ending: claim::Ending,
    slot: Option<(mpsc::OwnedPermit<Ended>, OpenGuard)>,
}

impl Ticket {
    /// Sets how the call ended; the ending is recorded when the ticket is dropped.
    pub fn set_ending(&mut self, ending: claim::Ending) {
        self.ending = ending;
    }

    /// Claim that was won.
    pub fn claim(&self) -> &claim::Claim {
        &self.claim
    }

    fn discard(mut self) {
        self.slot = None;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let Some((slot, open)) = self.slot.take() else { return };
        let ending = self.ending.clone();
        let _sender = slot.send(Ended { claim: self.claim.clone(), ending, _open: open });
    }
}

/// Result of a decided claim.
pub enum Claimed {
    /// The call may be dispatched under this ticket.
    Won(Ticket),
    /// The call must not be dispatched, for this reason.
    Lost(claim::Verdict),
}

fn queue_full(ring: &'static str) -> claim::Undecided {
    event::emit(event::Event::RingFull, &[event::field("ring", &ring)]);
    claim::Undecided {
        detail: "too many claims wait to be written to the platform".into(),
        may_exist: false,
    }
}

/// Ending of a call that was dispatched but got no complete answer.
pub fn unfinished(claim: &claim::Claim) -> claim::Ending {
    claim::Ending::Recorded(claim::Recorded {
        request: claim.request.clone(),
        outcome: outcome::Outcome::Unknown,
        answer: None,
    })
}

impl Handle {
    /// Claims a call before its dispatch.
    ///
    /// # Errors
    ///
    /// Fails if the claim is not decided within the time limit; the call must not be
    /// dispatched then.
    pub async fn claim(
        &self,
        claim: claim::Claim,
        within: time::Millis,
    ) -> Result<Claimed, claim::Undecided> {
        let undecided = |detail: &str| claim::Undecided { detail: detail.into(), may_exist: true };
        // The slot of the ending is reserved first, so that an ending can always be queued.
        let slot =
            self.ended.clone().try_reserve_owned().map_err(|_| queue_full("claim endings"))?;
        let slot = Some((slot, OpenGuard::new(&self.open)));
        let ticket = Ticket { claim: claim.clone(), ending: claim::Ending::Abandoned, slot };
        let (reply, verdict) = oneshot::channel();
        if let Err(rejected) = self.sender.try_send(Request { claim: claim.clone(), ticket, reply })
        {
            rejected.into_inner().ticket.discard();
            return Err(queue_full("claims"));
        }
        let answered = tokio::time::timeout(within.to_std(), verdict).await;
        let result = answered.map_err(|_| undecided("the platform did not answer in time"))?;
        let mut claimed = result.map_err(|_| undecided("the daemon is stopping"))??;
        if let Claimed::Won(ticket) = &mut claimed {
            ticket.set_ending(unfinished(&claim));
        }
        Ok(claimed)
    }

    /// Waits until every ending is recorded; returns whether that was so within the time limit.
    pub async fn drained(&self, within: time::Millis) -> bool {
        let recorded = async {
            while self.open.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        };
        tokio::time::timeout(within.to_std(), recorded).await.is_ok()
    }
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(claims: claim::Claims) -> std::io::Result<Handle> {
    let (sender, inbox) = mpsc::channel(REQUEST_SLOTS);
    let (ended, endings) = mpsc::channel(ENDING_SLOTS);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("claims".into()).spawn(move || {
        runtime.block_on(async {
            tokio::join!(decide(&claims, inbox), finish(&claims, endings), sweep(&claims));
        });
    })?;
    Ok(Handle { sender, ended, open: Arc::default() })
}

async fn recv_batch<T>(inbox: &mut mpsc::Receiver<T>, batch: &mut Vec<T>) -> bool {
    if inbox.recv_many(batch, 1).await == 0 {
        return false;
    }
    tokio::time::sleep(BATCH_DELAY).await;
    while batch.len() < BATCH_MAX
        && let Ok(next) = inbox.try_recv()
    {
        batch.push(next);
    }
    true
}

async fn decide(claims: &claim::Claims, mut inbox: mpsc::Receiver<Request>) {
    let mut batch = Vec::new();
    while recv_batch(&mut inbox, &mut batch).await {
        let is_abandoned = |request: &mut Request| request.reply.is_closed();
        batch.extract_if(.., is_abandoned).for_each(|request| request.ticket.discard());
        let requested: Vec<_> = batch.iter().map(|request| request.claim.clone()).collect();
        let verdicts = claims.claim(&requested).await;
        for (request, verdict) in batch.drain(..).zip(verdicts) {
            let _left = request.reply.send(resolve(request.ticket, verdict));
        }
    }
}

// A won ticket that nobody receives is dropped with its initial ending, "abandoned". So is
// the ticket of an undecided claim whose row may exist.
fn resolve(
    ticket: Ticket,
    verdict: Result<claim::Verdict, claim::Undecided>,
) -> Result<Claimed, claim::Undecided> {
    match verdict {
        Ok(claim::Verdict::Won) => return Ok(Claimed::Won(ticket)),
        Err(undecided) if undecided.may_exist => return Err(undecided),
        Ok(_) | Err(_) => ticket.discard(),
    }
    verdict.map(Claimed::Lost)
}

// Retries until the platform has recorded the endings; until then copies of the calls are
// refused as "in progress".
async fn finish(claims: &claim::Claims, mut inbox: mpsc::Receiver<Ended>) {
    let mut batch = Vec::new();
    while recv_batch(&mut inbox, &mut batch).await {
        let pair = |one: &Ended| (one.claim.clone(), one.ending.clone());
        let ended: Vec<_> = batch.iter().map(pair).collect();
        while let Err(error) = claims.finish(&ended).await {
            event::emit(event::Event::ClaimDelayed, &[event::field("error", &error)]);
            tokio::time::sleep(FINISH_RETRY_DELAY).await;
        }
        batch.clear();
    }
}

async fn sweep(claims: &claim::Claims) {
    let mut after = String::new();
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let swept = claims.sweep(after.clone(), SWEEP_PAGE, clock::wall_now()).await;
        after = swept.ok().flatten().unwrap_or_default();
    }
}
