//! Connections to the target that check the owner's lease immediately before a request is written.

use std::cell::Cell;

use anvilrack_core::BootTime;
use thiserror::Error;
use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

use crate::boot_clock;

thread_local! {
    /// End of the lease under which this thread sends its next request; `None` once a part of it is written.
    static LEASE_END: Cell<Option<BootTime>> = const { Cell::new(None) };
}

/// The lease ended before any part of the request was written.
#[derive(Clone, Copy, Debug, Error)]
#[error("the lease has ended before the request was written")]
pub struct LeaseEnded;

/// Sets the end of the lease under which this thread sends its next request.
pub fn set_lease_end(lease_end: BootTime) {
    LEASE_END.set(Some(lease_end));
}

/// Wraps the connections of another connector in [`LeaseTransport`].
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseConnector;

impl<In: Transport> Connector<In> for LeaseConnector {
    type Out = LeaseTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| LeaseTransport { inner }))
    }
}

/// A connection on which a request is written only while the lease is valid.
#[derive(Debug)]
pub struct LeaseTransport<T> {
    inner: T,
}

impl<T: Transport> Transport for LeaseTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let lease_end = LEASE_END.take();
        if lease_end.is_some_and(|lease_end| boot_clock::now() >= lease_end) {
            return Err(Error::Other(Box::new(LeaseEnded)));
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
