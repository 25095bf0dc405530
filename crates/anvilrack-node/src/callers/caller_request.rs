//! Reads a caller's request, forwards it and writes the response.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, RefusalReason, RepeatReason, UncertainReason, events};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HOST, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::callers::caller_body::{BodyRefusal, CallerBody, discard_rest, read_body};
use crate::callers::caller_stream::CallerActivity;
use crate::end_to_end_headers;
use crate::held_body::HeldBody;
use crate::peers::RunReply;
use crate::routing::{CallerRequest, ForwardOutcome, forward};
use crate::{CallerRequestInfo, NodeState, PlatformDialect, RequestId, emit_event, observe};
use anvilrack_limits::GatedConnection;

/// `Retry-After` time while this router has no routes, or not the newest ones.
const SITE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum length of the body of a refused request after which its connection is used again, in bytes.
const MAX_SKIPPED_BYTES: u64 = 8 * 1024;

/// One in this many successful requests is logged, selected by its id.
///
/// All routers select the same requests, so that their log lines can be joined.
const LOG_SAMPLING: u64 = 64;

/// Responds to a caller's request.
///
/// Dropping the future, as when the caller disconnects, cancels the request.
pub async fn respond<D: PlatformDialect>(
    request: Request<Incoming>,
    activity: &Arc<CallerActivity>,
    node: &Arc<NodeState<D>>,
) -> Result<Response<CallerBody>, Infallible> {
    let began = boot_clock::now();
    let activity = activity.begin_request();
    let (parts, mut body) = request.into_parts();
    let head = node.dialect.read_caller_headers(&parts.headers);
    let mut open_request = OpenRequest::new(node, head.request.clone(), began);
    let connection = activity.connection();
    let read = read_request(&parts, &mut body, &head, connection, node, began).await;
    let has_rest = read
        .as_ref()
        .is_err_and(|refusal| !body.is_end_stream() && refusal.leaves_rest(&body));
    let mut response = match read {
        Ok(request) => {
            connection.set_busy();
            let outcome = forward(node, &request).await;
            open_request.logged = true;
            log_outcome(node, &request, &outcome, began);
            build_response(node, &request.request, outcome)
        }
        Err(refusal) => {
            open_request.logged = true;
            emit_event!(
                Info,
                events::REQUEST_REFUSED,
                request = head.request.as_deref(),
                status = refusal.status.as_u16(),
                why = refusal.why
            );
            refusal.response(node, head.request.as_ref())
        }
    };
    // Reading the rest would invite a caller that waits for a `100 Continue` to send it.
    if has_rest && !parts.headers.contains_key(EXPECT) {
        tokio::spawn(discard_rest(body));
    }
    if node.is_stopping() || has_rest {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| CallerBody::new(body, activity)))
}

/// A request refused before it is forwarded.
struct EarlyRefusal {
    status: StatusCode,
    why: &'static str,
    /// Whether the body is the reason.
    by_body: bool,
}

impl From<BodyRefusal> for EarlyRefusal {
    fn from((status, why): BodyRefusal) -> Self {
        Self {
            by_body: true,
            ..Self::new(status, why)
        }
    }
}

impl EarlyRefusal {
    fn new(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            why,
            by_body: false,
        }
    }

    /// Returns whether more of the body may arrive than what comes together with the head, which the connection skips.
    fn leaves_rest(&self, body: &Incoming) -> bool {
        let length = body.size_hint().upper();
        self.by_body || length.is_none_or(|length| length > MAX_SKIPPED_BYTES)
    }

    fn response<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        request: Option<&RequestId>,
    ) -> Response<HeldBody> {
        let mut response = Response::new(Bytes::from(self.why).into());
        *response.status_mut() = self.status;
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let headers = response.headers_mut();
            node.dialect
                .set_retry_headers(headers, request, SITE_RETRY_AFTER);
        }
        response
    }
}

