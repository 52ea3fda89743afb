//! The claims' thread: it groups claims of many requests into one transaction.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use ibishill_core::{clock, event, outcome, time};
use ibishill_state::claim;
use tokio::sync::{mpsc, oneshot};

const ASK_SLOTS: usize = 1_024;
const ENDED_SLOTS: usize = 4_096;
const GROUP_MAX: usize = 64;
const GROUP_WAIT: Duration = Duration::from_millis(5);
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
const SWEEP_PERIOD: Duration = Duration::from_secs(30);
const SWEEP_PAGE: usize = 256;

type Reply = oneshot::Sender<Result<Claimed, claim::Undecided>>;

struct Ask {
    claim: claim::Claim,
    // Nobody may wait for the verdict any more: the ending is then "abandoned".
    ticket: Ticket,
    reply: Reply,
}

struct Ended {
    claim: claim::Claim,
    ending: claim::Ending,
    _open: Open,
}

/// Counts one claim whose ending is not recorded yet, until it is dropped.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The way to the claims' thread.
#[derive(Clone)]
pub struct Handle {
    asks: mpsc::Sender<Ask>,
    ended: mpsc::Sender<Ended>,
    open: Arc<AtomicUsize>,
}

/// A won claim; dropping it without an ending records that the call may have run.
pub struct Ticket {
    claim: claim::Claim,
    ending: claim::Ending,
    slot: Option<(mpsc::OwnedPermit<Ended>, Open)>,
}

impl Ticket {
    /// Notes how the call ended; it is recorded when the ticket is dropped.
    pub fn set_ending(&mut self, ending: claim::Ending) {
        self.ending = ending;
    }

    /// The claim.
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

/// What a claim came to.
pub enum Claimed {
    /// The call may be dispatched under this ticket.
    Won(Ticket),
    /// It may not, for this reason.
    Lost(claim::Verdict),
}

fn full(ring: &'static str) -> claim::Undecided {
    event::emit(event::Event::RingFull, &[event::field("ring", &ring)]);
    claim::Undecided { detail: "too many claims wait for the platform".into(), may_exist: false }
}

/// What is known of a call once it has left and no whole answer came.
pub fn unfinished(claim: &claim::Claim) -> claim::Ending {
    claim::Ending::Recorded(claim::Recorded {
        request: claim.request.clone(),
        outcome: outcome::Outcome::Unknown,
        answer: None,
    })
}

impl Handle {
    /// Claims a call before its dispatch, within a time limit.
    ///
    /// # Errors
    ///
    /// The claim is not decided: the call must not be dispatched.
    pub async fn claim(
        &self,
        claim: claim::Claim,
        within: time::Millis,
    ) -> Result<Claimed, claim::Undecided> {
        let undecided = |detail: &str| claim::Undecided { detail: detail.into(), may_exist: true };
        // The slot of the ending is reserved first, so that no ending is ever lost.
        let slot = self.ended.clone().try_reserve_owned().map_err(|_| full("claim endings"))?;
        let slot = Some((slot, Open::new(&self.open)));
        let ticket = Ticket { claim: claim.clone(), ending: claim::Ending::Abandoned, slot };
        let (reply, verdict) = oneshot::channel();
        if let Err(unsent) = self.asks.try_send(Ask { claim: claim.clone(), ticket, reply }) {
            unsent.into_inner().ticket.discard();
            return Err(full("claims"));
        }
        let waited = tokio::time::timeout(within.to_std(), verdict).await;
        let told = waited.map_err(|_| undecided("the platform has not answered in time"))?;
        let mut claimed = told.map_err(|_| undecided("the daemon is stopping"))??;
        if let Claimed::Won(ticket) = &mut claimed {
            ticket.set_ending(unfinished(&claim));
        }
        Ok(claimed)
    }

    /// Returns whether every ending is recorded, once that is so or the time is over.
    pub async fn drained(&self, within: time::Millis) -> bool {
        let recorded = async {
            while self.open.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(GROUP_WAIT).await;
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
    let (asks, inbox) = mpsc::channel(ASK_SLOTS);
    let (ended, endings) = mpsc::channel(ENDED_SLOTS);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("claims".into()).spawn(move || {
        runtime.block_on(async {
            tokio::join!(decide(&claims, inbox), settle(&claims, endings), sweep(&claims));
        });
    })?;
    Ok(Handle { asks, ended, open: Arc::default() })
}

async fn gather<T>(inbox: &mut mpsc::Receiver<T>, group: &mut Vec<T>) -> bool {
    if inbox.recv_many(group, 1).await == 0 {
        return false;
    }
    tokio::time::sleep(GROUP_WAIT).await;
    while group.len() < GROUP_MAX
        && let Ok(next) = inbox.try_recv()
    {
        group.push(next);
    }
    true
}

async fn decide(claims: &claim::Claims, mut inbox: mpsc::Receiver<Ask>) {
    let mut group = Vec::new();
    while gather(&mut inbox, &mut group).await {
        let is_late = |ask: &mut Ask| ask.reply.is_closed();
        group.extract_if(.., is_late).for_each(|ask| ask.ticket.discard());
        let asked: Vec<_> = group.iter().map(|ask| ask.claim.clone()).collect();
        let verdicts = claims.claim(&asked).await;
        for (ask, verdict) in group.drain(..).zip(verdicts) {
            let _left = ask.reply.send(tell(ask.ticket, verdict));
        }
    }
}

// A won ticket that nobody takes is dropped with its first ending, "abandoned". So is
// that of a claim whose row may stand although it was not decided.
fn tell(
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

// An ending is tried until the platform has it; until then a copy is "in progress".
async fn settle(claims: &claim::Claims, mut inbox: mpsc::Receiver<Ended>) {
    let mut group = Vec::new();
    while gather(&mut inbox, &mut group).await {
        let claim_of = |one: &Ended| (one.claim.clone(), one.ending.clone());
        let ended: Vec<_> = group.iter().map(claim_of).collect();
        while let Err(error) = claims.finish(&ended).await {
            event::emit(event::Event::ClaimDelayed, &[event::field("error", &error)]);
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        group.clear();
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
