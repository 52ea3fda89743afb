//! Claims of one key as a sequential object, for the library's checker.

use std::collections::BTreeSet;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// An operation on one key, with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Op {
    /// A claim was won by this nonce.
    Won(u64),
    /// A claim found the row of another claimant.
    Lost,
    /// A claim was given up: it may take effect or not.
    GaveUp(u64),
}

/// Holder of the key in every state that may be the true one.
struct OneWinner;

impl Specification for OneWinner {
    type State = BTreeSet<Option<u64>>;
    type Operation = Op;

    fn init() -> Self::State {
        BTreeSet::from([None])
    }

    fn apply(operation: &Op, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Op::Won(nonce) => (state.contains(&None), BTreeSet::from([Some(*nonce)])),
            Op::Lost => {
                let held: BTreeSet<_> = state.iter().copied().filter(Option::is_some).collect();
                (!held.is_empty(), held)
            }
            Op::GaveUp(nonce) => {
                let mut next = state.clone();
                if state.contains(&None) {
                    next.insert(Some(*nonce));
                }
                (true, next)
            }
        }
    }
}

/// Whether the history of one key is that of an object with at most one winner.
pub(crate) fn is_linearizable(actions: &[(usize, Action<Op>)]) -> bool {
    WGLChecker::<OneWinner>::is_linearizable(History::from_actions(actions.to_vec()))
}
