//! Commits proposals to the configuration log, at most once per change id.

use ibishill_config::{change, describe, in_force};
use ibishill_core::{clock, event, id};
use ibishill_state::{error::StateError, log};
use prost::Message;
use tonic::{Code, Response, Status};

use super::{Service, reply};
use crate::generated::{ApplyReply, Conflict, Order};

// Another change may be committed between the read of the log and the write.
const MAX_ATTEMPTS: u32 = 5;

/// A proposal whose steps have not been computed yet.
pub(super) struct Draft {
    id: id::ChangeId,
    expected: Option<change::ConfigVersion>,
    author: id::OperatorId,
    action: String,
}

impl Draft {
    pub(super) fn new(
        order: Option<&Order>,
        author: id::OperatorId,
        action: String,
    ) -> Result<Self, Status> {
        let order = order.ok_or_else(|| Status::invalid_argument("field 'order' is missing"))?;
        let id = order.change_id.parse();
        let id = id.map_err(|error| invalid(format!("change id: {error}")))?;
        let expected = order.expected_version.map(change::ConfigVersion);
        Ok(Self { id, expected, author, action })
    }

    fn proposal(&self, base: change::ConfigVersion, steps: Vec<change::Step>) -> log::Proposal {
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

/// Returns the gRPC status of a log or store error.
pub(super) fn status(error: &StateError) -> Status {
    let text = error.to_string();
    match error {
        StateError::Platform { .. } => Status::unavailable(text),
        StateError::Malformed { .. } => Status::internal(text),
        StateError::Conflict { expected, winner } => {
            let winner = Some(reply::audit_entry((**winner).clone()));
            let details = Conflict { expected_version: expected.0, winner };
            Status::with_details(Code::Aborted, text, details.encode_to_vec().into())
        }
        StateError::Ahead { .. } => Status::failed_precondition(text),
        StateError::IdReused { .. } => Status::already_exists(text),
        StateError::Invalid { .. } => Status::invalid_argument(text),
        StateError::Undecided => Status::unknown(text),
    }
}

/// Commits a draft with the steps that `steps` computes from the newest declarations.
///
/// Idempotent by change id: a repeated call returns the result of the first one, even if the
/// declarations have changed since.
pub(super) async fn commit<S>(
    service: &Service,
    draft: Draft,
    steps: S,
) -> Result<Response<ApplyReply>, Status>
where
    S: Fn(&in_force::InForce) -> Result<Vec<change::Step>, Status>,
{
    for _ in 0..MAX_ATTEMPTS {
        let committed = service.log.find(&draft.id).await.map_err(|error| status(&error))?;
        if let Some(committed) = committed {
            return replay(service, &draft, committed, &steps).await;
        }
        let base = service.newest_config().await?;
        // An outdated call has to fail with the conflict, not with an error of steps computed from
        // other declarations than it expects.
        let outdated = draft.expected.is_some_and(|expected| expected != base.version);
        let computed = if outdated { Vec::new() } else { steps(&base)? };
        let proposal = draft.proposal(base.version, computed);
        match service.log.accept(&proposal, clock::wall_now()).await {
            Ok(change) => return Ok(finish(service, &base, &change).await),
            Err(StateError::Conflict { .. }) if draft.expected.is_none() => {}
            // A concurrent call with the same id was committed first; the next attempt replays it.
            Err(StateError::IdReused { .. }) => {}
            Err(error) => return Err(refuse(&draft, &error)),
        }
    }
    Err(refuse(&draft, &StateError::Undecided))
}

fn refuse(draft: &Draft, error: &StateError) -> Status {
    let fields = [event::field("id", &draft.id), event::field("error", error)];
    event::emit(event::Event::ChangeRefused, &fields);
    status(error)
}

async fn finish(
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
    apply_reply(base, change)
}

fn apply_reply(base: &in_force::InForce, change: &change::Change) -> Response<ApplyReply> {
    let steps = describe::steps(&base.declared, &change.steps);
    Response::new(ApplyReply { version: change.version.0, steps })
}

// Answers a call whose change id has been committed. Steps computed from the declarations before
// that change are equal only if the call is a repetition of the first one.
async fn replay<S>(
    service: &Service,
    draft: &Draft,
    committed: change::Change,
    steps: &S,
) -> Result<Response<ApplyReply>, Status>
where
    S: Fn(&in_force::InForce) -> Result<Vec<change::Step>, Status>,
{
    let id_reused = || refuse(draft, &StateError::IdReused { id: draft.id.clone() });
    if committed.author != draft.author || committed.action != draft.action {
        return Err(id_reused());
    }
    let base = config_before(service, committed.version).await.map_err(|error| status(&error))?;
    match steps(&base) {
        Ok(steps) if steps == committed.steps => Ok(apply_reply(&base, &committed)),
        _ => Err(id_reused()),
    }
}

async fn config_before(
    service: &Service,
    version: change::ConfigVersion,
) -> Result<in_force::InForce, StateError> {
    let mut base = in_force::InForce::default();
    loop {
        let page = service.log.tail(base.version).await?;
        if page.is_empty() {
            return Ok(base);
        }
        for change in page {
            if change.version >= version {
                return Ok(base);
            }
            log::apply_next(&mut base, change)?;
        }
    }
}
