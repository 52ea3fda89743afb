//! Encoding of messages between relays: postcard, compressed if large.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size from which on a message is compressed, in bytes.
const COMPRESS_MIN: usize = 2 * 1_024;

/// Maximum size of a decoded message, in bytes.
const SIZE_MAX: usize = 8 * 1_024 * 1_024;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Encodes a message.
///
/// # Errors
///
/// Describes what could not be serialized.
pub(crate) fn encode<T>(message: &T) -> Result<Bytes, String>
where
    T: Serialize,
{
    let encoded = postcard::to_stdvec(message).map_err(|error| error.to_string())?;
    let (kind, content) = if encoded.len() < COMPRESS_MIN {
        (PLAIN, encoded)
    } else {
        (COMPRESSED, lz4_flex::compress_prepend_size(&encoded))
    };
    let mut message = Vec::with_capacity(content.len() + 1);
    message.push(kind);
    message.extend_from_slice(&content);
    Ok(Bytes::from(message))
}

/// Decodes a message.
///
/// # Errors
///
/// Describes what is malformed.
pub(crate) fn decode<T>(message: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let malformed = |error: postcard::Error| error.to_string();
    match message.split_first() {
        Some((&PLAIN, content)) => postcard::from_bytes(content).map_err(malformed),
        Some((&COMPRESSED, content)) => {
            let (size, _) = lz4_flex::block::uncompressed_size(content)
                .map_err(|error| format!("compressed message: {error}"))?;
            if size > SIZE_MAX {
                return Err(format!(
                    "compressed message: {size} bytes, at most {SIZE_MAX} allowed"
                ));
            }
            let decoded = lz4_flex::decompress_size_prepended(content)
                .map_err(|error| format!("compressed message: {error}"))?;
            postcard::from_bytes(&decoded).map_err(malformed)
        }
        Some((kind, _)) => Err(format!("unknown kind of message {kind}")),
        None => Err("empty message".into()),
    }
}
