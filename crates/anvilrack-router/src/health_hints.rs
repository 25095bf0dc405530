//! What the target's own endpoint says of its health, as a hint.

use std::sync::Arc;
use std::time::Duration;

use ureq::Agent;

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Time between two looks at the endpoint.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Time that the endpoint has to answer.
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);

/// The endpoint.
const HEALTH_PATH: &str = "/_health";

/// Asks the target beside this router how it is until the process ends.
///
/// The endpoint may lag or mislead, so its answer only makes a suspicion come sooner; no answer
/// says nothing. Each look opens one connection, out of those that admission leaves free.
pub fn run(context: &Arc<RouterContext>) {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .timeout_global(Some(LOOK_TIMEOUT))
        .build();
    let agent = config.new_agent();
    while context.pause(LOOK_EVERY) {
        let Some(address) = context.target().ready_address(boot_clock::now()) else {
            continue;
        };
        let url = format!("http://{address}{HEALTH_PATH}");
        if let Ok(answer) = agent.get(url).call() {
            context.admission.hint(answer.status().is_server_error());
        }
    }
}
