//! Connections to the target on which a reset does not complete a response.

use std::io::{self, ErrorKind};

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

/// Wraps the connections of another connector in [`ResetTransport`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ResetConnector;

impl<In: Transport> Connector<In> for ResetConnector {
    type Out = ResetTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| ResetTransport { inner }))
    }
}

/// A connection whose reset is an error in every state.
///
/// The client takes the reset of a connection for its end, and a response without a length for complete then.
#[derive(Debug)]
pub struct ResetTransport<T> {
    inner: T,
}

impl<T: Transport> Transport for ResetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner
            .await_input(timeout)
            .map_err(|error| match error {
                Error::Io(error) if is_reset(error.kind()) => io::Error::other(error).into(),
                error => error,
            })
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

/// Returns whether the client would take an error for the end of the connection.
fn is_reset(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::UnexpectedEof
    )
}
