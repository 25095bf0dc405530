//! Coding messages as bytes.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the messages between routers; both ends must have the same.
pub const WIRE_VERSION: u16 = 1;

/// Longest message that is read, in bytes.
const MESSAGE_LIMIT: usize = 32 * 1024 * 1024;

/// Why a message was not understood.
#[derive(Debug, Error)]
pub enum WireError {
    /// The other end speaks another version.
    #[error("peer speaks message version {found}, this router speaks {WIRE_VERSION}")]
    Version {
        /// What the peer speaks.
        found: u16,
    },
    /// The bytes are no message.
    #[error("message cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message cannot be coded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

fn wire_config() -> Configuration<LittleEndian, Varint, Limit<MESSAGE_LIMIT>> {
    bincode::config::standard().with_limit::<MESSAGE_LIMIT>()
}

/// Codes a message, with the version in front.
///
/// # Errors
///
/// [`WireError::Encode`] where the message cannot be coded.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, WireError> {
    let mut bytes = WIRE_VERSION.to_le_bytes().to_vec();
    bincode::serde::encode_into_std_write(message, &mut bytes, wire_config())?;
    Ok(bytes)
}

/// Reads a message back.
///
/// # Errors
///
/// [`WireError::Version`] where the peer speaks another version, [`WireError::Decode`] where the
/// bytes are no message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, WireError> {
    let (version, rest) = bytes.split_at_checked(2).unwrap_or((&[], bytes));
    let found = version.try_into().map_or(0, u16::from_le_bytes);
    if found != WIRE_VERSION {
        return Err(WireError::Version { found });
    }
    let (message, _) = bincode::serde::decode_from_slice(rest, wire_config())?;
    Ok(message)
}
