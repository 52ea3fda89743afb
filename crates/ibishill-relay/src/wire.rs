//! Messages between relays, as bytes. Builds of different commits run side by side while VMs are replaced, so a message
//! consists of numbered parts, each of which may be missing, unknown or unreadable without harm to the others.
//!
//! Builds up to 4ee781e send and read fixed layouts only; [`layout`] keeps them. docs/design/messages.md says
//! what may change.

mod envelope;
mod layout;

use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::id;
use ibishill_decide::{balance, canary, fair_share, peers};
use ibishill_state::{confirmation, transfer};
use prost::Message as _;

use crate::message;
use crate::told::{Announcement, News};
use envelope::Envelope;

/// Name of this build in its messages.
pub(crate) const BUILD: &str = concat!(env!("CARGO_PKG_VERSION"), "+parts.1");

/// How a message is encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Format {
    /// The layout that all builds read.
    Layout,
    /// Numbered parts.
    Parts,
}

/// Message of the gossip.
#[derive(Debug)]
pub(crate) struct Gossip {
    /// Address of the sender for its peers.
    pub(crate) address: SocketAddr,
    /// Build of the sender.
    pub(crate) build: String,
    pub(crate) members: Vec<peers::Member>,
    /// Number of daemons that the sender knows, including itself.
    pub(crate) known: usize,
    /// By table, the sender's version and its confirmation.
    pub(crate) versions: Vec<confirmation::Told>,
    /// Deltas that the receiver lacks, with the index of their table.
    pub(crate) deltas: Vec<(usize, transfer::Delta)>,
    pub(crate) canaries: Vec<canary::Snapshot>,
    pub(crate) configuration: Announcement,
    pub(crate) news: News,
}

/// Report of a relay's load.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    pub(crate) vm: id::VmId,
    /// By table, the sender's version and its confirmation.
    pub(crate) versions: Vec<confirmation::Told>,
    pub(crate) in_flight: Vec<balance::reports::InFlight>,
    pub(crate) configuration: Announcement,
    /// Whether the sender reaches no endpoint, although its peers do.
    pub(crate) is_isolated: bool,
    /// Requests per second that the sender gets from callers.
    pub(crate) demand: f32,
    /// Whether the sender reads datagrams that tell of single requests.
    pub(crate) hears_starts: bool,
    /// What the sender has measured of endpoints' speeds.
    pub(crate) speeds: Vec<balance::speed::Told>,
    pub(crate) news: News,
    /// Use of services that are short of capacity, by workspace.
    pub(crate) usage: Vec<fair_share::Told>,
    /// Whether the sender has just refused requests for want of capacity.
    pub(crate) is_refusing: bool,
}

/// A decoded message.
#[derive(Debug)]
pub(crate) struct Decoded<T> {
    pub(crate) message: T,
    pub(crate) format: Format,
    /// Parts that could not be read, and why.
    pub(crate) skipped: Vec<String>,
}

/// Encodes a message of the gossip.
///
/// # Errors
///
/// Describes what could not be serialized.
pub(crate) fn encode_gossip(gossip: &Gossip, format: Format) -> Result<Bytes, String> {
    match format {
        Format::Layout => message::frame(&message::LAYOUT, layout::encode_gossip(gossip)?),
        Format::Parts => {
            message::frame(&message::PARTS, Envelope::of_gossip(gossip)?.encode_to_vec())
        }
    }
}

/// Decodes a message of the gossip, of this or an earlier build.
///
/// # Errors
///
/// Describes what is malformed, if so much is that nothing of the message can be used.
pub(crate) fn decode_gossip(bytes: &[u8]) -> Result<Decoded<Gossip>, String> {
    let (kinds, content) = message::unframe(bytes)?;
    if kinds == message::LAYOUT {
        return layout::decode_gossip(&content);
    }
    let envelope = Envelope::decode(content).map_err(|error| error.to_string())?;
    let mut skipped = Vec::new();
    let message = envelope.into_gossip(&mut skipped)?;
    Ok(Decoded { message, format: Format::Parts, skipped })
}

/// Encodes a report without the byte for its kind.
///
/// # Errors
///
/// Describes what could not be serialized.
pub(crate) fn encode_report(report: &Report, format: Format) -> Result<Vec<u8>, String> {
    match format {
        Format::Layout => layout::encode_report(report),
        Format::Parts => Ok(Envelope::of_report(report)?.encode_to_vec()),
    }
}

/// Decodes a report of this build's format or of an earlier one, without the byte for its kind.
///
/// # Errors
///
/// Describes what is malformed, if so much is that nothing of the report can be used.
pub(crate) fn decode_report(bytes: &[u8], format: Format) -> Result<Decoded<Report>, String> {
    if format == Format::Layout {
        return layout::decode_report(bytes);
    }
    let envelope = Envelope::decode(bytes).map_err(|error| error.to_string())?;
    let mut skipped = Vec::new();
    let message = envelope.into_report(&mut skipped)?;
    Ok(Decoded { message, format: Format::Parts, skipped })
}

/// Decodes a report of a build whose datagrams have no byte for their kind.
///
/// # Errors
///
/// Describes what is malformed.
pub(crate) fn decode_unmarked_report(bytes: &[u8]) -> Result<Decoded<Report>, String> {
    layout::decode_unmarked_report(bytes)
}
