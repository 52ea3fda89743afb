//! Concurrent claimants of one key over the in-memory table, in virtual time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use ibishill_core::time;
use ibishill_platform::table;
use ibishill_standin::memory;
use ibishill_state::claim;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use todc_utils::linearizability::history::Action;

use super::history;

const CLAIMANTS: usize = 6;
const START_WITHIN_MS: u64 = 300;

/// History of one run.
#[derive(Debug, Default)]
pub(crate) struct Run {
    /// Calls and responses of all claimants, in order.
    pub(crate) actions: Vec<(usize, Action<history::Op>)>,
    /// Nonces of the claimants that dispatched.
    pub(crate) dispatched: Vec<u64>,
    /// Number of undecided claims.
    pub(crate) undecided: usize,
    pending: Vec<(usize, u64)>,
}

impl Run {
    /// Nonces of the claimants that dispatched if there was more than one.
    pub(crate) fn double_dispatches(&self) -> &[u64] {
        if self.dispatched.len() > 1 { &self.dispatched } else { &[] }
    }
}

/// Creates a claim on key number `key`.
pub(crate) fn claim(key: u64, nonce: u64, at: time::Tick) -> claim::Claim {
    claim::Claim {
        workspace: "acme".parse().unwrap(),
        key: format!("key-{key}"),
        fingerprint: claim::Fingerprint::of(&[b"POST", b"/bookings", b"{}"]),
        request: format!("req-{nonce}").parse().unwrap(),
        nonce: claim::Nonce(nonce),
        at,
    }
}

/// Returns the transaction unchanged.
pub(crate) fn unaltered(transaction: table::Transaction) -> table::Transaction {
    transaction
}

/// Runs concurrent claimants of one key; `alter` can inject a fault into their commits.
pub(crate) fn run<A>(seed: u64, faults: &memory::Faults, alter: A) -> Run
where
    A: Fn(table::Transaction) -> table::Transaction + Clone + Send + Sync + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let memory = memory::Memory::new(seed);
    memory.set_faults(faults.clone());
    let run = Rc::new(RefCell::new(Run::default()));
    let tasks = tokio::task::LocalSet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for process in 0..CLAIMANTS {
        let claims = claim::Claims::new(table(&memory, alter.clone()), claim::Timeouts::default());
        let wait = Duration::from_millis(rng.random_range(0..START_WITHIN_MS));
        tasks.spawn_local(claimant(process, wait, claims, Rc::clone(&run)));
    }
    runtime.block_on(tasks);
    let mut run = run.take();
    // Undecided claims may take effect at any later time, so they respond last.
    for (process, nonce) in std::mem::take(&mut run.pending) {
        run.actions.push((process, Action::Response(history::Op::Undecided(nonce))));
    }
    run
}

fn table<A>(memory: &memory::Memory, alter: A) -> table::Table
where
    A: Fn(table::Transaction) -> table::Transaction + Clone + Send + Sync + 'static,
{
    let (commit, read) = (memory.clone(), memory.clone());
    table::Table::new(
        move |transaction| {
            let (memory, transaction) = (commit.clone(), alter(transaction));
            async move { memory.commit(transaction).await }.boxed()
        },
        move |query| {
            let memory = read.clone();
            async move { memory.read(query).await }.boxed()
        },
    )
}

async fn claimant(process: usize, wait: Duration, claims: claim::Claims, run: Rc<RefCell<Run>>) {
    tokio::time::sleep(wait).await;
    let nonce = process as u64 + 1;
    let claim = claim(1, nonce, time::Tick(0));
    run.borrow_mut().actions.push((process, Action::Call(history::Op::Undecided(nonce))));
    let verdict = claims.claim(&[claim]).await.remove(0);
    let mut run = run.borrow_mut();
    let op = match verdict {
        Ok(claim::Verdict::Won) => {
            run.dispatched.push(nonce);
            history::Op::Won(nonce)
        }
        Ok(_) => history::Op::Lost,
        Err(_) => {
            run.undecided += 1;
            run.pending.push((process, nonce));
            return;
        }
    };
    run.actions.push((process, Action::Response(op)));
}
