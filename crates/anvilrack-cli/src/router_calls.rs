//! HTTP calls to a router's control port.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{WrapErr, bail};
use serde_json::Value;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Gets JSON from a router.
///
/// # Errors
///
/// Fails when the router is unreachable, responds with an error status, or sends invalid JSON.
pub fn get(router: SocketAddr, path: &str) -> eyre::Result<Value> {
    let response = attohttpc::get(format!("http://{router}{path}"))
        .timeout(CALL_TIMEOUT)
        .send()
        .wrap_err_with(|| format!("cannot reach router {router}"))?;
    let status = response.status();
    let text = response
        .text()
        .wrap_err("cannot read the router's response")?;
    if !status.is_success() {
        bail!("router {router} refused the call: {}", text.trim());
    }
    serde_json::from_str(&text).wrap_err("the router's response is not valid JSON")
}

/// Asks a router to move its shards to other routers and to accept no new work.
///
/// # Errors
///
/// Fails when the router is unreachable or responds with an error status.
pub fn drain(router: SocketAddr) -> eyre::Result<()> {
    attohttpc::post(format!("http://{router}/_drain"))
        .timeout(CALL_TIMEOUT)
        .send()
        .wrap_err_with(|| format!("cannot reach router {router}"))?
        .error_for_status()?;
    Ok(())
}
