//! Server for the notifications that the local target sends about itself.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::guard::{NotificationEffect, TargetNotification};
use crate::{NodeState, NotificationError, PlatformDialect, accept_loop, emit_event};

/// Maximum size of a notification.
const MAX_NOTIFICATION_BYTES: usize = 64 * 1024;

/// Timeout for reading a request head; it also runs while a connection is idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for reading a notification, which the target gives up after a second.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves the target until the process ends.
pub async fn serve_control<D: PlatformDialect>(listener: TcpListener, node: Arc<NodeState<D>>) {
    let gate = node.gates.control.clone();
    accept_loop(&listener, &gate, |stream, gated| {
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                gated.set_waiting();
                respond(request, node.clone())
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                result = connection => if let Err(error) = result {
                    log::debug!("control connection of the target failed: {error}");
                },
                () = gated.closing() => {}
            }
        });
    })
    .await;
}

async fn respond<D: PlatformDialect>(
    request: Request<Incoming>,
    node: Arc<NodeState<D>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_NOTIFICATION_BYTES).collect();
    let body = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Ok(empty_response(StatusCode::BAD_REQUEST)),
        Err(_) => return Ok(empty_response(StatusCode::REQUEST_TIMEOUT)),
    };
    let request = Request::from_parts(parts, body);
    let response = match node.dialect.parse_notification(&request) {
        Ok(notification) => {
            node.handle_notification(&notification);
            if node.may_acknowledge(&notification).await {
                node.dialect.notification_accepted().map(Full::new)
            } else {
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
        Err(error) => {
            emit_event!(Warn, events::NOTICE_REFUSED, fault = error.to_string());
            empty_response(match error {
                NotificationError::UnknownPath => StatusCode::NOT_FOUND,
                NotificationError::InvalidNotification => StatusCode::BAD_REQUEST,
            })
        }
    };
    Ok(response)
}

impl<D: PlatformDialect> NodeState<D> {
    /// Applies a notification of the local target, and what follows from it.
    pub(super) fn handle_notification(self: &Arc<Self>, notification: &TargetNotification) {
        let service = &self.settings.service;
        match self.gateway.apply_notification(notification, service) {
            NotificationEffect::TimeUpdated => {}
            NotificationEffect::Deferred => self.on_deferred_notification(notification),
            NotificationEffect::Stale => self.log_ignored(
                notification,
                "stale",
                "out of order, or from an earlier incarnation or another service",
            ),
            NotificationEffect::Departed => self.log_ignored(
                notification,
                "departed",
                "from an incarnation that is leaving, while another one is current",
            ),
            NotificationEffect::LeftUnknown => emit_event!(
                Info,
                events::TARGET_LEAVING,
                target = &*notification.id,
                why = "said before its first heartbeat"
            ),
            NotificationEffect::NewIncarnation => self.on_new_incarnation(),
            NotificationEffect::StartedLeaving => self.on_target_leaving(),
            NotificationEffect::Changed => self.publish_entry(),
        }
    }

    fn log_ignored(&self, notification: &TargetNotification, why: &str, fault: &str) {
        self.metrics
            .count("notifications_ignored", format!("why=\"{why}\""));
        emit_event!(
            Info,
            events::NOTICE_REFUSED,
            target = &*notification.id,
            born_ms = notification.started_ms,
            fault = fault
        );
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
