//! Datagrams between relays: a byte for the kind, then a payload in postcard.

use serde::Serialize;

/// Maximum size of a datagram, in bytes; it fits into one packet.
pub(crate) const SIZE_MAX: usize = 1_400;

/// What a datagram carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A load report.
    Report,
    /// Endpoints that don't answer the sender.
    Question,
    /// Which of them have answered the relay that was asked.
    Answer,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Report, Self::Question, Self::Answer];
}

/// Encodes a datagram.
///
/// # Errors
///
/// Describes what could not be serialized.
pub(crate) fn encode<T>(kind: Kind, payload: &T) -> Result<Vec<u8>, postcard::Error>
where
    T: Serialize,
{
    postcard::to_extend(payload, vec![kind as u8])
}

/// Splits a datagram into its kind and its payload; none if the kind is unknown.
pub(crate) fn split(bytes: &[u8]) -> Option<(Kind, &[u8])> {
    let (kind, payload) = bytes.split_first()?;
    Some((*Kind::ALL.get(usize::from(*kind))?, payload))
}
