//! Fifth stage: to the target and back.

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

use super::RETRY_SOON;
use crate::boot_clock;

/// Time to open a connection to the target, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How often to look whether a target is gone that broke a connection off.
const GONE_LOOKS: usize = 5;

/// Time between two such looks.
const GONE_STEP: Duration = Duration::from_millis(10);

/// Longest answer that is kept whole, in bytes.
const ANSWER_LIMIT: u64 = 16 * 1024 * 1024;

/// Connections to the target, kept open between requests.
///
/// The house's `attohttpc` keeps no connections, and a new one costs about 1 ms, so its nearest
/// kin that does is used here.
pub struct TargetClient {
    agent: Agent,
}

/// How a request is to be put to the target.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryOrder {
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// The key's shard.
    pub shard: ShardId,
    /// The owner's fencing token.
    pub token: FencingToken,
    /// When the owner's lease ends.
    pub lease_until: BootTime,
    /// When the request's time is over.
    pub deadline: BootTime,
}

impl TargetClient {
    /// You give the number of connections that may be kept.
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
        Self {
            agent: config.new_agent(),
        }
    }
}

/// Puts a request to the target.
///
/// The lease is looked at once more right before. What is left is the time between this look and
/// the write; a target that checks fences closes it, since the fence names the lease's end on the
/// clock that both share.
#[must_use]
pub fn process(
    client: &TargetClient,
    request: &ForwardRequest,
    order: &DeliveryOrder,
) -> RequestVerdict {
    let now = boot_clock::now();
    if now >= order.lease_until {
        return RequestVerdict::NotRun(RefusalReason::LeaseEnded, RETRY_SOON);
    }
    let left = order.deadline.saturating_sub(now);
    if left.is_zero() {
        return RequestVerdict::NotRun(RefusalReason::DeadlineTooShort, RETRY_SOON);
    }
    let Some(message) = build_message(request, order, left) else {
        return RequestVerdict::NotRun(RefusalReason::BadRequest, RETRY_SOON);
    };
    let configured = client
        .agent
        .configure_request(message)
        .timeout_global(Some(left))
        .build();
    match client.agent.run(configured) {
        Ok(answer) => read_answer(answer),
        Err(error) => verdict_of(&error),
    }
}

/// True where nothing listens at the target's address any more.
///
/// A process that dies closes its connections one after the other, so this looks more than once.
#[must_use]
pub fn is_gone(address: SocketAddr) -> bool {
    (0..GONE_LOOKS).any(|look| {
        if look > 0 {
            thread::sleep(GONE_STEP);
        }
        let tried = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
        tried.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    })
}

fn build_message(
    request: &ForwardRequest,
    order: &DeliveryOrder,
    left: Duration,
) -> Option<Request<Vec<u8>>> {
    let lease_end_ms = order.lease_until.as_millis();
    let fence = format!("{};{};{lease_end_ms}", order.shard, order.token);
    let mut message = Request::builder()
        .method(&*request.method)
        .uri(format!("http://{}{}", order.address, request.path))
        .header("Anvilrack-Fence", fence)
        .header("Anvilrack-Timeout-Ms", left.as_millis().to_string());
    if let Some(key) = &request.idempotency_key {
        message = message.header("Idempotency-Key", &**key);
    }
    if let Some(content_type) = &request.content_type {
        message = message.header("Content-Type", &**content_type);
    }
    message.body(request.body.0.to_vec()).ok()
}

fn read_answer(mut answer: Response<ureq::Body>) -> RequestVerdict {
    let header = |name| {
        answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    if header("Anvilrack-Verdict") == Some("not-run") {
        return RequestVerdict::NotRun(RefusalReason::TargetRefused, RETRY_SOON);
    }
    let content_type = header("Content-Type").map(Into::into);
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(ANSWER_LIMIT)
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

/// Each way a call to the target can fail, mapped once.
fn verdict_of(error: &ureq::Error) -> RequestVerdict {
    match error {
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
