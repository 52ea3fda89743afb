//! Membership views: the daemons of each zone under a strictly increasing number. Ownership of
//! endpoints follows from the view.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// Number of a zone's view; also the fencing number of orders to engines.
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

/// A daemon that is a member of a view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM that runs the daemon.
    pub vm: id::VmId,
    /// Address of the daemon for other daemons.
    pub peers: SocketAddr,
}

/// Membership view of one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The view's number.
    pub number: ViewNumber,
    /// Members, ordered by name.
    pub members: Vec<Member>,
}

impl View {
    /// The member that runs on `vm`, if any.
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
