//! Encodes and decodes messages.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the messages between routers; both peers must use the same version.
pub const WIRE_VERSION: u16 = 1;

/// Maximum size of a message that is decoded, without its version.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// The peer uses another message version.
    #[error("peer uses message version {found}, this router uses {WIRE_VERSION}")]
    Version {
        /// The version of the peer's message.
        found: u16,
    },
    /// The bytes are not a valid message.
    #[error("message cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

fn wire_config() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message, prefixed by [`WIRE_VERSION`].
///
/// # Errors
///
/// [`WireError::Encode`] if the message cannot be encoded.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, WireError> {
    let mut bytes = WIRE_VERSION.to_le_bytes().to_vec();
    bincode::serde::encode_into_std_write(message, &mut bytes, wire_config())?;
    Ok(bytes)
}

/// Decodes a message that [`encode`] produced.
///
/// # Errors
///
/// [`WireError::Version`] if the peer uses another message version, [`WireError::Decode`] if the
/// bytes are not a valid message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, WireError> {
    let (version, rest) = bytes.split_at_checked(2).unwrap_or((&[], bytes));
    let found = version.try_into().map_or(0, u16::from_le_bytes);
    if found != WIRE_VERSION {
        return Err(WireError::Version { found });
    }
    let (message, _) = bincode::serde::decode_from_slice(rest, wire_config())?;
    Ok(message)
}
