//! The client that the operators' commands use.

use std::net::IpAddr;
use std::time::Duration;

use ibishill_core::secret;
use snafu::Snafu;
use tonic::metadata;
use tonic::transport;

use crate::generated;
use crate::generated::operator_client::OperatorClient;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Why an operator's call failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The daemon could not be reached.
    #[snafu(display("daemon {address} could not be reached: {detail}"))]
    Unreachable {
        /// The address.
        address: String,
        /// What was seen.
        detail: String,
    },
    /// The token can't be sent.
    #[snafu(display("the token has characters that a header can't carry"))]
    InvalidToken,
    /// The token would cross a network in the clear.
    #[snafu(display("a token is sent by TLS or on loopback only; use https and --ca"))]
    CleartextToken,
    /// The daemon refused.
    #[snafu(display("{}", answer(status)))]
    Status {
        /// The daemon's answer.
        status: Box<tonic::Status>,
    },
}

fn answer(status: &tonic::Status) -> String {
    if status.message().is_empty() {
        return status.code().to_string();
    }
    status.message().to_owned()
}

impl From<tonic::Status> for ClientError {
    fn from(status: tonic::Status) -> Self {
        Self::Status { status: Box::new(status) }
    }
}

/// What a daemon's certificate is checked against.
#[derive(Debug, Clone)]
pub struct Tls {
    /// PEM text of the certificate authority.
    pub ca_certificate: String,
    /// Name in the certificate, if it is not the address's host.
    pub server_name: Option<String>,
}

impl Tls {
    fn config(&self) -> transport::ClientTlsConfig {
        let authority = transport::Certificate::from_pem(&self.ca_certificate);
        let config = transport::ClientTlsConfig::new().ca_certificate(authority);
        match &self.server_name {
            Some(name) => config.domain_name(name),
            None => config,
        }
    }
}

fn is_loopback(uri: &tonic::codegen::http::Uri) -> bool {
    let host = uri.host().unwrap_or_default();
    let address: Option<IpAddr> = host.trim_matches(['[', ']']).parse().ok();
    host == "localhost" || address.is_some_and(|address| address.is_loopback())
}

// The transport's own text is short; its causes say what happened.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

/// A connection to one daemon.
#[derive(Debug, Clone)]
pub struct Client {
    inner: OperatorClient<transport::Channel>,
    token: Option<metadata::MetadataValue<metadata::Ascii>>,
}

impl Client {
    /// Connects to the daemon at `address`, such as `http://127.0.0.1:7102`.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer or the token can't be sent.
    pub async fn connect(
        address: &str,
        token: Option<&secret::Secret>,
    ) -> Result<Self, ClientError> {
        Self::connect_with(address, token, None).await
    }

    /// Connects to the daemon at `address`, by TLS if `trust` is given.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer, its certificate is not trusted, the token
    /// can't be sent, or would cross a network in the clear.
    pub async fn connect_with(
        address: &str,
        token: Option<&secret::Secret>,
        trust: Option<&Tls>,
    ) -> Result<Self, ClientError> {
        let unreachable =
            |detail: String| ClientError::Unreachable { address: address.to_owned(), detail };
        let mut endpoint = transport::Endpoint::from_shared(address.to_owned())
            .map_err(|error| unreachable(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        if let Some(trust) = trust {
            let config = trust.config();
            endpoint =
                endpoint.tls_config(config).map_err(|error| unreachable(error.to_string()))?;
        } else if token.is_some() && !is_loopback(endpoint.uri()) {
            return Err(ClientError::CleartextToken);
        }
        let channel = endpoint.connect().await.map_err(|error| unreachable(chain(&error)))?;
        let token = match token {
            None => None,
            Some(token) => {
                let text = format!("Bearer {}", token.expose());
                Some(text.parse().map_err(|_| ClientError::InvalidToken)?)
            }
        };
        Ok(Self { inner: OperatorClient::new(channel), token })
    }

    fn request<T>(&self, message: T) -> tonic::Request<T> {
        let mut request = tonic::Request::new(message);
        if let Some(token) = &self.token {
            request.metadata_mut().insert("authorization", token.clone());
        }
        request
    }
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident: $input:ident -> $output:ident;)*) => {
        impl Client {
            $(
                $(#[$doc])*
                ///
                /// # Errors
                ///
                /// Fails if the daemon refuses or does not answer.
                pub async fn $name(
                    &mut self,
                    message: generated::$input,
                ) -> Result<generated::$output, ClientError> {
                    let request = self.request(message);
                    Ok(self.inner.$name(request).await?.into_inner())
                }
            )*
        }
    };
}

calls! {
    /// Changes declarations.
    apply: ApplyRequest -> ApplyReply;
    /// Shows what `apply` would change.
    diff: DiffRequest -> DiffReply;
    /// Steers a roll-out.
    rollout: RolloutRequest -> ApplyReply;
    /// Withdraws a version.
    withdraw: WithdrawRequest -> ApplyReply;
    /// Takes an availability zone out or brings it back.
    zone: ZoneRequest -> ApplyReply;
    /// Takes an endpoint out or brings it back.
    endpoint: EndpointRequest -> ApplyReply;
    /// Shows what the daemon knows.
    status: StatusRequest -> StatusReply;
    /// Waits until a version is in force at every daemon.
    wait_in_force: WaitRequest -> WaitReply;
    /// Lists accepted changes.
    audit: AuditRequest -> AuditReply;
    /// Lists minutes with a refusal.
    refusals: RefusalsRequest -> RefusalsReply;
    /// Totals of billing.
    billing: BillingRequest -> BillingReply;
}
