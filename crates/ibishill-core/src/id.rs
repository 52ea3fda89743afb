//! Identifiers, each as a type of its own so that the compiler rejects, for example, a zone
//! where a VM is expected.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Error returned when a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("a name may not be empty"))]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name may have at most {MAX_NAME_BYTES} bytes, this one has {len}"))]
    TooLong {
        /// Length of the text in bytes.
        len: usize,
    },
    /// The text contains a character that is not allowed in names.
    #[snafu(display(
        "the character {found:?} may not stand in a name; use letters, digits, '-', '_' and '.'"
    ))]
    Character {
        /// The first such character.
        found: char,
    },
    /// The text is not a version reference: it contains no `@`.
    #[snafu(display("{text:?} is not of the form model@version"))]
    NoVersion {
        /// Rejected text.
        text: String,
    },
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { len: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    )*};
}

names! {
    /// A workspace: one customer's requests, keys, limits and bills.
    WorkspaceId;
    /// A model, which has one or more versions.
    ModelId;
    /// A version of one model.
    VersionId;
    /// An availability zone.
    ZoneId;
    /// A region, which contains availability zones.
    RegionId;
    /// An endpoint: one engine or plain service that runs requests.
    EndpointId;
    /// A VM that runs a daemon.
    VmId;
    /// A service: a plain HTTP service beside the engines or, on the users' platform, any
    /// declared service.
    ServiceId;
    /// A declared route.
    RouteId;
    /// One request of a caller.
    RequestId;
    /// One change of the configuration; the operator's client chooses the id.
    ChangeId;
    /// A roll-out of a model version.
    RolloutId;
    /// An operator, identified by the credential.
    OperatorId;
    /// A caller's session.
    SessionId;
}

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Error returned when a text is not a valid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("an idempotency key has 1 to {MAX_KEY_BYTES} printable ASCII characters"))]
pub struct KeyError;

/// Key that a caller sends with every copy of the same request, so that it runs only once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let is_printable = text.bytes().all(|byte| (0x20..0x7f).contains(&byte));
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_printable {
            return Err(KeyError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> String {
        key.0
    }
}

/// Reference to one version of a model, written `model@version`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VersionRef {
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
}

impl fmt::Display for VersionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl str::FromStr for VersionRef {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let Some((model, version)) = text.split_once('@') else {
            return Err(NameError::NoVersion { text: text.to_owned() });
        };
        Ok(Self { model: model.parse()?, version: version.parse()? })
    }
}

impl TryFrom<String> for VersionRef {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<VersionRef> for String {
    fn from(version: VersionRef) -> String {
        version.to_string()
    }
}

/// What an endpoint can run: a model version or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A model version.
    Version(VersionRef),
    /// A plain service.
    Service(ServiceId),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => version.fmt(f),
            Self::Service(service) => service.fmt(f),
        }
    }
}
