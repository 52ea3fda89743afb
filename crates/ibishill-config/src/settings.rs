//! Settings of one daemon.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str;

use ibishill_core::{id, secret, time};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What one daemon is told about itself.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique among all VMs.
    pub vm: id::VmId,
    /// The availability zone where the VM stands.
    pub zone: id::ZoneId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Base address of the platform's service, such as `http://127.0.0.1:7000`.
    pub platform: String,
    /// Credentials.
    #[serde(default)]
    pub security: Security,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// Periods of the daemon's duties.
    #[serde(default)]
    pub periods: Periods,
}

/// Credentials of a daemon.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Security {
    /// Allows operators and peers without credentials, on loopback only.
    pub insecure: bool,
    /// Tokens of operators.
    pub tokens: Vec<Token>,
    /// Key that signs session tokens, shared by all daemons.
    pub session_keys: Vec<secret::Secret>,
    /// PEM file of the certificate authority of the daemons.
    pub authority: Option<String>,
    /// PEM file of this daemon's certificate.
    pub certificate: Option<String>,
    /// PEM file of this daemon's private key.
    pub private_key: Option<String>,
    /// PEM file of the certificate that operators' clients see.
    pub operator_certificate: Option<String>,
    /// PEM file of the private key of `operator_certificate`.
    pub operator_key: Option<String>,
}

/// An operator's token and rights.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Token {
    /// The operator.
    pub operator: id::OperatorId,
    /// SHA-256 of the token.
    pub hash: crate::key::KeyHash,
    /// What the operator may do.
    #[serde(default = "Right::all")]
    pub rights: BTreeSet<Right>,
}

/// A kind of operators' calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Right {
    /// Reads: status, differences, audit, refusals, billing, waiting.
    Read,
    /// Puts declarations in force.
    Apply,
    /// Steers roll-outs.
    Rollout,
    /// Withdraws versions.
    Withdraw,
    /// Takes availability zones out and brings them back.
    Zone,
    /// Takes endpoints out and brings them back.
    Endpoint,
}

impl Right {
    /// Every right.
    pub const ALL: [Self; 6] =
        [Self::Read, Self::Apply, Self::Rollout, Self::Withdraw, Self::Zone, Self::Endpoint];

    /// The set of every right.
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

/// The text names no right.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is no right"))]
pub struct RightError {
    /// The text.
    pub text: String,
}

/// Limits towards callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body: u64,
    /// Largest sum of request headers, in bytes.
    pub headers: u64,
    /// Most requests that run at once.
    pub streams: usize,
    /// Longest silence within a stream.
    pub idle: time::Millis,
    /// Deadline of a request that names none.
    pub deadline: time::Millis,
    /// Longest deadline; a caller's longer one is cut to it.
    pub longest: time::Millis,
    /// Longest time that a caller may take to send a body.
    pub sending: time::Millis,
    /// Largest answer that is held in memory before it is passed on, in bytes.
    pub answer: u64,
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
        }
    }
}

/// Periods of a daemon's duties.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Periods {
    /// Mean time between two reads of the configuration's head.
    pub poll: time::Millis,
    /// Time between two renewals of the lease.
    pub renew: time::Millis,
    /// Validity of the lease.
    pub lease: time::Millis,
    /// Longest wait of a billing record before it is written.
    pub billing: time::Millis,
    /// Wait between failing readiness and refusing new connections.
    pub drain: time::Millis,
}

impl Default for Periods {
    fn default() -> Self {
        Self {
            poll: time::Millis(2_000),
            renew: time::Millis(2_000),
            lease: time::Millis(10_000),
            billing: time::Millis(2_000),
            drain: time::Millis(3_000),
        }
    }
}
