//! The claims' thread: it groups claims of many requests into one transaction.

use std::thread;
use std::time::Duration;

use ibishill_core::{clock, event};
use ibishill_state::claim;
use tokio::sync::{mpsc, oneshot};

const ASK_SLOTS: usize = 1_024;
const ENDED_SLOTS: usize = 4_096;
const GROUP_MAX: usize = 64;
const GROUP_WAIT: Duration = Duration::from_millis(5);
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
const SWEEP_PERIOD: Duration = Duration::from_secs(30);
const SWEEP_PAGE: usize = 256;

type Reply = oneshot::Sender<Result<claim::Verdict, claim::Undecided>>;

struct Ask {
    claim: claim::Claim,
    reply: Reply,
}

struct Ended {
    claim: claim::Claim,
    ending: claim::Ending,
}

/// The way to the claims' thread.
#[derive(Clone)]
pub struct Handle {
    asks: mpsc::Sender<Ask>,
    ended: mpsc::Sender<Ended>,
}

/// A won claim; dropping it without an ending records that the call may have run.
pub struct Ticket {
    claim: claim::Claim,
    ending: claim::Ending,
    slot: Option<mpsc::OwnedPermit<Ended>>,
}

impl Ticket {
    /// Notes how the call ended; it is recorded when the ticket is dropped.
    pub fn end(&mut self, ending: claim::Ending) {
        self.ending = ending;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let Some(slot) = self.slot.take() else { return };
        let ended = Ended { claim: self.claim.clone(), ending: self.ending.clone() };
        let _sender = slot.send(ended);
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
    claim::Undecided { detail: "too many claims wait for the platform".into(), maybe: false }
}

fn unfinished(claim: &claim::Claim) -> claim::Ending {
    claim::Ending::Recorded(claim::Recorded {
        request: claim.request.clone(),
        outcome: ibishill_core::outcome::Outcome::Unknown,
        status: 0,
        content: String::new(),
        body: None,
    })
}

impl Handle {
    /// Claims a call before its dispatch.
    ///
    /// # Errors
    ///
    /// The claim is not decided: the call must not be dispatched.
    pub async fn claim(&self, claim: claim::Claim) -> Result<Claimed, claim::Undecided> {
        // The slot of the ending is reserved first, so that no ending is ever lost.
        let slot = self.ended.clone().try_reserve_owned().map_err(|_| full("claim endings"))?;
        let (reply, verdict) = oneshot::channel();
        let ask = Ask { claim: claim.clone(), reply };
        self.asks.try_send(ask).map_err(|_| full("claims"))?;
        let stopped = || claim::Undecided { detail: "the daemon is stopping".into(), maybe: false };
        match verdict.await.map_err(|_| stopped())? {
            Ok(claim::Verdict::Won) => {
                let ending = unfinished(&claim);
                Ok(Claimed::Won(Ticket { claim, ending, slot: Some(slot) }))
            }
            Ok(verdict) => Ok(Claimed::Lost(verdict)),
            Err(undecided) => {
                if undecided.maybe {
                    // A row of ours may stand although the call will not run.
                    let ending = claim::Ending::Abandoned;
                    let _sender = slot.send(Ended { claim, ending });
                }
                Err(undecided)
            }
        }
    }

    /// Returns once every ending noted so far was taken up or the time is over.
    pub async fn drained(&self, within: Duration) {
        let empty = async {
            while self.ended.capacity() < self.ended.max_capacity() {
                tokio::time::sleep(GROUP_WAIT).await;
            }
        };
        let _late = tokio::time::timeout(within, empty).await;
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
    Ok(Handle { asks, ended })
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
        let asked: Vec<_> = group.iter().map(|ask| ask.claim.clone()).collect();
        let verdicts = claims.claim(&asked).await;
        for (ask, verdict) in group.drain(..).zip(verdicts) {
            let _left = ask.reply.send(verdict);
        }
    }
}

// An ending is tried until the platform has it; until then a copy is "in progress".
async fn settle(claims: &claim::Claims, mut inbox: mpsc::Receiver<Ended>) {
    let mut group = Vec::new();
    while gather(&mut inbox, &mut group).await {
        let ended: Vec<_> = group.drain(..).map(|ended| (ended.claim, ended.ending)).collect();
        while let Err(error) = claims.settle(&ended).await {
            event::emit(event::Event::ClaimDelayed, &[event::field("error", &error)]);
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
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
