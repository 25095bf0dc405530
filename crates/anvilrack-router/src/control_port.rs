//! The port for operators and for the target beside this router.

use std::io::Read;
use std::sync::Arc;
use std::thread;

use anvilrack_core::events;
use eyre::eyre;
use serde_json::{Value, json};
use tiny_http::{Method, Request, Response, Server};

use crate::router_context::RouterContext;
use crate::target_view::TargetAnnouncement;
use crate::{boot_clock, log_event};

/// Threads that serve this port.
const WORKERS: usize = 4;

/// Largest body that is read, in bytes.
const BODY_LIMIT: u64 = 64 * 1024;

/// Serves the control port until the process ends.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn start(context: &Arc<RouterContext>) -> eyre::Result<()> {
    let address = context.settings.control_address();
    let server =
        Server::http(address).map_err(|error| eyre!("cannot listen on {address}: {error}"))?;
    let server = Arc::new(server);
    for _ in 0..WORKERS {
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
    let read = request.as_reader().take(BODY_LIMIT).read_to_end(&mut body);
    let (status, text) = match (request.method(), request.url()) {
        _ if read.is_err() => (400, "body cannot be read".to_owned()),
        (Method::Post, "/_announce") => announce(context, &body),
        (Method::Post, "/_drain") => {
            context.leave();
            (200, "draining\n".to_owned())
        }
        (Method::Get, "/_status") => (200, status(context).to_string()),
        _ => (404, "no such call\n".to_owned()),
    };
    let _ = request.respond(Response::from_string(text).with_status_code(status));
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

/// Keys of this router's target that bring most requests, with how many.
fn hottest_keys(context: &RouterContext) -> Vec<Value> {
    let keys = context.meter.hottest_keys().into_iter();
    keys.map(|(key, known)| json!({ "key": key, "requests": known.count - known.error }))
        .collect()
}

/// What this router knows, for people and for scripts.
fn status(context: &RouterContext) -> Value {
    let now = boot_clock::now();
    let routes = context.routes();
    let cells: Vec<Value> = routes
        .cells()
        .map(|cell| {
            json!({
                "service": cell.service,
                "epoch": cell.epoch,
                "version": cell.version,
                "coordinator": cell.coordinator,
                "standbys": cell.standbys,
                "members": cell.members.len(),
                "shards": cell.shards.len(),
                "unowned": cell.unowned(),
            })
        })
        .collect();
    let owner = context.owner();
    let lease_left = owner.lease_until().saturating_sub(now);
    let held = owner.held().count();
    drop(owner);
    json!({
        "node": context.node(),
        "incarnation": context.incarnation,
        "region": context.settings.region,
        "failure_domain": context.settings.failure_domain,
        "service": context.service(),
        "target_sick": context.admission.is_sick(),
        "hottest_keys": hottest_keys(context),
        "target_ready": context.target().is_ready(now),
        "leaving": context.is_leaving(),
        "lease_left_ms": u64::try_from(lease_left.as_millis()).unwrap_or(u64::MAX),
        "held_shards": held,
        "in_flight": context.releases.in_flight(),
        "coordinates": context.coordinator().is_some(),
        "config_revision": routes.config().revision,
        "cells": cells,
    })
}
