//! The server of the operator API. Calls that change the configuration are committed to its log.

mod auth;
mod proposal;
mod reply;
mod steps;

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use ibishill_config::{change, describe, in_force, security, settings};
use ibishill_core::id;
use ibishill_state::{billing, log, refusal};
use settings::Right;
use tonic::{Request, Response, Status};

use crate::generated::operator_server::Operator;
use crate::generated::{
    ApplyReply, ApplyRequest, AuditReply, AuditRequest, BillingLine, BillingReply, BillingRequest,
    DiffReply, DiffRequest, EndpointRequest, RefusalMinute, RefusalsReply, RefusalsRequest,
    RolloutRequest, StatusReply, StatusRequest, WaitReply, WaitRequest, WithdrawRequest,
    ZoneRequest,
};

const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

type Callback<T> = Arc<dyn Fn() -> BoxFuture<'static, T> + Send + Sync>;

/// Server of the operator API of one daemon, with the sources of its replies.
#[derive(Clone)]
pub struct Service {
    /// The configuration log.
    pub log: log::Log,
    /// Billing batches in the object store.
    pub billing: billing::Billing,
    /// Batches of refusal counts in the object store.
    pub refusals: refusal::Refusals,
    /// The configuration in force at this daemon.
    pub config: in_force::Cell,
    /// Operators' tokens and rights.
    pub security: security::Cell,
    /// Returns the state that this daemon sees.
    pub status: Callback<StatusReply>,
    /// Returns the version in force at each member of the zones' views.
    pub daemon_versions: Callback<Vec<DaemonVersion>>,
    /// Called with the name of each call that is refused for its token or rights.
    pub on_denied: Arc<dyn Fn(&'static str) + Send + Sync>,
    /// Wakes the daemon to read the log now; called after each committed change.
    pub refresh: Callback<()>,
}

/// Configuration version in force at one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonVersion {
    /// VM on which the daemon runs.
    pub vm: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Version in force at the daemon; `None` if it has not sent a heartbeat recently.
    pub version: Option<change::ConfigVersion>,
}

impl Service {
    fn authorize<T>(
        &self,
        request: &Request<T>,
        call: &'static str,
        right: Right,
    ) -> Result<id::OperatorId, Status> {
        let operator = auth::authorize(&self.security.get(), request, call, right);
        operator.inspect_err(|_| (self.on_denied)(call))
    }

    async fn newest_config(&self) -> Result<in_force::InForce, Status> {
        let current = self.config.get();
        self.log.catch_up(&current).await.map_err(|error| proposal::status(&error))
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let author = self.authorize(&request, "apply", Right::Apply)?;
        let message = request.into_inner();
        let steps = |base: &in_force::InForce| {
            steps::document(&base.declared, &message.document, message.partial)
        };
        let draft = proposal::Draft::new(message.order.as_ref(), author, "apply".into())?;
        proposal::commit(self, draft, steps).await
    }

    async fn diff(&self, request: Request<DiffRequest>) -> Result<Response<DiffReply>, Status> {
        self.authorize(&request, "diff", Right::Read)?;
        let message = request.into_inner();
        let base = self.newest_config().await?;
        let steps = steps::document(&base.declared, &message.document, message.partial)?;
        let steps = describe::steps(&base.declared, &steps);
        Ok(Response::new(DiffReply { version: base.version.0, steps }))
    }

    async fn rollout(
        &self,
        request: Request<RolloutRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.authorize(&request, "rollout", Right::Rollout)?;
        let message = request.into_inner();
        let name = message.action().as_str_name().to_ascii_lowercase();
        let action = name.replace("rollout_action_", "rollout ");
        let steps = |base: &in_force::InForce| steps::rollout(&base.declared, &message);
        let draft = proposal::Draft::new(message.order.as_ref(), author, action)?;
        proposal::commit(self, draft, steps).await
    }

    async fn withdraw(
        &self,
        request: Request<WithdrawRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.authorize(&request, "withdraw", Right::Withdraw)?;
        let message = request.into_inner();
        let steps = |base: &in_force::InForce| steps::withdraw(&base.declared, &message.version);
        let draft = proposal::Draft::new(message.order.as_ref(), author, "withdraw".into())?;
        proposal::commit(self, draft, steps).await
    }

    async fn zone(&self, request: Request<ZoneRequest>) -> Result<Response<ApplyReply>, Status> {
        let author = self.authorize(&request, "zone", Right::Zone)?;
        let message = request.into_inner();
        let in_service = message.in_service;
        let steps =
            |base: &in_force::InForce| steps::zone(&base.declared, &message.zone, in_service);
        let action = steps::admin_action(in_service, "zone");
        let draft = proposal::Draft::new(message.order.as_ref(), author, action)?;
        proposal::commit(self, draft, steps).await
    }

    async fn endpoint(
        &self,
        request: Request<EndpointRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.authorize(&request, "endpoint", Right::Endpoint)?;
        let message = request.into_inner();
        let in_service = message.in_service;
        let steps = |base: &in_force::InForce| {
            steps::endpoint(&base.declared, &message.endpoint, in_service)
        };
        let action = steps::admin_action(in_service, "endpoint");
        let draft = proposal::Draft::new(message.order.as_ref(), author, action)?;
        proposal::commit(self, draft, steps).await
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        self.authorize(&request, "status", Right::Read)?;
        Ok(Response::new((self.status)().await))
    }

    async fn wait_in_force(
        &self,
        request: Request<WaitRequest>,
    ) -> Result<Response<WaitReply>, Status> {
        self.authorize(&request, "wait_in_force", Right::Read)?;
        let message = request.into_inner();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(message.timeout_ms);
        loop {
            let reply = reply::wait(&(self.daemon_versions)().await, message.version);
            if reply.in_force || tokio::time::Instant::now() >= deadline {
                return Ok(Response::new(reply));
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        self.authorize(&request, "audit", Right::Read)?;
        let message = request.into_inner();
        let after = change::ConfigVersion(message.after);
        let page = self.log.tail(after).await.map_err(|error| proposal::status(&error))?;
        let limit = if message.limit == 0 { usize::MAX } else { message.limit as usize };
        let entries = page.into_iter().take(limit).map(reply::audit_entry).collect();
        Ok(Response::new(AuditReply { entries }))
    }

    async fn refusals(
        &self,
        request: Request<RefusalsRequest>,
    ) -> Result<Response<RefusalsReply>, Status> {
        self.authorize(&request, "refusals", Right::Read)?;
        let workspace = request.into_inner().workspace;
        let counts = self.refusals.read().await.map_err(|error| proposal::status(&error))?;
        let minutes = counts
            .into_iter()
            .map(|(key, refused)| RefusalMinute {
                workspace: key.workspace.map(String::from).unwrap_or_default(),
                minute: key.minute,
                reason: key.reason.to_string(),
                refused,
            })
            .filter(|minute| workspace.is_empty() || minute.workspace == workspace)
            .collect();
        Ok(Response::new(RefusalsReply { minutes }))
    }

    async fn billing(
        &self,
        request: Request<BillingRequest>,
    ) -> Result<Response<BillingReply>, Status> {
        self.authorize(&request, "billing", Right::Read)?;
        let workspace = request.into_inner().workspace;
        let totals = self.billing.totals().await.map_err(|error| proposal::status(&error))?;
        let lines = totals
            .into_iter()
            .filter(|(line, _)| workspace.is_empty() || line.workspace.as_str() == workspace)
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
