//! A service on an in-memory platform, and calls to it.

use std::sync::Arc;

use futures::FutureExt;
use ibishill_config::{in_force, security, settings};
use ibishill_operator::generated::operator_server::Operator;
use ibishill_operator::{generated, service};
use ibishill_standin::memory;
use ibishill_state::{billing, log, refusal};
use tonic::{Request, Status};

/// Two zones and two versions of one model.
pub(crate) const DOCUMENT: &str = "
zones: {recife: {region: nordeste}, natal: {region: nordeste}}
versions:
  assistant@v1: {prompt-price: 100, output-price: 400, quality: 0.9}
  assistant@v2: {prompt-price: 100, output-price: 400, quality: 0.9, state: candidate}
endpoints:
  a: {zone: recife, address: '127.0.0.1:1', versions: [assistant@v1], slots: 1}
  b: {zone: natal, address: '127.0.0.1:2', versions: [assistant@v2], slots: 1}
";

pub(crate) fn service(security: settings::Security) -> service::Service {
    let platform = memory::Memory::new(1).platform();
    service::Service {
        log: log::Log::new(&platform),
        billing: billing::Billing::new(platform.objects.clone()),
        refusals: refusal::Refusals::new(platform.objects),
        config: in_force::Cell::default(),
        security: security::Cell::new(security),
        status: Arc::new(|| async { generated::StatusReply::default() }.boxed()),
        daemon_versions: Arc::new(|| async { Vec::new() }.boxed()),
        on_denied: Arc::new(|_| {}),
        refresh: Arc::new(|| async {}.boxed()),
    }
}

pub(crate) fn insecure_service() -> service::Service {
    service(settings::Security { insecure: true, ..settings::Security::default() })
}

pub(crate) fn order(id: &str, expected: Option<u64>) -> Option<generated::Order> {
    Some(generated::Order { change_id: id.into(), expected_version: expected })
}

/// A call that changes the configuration, without its change id and expected version.
#[derive(Debug, Clone)]
pub(crate) enum Change {
    Apply(&'static str, bool),
    Rollout(generated::RolloutAction, &'static str),
    Withdraw(&'static str),
    Zone(&'static str, bool),
    Endpoint(&'static str, bool),
}

pub(crate) async fn send(
    service: &service::Service,
    order: Option<generated::Order>,
    change: &Change,
) -> Result<generated::ApplyReply, Status> {
    let reply = match change.clone() {
        Change::Apply(document, partial) => {
            let document = document.to_owned();
            let message = generated::ApplyRequest { order, document, partial };
            service.apply(Request::new(message)).await
        }
        Change::Rollout(action, name) => {
            let message = generated::RolloutRequest {
                order,
                rollout: name.into(),
                action: action.into(),
                from_version: "assistant@v1".into(),
                to_version: "assistant@v2".into(),
                stages: vec![10, 100],
                reason: "tried".into(),
            };
            service.rollout(Request::new(message)).await
        }
        Change::Withdraw(version) => {
            let message = generated::WithdrawRequest { order, version: version.into() };
            service.withdraw(Request::new(message)).await
        }
        Change::Zone(zone, in_service) => {
            let message = generated::ZoneRequest { order, zone: zone.into(), in_service };
            service.zone(Request::new(message)).await
        }
        Change::Endpoint(name, in_service) => {
            let message = generated::EndpointRequest { order, endpoint: name.into(), in_service };
            service.endpoint(Request::new(message)).await
        }
    };
    reply.map(tonic::Response::into_inner)
}