/// Reads the complete request and finds its route.
async fn read_request<D: PlatformDialect>(
    parts: &Parts,
    body: &mut Incoming,
    head: &CallerRequestInfo,
    connection: &GatedConnection,
    node: &NodeState<D>,
    began: BootTime,
) -> Result<CallerRequest, EarlyRefusal> {
    let site = node.site().ok_or(EarlyRefusal::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no routes are known yet",
    ))?;
    let host = parts.uri.host().map(ToOwned::to_owned).or_else(|| {
        let host = parts.headers.get(HOST)?.to_str().ok()?;
        Some(host.split(':').next().unwrap_or(host).to_owned())
    });
    let host = host.ok_or(EarlyRefusal::new(
        StatusCode::BAD_REQUEST,
        "no host is named",
    ))?;
    let route = site
        .find(&host, parts.uri.path())
        .ok_or_else(|| no_route_refusal(node))?
        .clone();
    let id = head.request.clone();
    let id = id.ok_or(EarlyRefusal::new(
        StatusCode::BAD_REQUEST,
        "the request has no id",
    ))?;
    let service = route.pick_service(rand::random()).cloned();
    let service = service.ok_or(EarlyRefusal::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no service has a share of the route",
    ))?;
    if node.lacks_allowed_target(&route, &service, head.key) {
        node.count_region_refusal(&service);
        return Err(EarlyRefusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::RegionNotAllowed.as_str(),
        ));
    }
    let timeout = head.time_left.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    if !node.may_send(&route, &service, timeout) {
        return Err(EarlyRefusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::Stopping.as_str(),
        ));
    }
    let deadline = Instant::now() + (began + timeout).saturating_sub(boot_clock::now());
    let max_bytes = site.limits.body_bytes;
    let body = read_body(body, max_bytes, deadline, &node.memory, connection).await?;
    let path = parts.uri.path_and_query();
    Ok(CallerRequest {
        request: id,
        path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        method: parts.method.as_str().to_owned(),
        headers: end_to_end_headers::to_list(&parts.headers),
        body,
        key: head.key,
        objective: began + route.latency_objective,
        deadline: began + timeout,
        route,
        site: site.version,
        service,
    })
}

/// The refusal of a request that matches no route; the newest document may have one.
fn no_route_refusal<D: PlatformDialect>(node: &NodeState<D>) -> EarlyRefusal {
    if node.site_tracker.is_behind() {
        EarlyRefusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no route matches, and a newer site document exists",
        )
    } else {
        EarlyRefusal::new(StatusCode::NOT_FOUND, "no route matches")
    }
}

/// Converts the outcome to the response that is sent to the caller.
fn build_response<D: PlatformDialect>(
    node: &NodeState<D>,
    request: &RequestId,
    outcome: ForwardOutcome,
) -> Response<HeldBody> {
    match outcome.reply {
        RunReply::Ran { status, headers } => {
            let mut response = Response::new(outcome.body);
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            for (name, value) in headers {
                let name = HeaderName::from_bytes(name.as_bytes());
                if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
                    response.headers_mut().append(name, value);
                }
            }
            response
        }
        RunReply::NotRun {
            reason,
            retry_after,
            ..
        } => {
            let mut response = Response::new(Bytes::from(reason.as_str()).into());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let headers = response.headers_mut();
            node.dialect
                .set_retry_headers(headers, Some(request), retry_after);
            response
        }
        RunReply::MayHaveRun(reason) => {
            let mut response = Response::new(Bytes::from(reason.as_str()).into());
            *response.status_mut() = if reason == UncertainReason::TimedOut {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            response
        }
    }
}

fn log_outcome<D: PlatformDialect>(
    node: &NodeState<D>,
    request: &CallerRequest,
    outcome: &ForwardOutcome,
    began: BootTime,
) {
    let duration = boot_clock::now().saturating_sub(began);
    let (outcome_name, why) = match &outcome.reply {
        RunReply::Ran { .. } => ("ran", None),
        RunReply::NotRun { reason, .. } => ("not-run", Some(reason.as_str())),
        RunReply::MayHaveRun(reason) => ("may-have-run", Some(reason.as_str())),
    };
    let service = &request.service;
    node.metrics.record(service, duration);
    let labels = format!("service=\"{service}\",outcome=\"{outcome_name}\"");
    node.metrics.count("requests", labels);
    if why.is_none() && !is_sampled(&request.request) {
        return;
    }
    emit_event!(
        Info,
        events::REQUEST_ANSWERED,
        request = &*request.request,
        route = &*request.route.name,
        service = &**service,
        key = request.key,
        outcome = outcome_name,
        why = why,
        places = outcome.routers_tried,
        place = outcome.last_router.as_deref(),
        repeat_why = outcome.repeat_reason.map(RepeatReason::as_str),
        took_ms = observe::millis(duration),
        routes_version = request.site,
        cell_version = node.cell(service).map(|cell| cell.version)
    );
}

fn is_sampled(request: &RequestId) -> bool {
    let hash = request.bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    hash % LOG_SAMPLING == 0
}

/// A request in progress; dropping it before its outcome is logged logs that the caller disconnected.
struct OpenRequest<'a, D: PlatformDialect> {
    node: &'a NodeState<D>,
    request: Option<RequestId>,
    began: BootTime,
    logged: bool,
}

impl<'a, D: PlatformDialect> OpenRequest<'a, D> {
    fn new(node: &'a NodeState<D>, request: Option<RequestId>, began: BootTime) -> Self {
        node.add_open_requests(1);
        Self {
            node,
            request,
            began,
            logged: false,
        }
    }
}

impl<D: PlatformDialect> Drop for OpenRequest<'_, D> {
    fn drop(&mut self) {
        self.node.add_open_requests(-1);
        if !self.logged {
            let waited = boot_clock::now().saturating_sub(self.began);
            emit_event!(
                Info,
                events::REQUEST_LEFT,
                request = self.request.as_deref(),
                waited_ms = observe::millis(waited)
            );
        }
    }
}
