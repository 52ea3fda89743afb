//! Datagrams between relays: a byte for the kind, then a payload in postcard or, of load reports, as
//! in [`crate::wire`]. A kind's payload never changes; another one gets another kind.

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
    /// A load report in numbered parts.
    Parts,
    /// What the sender has in flight at an endpoint to which it has just sent a request.
    Start,
}

/// Number of [`Kind::Parts`]; none that begins a datagram of a build without kinds, which begins with the
/// length of a name.
const PARTS: u8 = 0xff;

/// Number of [`Kind::Start`].
const START: u8 = 0xfe;

impl Kind {
    const fn number(self) -> u8 {
        match self {
            Self::Report => 0,
            Self::Question => 1,
            Self::Answer => 2,
            Self::Parts => PARTS,
            Self::Start => START,
        }
    }

    const ALL: [Self; 5] = [Self::Report, Self::Question, Self::Answer, Self::Parts, Self::Start];
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
    postcard::to_extend(payload, vec![kind.number()])
}

/// Puts the byte for the kind before an encoded payload.
pub(crate) fn mark(kind: Kind, mut payload: Vec<u8>) -> Vec<u8> {
    payload.insert(0, kind.number());
    payload
}

/// Splits a datagram into its kind and its payload; none if the kind is unknown.
pub(crate) fn split(bytes: &[u8]) -> Option<(Kind, &[u8])> {
    let (kind, payload) = bytes.split_first()?;
    let kind = Kind::ALL.into_iter().find(|found| found.number() == *kind)?;
    Some((kind, payload))
}
