//! The client of the operator API, used by the command line.

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

/// Why a call to the operator API failed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection to the daemon could be established.
    #[snafu(display("daemon {address} could not be reached: {detail}"))]
    Unreachable {
        /// URL of the daemon.
        address: String,
        /// The transport error and its causes.
        detail: String,
    },
    /// The token is not a valid header value.
    #[snafu(display("the token contains characters that are not allowed in a header"))]
    InvalidToken,
    /// The token would be sent over a network without TLS.
    #[snafu(display("a token is sent by TLS or on loopback only; use https and --ca"))]
    CleartextToken,
    /// The call ended with a gRPC status other than `OK`.
    #[snafu(display("{}", status_text(status)))]
    Status {
        /// Status of the daemon, or of the transport if the connection failed.
        status: Box<tonic::Status>,
    },
}

fn status_text(status: &tonic::Status) -> String {
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

/// How a daemon's certificate is verified.
#[derive(Debug, Clone)]
pub struct Tls {
    /// Certificate of the certificate authority, in PEM format.
    pub ca_certificate: String,
    /// Name in the daemon's certificate; `None` means the host of the URL.
    pub server_name: Option<String>,
}

impl Tls {
    fn config(&self) -> transport::ClientTlsConfig {
        let ca_certificate = transport::Certificate::from_pem(&self.ca_certificate);
        let config = transport::ClientTlsConfig::new().ca_certificate(ca_certificate);
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

// `transport::Error` displays only a generic text; the reason is in its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

/// A connection to the operator API of one daemon.
#[derive(Debug, Clone)]
pub struct Client {
    inner: OperatorClient<transport::Channel>,
    token: Option<metadata::MetadataValue<metadata::Ascii>>,
}

impl Client {
    /// Connects to the daemon at the URL `address`, such as `http://127.0.0.1:7102`, without
    /// TLS.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established, the token is not a valid header value, or
    /// it would be sent to an address other than loopback.
    pub async fn connect(
        address: &str,
        token: Option<&secret::Secret>,
    ) -> Result<Self, ClientError> {
        Self::connect_with(address, token, None).await
    }

    /// Connects to the daemon at the URL `address`, over TLS if `tls` is given.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established, the certificate is not trusted, the token
    /// is not a valid header value, or it would be sent over a network without TLS.
    pub async fn connect_with(
        address: &str,
        token: Option<&secret::Secret>,
        tls: Option<&Tls>,
    ) -> Result<Self, ClientError> {
        let unreachable =
            |detail: String| ClientError::Unreachable { address: address.to_owned(), detail };
        let mut endpoint = transport::Endpoint::from_shared(address.to_owned())
            .map_err(|error| unreachable(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        if let Some(tls) = tls {
            let config = tls.config();
            endpoint =
                endpoint.tls_config(config).map_err(|error| unreachable(error.to_string()))?;
        } else if token.is_some() && !is_loopback(endpoint.uri()) {
            return Err(ClientError::CleartextToken);
        }
        let channel = endpoint.connect().await.map_err(|error| unreachable(error_chain(&error)))?;
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

macro_rules! rpc_methods {
    ($($(#[$doc:meta])* $name:ident: $input:ident -> $output:ident;)*) => {
        impl Client {
            $(
                $(#[$doc])*
                ///
                /// # Errors
                ///
                /// Fails if the daemon refuses the call or does not answer within the call timeout.
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

rpc_methods! {
    /// Applies a document of declarations.
    apply: ApplyRequest -> ApplyReply;
    /// Returns the steps that `apply` would take.
    diff: DiffRequest -> DiffReply;
    /// Starts, pauses, resumes, advances or halts a roll-out.
    rollout: RolloutRequest -> ApplyReply;
    /// Withdraws a version and halts the roll-outs to it.
    withdraw: WithdrawRequest -> ApplyReply;
    /// Takes an availability zone out of service or puts it back.
    zone: ZoneRequest -> ApplyReply;
    /// Takes an endpoint out of service or puts it back.
    endpoint: EndpointRequest -> ApplyReply;
    /// Returns the state that the daemon sees.
    status: StatusRequest -> StatusReply;
    /// Waits until a version is in force at every daemon or the timeout ends.
    wait_in_force: WaitRequest -> WaitReply;
    /// Returns a page of committed changes, oldest first.
    audit: AuditRequest -> AuditReply;
    /// Returns counts of refused requests by minute.
    refusals: RefusalsRequest -> RefusalsReply;
    /// Returns billing totals by workspace and target.
    billing: BillingRequest -> BillingReply;
}
