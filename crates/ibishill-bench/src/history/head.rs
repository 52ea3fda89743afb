//! The head of the configuration log as a register moved by compare-and-set.

use ibishill_config::change;
use todc_utils::{Action, History, Specification, WGLChecker};

use super::{End, Order};

/// An order as an operation on the register.
#[derive(Debug, Clone)]
pub struct Operation {
    expected: Option<u64>,
    end: End,
}

/// The register: its state is the newest version.
struct Head;

impl Specification for Head {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match operation.end {
            End::Accepted(version) => {
                let fits = operation.expected.is_none_or(|expected| expected == *state);
                (fits && version == state + 1, version)
            }
            End::Conflict(winner) => {
                let newer = operation.expected.is_some_and(|expected| expected < winner);
                (newer && winner <= *state, *state)
            }
            End::NotDone | End::Unknown => (true, *state),
        }
    }
}

/// Whether the orders fit one sequence of changes that keeps their real-time order.
///
/// An order without a known end takes effect at any time after its call if the log
/// holds it, and never otherwise.
pub fn is_linearizable(orders: &[Order], log: &[change::Change]) -> bool {
    let mut events = Vec::new();
    for (index, order) in orders.iter().enumerate() {
        let mut operation = Operation { expected: order.expected, end: order.end.clone() };
        let mut last = order.last;
        if order.end == End::Unknown {
            let Some(change) = log.iter().find(|change| change.id == order.id) else { continue };
            operation.end = End::Accepted(change.version.0);
            last = u64::MAX;
        }
        events.push((order.first, index, Action::Call(operation.clone())));
        events.push((last, index, Action::Response(operation)));
    }
    if events.is_empty() {
        return true;
    }
    events.sort_by_key(|(position, index, _)| (*position, *index));
    let actions = events.into_iter().map(|(_, index, action)| (index, action)).collect();
    WGLChecker::<Head>::is_linearizable(History::from_actions(actions))
}
