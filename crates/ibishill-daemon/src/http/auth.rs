//! Who calls: the workspace of a bearer key, and the request's own headers.

use ibishill_config::{in_force, key};
use ibishill_core::{clock, id, outcome, priority, time};
use ibishill_decide::session;
use rocket::request::{FromRequest, Outcome, Request};

use super::{Shared, reply};

/// Most headers of one name that a request may carry: one.
const MAX_PER_NAME: usize = 1;

const SESSION_HEADER: &str = "x-ibishill-session";

/// What the headers of a request say.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The id that the daemon gave the request.
    pub(crate) request: id::RequestId,
    /// The workspace.
    pub(crate) workspace: id::WorkspaceId,
    /// The session.
    pub(crate) session: Option<id::SessionId>,
    /// The version that the session's token pins.
    pub(crate) pinned: Option<id::VersionRef>,
    /// Key that marks copies of the same request.
    pub(crate) key: Option<id::IdempotencyKey>,
    /// Priority among other requests.
    pub(crate) priority: priority::Priority,
    /// Time from arrival to the deadline.
    deadline: time::Millis,
    /// When the request arrived.
    pub(crate) arrived: time::Tick,
}

impl Caller {
    /// Time left until the deadline.
    ///
    /// # Errors
    ///
    /// Refuses if the deadline has passed, while nothing has run yet.
    pub(crate) fn remaining(&self) -> Result<time::Millis, outcome::Refusal> {
        let remaining = self.deadline.saturating_sub(clock::boot_now().since(self.arrived));
        if remaining == time::Millis(0) {
            let detail = "the deadline passed before the request was dispatched";
            return Err(outcome::Refusal::not_run(outcome::Reason::Deadline, detail));
        }
        Ok(remaining)
    }

    /// Counts a refusal of this caller's request.
    pub(crate) fn refuse(&self, context: &Shared, refusal: outcome::Refusal) -> reply::Refused {
        reply::Refused::new(context, &self.request, Some(self.workspace.clone()), refusal)
    }
}

/// The workspace whose key hashes like `key`; every key is compared.
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
    match context.sessions.get().verify(workspace, text) {
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
        deadline: deadline.unwrap_or(limits.deadline).min(limits.longest),
        arrived,
        workspace: workspace.clone(),
    })
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
