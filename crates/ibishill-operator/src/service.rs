//! The server side: orders become changes of the configuration log.

mod answer;
mod order;
mod right;
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
    pub config: in_force::Cell,
    /// Credentials of operators.
    pub security: security::Cell,
    /// Tells what this daemon knows.
    pub status: Ask<StatusReply>,
    /// Tells which version each daemon has in force.
    pub daemon_versions: Ask<Vec<DaemonVersion>>,
    /// Counts a call that was refused for its credentials.
    pub on_denied: Arc<dyn Fn(&'static str) + Send + Sync>,
    /// Makes the daemon read the log at once.
    pub refresh: Ask<()>,
}

/// What is known of one daemon's configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonVersion {
    /// The daemon's VM.
    pub vm: id::VmId,
    /// Its zone.
    pub zone: id::ZoneId,
    /// The version it has in force, if it could be asked.
    pub version: Option<change::ConfigVersion>,
}

impl Service {
    fn check<T>(
        &self,
        request: &Request<T>,
        call: &'static str,
        right: Right,
    ) -> Result<id::OperatorId, Status> {
        let checked = right::check(&self.security.get(), request, call, right);
        checked.inspect_err(|_| (self.on_denied)(call))
    }

    async fn newest(&self) -> Result<in_force::InForce, Status> {
        let current = self.config.get();
        self.log.catch_up(&current).await.map_err(|error| order::refused(&error))
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let author = self.check(&request, "apply", Right::Apply)?;
        let message = request.into_inner();
        let steps = |base: &in_force::InForce| {
            steps::document(&base.declared, &message.document, message.partial)
        };
        let call = order::Call::new(message.order.as_ref(), author, "apply".into())?;
        order::change(self, call, steps).await
    }

    async fn diff(&self, request: Request<DiffRequest>) -> Result<Response<DiffReply>, Status> {
        self.check(&request, "diff", Right::Read)?;
        let message = request.into_inner();
        let base = self.newest().await?;
        let steps = steps::document(&base.declared, &message.document, message.partial)?;
        let steps = describe::steps(&base.declared, &steps);
        Ok(Response::new(DiffReply { version: base.version.0, steps }))
    }

    async fn rollout(
        &self,
        request: Request<RolloutRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.check(&request, "rollout", Right::Rollout)?;
        let message = request.into_inner();
        let name = message.action().as_str_name().to_ascii_lowercase();
        let action = name.replace("rollout_action_", "rollout ");
        let steps = |base: &in_force::InForce| steps::rollout(&base.declared, &message);
        let call = order::Call::new(message.order.as_ref(), author, action)?;
        order::change(self, call, steps).await
    }

    async fn withdraw(
        &self,
        request: Request<WithdrawRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.check(&request, "withdraw", Right::Withdraw)?;
        let message = request.into_inner();
        let steps = |base: &in_force::InForce| steps::withdraw(&base.declared, &message.version);
        let call = order::Call::new(message.order.as_ref(), author, "withdraw".into())?;
        order::change(self, call, steps).await
    }

    async fn zone(&self, request: Request<ZoneRequest>) -> Result<Response<ApplyReply>, Status> {
        let author = self.check(&request, "zone", Right::Zone)?;
        let message = request.into_inner();
        let wanted = message.in_service;
        let steps = |base: &in_force::InForce| steps::zone(&base.declared, &message.zone, wanted);
        let action = steps::switch(wanted, "zone");
        let call = order::Call::new(message.order.as_ref(), author, action)?;
        order::change(self, call, steps).await
    }

    async fn endpoint(
        &self,
        request: Request<EndpointRequest>,
    ) -> Result<Response<ApplyReply>, Status> {
        let author = self.check(&request, "endpoint", Right::Endpoint)?;
        let message = request.into_inner();
        let wanted = message.in_service;
        let steps =
            |base: &in_force::InForce| steps::endpoint(&base.declared, &message.endpoint, wanted);
        let action = steps::switch(wanted, "endpoint");
        let call = order::Call::new(message.order.as_ref(), author, action)?;
        order::change(self, call, steps).await
    }

    async fn status(
        &self,
        request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        self.check(&request, "status", Right::Read)?;
        Ok(Response::new((self.status)().await))
    }

    async fn wait_in_force(
        &self,
        request: Request<WaitRequest>,
    ) -> Result<Response<WaitReply>, Status> {
        self.check(&request, "wait_in_force", Right::Read)?;
        let message = request.into_inner();
        let end = tokio::time::Instant::now() + Duration::from_millis(message.timeout_ms);
        loop {
            let reply = answer::wait(&(self.daemon_versions)().await, message.version);
            if reply.in_force || tokio::time::Instant::now() >= end {
                return Ok(Response::new(reply));
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        self.check(&request, "audit", Right::Read)?;
        let message = request.into_inner();
        let after = change::ConfigVersion(message.after);
        let tail = self.log.tail(after).await.map_err(|error| order::refused(&error))?;
        let limit = if message.limit == 0 { usize::MAX } else { message.limit as usize };
        let entries = tail.into_iter().take(limit).map(answer::audit_entry).collect();
        Ok(Response::new(AuditReply { entries }))
    }

    async fn refusals(
        &self,
        request: Request<RefusalsRequest>,
    ) -> Result<Response<RefusalsReply>, Status> {
        self.check(&request, "refusals", Right::Read)?;
        let wanted = request.into_inner().workspace;
        let cells = self.refusals.read().await.map_err(|error| order::refused(&error))?;
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
        self.check(&request, "billing", Right::Read)?;
        let wanted = request.into_inner().workspace;
        let totals = self.billing.totals().await.map_err(|error| order::refused(&error))?;
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
