//! Sequential specification of the claims on one key, for the linearizability checker.

use std::collections::BTreeSet;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// An operation on one key, with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Op {
    /// The claimant with this nonce won.
    Won(u64),
    /// The claimant found the row of another one.
    Lost,
    /// The claim of this nonce is undecided: it may have taken effect or not.
    Undecided(u64),
}

/// A key with at most one winner. The state is the set of possible winners, where `None` is
/// an unclaimed key.
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
            Op::Undecided(nonce) => {
                let mut next = state.clone();
                if state.contains(&None) {
                    next.insert(Some(*nonce));
                }
                (true, next)
            }
        }
    }
}

/// Whether the history of one key is linearizable with at most one winner.
pub(crate) fn is_linearizable(actions: &[(usize, Action<Op>)]) -> bool {
    WGLChecker::<OneWinner>::is_linearizable(History::from_actions(actions.to_vec()))
}
