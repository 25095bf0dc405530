//! A message and the body that follows it.

use anvilrack_wire::{WireError, decode, encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes that hold the length of the message.
const LENGTH_BYTES: usize = 4;

/// Bytes that are no frame.
#[derive(Debug, Error)]
pub enum FrameFault {
    /// They end before the message does.
    #[error("frame ends early")]
    Short,
    /// The message is not understood.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Codes a message and its body.
///
/// # Errors
///
/// [`FrameFault`] where the message cannot be coded.
pub fn pack<M: Serialize>(message: &M, body: &[u8]) -> Result<Bytes, FrameFault> {
    let message = encode(message)?;
    let length = u32::try_from(message.len()).map_err(|_| FrameFault::Short)?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + message.len() + body.len());
    frame.put_u32(length);
    frame.put_slice(&message);
    frame.put_slice(body);
    Ok(frame.freeze())
}

/// Reads a message and its body.
///
/// # Errors
///
/// [`FrameFault`] where the bytes are no frame.
pub fn unpack<M: DeserializeOwned>(mut frame: Bytes) -> Result<(M, Bytes), FrameFault> {
    if frame.len() < LENGTH_BYTES {
        return Err(FrameFault::Short);
    }
    let length = frame.get_u32() as usize;
    if frame.len() < length {
        return Err(FrameFault::Short);
    }
    let message = frame.split_to(length);
    Ok((decode(&message)?, frame))
}
