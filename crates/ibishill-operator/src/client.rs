//! The client that the operators' commands use.

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
    Token,
    /// The daemon refused.
    #[snafu(display("{}: {}", status.code(), status.message()))]
    Refused {
        /// The daemon's answer.
        status: Box<tonic::Status>,
    },
}

impl From<tonic::Status> for ClientError {
    fn from(status: tonic::Status) -> Self {
        Self::Refused { status: Box::new(status) }
    }
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
        let unreachable =
            |detail: String| ClientError::Unreachable { address: address.to_owned(), detail };
        let endpoint = transport::Endpoint::from_shared(address.to_owned())
            .map_err(|error| unreachable(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        let channel = endpoint.connect().await.map_err(|error| unreachable(error.to_string()))?;
        let token = match token {
            None => None,
            Some(token) => {
                let text = format!("Bearer {}", token.expose());
                Some(text.parse().map_err(|_| ClientError::Token)?)
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
