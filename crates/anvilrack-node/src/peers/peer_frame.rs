//! Framing of a message and the body that follows it.

use anvilrack_core::SiteVersion;
use anvilrack_wire::{WireError, decode, encode};
use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::held_body::HeldBody;

/// Size of the length prefix of the message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of packing or unpacking a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The bytes end before the message does.
    #[error("frame is truncated")]
    Short,
    /// The message cannot be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// A message between routers with what accompanies it.
#[derive(Clone, Debug)]
pub struct PeerFrame<M> {
    /// Version of the sender's site document; `None` if it has none.
    pub site: Option<SiteVersion>,
    /// The message.
    pub message: M,
    /// The body that follows the message.
    pub body: HeldBody,
}

/// Packs a message and its body into a frame that names the sender's site version.
///
/// # Errors
///
/// [`FrameError`] if the message cannot be encoded or is too long for the length prefix.
pub fn pack<M: Serialize>(
    site: Option<SiteVersion>,
    message: &M,
    body: HeldBody,
) -> Result<HeldBody, FrameError> {
    let message = encode(&(site, message))?;
    let length = u32::try_from(message.len()).map_err(|_| FrameError::Short)?;
    let mut prefix = BytesMut::with_capacity(LENGTH_BYTES + message.len());
    prefix.put_u32(length);
    prefix.put_slice(&message);
    Ok(body.with_prefix(prefix.freeze()))
}

/// Unpacks a frame.
///
/// # Errors
///
/// [`FrameError`] if the bytes are not a valid frame.
pub fn unpack<M: DeserializeOwned>(mut frame: HeldBody) -> Result<PeerFrame<M>, FrameError> {
    let mut length = frame.split_to(LENGTH_BYTES).ok_or(FrameError::Short)?;
    let length = length.get_u32() as usize;
    let message = frame.split_to(length).ok_or(FrameError::Short)?;
    let (site, message) = decode(&message)?;
    Ok(PeerFrame {
        site,
        message,
        body: frame,
    })
}
