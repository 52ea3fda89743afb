//! Linearizability of the configuration log's head, modelled as a compare-and-set register.

use ibishill_config::change;
use todc_utils::{Action, History, Specification, WGLChecker};

use super::{Outcome, Proposal};

/// A proposal as an operation on the register.
#[derive(Debug, Clone)]
pub struct Operation {
    expected: Option<u64>,
    outcome: Outcome,
}

/// The register; its state is the newest version.
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match operation.outcome {
            Outcome::Accepted(version) => {
                let matches = operation.expected.is_none_or(|expected| expected == *state);
                (matches && version == state + 1, version)
            }
            Outcome::Conflict(winner) => {
                let is_stale = operation.expected.is_some_and(|expected| expected < winner);
                (is_stale && winner <= *state, *state)
            }
            Outcome::NotDone | Outcome::Unknown => (true, *state),
        }
    }
}

/// Whether the proposals fit one sequence of changes that keeps their real-time order.
///
/// A proposal with an unknown outcome takes effect at any time after its call if the log
/// holds it, and never otherwise.
pub fn is_linearizable(proposals: &[Proposal], log: &[change::Change]) -> bool {
    let mut events = Vec::new();
    for (index, proposal) in proposals.iter().enumerate() {
        let mut operation =
            Operation { expected: proposal.expected, outcome: proposal.outcome.clone() };
        let mut reply_position = proposal.reply_position;
        if proposal.outcome == Outcome::Unknown {
            let Some(change) = log.iter().find(|change| change.id == proposal.id) else { continue };
            operation.outcome = Outcome::Accepted(change.version.0);
            reply_position = u64::MAX;
        }
        events.push((proposal.call_position, index, Action::Call(operation.clone())));
        events.push((reply_position, index, Action::Response(operation)));
    }
    if events.is_empty() {
        return true;
    }
    events.sort_by_key(|(position, index, _)| (*position, *index));
    let actions = events.into_iter().map(|(_, index, action)| (index, action)).collect();
    WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
}
