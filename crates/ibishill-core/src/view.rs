//! Who owns what: the daemons of each zone, under a number that only rises.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// Number of a zone's view; it is the fencing number of orders to engines.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

impl fmt::Display for ViewNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A daemon as others see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: id::VmId,
    /// Its address for other daemons.
    pub peers: SocketAddr,
}

/// The daemons of one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The view's number.
    pub number: ViewNumber,
    /// The daemons, in order of name.
    pub members: Vec<Member>,
}

impl View {
    /// The member on `vm`.
    pub fn member(&self, vm: &id::VmId) -> Option<&Member> {
        self.members.iter().find(|member| member.vm == *vm)
    }
}

/// The views of all zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Views {
    /// View by zone.
    pub zones: BTreeMap<id::ZoneId, View>,
}
