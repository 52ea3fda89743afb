//! Settings of one daemon.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str;

use ibishill_core::{id, secret, time};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Settings of one daemon, read at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique among all VMs.
    pub vm: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Base URL of the platform's service, such as `http://127.0.0.1:7000`.
    pub platform: String,
    /// Credentials; a reload replaces them.
    #[serde(default)]
    pub security: Security,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and durations of the daemon's background tasks.
    #[serde(default)]
    pub periods: Periods,
}

/// Credentials of a daemon.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Security {
    /// Whether operators and peers need no credentials; allowed on loopback addresses only.
    pub insecure: bool,
    /// Operators' tokens.
    pub tokens: Vec<Token>,
    /// Keys of session tokens, shared by all daemons: the first one signs, all verify.
    pub session_keys: Vec<secret::Secret>,
    /// PEM file of the certificate authority that signs the daemons' certificates.
    pub authority: Option<String>,
    /// PEM file of this daemon's certificate.
    pub certificate: Option<String>,
    /// PEM file of this daemon's private key.
    pub private_key: Option<String>,
    /// PEM file of the certificate that is presented to operators' clients.
    pub operator_certificate: Option<String>,
    /// PEM file of the private key of `operator_certificate`.
    pub operator_key: Option<String>,
}

/// An operator's token and rights.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Token {
    /// Operator who holds the token.
    pub operator: id::OperatorId,
    /// SHA-256 hash of the token.
    pub hash: crate::key::KeyHash,
    /// Rights of the operator; all rights if not set.
    #[serde(default = "Right::all")]
    pub rights: BTreeSet<Right>,
}

/// Right to make one kind of operators' calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Right {
    /// Reads the status, differences, audit log, refusals and billing, and waits for versions.
    Read,
    /// Puts declarations in force.
    Apply,
    /// Starts, pauses, resumes, advances and halts roll-outs.
    Rollout,
    /// Withdraws model versions.
    Withdraw,
    /// Takes availability zones out of service and brings them back.
    Zone,
    /// Takes endpoints out of service and brings them back.
    Endpoint,
}

impl Right {
    /// All rights.
    pub const ALL: [Self; 6] =
        [Self::Read, Self::Apply, Self::Rollout, Self::Withdraw, Self::Zone, Self::Endpoint];

    /// Returns the set of all rights.
    pub fn all() -> BTreeSet<Self> {
        Self::ALL.into()
    }
}

impl fmt::Display for Right {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Apply => "apply",
            Self::Rollout => "rollout",
            Self::Withdraw => "withdraw",
            Self::Zone => "zone",
            Self::Endpoint => "endpoint",
        })
    }
}

impl str::FromStr for Right {
    type Err = RightError;

    fn from_str(text: &str) -> Result<Self, RightError> {
        let found = Self::ALL.into_iter().find(|right| right.to_string() == text);
        found.ok_or_else(|| RightError { text: text.to_owned() })
    }
}

/// Error returned when a text names no right.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a right"))]
pub struct RightError {
    /// Rejected text.
    pub text: String,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub body: u64,
    /// Maximum total size of a request's headers, in bytes.
    pub headers: u64,
    /// Maximum number of concurrent requests.
    pub streams: usize,
    /// Maximum time without data within a stream.
    pub idle: time::Millis,
    /// Default deadline of a request that sets none.
    pub deadline: time::Millis,
    /// Maximum deadline; a longer one of a caller is cut to it.
    pub longest: time::Millis,
    /// Maximum time for a caller to send a body.
    pub sending: time::Millis,
    /// Maximum size of an answer that is buffered in memory before it is forwarded, in bytes.
    pub answer: u64,
    /// Memory of the VM for the daemon, in bytes; bodies of callers occupy five sixteenths of it at most.
    pub memory: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 * 1024 * 1024,
            headers: 16 * 1024,
            streams: 4_096,
            idle: time::Millis::from_secs(30),
            deadline: time::Millis::from_secs(120),
            longest: time::Millis::from_secs(600),
            sending: time::Millis::from_secs(20),
            answer: 16 * 1024 * 1024,
            memory: 512 * 1024 * 1024,
        }
    }
}

/// Intervals and durations of a daemon's background tasks.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Periods {
    /// Mean interval between two reads of the newest configuration version.
    pub poll: time::Millis,
    /// Interval between two renewals of the lease.
    pub renew: time::Millis,
    /// Duration of the lease; must be longer than two renewal intervals.
    pub lease: time::Millis,
    /// Maximum delay before a billing record is written.
    pub billing: time::Millis,
    /// Interval between two evaluations of a roll-out.
    pub rollout: time::Millis,
    /// Delay at shutdown between failing the readiness check and refusing new connections.
    pub drain: time::Millis,
}

impl Default for Periods {
    fn default() -> Self {
        Self {
            poll: time::Millis(2_000),
            renew: time::Millis(4_000),
            lease: time::Millis(12_000),
            billing: time::Millis(2_000),
            rollout: time::Millis(5_000),
            drain: time::Millis(3_000),
        }
    }
}
