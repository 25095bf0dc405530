//! Polls the target's health endpoint and passes the result to admission control as a hint.

use std::sync::Arc;
use std::time::Duration;

use ureq::Agent;

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Interval between two requests to the endpoint.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for a request to the endpoint.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Path of the health endpoint.
const HEALTH_PATH: &str = "/_health";

/// Polls the health endpoint of the local target until the process ends.
///
/// The endpoint may be late or wrong, so a server error only makes the target suspect sooner, and a
/// missing response has no effect. Each poll opens one of the connections that admission control
/// reserves for health checks.
pub fn run(context: &Arc<RouterContext>) {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .timeout_global(Some(POLL_TIMEOUT))
        .build();
    let agent = config.new_agent();
    while context.pause(POLL_INTERVAL) {
        let Some(address) = context.target().ready_address(boot_clock::now()) else {
            continue;
        };
        let url = format!("http://{address}{HEALTH_PATH}");
        if let Ok(response) = agent.get(url).call() {
            context
                .admission
                .set_unhealthy_hint(response.status().is_server_error());
        }
    }
}
