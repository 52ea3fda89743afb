//! Orders become changes of the log, once for each change id.

use ibishill_config::{change, describe, in_force};
use ibishill_core::{clock, event, id};
use ibishill_state::{error::StateError, log};
use prost::Message;
use tonic::{Code, Response, Status};

use super::{Service, answer};
use crate::generated::{ApplyReply, Conflict, Order};

// Other operators' changes may come between the reading and the writing.
const TRIES: u32 = 5;

/// What is ordered, by whom and under which id.
pub(super) struct Call {
    id: id::ChangeId,
    expected: Option<change::ConfigVersion>,
    author: id::OperatorId,
    action: String,
}

impl Call {
    pub(super) fn new(
        order: Option<&Order>,
        author: id::OperatorId,
        action: String,
    ) -> Result<Self, Status> {
        let order = order.ok_or_else(|| Status::invalid_argument("the order is missing"))?;
        let id = order.change_id.parse();
        let id = id.map_err(|error| invalid(format!("change id: {error}")))?;
        let expected = order.expected_version.map(change::ConfigVersion);
        Ok(Self { id, expected, author, action })
    }

    fn order(&self, base: change::ConfigVersion, steps: Vec<change::Step>) -> log::Proposal {
        log::Proposal {
            id: self.id.clone(),
            author: self.author.clone(),
            action: self.action.clone(),
            expected: Some(self.expected.unwrap_or(base)),
            steps,
        }
    }
}

pub(super) fn invalid<E>(error: E) -> Status
where
    E: std::fmt::Display,
{
    Status::invalid_argument(error.to_string())
}

/// The answer to an order that the log refused.
pub(super) fn refused(error: &StateError) -> Status {
    let text = error.to_string();
    match error {
        StateError::Platform { .. } => Status::unavailable(text),
        StateError::Malformed { .. } => Status::internal(text),
        StateError::Conflict { expected, winner } => {
            let winner = Some(answer::audit_entry((**winner).clone()));
            let details = Conflict { expected_version: expected.0, winner };
            Status::with_details(Code::Aborted, text, details.encode_to_vec().into())
        }
        StateError::Ahead { .. } => Status::failed_precondition(text),
        StateError::IdReused { .. } => Status::already_exists(text),
        StateError::Invalid { .. } => Status::invalid_argument(text),
        StateError::Undecided => Status::unknown(text),
    }
}

/// Carries out an order whose steps are worked out from the newest declarations.
///
/// A repeated id gets the first result, whatever has changed since.
pub(super) async fn change<S>(
    service: &Service,
    call: Call,
    steps: S,
) -> Result<Response<ApplyReply>, Status>
where
    S: Fn(&in_force::InForce) -> Result<Vec<change::Step>, Status>,
{
    for _ in 0..TRIES {
        let done = service.log.find(&call.id).await.map_err(|error| refused(&error))?;
        if let Some(done) = done {
            return repeated(service, &call, done, &steps).await;
        }
        let base = service.newest().await?;
        // An outdated order gets its conflict, not what its steps would mean now.
        let outdated = call.expected.is_some_and(|expected| expected != base.version);
        let wanted = if outdated { Vec::new() } else { steps(&base)? };
        let order = call.order(base.version, wanted);
        match service.log.accept(&order, clock::wall_now()).await {
            Ok(change) => return Ok(accepted(service, &base, &change).await),
            Err(StateError::Conflict { .. }) if call.expected.is_none() => {}
            // A copy of this order was quicker.
            Err(StateError::IdReused { .. }) => {}
            Err(error) => return Err(note(&call, &error)),
        }
    }
    Err(note(&call, &StateError::Undecided))
}

fn note(call: &Call, error: &StateError) -> Status {
    let fields = [event::field("id", &call.id), event::field("error", error)];
    event::emit(event::Event::ChangeRefused, &fields);
    refused(error)
}

async fn accepted(
    service: &Service,
    base: &in_force::InForce,
    change: &change::Change,
) -> Response<ApplyReply> {
    let fields = [
        event::field("version", &change.version),
        event::field("author", &change.author),
        event::field("action", &change.action),
    ];
    event::emit(event::Event::ChangeAccepted, &fields);
    (service.refresh)().await;
    reply(base, change)
}

fn reply(base: &in_force::InForce, change: &change::Change) -> Response<ApplyReply> {
    let steps = describe::steps(&base.declared, &change.steps);
    Response::new(ApplyReply { version: change.version.0, steps })
}

// The same order, worked out from the same declarations, has the same steps.
async fn repeated<S>(
    service: &Service,
    call: &Call,
    done: change::Change,
    steps: &S,
) -> Result<Response<ApplyReply>, Status>
where
    S: Fn(&in_force::InForce) -> Result<Vec<change::Step>, Status>,
{
    let reused = || note(call, &StateError::IdReused { id: call.id.clone() });
    if done.author != call.author || done.action != call.action {
        return Err(reused());
    }
    let base = before(service, done.version).await.map_err(|error| refused(&error))?;
    match steps(&base) {
        Ok(steps) if steps == done.steps => Ok(reply(&base, &done)),
        _ => Err(reused()),
    }
}

async fn before(
    service: &Service,
    version: change::ConfigVersion,
) -> Result<in_force::InForce, StateError> {
    let mut base = in_force::InForce::default();
    loop {
        let tail = service.log.tail(base.version).await?;
        if tail.is_empty() {
            return Ok(base);
        }
        for change in tail {
            if change.version >= version {
                return Ok(base);
            }
            log::apply_next(&mut base, change)?;
        }
    }
}
