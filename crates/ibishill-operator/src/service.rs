//! The server side: orders become changes of the configuration log.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use ibishill_config::{change, declared, document, in_force, key, settings};
use ibishill_core::{clock, event, id};
use ibishill_state::{billing, error::StateError, log, refusal};
use tonic::{Request, Response, Status};

use crate::generated::operator_server::Operator;
use crate::generated::{
    ApplyReply, ApplyRequest, AuditEntry, AuditReply, AuditRequest, BillingLine, BillingReply,
    BillingRequest, DiffReply, DiffRequest, EndpointRequest, Order, RefusalMinute, RefusalsReply,
    RefusalsRequest, RolloutAction, RolloutRequest, StatusReply, StatusRequest, WaitReply,
    WaitRequest, WithdrawRequest, ZoneRequest,
};

const WAIT_STEP: Duration = Duration::from_millis(100);

type Ask<T> = Arc<dyn Fn() -> BoxFuture<'static, T> + Send + Sync>;

/// What the answers are made of.
#[derive(Clone)]
pub struct Service {
    /// The configuration log.
    pub log: log::Log,
    /// Billing batches.
    pub billing: billing::Billing,
    /// Refusal batches.
    pub refusals: refusal::Refusals,
    /// The configuration in force at this daemon.
    pub cell: in_force::Cell,
    /// Credentials of operators.
    pub security: settings::Security,
    /// Tells what this daemon knows.
    pub status: Ask<StatusReply>,
    /// Tells which version each daemon has in force.
    pub confirmed: Ask<Vec<Confirmed>>,
    /// Makes the daemon read the log at once.
    pub refresh: Ask<()>,
}

/// What is known of one daemon's configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmed {
    /// The daemon's VM.
    pub vm: id::VmId,
    /// Its zone.
    pub zone: id::ZoneId,
    /// The version it has in force, if it could be asked.
    pub version: Option<change::ConfigVersion>,
}

fn invalid<E>(error: E) -> Status
where
    E: std::fmt::Display,
{
    Status::invalid_argument(error.to_string())
}

fn refused(error: &StateError) -> Status {
    let text = error.to_string();
    match error {
        StateError::Platform { .. } => Status::unavailable(text),
        StateError::Malformed { .. } => Status::internal(text),
        StateError::Conflict { .. } => Status::aborted(text),
        StateError::IdReused { .. } => Status::already_exists(text),
        StateError::Invalid { .. } => Status::invalid_argument(text),
        StateError::Undecided => Status::unknown(text),
    }
}

impl Service {
    fn author<T>(&self, request: &Request<T>, write: bool) -> Result<id::OperatorId, Status> {
        if self.security.insecure && self.security.tokens.is_empty() {
            return "anonymous".parse().map_err(invalid);
        }
        let header = request.metadata().get("authorization").and_then(|v| v.to_str().ok());
        let Some(token) = header.and_then(|text| text.strip_prefix("Bearer ")) else {
            return Err(Status::unauthenticated("a token is needed; pass --token-file"));
        };
        let hash = key::KeyHash::of(token.as_bytes());
        let known = self.security.tokens.iter().find(|token| token.hash.matches(&hash));
        let Some(known) = known else {
            return Err(Status::unauthenticated("the token is not known"));
        };
        if write && known.read_only {
            return Err(Status::permission_denied("the token may only read"));
        }
        Ok(known.operator.clone())
    }

    async fn order(
        &self,
        order: Option<Order>,
        author: id::OperatorId,
        action: &str,
        steps: Vec<change::Step>,
    ) -> Result<Response<ApplyReply>, Status> {
        let order = order.unwrap_or_default();
        let order = log::Order {
            id: order.change_id.parse().map_err(invalid)?,
            author,
            action: action.to_owned(),
            expected: order.expected_version.map(change::ConfigVersion),
            steps,
        };
        let accepted = self.log.accept(&order, clock::wall_now()).await;
        let change = accepted.map_err(|error| {
            let fields = [event::field("id", &order.id), event::field("error", &error)];
            event::emit(event::Event::ChangeRefused, &fields);
            refused(&error)
        })?;
        let fields = [
            event::field("version", &change.version),
            event::field("author", &change.author),
            event::field("action", &change.action),
        ];
        event::emit(event::Event::ChangeAccepted, &fields);
        (self.refresh)().await;
        let steps = change.steps.iter().map(ToString::to_string).collect();
        Ok(Response::new(ApplyReply { version: change.version.0, steps }))
    }

    async fn newest(&self) -> Result<in_force::InForce, Status> {
        let current = self.cell.get();
        self.log.catch_up(&current).await.map_err(|error| refused(&error))
    }

