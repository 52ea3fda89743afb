//! Authentication of a caller by its bearer key, and parsing of the request's headers.

use ibishill_config::{in_force, key};
use ibishill_core::{clock, id, outcome, priority, time};
use ibishill_decide::session;
use rocket::request::{FromRequest, Outcome, Request};

use super::{Shared, reply};

/// Maximum number of headers of one name that the daemon interprets.
const MAX_PER_NAME: usize = 1;

const SESSION_HEADER: &str = "x-ibishill-session";

/// An authenticated caller, with what the headers of its request declare.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// Id that the daemon assigned to the request.
    pub(crate) request: id::RequestId,
    /// Workspace that the bearer key belongs to.
    pub(crate) workspace: id::WorkspaceId,
    /// Session of the request; absent without a session header.
    pub(crate) session: Option<id::SessionId>,
    /// Version that the session token pins; absent for a session without a token.
    pub(crate) pinned: Option<id::VersionRef>,
    /// Idempotency key, equal for all copies of one request; absent if the caller sent none.
    pub(crate) key: Option<id::IdempotencyKey>,
    /// Priority in the wait queues; the default one if the caller sent none.
    pub(crate) priority: priority::Priority,
    /// Declared length of the body, in bytes; absent if it comes in chunks.
    pub(crate) declared: Option<u64>,
    /// Time from arrival to the deadline.
    deadline: time::Millis,
    /// Time at which the headers were read.
    pub(crate) arrived: time::Tick,
}

impl Caller {
    /// Time left until the deadline.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the outcome `not-run` if the deadline has passed.
    pub(crate) fn remaining(&self) -> Result<time::Millis, outcome::Refusal> {
        let remaining = self.deadline.saturating_sub(clock::boot_now().since(self.arrived));
        if remaining == time::Millis(0) {
            let detail = "the deadline passed before the request was dispatched";
            return Err(outcome::Refusal::not_run(outcome::Reason::Deadline, detail));
        }
        Ok(remaining)
    }

    /// Records the refusal of this caller's request.
    pub(crate) fn refuse(&self, context: &Shared, refusal: outcome::Refusal) -> reply::Refused {
        reply::Refused::new(context, &self.request, Some(self.workspace.clone()), refusal)
    }
}

/// Returns the workspace that `key` belongs to.
///
/// Compares every declared key, so that the time taken doesn't depend on which one matches.
fn find_workspace(config: &in_force::InForce, key: &str) -> Option<id::WorkspaceId> {
    let hash = key::KeyHash::of(key.as_bytes());
    let mut found = None;
    for (name, workspace) in &config.declared.workspaces {
        for declared in &workspace.keys {
            if declared.matches(&hash) {
                found = Some(name.clone());
            }
        }
    }
    found
}

fn check_header_size(request: &Request<'_>, max_bytes: u64) -> Result<(), outcome::Refusal> {
    let lengths = request.headers().iter().map(|h| h.name.as_str().len() + h.value.len());
    if lengths.sum::<usize>() as u64 > max_bytes {
        let detail = format!("headers may have at most {max_bytes} bytes together");
        return Err(outcome::Refusal::not_run(outcome::Reason::HeadersTooLarge, detail));
    }
    Ok(())
}

fn single<'r>(request: &'r Request<'_>, name: &str) -> Result<Option<&'r str>, outcome::Refusal> {
    let mut values = request.headers().get(name);
    let first = values.next();
    if request.headers().get(name).count() > MAX_PER_NAME {
        let detail = format!("header {name} stands more than once");
        return Err(outcome::Refusal::not_run(outcome::Reason::BadRequest, detail));
    }
    Ok(first)
}

fn parse<T>(request: &Request<'_>, name: &str) -> Result<Option<T>, outcome::Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = single(request, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|error| {
        let detail = format!("header {name}: {error}");
        outcome::Refusal::not_run(outcome::Reason::BadRequest, detail)
    })
}

fn parse_session(
    context: &Shared,
    request: &Request<'_>,
    workspace: &id::WorkspaceId,
) -> Result<(Option<id::SessionId>, Option<id::VersionRef>), outcome::Refusal> {
    let Some(text) = single(request, SESSION_HEADER)? else { return Ok((None, None)) };
    match context.session_keys.get().verify(workspace, text) {
        Ok(session::Header::Plain(session)) => Ok((Some(session), None)),
        Ok(session::Header::Token(token)) => Ok((Some(token.session), Some(token.version))),
        Err(error) => {
            let reason = match error {
                session::TokenError::Malformed => outcome::Reason::BadRequest,
                session::TokenError::Signature | session::TokenError::Workspace => {
                    outcome::Reason::NotAllowed
                }
            };
            Err(outcome::Refusal::not_run(reason, format!("header {SESSION_HEADER}: {error}")))
        }
    }
}

fn parse_caller(context: &Shared, request: &Request<'_>) -> Result<Caller, reply::Refused> {
    let arrived = clock::boot_now();
    let request_id = context.new_request();
    let refuse =
        |refusal: outcome::Refusal| reply::Refused::new(context, &request_id, None, refusal);
    check_header_size(request, context.settings.limits.headers).map_err(refuse)?;
    let header = single(request, "authorization").map_err(refuse)?;
    let bearer = header.and_then(|text| text.strip_prefix("Bearer "));
    let config = context.config.get();
    let Some(workspace) = bearer.and_then(|bearer| find_workspace(&config, bearer)) else {
        let detail = "a bearer key of a declared workspace is needed";
        return Err(refuse(outcome::Refusal::not_run(outcome::Reason::Unauthorized, detail)));
    };
    let refuse = |refusal: outcome::Refusal| {
        reply::Refused::new(context, &request_id, Some(workspace.clone()), refusal)
    };
    let limits = &context.settings.limits;
    single(request, "content-type").map_err(refuse)?;
    let (session, pinned) = parse_session(context, request, &workspace).map_err(refuse)?;
    let key = parse(request, "idempotency-key").map_err(refuse)?;
    let priority: Option<_> = parse(request, "x-ibishill-priority").map_err(refuse)?;
    let deadline: Option<_> = parse(request, "x-ibishill-deadline-ms").map_err(refuse)?;
    Ok(Caller {
        request: request_id.clone(),
        session,
        pinned,
        key,
        priority: priority.unwrap_or_default(),
        declared: declared_length(request),
        deadline: deadline.unwrap_or(limits.deadline).min(limits.longest),
        arrived,
        workspace: workspace.clone(),
    })
}

// The HTTP library has checked it.
fn declared_length(request: &Request<'_>) -> Option<u64> {
    request.headers().get_one("content-length")?.trim().parse().ok()
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let context = request.rocket().state::<Shared>().expect("the server manages its context");
        match parse_caller(context, request) {
            Ok(caller) => Outcome::Success(caller),
            Err(refused) => {
                let status = refused.status();
                request.local_cache(|| Some(refused));
                Outcome::Error((status, ()))
            }
        }
    }
}
