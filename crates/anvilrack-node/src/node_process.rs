//! Startup and graceful stop of the router process.

use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    PlannedStop, RetryBudgets, StopAdmission, StopBacklog, StopPhase, WHOLE_SHARE, events,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::callers::serve_callers;
use crate::directory::{
    follow_site, maintain_entry, probe_expired_routers, send_reader_heartbeats, watch_entries,
    watch_site,
};
use crate::guard::{
    exchange_crashes, maintain_stored_crashes, read_departures, report_crashes, serve_control,
    spread_departures, store_departures, watch_cold_target,
};
use crate::ownership::{maintain_grants, resign, run_member};
use crate::peers::serve_peers;
use crate::{NodeSettings, NodeState, PlatformDialect, emit_event, observe, spawn_supervised};
use anvilrack_limits::{ConnectionGate, GatedConnection, LimitCounts};

/// Pause after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Minimum time between two log lines on such failures.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks whether clients have reached limits.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for expired entries.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks whether a stop is complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time for sending the last replies to other routers: the delay before links close, and a few round trips
/// between regions.
const LAST_REPLIES_TIME: Duration = Duration::from_millis(150);

/// Timeout for reading a request head at the ready and metrics addresses; it also runs while a
/// connection is idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the router until it receives SIGTERM.
///
/// # Errors
///
/// Returns an error that names the address if one cannot be bound, or if a signal handler cannot be
/// installed.
pub async fn run<D: PlatformDialect>(
    settings: NodeSettings,
    dialect: D,
    store: D::Store,
) -> Result<()> {
    observe::set_node(settings.node.clone());
    let listen = settings.listen.clone();
    let node = Arc::new(NodeState::new(settings, dialect, store));
    let callers = bind(listen.callers).await?;
    let peers = bind(listen.peers).await?;
    let ready = bind(listen.ready).await?;
    let control = bind(listen.control).await?;
    let metrics = bind(listen.metrics).await?;
    let mut stop = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("cannot listen for SIGHUP")?;
    emit_event!(
        Info,
        events::ROUTER_STARTED,
        run = node.run,
        service = &*node.settings.service,
        failure_domain = &*node.settings.failure_domain,
        target = node.settings.target.to_string()
    );
    tokio::spawn(serve_callers(callers, node.clone()));
    tokio::spawn(serve_peers(peers, node.clone()));
    let gate = node.gates.ready.clone();
    tokio::spawn(serve_status(ready, gate, node.clone(), ready_response));
    let gate = node.gates.metrics.clone();
    tokio::spawn(serve_status(metrics, gate, node.clone(), metrics_response));
    tokio::spawn(serve_control(control, node.clone()));
    macro_rules! supervise {
        ($($task:ident),* $(,)?) => {
            $({
                let node = node.clone();
                spawn_supervised(stringify!($task), move || $task(node.clone()));
            })*
        };
    }
    supervise![
        watch_site,
        follow_site,
        watch_entries,
        send_reader_heartbeats,
        maintain_entry,
        probe_expired_routers,
        expire_entries,
        report_limits,
        run_member,
        maintain_grants,
        follow_leaving_target,
        report_crashes,
        exchange_crashes,
        maintain_stored_crashes,
        store_departures,
        spread_departures,
        read_departures,
        watch_cold_target,
    ];
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => emit_event!(Info, events::SETTINGS_KEPT, node = &*node.settings.node),
        }
    }
    stop_gracefully(&node).await;
    Ok(())
}

