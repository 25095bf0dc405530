//! Message bodies in blocks of memory that are counted until each was sent on.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use anvilrack_core::HoldPurpose;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use tokio::time::Instant;

use anvilrack_limits::{MemoryError, MemoryHold};

/// Sizes of the first block and of the largest ones, in bytes.
///
/// A body of unknown length occupies at most twice its length.
const MIN_BLOCK_BYTES: usize = 1024;
const MAX_BLOCK_BYTES: usize = 128 * 1024;

/// A message body.
///
/// Clones share its memory. As a response or request body it releases each block once that was sent.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    blocks: VecDeque<Bytes>,
    length: usize,
    hold: Option<Arc<MemoryHold>>,
}

/// A block of memory, which is released when it is dropped.
struct HeldBlock {
    data: Vec<u8>,
    hold: Arc<MemoryHold>,
}

impl AsRef<[u8]> for HeldBlock {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for HeldBlock {
    fn drop(&mut self) {
        let bytes = self.data.capacity();
        self.data = Vec::new();
        self.hold.shrink(bytes);
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        if bytes.is_empty() {
            return Self::default();
        }
        Self {
            length: bytes.len(),
            blocks: VecDeque::from([bytes]),
            hold: None,
        }
    }
}

impl HeldBody {
    /// Returns the length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the parts of the body, in order.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.blocks.iter().map(|block| &**block)
    }

    /// Returns the body with `prefix` in front of it.
    #[must_use]
    pub fn with_prefix(mut self, prefix: Bytes) -> Self {
        self.length += prefix.len();
        self.blocks.push_front(prefix);
        self
    }

    /// Removes the first `length` bytes and returns them in one piece; `None` if there are fewer.
    pub fn split_to(&mut self, length: usize) -> Option<Bytes> {
        if length > self.length {
            return None;
        }
        self.length -= length;
        let mut joined = BytesMut::new();
        while let Some(mut block) = self.blocks.pop_front() {
            let missing = length - joined.len();
            if block.len() > missing {
                let first = block.split_to(missing);
                self.blocks.push_front(block);
                block = first;
            }
            if joined.is_empty() && block.len() == length {
                return Some(block);
            }
            joined.extend_from_slice(&block);
            if joined.len() == length {
                break;
            }
        }
        Some(joined.freeze())
    }

    /// Returns the body in one piece; one of several blocks is copied.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        let length = self.length;
        self.split_to(length).unwrap_or_default()
    }

    /// Changes what the memory is held for.
    pub fn set_purpose(&self, purpose: HoldPurpose) {
        if let Some(hold) = &self.hold {
            hold.set_purpose(purpose);
        }
    }

    /// Marks the body as a response that is being sent to its caller; `owner` is notified if it has to give way.
    pub fn set_delivering(&self, owner: Arc<Notify>) {
        if let Some(hold) = &self.hold {
            hold.notify_owner(owner);
            hold.set_purpose(HoldPurpose::Delivering);
        }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.length -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// A message body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    hold: Arc<MemoryHold>,
    blocks: VecDeque<Bytes>,
    block: Vec<u8>,
    length: usize,
    /// Announced length; `None` if it is not known.
    announced: Option<usize>,
}

impl BodyBuffer {
    /// Creates an empty buffer in the memory of `hold`.
    #[must_use]
    pub fn new(hold: Arc<MemoryHold>, announced: Option<u64>) -> Self {
        Self {
            hold,
            blocks: VecDeque::new(),
            block: Vec::new(),
            length: 0,
            announced: announced.and_then(|bytes| usize::try_from(bytes).ok()),
        }
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn received(&self) -> usize {
        self.length
    }

    /// Returns the memory in which the body is received.
    #[must_use]
    pub fn hold(&self) -> &Arc<MemoryHold> {
        &self.hold
    }

    /// Adds bytes; waits for memory until `until`.
    ///
    /// # Errors
    ///
    /// A [`MemoryError`] if there is no memory.
    pub async fn write(&mut self, mut data: &[u8], until: Instant) -> Result<(), MemoryError> {
        while !data.is_empty() {
            let free = self.block.capacity() - self.block.len();
            if free == 0 {
                let bytes = self.next_block_bytes(data.len());
                self.hold.grow(bytes, until).await?;
                self.finish_block();
                self.block = Vec::with_capacity(bytes);
                continue;
            }
            let (now, later) = data.split_at(free.min(data.len()));
            self.block.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        self.hold.on_received(self.length);
        Ok(())
    }

    /// Returns the body.
    #[must_use]
    pub fn finish(mut self) -> HeldBody {
        self.finish_block();
        HeldBody {
            blocks: std::mem::take(&mut self.blocks),
            length: self.length,
            hold: Some(self.hold.clone()),
        }
    }

    fn next_block_bytes(&self, needed: usize) -> usize {
        let doubling = self.length.max(needed);
        let bytes = doubling.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        let announced_rest = self
            .announced
            .map(|length| length - self.length.min(length));
        match announced_rest {
            Some(rest) if rest >= needed => bytes.min(rest),
            _ => bytes,
        }
    }

    fn finish_block(&mut self) {
        let data = std::mem::take(&mut self.block);
        if data.capacity() > 0 {
            let hold = self.hold.clone();
            self.blocks
                .push_back(Bytes::from_owner(HeldBlock { data, hold }));
        }
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        // Releases the block that is being filled.
        self.finish_block();
    }
}
