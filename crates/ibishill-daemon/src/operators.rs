//! Operator API of a daemon.

use std::fs;
use std::sync::Arc;

use futures::FutureExt;
use ibishill_config::{declared, settings};
use ibishill_core::id;
use ibishill_decide::owner;
use ibishill_operator::generated::operator_server::OperatorServer;
use ibishill_operator::generated::{
    EndpointStatus, RolloutStatus, StatusReply, VersionStatus, ZoneStatus,
};
use ibishill_operator::service;
use ibishill_platform::Platform;
use ibishill_state::{billing, refusal};

use snafu::ResultExt;
use tonic::transport;

use crate::{config_sync, context, error, heartbeat, router};

/// Builds the operator service of a daemon.
pub fn service(
    context: &Arc<context::Context>,
    platform: &Platform,
    refresh: config_sync::Refresh,
) -> service::Service {
    let (for_status, for_versions) = (Arc::clone(context), Arc::clone(context));
    let metrics = context.metrics.clone();
    service::Service {
        log: context.log.clone(),
        billing: billing::Billing::new(platform.objects.clone()),
        refusals: refusal::Refusals::new(platform.objects.clone()),
        config: context.config.clone(),
        security: context.security.clone(),
        status: Arc::new(move || {
            let context = Arc::clone(&for_status);
            async move { status(&context).await }.boxed()
        }),
        daemon_versions: Arc::new(move || {
            let context = Arc::clone(&for_versions);
            async move { heartbeat::daemon_versions(&context) }.boxed()
        }),
        on_denied: Arc::new(move |call| metrics.record_operator_refused(call)),
        refresh: Arc::new(move || {
            refresh.request();
            async {}.boxed()
        }),
    }
}

/// Builds the operator API's server, with TLS if the settings name a certificate.
///
/// # Errors
///
/// Fails if the certificate or its key can't be read or used.
pub fn server(security: &settings::Security) -> Result<transport::Server, error::StartError> {
    let server = transport::Server::builder();
    let (Some(certificate), Some(key)) = (&security.operator_certificate, &security.operator_key)
    else {
        return Ok(server);
    };
    let read = |path: &String| fs::read(path).context(error::FileSnafu { path });
    let identity = transport::Identity::from_pem(read(certificate)?, read(key)?);
    let config = transport::ServerTlsConfig::new().identity(identity);
    server.tls_config(config).map_err(|source| error::StartError::Certificate {
        path: certificate.clone(),
        detail: source.to_string(),
    })
}

/// Serves operators' calls until the listener fails.
///
/// # Errors
///
/// Returns the listener's error.
pub async fn serve(
    listener: std::net::TcpListener,
    mut server: transport::Server,
    service: service::Service,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let incoming = transport::server::TcpIncoming::from(listener);
    let served = server.add_service(OperatorServer::new(service)).serve_with_incoming(incoming);
    served.await.map_err(std::io::Error::other)
}

async fn status(context: &context::Context) -> StatusReply {
    let limiters = context.router.status().await;
    let config = context.config.get();
    let views = context.views.get();
    let declared = &config.declared;
    let zones = declared.zones.iter().map(|(name, zone)| {
        let view = views.zones.get(name).cloned().unwrap_or_default();
        ZoneStatus {
            zone: name.to_string(),
            in_service: zone.state == declared::AdminState::In,
            view: view.number.0,
            vms: view.members.iter().map(|member| member.vm.to_string()).collect(),
        }
    });
    let endpoints = declared.endpoints.iter().map(|(name, endpoint)| {
        let view = views.zones.get(&endpoint.zone);
        let owner = view.and_then(|view| owner::owner(view, name));
        endpoint_status(name, endpoint, owner.map(|owner| &owner.vm), &limiters)
    });
    StatusReply {
        vm: context.location.vm.to_string(),
        zone: context.location.zone.to_string(),
        ready: context.lifecycle.is_ready(),
        version: config.version.0,
        zones: zones.collect(),
        endpoints: endpoints.collect(),
        rollouts: declared.rollouts.iter().map(|(n, r)| rollout_status(n, r)).collect(),
        versions: declared.versions.iter().map(|(n, v)| version_status(n, v)).collect(),
    }
}

fn endpoint_status(
    name: &id::EndpointId,
    endpoint: &declared::Endpoint,
    owner: Option<&id::VmId>,
    limiters: &[router::LimiterStatus],
) -> EndpointStatus {
    let limiter = limiters.iter().find(|limiter| limiter.endpoint == *name);
    EndpointStatus {
        endpoint: name.to_string(),
        zone: endpoint.zone.to_string(),
        in_service: endpoint.state == declared::AdminState::In,
        owner: owner.map(ToString::to_string).unwrap_or_default(),
        running: limiter.map(|limiter| limiter.running),
        limit: limiter.map(|limiter| limiter.limit),
    }
}

fn rollout_status(name: &id::RolloutId, rollout: &declared::Rollout) -> RolloutStatus {
    RolloutStatus {
        rollout: name.to_string(),
        from_version: rollout.from.to_string(),
        to_version: rollout.to.to_string(),
        percent: rollout.percent().into(),
        state: rollout.state.to_string(),
        reason: rollout.reason.clone().unwrap_or_default(),
    }
}

fn version_status(name: &id::VersionRef, version: &declared::Version) -> VersionStatus {
    VersionStatus {
        version: name.to_string(),
        state: format!("{:?}", version.state).to_lowercase(),
    }
}