/// Serves the target until callers have left, then waits until all requests are completed or the time limit
/// is reached.
async fn stop_gracefully<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let began = boot_clock::now();
    emit_event!(
        Info,
        events::ROUTER_STOPPING,
        open = node.open_request_count()
    );
    let grace = node.settings.terms.stop_grace;
    node.begin_stop(StopAdmission::new(began, grace));
    node.gateway.detect_exit(node).await;
    if !node.is_target_serving() {
        // A router whose target has ended is not started again.
        resign(node).await;
    }
    let mut stop = PlannedStop::new(began, StopAdmission::max_time(grace));
    loop {
        sleep(STOP_POLL_INTERVAL).await;
        let backlog = StopBacklog {
            open_requests: node.open_request_count(),
            open_connections: node.caller_connection_count(),
            running: node.gateway.load().0,
            handing_over: node.hand_over_ended_target(),
        };
        let phase = stop.phase(backlog, boot_clock::now());
        if phase >= StopPhase::Disconnecting {
            node.begin_closing_callers();
        }
        if phase >= StopPhase::Withdrawn && !node.is_withdrawn() {
            node.gateway.detect_exit(node).await;
            node.withdraw_target();
            resign(node).await;
        }
        if phase >= StopPhase::Closing {
            node.begin_closing_listener();
        }
        if phase >= StopPhase::Ending {
            node.begin_process_end();
        }
        if phase == StopPhase::Finished {
            break;
        }
    }
    // Replies may still be pending, and routers whose calls arrive now must learn that these were not
    // accepted.
    node.begin_closing_links();
    sleep(LAST_REPLIES_TIME).await;
    emit_event!(
        Info,
        events::ROUTER_STOPPED,
        open = node.open_request_count(),
        at_target = node.gateway.load().0,
        held = node.owner().held().count()
    );
}

/// Accepts connections that `gate` admits and passes them to `serve` until the process ends.
pub async fn accept_loop(
    listener: &TcpListener,
    gate: &Arc<ConnectionGate>,
    serve: impl Fn(TcpStream, GatedConnection),
) {
    let mut logged_at: Option<Instant> = None;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(connection) = gate.open() {
                    serve(stream, connection);
                }
            }
            Err(error) => {
                if logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
                    log::warn!("cannot accept a connection: {error}");
                    logged_at = Some(Instant::now());
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Passes the last connections of a listener that `gate` admits to `serve`.
pub fn serve_pending(
    streams: Vec<TcpStream>,
    gate: &Arc<ConnectionGate>,
    serve: impl Fn(TcpStream, GatedConnection),
) {
    for stream in streams {
        if let Some(connection) = gate.open() {
            serve(stream, connection);
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Hands the target's keys over once it has said in a response that it is leaving.
async fn follow_leaving_target<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    loop {
        node.leaving_said.notified().await;
        node.on_target_leaving();
    }
}

async fn expire_entries<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    loop {
        sleep(EXPIRE_INTERVAL).await;
        node.expire_entries();
        node.log_routes_without_routers();
    }
}

/// Logs once in an interval how many bodies and connections gave way to others or were refused.
async fn report_limits<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let mut before = LimitCounts::default();
    loop {
        sleep(LIMITS_INTERVAL).await;
        let gates = node.gates.by_port().map(|(_, gate)| gate);
        let counts = LimitCounts::of(&node.memory, gates);
        let Some(added) = counts.since(before) else {
            continue;
        };
        let (capacity, held) = node.memory.usage();
        emit_event!(
            Warn,
            events::LIMITS_REACHED,
            bodies_refused = added.bodies_refused,
            bodies_evicted = added.bodies_evicted,
            connections_closed = added.connections_closed,
            connections_refused = added.connections_refused,
            held_bytes = held,
            capacity_bytes = capacity
        );
        before = counts;
    }
}

/// Serves the readiness or the metrics address; `respond` handles all paths.
async fn serve_status<D: PlatformDialect>(
    listener: TcpListener,
    gate: Arc<ConnectionGate>,
    node: Arc<NodeState<D>>,
    respond: fn(&NodeState<D>, &str) -> Response<Full<Bytes>>,
) {
    accept_loop(&listener, &gate, |stream, gated| {
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                gated.set_waiting();
                let response = respond(&node, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                result = connection => if let Err(error) = result {
                    log::debug!("connection of a readiness or metrics client failed: {error}");
                },
                () = gated.closing() => {}
            }
        });
    })
    .await;
}