    // A roll-out's or version's order is worked out from the newest declarations, so
    // it expects just these unless the operator says otherwise.
    fn based_on(order: Option<Order>, base: &in_force::InForce) -> Option<Order> {
        let mut order = order.unwrap_or_default();
        order.expected_version.get_or_insert(base.version.0);
        Some(order)
    }
}

fn steps(base: &in_force::InForce, text: &str, partial: bool) -> Result<Vec<change::Step>, Status> {
    if !partial {
        let next = document::declared("document", text).map_err(invalid)?;
        return Ok(change::diff(&base.declared, &next));
    }
    let part = document::part("document", text).map_err(invalid)?;
    let mut steps = change::diff(&declared::Declared::default(), &part);
    steps.retain(|step| !matches!(step, change::Step::Policy(_)));
    Ok(steps)
}

fn rollout_step(
    base: &in_force::InForce,
    message: &RolloutRequest,
) -> Result<change::Step, Status> {
    let name: id::RolloutId = message.rollout.parse().map_err(invalid)?;
    let found = base.declared.rollouts.get(&name).cloned();
    if message.action() == RolloutAction::Start {
        return start_rollout(name, found, message);
    }
    let missing = || Status::not_found(format!("roll-out {name} is not declared"));
    let mut rollout = found.ok_or_else(missing)?;
    if rollout.state == declared::RolloutState::Halted
        || rollout.state == declared::RolloutState::Done
    {
        return Err(Status::failed_precondition(format!("roll-out {name} has ended")));
    }
    match message.action() {
        RolloutAction::Pause => rollout.state = declared::RolloutState::Paused,
        RolloutAction::Resume => rollout.state = declared::RolloutState::Running,
        RolloutAction::Advance if rollout.stage + 1 >= rollout.stages.len() => {
            rollout.state = declared::RolloutState::Done;
        }
        RolloutAction::Advance => rollout.stage += 1,
        RolloutAction::Halt => {
            rollout.state = declared::RolloutState::Halted;
            rollout.reason = Some(message.reason.clone());
        }
        RolloutAction::Start | RolloutAction::Unspecified => {
            return Err(Status::invalid_argument("the action is missing"));
        }
    }
    Ok(change::Step::PutRollout(name, rollout))
}

fn start_rollout(
    name: id::RolloutId,
    found: Option<declared::Rollout>,
    message: &RolloutRequest,
) -> Result<change::Step, Status> {
    if found.is_some() {
        return Err(Status::already_exists(format!("roll-out {name} exists")));
    }
    let stages: Result<Vec<u8>, _> = message.stages.iter().map(|&s| u8::try_from(s)).collect();
    let rollout = declared::Rollout {
        from: message.from_version.parse().map_err(invalid)?,
        to: message.to_version.parse().map_err(invalid)?,
        stages: stages.map_err(invalid)?,
        stage: 0,
        dwell: ibishill_core::time::Millis::from_secs(600),
        state: declared::RolloutState::Running,
        reason: None,
    };
    Ok(change::Step::PutRollout(name, rollout))
}

fn service_state(in_service: bool) -> declared::ServiceState {
    if in_service { declared::ServiceState::In } else { declared::ServiceState::Out }
}

