//! Who calls: the workspace of a bearer key, and the request's own headers.

use ibishill_config::{in_force, key};
use ibishill_core::{id, outcome, time};
use rocket::request::{FromRequest, Outcome, Request};

use super::{Shared, reply};

/// Most headers of one name that a request may carry: one.
const ONE: usize = 1;

/// What the headers of a request say.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The id that the daemon gave the request.
    pub(crate) request: id::RequestId,
    /// The workspace.
    pub(crate) workspace: id::WorkspaceId,
    /// The session.
    pub(crate) session: Option<id::SessionId>,
    /// Time left until the deadline.
    pub(crate) left: time::Millis,
    /// When the request arrived.
    pub(crate) arrived: time::Tick,
}

/// The workspace whose key hashes like `key`; every key is compared.
fn workspace(config: &in_force::InForce, key: &str) -> Option<id::WorkspaceId> {
    let hash = key::KeyHash::of(key.as_bytes());
    let mut found = None;
    for (name, space) in &config.declared.workspaces {
        for known in &space.keys {
            if known.matches(&hash) {
                found = Some(name.clone());
            }
        }
    }
    found
}

fn single<'r>(request: &'r Request<'_>, name: &str) -> Result<Option<&'r str>, outcome::Refusal> {
    let mut values = request.headers().get(name);
    let first = values.next();
    if request.headers().get(name).count() > ONE {
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

fn read(context: &Shared, request: &Request<'_>) -> Result<Caller, reply::Refused> {
    let name = context.new_request();
    let refuse = |refusal: outcome::Refusal| reply::Refused::new(context, &name, None, refusal);
    let header = single(request, "authorization").map_err(refuse)?;
    let key = header.and_then(|text| text.strip_prefix("Bearer "));
    let config = context.cell.get();
    let Some(workspace) = key.and_then(|key| workspace(&config, key)) else {
        let detail = "a bearer key of a declared workspace is needed";
        return Err(refuse(outcome::Refusal::not_run(outcome::Reason::Unauthorized, detail)));
    };
    let refuse = |refusal: outcome::Refusal| {
        reply::Refused::new(context, &name, Some(workspace.clone()), refusal)
    };
    let session = parse(request, "x-ibishill-session").map_err(refuse)?;
    let left = parse(request, "x-ibishill-deadline-ms").map_err(refuse)?;
    Ok(Caller {
        request: name.clone(),
        session,
        left: left.unwrap_or(context.settings.limits.deadline),
        arrived: ibishill_core::clock::boot_now(),
        workspace: workspace.clone(),
    })
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let context = request.rocket().state::<Shared>().expect("the server manages its context");
        match read(context, request) {
            Ok(caller) => Outcome::Success(caller),
            Err(refused) => {
                let status = refused.status();
                request.local_cache(|| Some(refused));
                Outcome::Error((status, ()))
            }
        }
    }
}
