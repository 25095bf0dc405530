//! Calls to a router's control port.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{WrapErr, bail};
use serde_json::Value;

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads JSON from a router.
///
/// # Errors
///
/// Where the router does not answer, or refuses.
pub fn get(router: SocketAddr, path: &str) -> eyre::Result<Value> {
    let answer = attohttpc::get(format!("http://{router}{path}"))
        .timeout(CALL_TIMEOUT)
        .send()
        .wrap_err_with(|| format!("router {router} does not answer"))?;
    let status = answer.status();
    let text = answer
        .text()
        .wrap_err("the router's answer cannot be read")?;
    if !status.is_success() {
        bail!("router {router} refused: {}", text.trim());
    }
    serde_json::from_str(&text).wrap_err("the router's answer is not JSON")
}

/// Asks a router to leave.
///
/// # Errors
///
/// Where the router does not answer.
pub fn drain(router: SocketAddr) -> eyre::Result<()> {
    attohttpc::post(format!("http://{router}/_drain"))
        .timeout(CALL_TIMEOUT)
        .send()
        .wrap_err_with(|| format!("router {router} does not answer"))?
        .error_for_status()?;
    Ok(())
}
