//! The HTTP port for operators and for the local target.

use std::io::Read;
use std::sync::Arc;
use std::thread;

use anvilrack_core::events;
use eyre::eyre;
use percent_encoding::percent_decode_str;
use tiny_http::{Method, Request, Response, Server};

use crate::announced_target::TargetAnnouncement;
use crate::router_context::RouterContext;
use crate::router_metrics::StateSample;
use crate::status_report::status_report;
use crate::{boot_clock, explanation, log_event};

/// Number of threads that serve this port.
const WORKER_COUNT: usize = 4;

/// Maximum size of a request body; the rest of a longer body is not read.
const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Starts the threads that serve the control port until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(context: &Arc<RouterContext>) -> eyre::Result<()> {
    let address = context.settings.control_address();
    let server =
        Server::http(address).map_err(|error| eyre!("cannot listen on {address}: {error}"))?;
    let server = Arc::new(server);
    for _ in 0..WORKER_COUNT {
        let context = context.clone();
        let server = server.clone();
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                serve(&context, request);
            }
        });
    }
    Ok(())
}

fn serve(context: &Arc<RouterContext>, mut request: Request) {
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut body);
    let (status, text) = match (request.method(), request.url()) {
        _ if read.is_err() => (400, "body cannot be read".to_owned()),
        (Method::Post, "/_announce") => announce(context, &body),
        (Method::Post, "/_drain") => {
            context.begin_drain();
            (200, "draining\n".to_owned())
        }
        (Method::Get, "/metrics") => (200, context.metrics.render(sample(context))),
        (Method::Get, url) if url.starts_with(EXPLAIN) => explain(context, &url[EXPLAIN.len()..]),
        (Method::Get, "/_status") => (200, status_report(context).to_string()),
        _ => (404, "no such call\n".to_owned()),
    };
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}

/// Path prefix of the requests that explain the placement of a key; service and key follow.
const EXPLAIN: &str = "/_explain/";

fn explain(context: &RouterContext, path: &str) -> (u16, String) {
    let Some((service, key)) = path.split_once('/') else {
        return (400, "ask for /_explain/SERVICE/KEY\n".to_owned());
    };
    let key = percent_decode_str(key).decode_utf8_lossy();
    match explanation::explain(context, service, &key) {
        Ok(explanation) => (200, explanation.to_string()),
        Err(message) => (404, message),
    }
}

fn sample(context: &RouterContext) -> StateSample {
    let now = boot_clock::now();
    let held_shards = context.owner().held().count() as u64;
    let lease_until = context.owner().lease_until();
    StateSample {
        held_shards,
        lease_left: lease_until.saturating_sub(now),
        in_flight: context.releases.in_flight() as u64,
        config_revision: context.routes().config().revision,
        coordinates: context.coordinator().is_some(),
    }
}

fn announce(context: &RouterContext, body: &[u8]) -> (u16, String) {
    let announcement: TargetAnnouncement = match serde_json::from_slice(body) {
        Ok(announcement) => announcement,
        Err(error) => return (400, error.to_string()),
    };
    let (service, ready) = (announcement.service.clone(), announcement.ready);
    let changed = context.target().announce(announcement, boot_clock::now());
    if changed {
        log_event!(
            Info,
            events::TARGET_ANNOUNCED,
            "service" = service,
            "ready" = ready
        );
    }
    (200, "ok".to_owned())
}
