//! Where the target beside this router says how it is.

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

use crate::guard::{NoticeEffect, TargetNotice};
use crate::{NodeShared, NoticeFault, PlatformDialect, accept_loop, tell};

/// Longest notice, in bytes.
const NOTICE_LIMIT: usize = 64 * 1024;

/// Time for a head, counted also while a connection is idle.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// Answers the target until the process ends.
pub async fn serve_control<D: PlatformDialect>(listener: TcpListener, node: Arc<NodeShared<D>>) {
    accept_loop(&listener, |stream| {
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(request, node.clone()));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection of the target ended: {error}");
            }
        });
    })
    .await;
}

async fn answer<D: PlatformDialect>(
    request: Request<Incoming>,
    node: Arc<NodeShared<D>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, NOTICE_LIMIT).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(status_only(StatusCode::BAD_REQUEST)),
    };
    let request = Request::from_parts(parts, body);
    let response = match node.dialect.read_notice(&request) {
        Ok(notice) => {
            take(&node, &notice);
            node.dialect.notice_taken().map(Full::new)
        }
        Err(fault) => {
            tell!(Warn, events::NOTICE_REFUSED, fault = fault.to_string());
            status_only(match fault {
                NoticeFault::UnknownCall => StatusCode::NOT_FOUND,
                NoticeFault::Unreadable => StatusCode::BAD_REQUEST,
            })
        }
    };
    Ok(response)
}

fn take<D: PlatformDialect>(node: &Arc<NodeShared<D>>, notice: &TargetNotice) {
    match node.door.take_notice(notice, &node.settings.service) {
        NoticeEffect::Heard => {}
        NoticeEffect::Stale => tell!(
            Info,
            events::NOTICE_REFUSED,
            target = &*notice.id,
            born_ms = notice.born_ms,
            fault = "late, or of an earlier life or another service"
        ),
        NoticeEffect::NewLife => node.on_new_life(),
        NoticeEffect::Leaves => node.on_target_leaving(),
        NoticeEffect::Changed => node.publish_entry(),
    }
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