fn switch_name(in_service: bool, kind: &str) -> String {
    if in_service { format!("{kind} in") } else { format!("{kind} out") }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let author = self.author(&request, true)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let steps = steps(&base, &message.document, message.partial)?;
        let order = Self::based_on(message.order, &base);
        self.order(order, author, "apply", steps).await
    }

    async fn diff(&self, request: Request<DiffRequest>) -> Result<Response<DiffReply>, Status> {
        self.author(&request, false)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let steps = steps(&base, &message.document, message.partial)?;
        let steps = steps.iter().map(ToString::to_string).collect();
        Ok(Response::new(DiffReply { version: base.version.0, steps }))
    }

    async fn rollout(
        &self,
        request: Request<RolloutRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.author(&request, true)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let step = rollout_step(&base, &message)?;
        let action = message.action().as_str_name().to_ascii_lowercase().replace("_action", "");
        let order = Self::based_on(message.order, &base);
        self.order(order, author, &action, vec![step]).await
    }

    async fn withdraw(
        &self,
        request: Request<WithdrawRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.author(&request, true)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let name: id::VersionRef = message.version.parse().map_err(invalid)?;
        let Some(mut version) = base.declared.versions.get(&name).cloned() else {
            return Err(Status::not_found(format!("version {name} is not declared")));
        };
        version.state = declared::VersionState::Withdrawn;
        let steps = vec![change::Step::PutVersion(name, version)];
        let order = Self::based_on(message.order, &base);
        self.order(order, author, "withdraw", steps).await
    }

    async fn zone(&self, request: Request<ZoneRequest>) -> Result<Response<ApplyReply>, Status> {
        let author = self.author(&request, true)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let name: id::ZoneId = message.zone.parse().map_err(invalid)?;
        let Some(mut zone) = base.declared.zones.get(&name).cloned() else {
            return Err(Status::not_found(format!("zone {name} is not declared")));
        };
        zone.state = service_state(message.in_service);
        let action = switch_name(message.in_service, "zone");
        let steps = vec![change::Step::PutZone(name, zone)];
        let order = Self::based_on(message.order, &base);
        self.order(order, author, &action, steps).await
    }

    async fn endpoint(
        &self,
        request: Request<EndpointRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.author(&request, true)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let name: id::EndpointId = message.endpoint.parse().map_err(invalid)?;
        let Some(mut endpoint) = base.declared.endpoints.get(&name).cloned() else {
            return Err(Status::not_found(format!("endpoint {name} is not declared")));
        };
        endpoint.state = service_state(message.in_service);
        let action = switch_name(message.in_service, "endpoint");
        let steps = vec![change::Step::PutEndpoint(name, endpoint)];
        let order = Self::based_on(message.order, &base);
        self.order(order, author, &action, steps).await
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        self.author(&request, false)?;
        Ok(Response::new((self.status)().await))
    }

    async fn wait_in_force(
        &self,
        request: Request<WaitRequest>,
    ) -> Result<Response<WaitReply>, Status> {
        self.author(&request, false)?;
        let message = request.into_inner();
        let end = tokio::time::Instant::now() + Duration::from_millis(message.timeout_ms);
        loop {
            let reply = wait_reply(&(self.confirmed)().await, message.version);
            if reply.in_force || tokio::time::Instant::now() >= end {
                return Ok(Response::new(reply));
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        self.author(&request, false)?;
        let message = request.into_inner();
        let after = change::ConfigVersion(message.after);
        let tail = self.log.tail(after).await.map_err(|error| refused(&error))?;
        let limit = if message.limit == 0 { usize::MAX } else { message.limit as usize };
        let entries = tail.into_iter().take(limit).map(audit_entry).collect();
        Ok(Response::new(AuditReply { entries }))
    }

    async fn refusals(
        &self,
        request: Request<RefusalsRequest>,
    ) -> Result<Response<RefusalsReply>, Status> {
        self.author(&request, false)?;
        let wanted = request.into_inner().workspace;
        let cells = self.refusals.read().await.map_err(|error| refused(&error))?;
        let minutes = cells
            .into_iter()
            .map(|(cell, refused)| RefusalMinute {
                workspace: cell.workspace.map(String::from).unwrap_or_default(),
                minute: cell.minute,
                reason: cell.reason.to_string(),
                refused,
            })
            .filter(|minute| wanted.is_empty() || minute.workspace == wanted)
            .collect();
        Ok(Response::new(RefusalsReply { minutes }))
    }

    async fn billing(
        &self,
        request: Request<BillingRequest>,
    ) -> Result<Response<BillingReply>, Status> {
        self.author(&request, false)?;
        let wanted = request.into_inner().workspace;
        let totals = self.billing.totals().await.map_err(|error| refused(&error))?;
        let lines = totals
            .into_iter()
            .filter(|(line, _)| wanted.is_empty() || line.workspace.as_str() == wanted)
            .map(|(line, total)| BillingLine {
                workspace: line.workspace.into(),
                target: line.target,
                requests: total.requests,
                prompt_tokens: total.prompt,
                output_tokens: total.output,
                price_micros: total.price.0,
            })
            .collect();
        Ok(Response::new(BillingReply { lines }))
    }
}

fn audit_entry(change: change::Change) -> AuditEntry {
    AuditEntry {
        version: change.version.0,
        change_id: change.id.into(),
        author: change.author.into(),
        action: change.action,
        at_ms: change.at.0,
        steps: change.steps.iter().map(ToString::to_string).collect(),
    }
}

fn wait_reply(known: &[Confirmed], version: u64) -> WaitReply {
    let has = |daemon: &&Confirmed| daemon.version.is_some_and(|v| v.0 >= version);
    let name = |daemon: &Confirmed| daemon.vm.to_string();
    let confirmed: Vec<_> = known.iter().filter(has).map(name).collect();
    let missing: Vec<_> = known.iter().filter(|d| !has(d)).map(name).collect();
    let mut cut: Vec<_> = known.iter().map(|d| d.zone.to_string()).collect();
    cut.dedup();
    cut.retain(|zone| {
        let silent = |d: &Confirmed| d.version.is_none();
        known.iter().filter(|d| d.zone.as_str() == zone).all(silent)
    });
    WaitReply { in_force: missing.is_empty(), confirmed, missing, cut_zones: cut }
}
