//! Last stage on the target side: sends the request to the target and reads the response.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use anvilrack_core::{
    BootTime, FencingToken, RefusalReason, RequestVerdict, ShardId, TargetAnswer, UncertainReason,
};
use anvilrack_wire::ForwardRequest;
use ureq::Agent;
use ureq::http::{Request, Response};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector, TcpConnector};

use super::RETRY_SOON;
use super::lease_transport::{LeaseConnector, LeaseEnded, set_lease_end};
use super::refusal_transport::RefusalConnector;
use super::reset_transport::ResetConnector;
use crate::boot_clock;

/// Timeout for opening a connection to the target, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of checks whether a target that broke off a connection has exited.
const EXIT_CHECKS: usize = 5;

/// Time between two such checks.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a response body, in bytes; a longer one makes the request uncertain.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// HTTP client for the target, with a pool of idle connections.
///
/// Uses `ureq` instead of `attohttpc`, the usual HTTP client of the organisation: `attohttpc` has
/// no connection pool, and opening a connection costs about 1 ms.
pub struct TargetClient {
    agent: Agent,
}

/// Address, fence and deadline that a request is sent to the target with.
///
/// The fence consists of the shard, the fencing token and the end of the lease, and is sent in the
/// header `Anvilrack-Fence`.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryParameters {
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Shard of the request's key; part of the fence.
    pub shard: ShardId,
    /// Fencing token of the shard's current grant; part of the fence.
    pub token: FencingToken,
    /// Time at which the owner's lease ends; part of the fence.
    pub lease_until: BootTime,
    /// Deadline of the request.
    pub deadline: BootTime,
}

impl TargetClient {
    /// Creates a client that keeps at most `connections` idle connections open.
    #[must_use]
    pub fn new(connections: usize) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .allow_non_standard_methods(true)
            .build();
        let connector = TcpConnector::default().chain(LeaseConnector);
        let connector = connector.chain(RefusalConnector);
        let connector = connector.chain(ResetConnector);
        Self {
            agent: Agent::with_parts(config, connector, DefaultResolver::default()),
        }
    }
}

/// Sends a request to the target and returns the verdict.
///
/// The lease is checked again immediately before the request is written to the connection. It can still
/// expire between this check and the write. A target that checks fences closes this gap: the fence contains
/// the end of the lease, on the clock that router and target share.
#[must_use]
pub fn process(
    client: &TargetClient,
    request: &ForwardRequest,
    parameters: &DeliveryParameters,
) -> RequestVerdict {
    let now = boot_clock::now();
    if now >= parameters.lease_until {
        return RequestVerdict::NotRun(RefusalReason::LeaseEnded, RETRY_SOON);
    }
    let remaining = parameters.deadline.saturating_sub(now);
    if remaining.is_zero() {
        return RequestVerdict::NotRun(RefusalReason::DeadlineTooShort, RETRY_SOON);
    }
    let Some(message) = build_message(request, parameters, remaining) else {
        return RequestVerdict::NotRun(RefusalReason::BadRequest, RETRY_SOON);
    };
    let configured = client
        .agent
        .configure_request(message)
        .timeout_global(Some(remaining))
        .build();
    set_lease_end(parameters.lease_until);
    match client.agent.run(configured) {
        Ok(response) => read_response(response),
        Err(error) => verdict_of(&error),
    }
}

/// Returns `true` if no process listens on the target's address any more.
///
/// An exiting process closes its sockets one after the other, so the listener can outlive the
/// broken connection for a moment; therefore the address is checked several times.
#[must_use]
pub fn has_exited(address: SocketAddr) -> bool {
    (0..EXIT_CHECKS).any(|check| {
        if check > 0 {
            thread::sleep(EXIT_CHECK_INTERVAL);
        }
        let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
        connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    })
}

fn build_message(
    request: &ForwardRequest,
    parameters: &DeliveryParameters,
    remaining: Duration,
) -> Option<Request<Vec<u8>>> {
    let lease_end_ms = parameters.lease_until.as_millis();
    let fence = format!("{};{};{lease_end_ms}", parameters.shard, parameters.token);
    let mut message = Request::builder()
        .method(&*request.method)
        .uri(format!("http://{}{}", parameters.address, request.path))
        .header("Anvilrack-Fence", fence)
        .header("Anvilrack-Timeout-Ms", remaining.as_millis().to_string());
    if let Some(key) = &request.idempotency_key {
        message = message.header("Idempotency-Key", &**key);
    }
    if let Some(content_type) = &request.content_type {
        message = message.header("Content-Type", &**content_type);
    }
    message.body(request.body.0.to_vec()).ok()
}

/// Returns whether a header of a response states that the target has not run the request.
pub(super) fn is_refusal(name: &str, value: &[u8]) -> bool {
    name.eq_ignore_ascii_case("Anvilrack-Verdict") && value == b"not-run"
}

fn read_response(mut response: Response<ureq::Body>) -> RequestVerdict {
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let mut headers = response.headers().iter();
    if headers.any(|(name, value)| is_refusal(name.as_str(), value.as_bytes())) {
        return RequestVerdict::NotRun(RefusalReason::TargetRefused, RETRY_SOON);
    }
    let content_type = header("Content-Type").map(Into::into);
    let status = response.status().as_u16();
    // HTTP defines no such classes.
    if status >= 600 {
        return RequestVerdict::MayHaveRun(UncertainReason::AnswerCutShort);
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec();
    match body {
        Ok(body) => RequestVerdict::Ran(TargetAnswer {
            status,
            content_type,
            body: body.into(),
        }),
        Err(ureq::Error::BodyExceedsLimit(_)) => {
            RequestVerdict::MayHaveRun(UncertainReason::AnswerTooLarge)
        }
        Err(ureq::Error::Timeout(_)) => RequestVerdict::MayHaveRun(UncertainReason::TimedOut),
        Err(_) => RequestVerdict::MayHaveRun(UncertainReason::AnswerCutShort),
    }
}

/// Maps a transport error to a verdict: `NotRun` only if no connection was established.
fn verdict_of(error: &ureq::Error) -> RequestVerdict {
    match error {
        ureq::Error::Other(error) if error.is::<LeaseEnded>() => {
            RequestVerdict::NotRun(RefusalReason::LeaseEnded, RETRY_SOON)
        }
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => {
            RequestVerdict::NotRun(RefusalReason::TargetRefused, RETRY_SOON)
        }
        ureq::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => {
            RequestVerdict::NotRun(RefusalReason::TargetRefused, RETRY_SOON)
        }
        ureq::Error::Timeout(_) => RequestVerdict::MayHaveRun(UncertainReason::TimedOut),
        _ => RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost),
    }
}
