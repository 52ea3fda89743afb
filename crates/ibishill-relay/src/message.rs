//! Framing of messages between relays: a byte for the encoding and whether it is compressed, then the content.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size from which on a message is compressed, in bytes.
const COMPRESS_MIN: usize = 2 * 1_024;

/// Maximum size of a decoded message, in bytes.
const SIZE_MAX: usize = 8 * 1_024 * 1_024;

/// First bytes of messages of one encoding.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Kinds {
    plain: u8,
    compressed: u8,
}

/// Content in a fixed layout.
pub(crate) const LAYOUT: Kinds = Kinds { plain: 0, compressed: 1 };

/// Content in numbered parts.
pub(crate) const PARTS: Kinds = Kinds { plain: 2, compressed: 3 };

/// Encodes a message in a fixed layout.
///
/// # Errors
///
/// Describes what could not be serialized.
pub(crate) fn encode<T>(message: &T) -> Result<Bytes, String>
where
    T: Serialize,
{
    frame(&LAYOUT, postcard::to_stdvec(message).map_err(|error| error.to_string())?)
}

/// Frames the content of a message; compresses it if it is large.
///
/// # Errors
///
/// Fails if the content is larger than a peer accepts.
pub(crate) fn frame(kinds: &Kinds, content: Vec<u8>) -> Result<Bytes, String> {
    if content.len() > SIZE_MAX {
        return Err(format!("message: {} bytes, at most {SIZE_MAX} allowed", content.len()));
    }
    let (kind, content) = if content.len() < COMPRESS_MIN {
        (kinds.plain, content)
    } else {
        (kinds.compressed, lz4_flex::compress_prepend_size(&content))
    };
    let mut message = Vec::with_capacity(content.len() + 1);
    message.push(kind);
    message.extend_from_slice(&content);
    Ok(Bytes::from(message))
}

/// Decodes a message in a fixed layout.
///
/// # Errors
///
/// Describes what is malformed.
pub(crate) fn decode<T>(message: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    match unframe(message)? {
        (LAYOUT, content) => postcard::from_bytes(&content).map_err(|error| error.to_string()),
        (kinds, _) => Err(format!("message of kind {}, a fixed layout is expected", kinds.plain)),
    }
}

/// Returns the encoding of a message and its content.
///
/// # Errors
///
/// Describes what is malformed.
pub(crate) fn unframe(message: &[u8]) -> Result<(Kinds, Bytes), String> {
    let (kind, content) = message.split_first().ok_or("empty message")?;
    let is_of = |kinds: &Kinds| [kinds.plain, kinds.compressed].contains(kind);
    let kinds = [LAYOUT, PARTS].into_iter().find(is_of);
    let kinds = kinds.ok_or_else(|| format!("unknown kind of message {kind}"))?;
    if *kind == kinds.plain {
        return Ok((kinds, Bytes::copy_from_slice(content)));
    }
    let fail = |error: String| format!("compressed message: {error}");
    let (size, _) = lz4_flex::block::uncompressed_size(content).map_err(|e| fail(e.to_string()))?;
    if size > SIZE_MAX {
        return Err(fail(format!("{size} bytes, at most {SIZE_MAX} allowed")));
    }
    let decoded =
        lz4_flex::decompress_size_prepended(content).map_err(|error| fail(error.to_string()))?;
    Ok((kinds, Bytes::from(decoded)))
}
