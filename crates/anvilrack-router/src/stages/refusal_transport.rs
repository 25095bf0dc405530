//! Connections to the target that are not used again once it has refused a request on them.

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

use super::deliver::is_refusal;

/// Maximum number of headers of a response; one with more is not examined, and its connection not used again.
const MAX_HEADERS: usize = 128;

/// Wraps the connections of another connector in [`RefusalTransport`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalConnector;

impl<In: Transport> Connector<In> for RefusalConnector {
    type Out = RefusalTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let is_reusable = true;
        Ok(chained.map(|inner| RefusalTransport { inner, is_reusable }))
    }
}

/// A connection that counts as closed after the target has refused a request on it.
///
/// A faulty target may send a refusal again later. The responses of targets name no request, so on this connection the
/// copy would count as the refusal of another request, which the target may have run.
#[derive(Debug)]
pub struct RefusalTransport<T> {
    inner: T,
    is_reusable: bool,
}

impl<T: Transport> Transport for RefusalTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let has_input = self.inner.await_input(timeout)?;
        self.is_reusable &= may_reuse_after(self.inner.buffers().input());
        Ok(has_input)
    }

    fn is_open(&mut self) -> bool {
        self.is_reusable && self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

/// Returns false if the received bytes begin with the head of a refusal.
///
/// The client consumes no part of a head before all of it has arrived. Parts of a body that look like a refusal only
/// cost a new connection.
fn may_reuse_after(input: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(input) {
        Ok(httparse::Status::Complete(_)) => !response
            .headers
            .iter()
            .any(|header| is_refusal(header.name, header.value)),
        Err(httparse::Error::TooManyHeaders) => false,
        // The rest of the head follows, or this is a part of a body.
        Ok(httparse::Status::Partial) | Err(_) => true,
    }
}
