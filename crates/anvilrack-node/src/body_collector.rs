//! Reads message bodies whose size is not known beforehand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Until when a body is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDeadline {
    /// Time by which the body has to be complete, unless `stall` extends it.
    pub at: Instant,
    /// If set, the body may take longer as long as no two parts of it are further apart than this.
    pub stall: Option<Duration>,
}

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body was not complete in time, or stalled.
    #[error("timed out while the body was received")]
    Timeout,
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(Arc<str>),
    /// This body and others that are received at the same time are too long.
    #[error("bodies that are received at the same time are longer than {0} bytes together")]
    TooLong(usize),
}

/// Bounds the memory of all bodies that are received at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    held_bytes: AtomicUsize,
}

/// The part of a [`BodyBudget`] that one body uses, until it is dropped.
#[derive(Debug)]
struct BudgetShare<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget for bodies of `max_bytes` bytes together.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
        }
    }
}

impl BudgetShare<'_> {
    /// Adds bytes to the share.
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.bytes += bytes;
        let held_bytes = &self.budget.held_bytes;
        let held = held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if held > self.budget.max_bytes {
            return Err(BodyError::TooLong(self.budget.max_bytes));
        }
        Ok(())
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        let held_bytes = &self.budget.held_bytes;
        held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a complete body within the budget.
///
/// # Errors
///
/// A [`BodyError`] if the body is late or incomplete, or exceeds the budget.
pub async fn collect_body(
    mut body: Incoming,
    budget: &BodyBudget,
    deadline: BodyDeadline,
) -> Result<Bytes, BodyError> {
    let mut share = BudgetShare { budget, bytes: 0 };
    let mut collected = BytesMut::new();
    let mut until = deadline.at;
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Err(_) => return Err(BodyError::Timeout),
            Ok(None) => return Ok(collected.freeze()),
            Ok(Some(Err(error))) => return Err(BodyError::Broken(error.to_string().into())),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            share.grow(data.len())?;
            collected.extend_from_slice(&data);
        }
        if let Some(stall) = deadline.stall {
            until = until.max(Instant::now() + stall);
        }
    }
}