fn ready_response<D: PlatformDialect>(node: &NodeState<D>, path: &str) -> Response<Full<Bytes>> {
    let known = path == node.dialect.ready_path();
    let ready = node.site().is_some() && node.knows_routers() && !node.is_stopping();
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (known, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}

fn metrics_response<D: PlatformDialect>(node: &NodeState<D>, _path: &str) -> Response<Full<Bytes>> {
    let (running, waiting) = node.gateway.load();
    let mut text = node.metrics.text() + &node.links.traffic_text();
    let site = node.site().map_or(0, |site| site.version);
    let (newest, behind_for) = {
        let progress = node.site_tracker.progress();
        let behind_for = progress.behind_for(boot_clock::now()).unwrap_or_default();
        (progress.newest(), behind_for)
    };
    let is_cold = !node.gateway.cold_remaining(boot_clock::now()).is_zero();
    let gauges = [
        ("requests_open", node.open_request_count() as u64),
        ("target_running", running as u64),
        ("target_waiting", waiting as u64),
        ("target_cold", u64::from(is_cold)),
        ("shards_held", node.owner().held().count() as u64),
        ("routes_version", site),
        ("routes_version_newest", newest.unwrap_or(0)),
        ("routes_behind_ms", observe::millis(behind_for)),
        ("peers", node.peer_addresses().len() as u64),
    ];
    for (name, value) in gauges {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "anvilrack_{name} {value}");
    }
    if node.evacuates() {
        let evacuated = node.evacuated_domains();
        let own = evacuated.contains(&node.settings.failure_domain);
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "anvilrack_domains_evacuated {}", evacuated.len());
        let _ = writeln!(text, "anvilrack_own_domain_evacuated {}", u8::from(own));
    }
    write_limit_metrics(node, &mut text);
    write_admission_metrics(node, &mut text);
    write_retry_metrics(node, &mut text);
    Response::new(Full::from(text))
}

/// Adds what the router holds for others, and how often it had to refuse to.
fn write_limit_metrics<D: PlatformDialect>(node: &NodeState<D>, text: &mut String) {
    let (capacity, held) = node.memory.usage();
    let (refused, evicted) = node.memory.refusals();
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "anvilrack_memory_capacity_bytes {capacity}");
    let _ = writeln!(text, "anvilrack_memory_held_bytes {held}");
    let _ = writeln!(text, "anvilrack_bodies_refused_total {refused}");
    let _ = writeln!(text, "anvilrack_bodies_evicted_total {evicted}");
    for (port, gate) in node.gates.by_port() {
        let (open, max_open) = gate.usage();
        let (closed, refused) = gate.refusals();
        let series = [
            ("open", open as u64),
            ("max", max_open as u64),
            ("closed_total", closed),
            ("refused_total", refused),
        ];
        for (name, value) in series {
            let _ = writeln!(
                text,
                "anvilrack_connections_{name}{{port=\"{port}\"}} {value}"
            );
        }
    }
}

/// Adds the repeats that this router may send now, by service.
fn write_retry_metrics<D: PlatformDialect>(node: &NodeState<D>, text: &mut String) {
    for (service, left) in node.with_retry_budget(RetryBudgets::left) {
        let left = Duration::from_millis(left).as_secs_f64();
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "anvilrack_retry_budget_left{{service=\"{service}\"}} {left}"
        );
    }
}

/// Adds the shares of requests that the target admits, and the services that it calls.
fn write_admission_metrics<D: PlatformDialect>(node: &NodeState<D>, text: &mut String) {
    let now = boot_clock::now();
    let admission = node.entry_admission();
    let own = node.gateway.admitted_shares(now);
    let shares = own.min(admission.called_shares(now));
    for (priority, share) in shares.by_priority().into_iter().enumerate() {
        let share = f64::from(share) / f64::from(WHOLE_SHARE);
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "anvilrack_admitted_share{{priority=\"{priority}\"}} {share}"
        );
    }
    for (service, calls) in admission.called_services() {
        let calls = f64::from(calls) / 100.0;
        let _ = writeln!(
            text,
            "anvilrack_calls_per_run{{service=\"{service}\"}} {calls}"
        );
    }
}
