//! Fetches newer site documents from other routers or the store, and serves them to other routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, SiteSource, events};
use anvilrack_router::boot_clock;
use anvilrack_wire::{PacketError, unpack_document};
use bytes::Bytes;
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::time::sleep;

use crate::directory::{MetadataStore, MetadataStoreError};
use crate::peers::{CallError, PeerCall, PeerReply, SitePacket, SiteReply, SiteRequest};
use crate::{NodeState, PlatformDialect, SiteDocumentError, emit_event, observe};

/// Maximum pause after a router replied that its link is occupied.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(150);

/// Why a site document was not fetched.
#[derive(Debug, Error)]
enum FetchError {
    #[error("no such router is known")]
    NoRouter,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the reply belongs to a different call")]
    WrongReply,
    #[error(transparent)]
    Packet(#[from] PacketError),
    #[error(transparent)]
    Store(#[from] MetadataStoreError),
    #[error("the store has no site document")]
    NotStored,
    #[error("{0}")]
    Document(#[from] SiteDocumentError),
}

/// Result of a request for a newer site document.
enum FetchOutcome {
    /// The document was applied.
    Applied,
    /// The source has no newer document.
    NotNewer,
    /// The source's link is occupied.
    Busy {
        retry_after: Duration,
        /// Routers that were sent the document.
        receivers: Vec<SocketAddr>,
    },
}

/// Fetches the newest site document whenever this router is behind, until the process ends.
pub async fn follow_site<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    loop {
        node.site_tracker.behind().await;
        catch_up_with_newest(&node).await;
    }
}

/// Tries one source after the other until this router has the newest site document.
async fn catch_up_with_newest<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    loop {
        let source = node.site_tracker.progress().next_source(boot_clock::now());
        let Some(source) = source else {
            return;
        };
        let outcome = match source {
            SiteSource::Store => fetch_from_store(node).await,
            SiteSource::Reader(reader) => fetch_from_router(node, Some(reader)).await,
            SiteSource::SameDomain => fetch_from_router(node, pick(&node.domain_peers())).await,
            SiteSource::OtherDomain => {
                fetch_from_router(node, pick(&node.other_domain_peers())).await
            }
        };
        match outcome {
            Some(FetchOutcome::Applied) => {}
            Some(FetchOutcome::Busy {
                retry_after,
                receivers,
            }) => {
                let from_receiver = match pick(&receivers) {
                    Some(receiver) => fetch_from_router(node, Some(receiver)).await,
                    None => None,
                };
                if !matches!(from_receiver, Some(FetchOutcome::Applied)) {
                    sleep(retry_after.min(MAX_BUSY_PAUSE)).await;
                }
            }
            Some(FetchOutcome::NotNewer) | None => {
                let pause = {
                    let mut progress = node.site_tracker.progress();
                    progress.on_failure(source);
                    progress.retry_pause(boot_clock::now())
                };
                sleep(pause.mul_f64(rand::random_range(0.7..1.3))).await;
            }
        }
    }
}

/// Asks one router for a newer site document and applies it.
pub async fn ask_router<D: PlatformDialect>(node: &Arc<NodeState<D>>, router: SocketAddr) {
    fetch_from_router(node, Some(router)).await;
}

/// Returns the reply to a request for a newer site document, and the data that follows it.
#[must_use]
pub fn serve_site<D: PlatformDialect>(
    node: &NodeState<D>,
    request: &SiteRequest,
) -> (SiteReply, Bytes) {
    let mut archive = node.site_archive();
    let newer = archive.current().map(|current| current.version);
    let Some(version) = newer.filter(|version| Some(*version) > request.version) else {
        return (SiteReply::NotNewer, Bytes::new());
    };
    let packet = match archive.packet(request.digest) {
        Ok(Some(packet)) => packet,
        Ok(None) => return (SiteReply::NotNewer, Bytes::new()),
        Err(error) => {
            log::warn!("cannot pack the site document: {error}");
            return (SiteReply::NotNewer, Bytes::new());
        }
    };
    if let Err(retry_after) = node
        .upload_pacer()
        .admit(packet.data.len(), boot_clock::now())
    {
        let receivers = archive.receivers();
        let busy = SiteReply::Busy {
            retry_after,
            receivers,
        };
        return (busy, Bytes::new());
    }
    archive.add_receiver(request.router);
    let kind = if packet.header.base.is_some() {
        "delta"
    } else {
        "whole"
    };
    node.metrics
        .count("site_documents_sent", format!("kind=\"{kind}\""));
    node.metrics.add(
        "site_bytes_sent",
        format!("kind=\"{kind}\""),
        packet.data.len() as u64,
    );
    let header = packet.header;
    (
        SiteReply::Packet(SitePacket { version, header }),
        packet.data,
    )
}

fn pick(routers: &[SocketAddr]) -> Option<SocketAddr> {
    routers.choose(&mut rand::rng()).copied()
}

async fn fetch_from_store<D: PlatformDialect>(node: &Arc<NodeState<D>>) -> Option<FetchOutcome> {
    let began = boot_clock::now();
    let read = async {
        let item = node.store.read(node.dialect.site_key()).await?;
        let item = item.ok_or(FetchError::NotStored)?;
        let site = node.dialect.read_site(&item.value)?;
        node.store_site_document(site, item.value, "store");
        Ok(FetchOutcome::Applied)
    };
    let outcome = read.await;
    log_error(outcome, "store", began)
}

async fn fetch_from_router<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    router: Option<SocketAddr>,
) -> Option<FetchOutcome> {
    let began = boot_clock::now();
    let source = router.map_or_else(|| "none".to_owned(), |router| router.to_string());
    let outcome = match router {
        Some(router) => try_router(node, router, &source).await,
        None => Err(FetchError::NoRouter),
    };
    log_error(outcome, &source, began)
}

async fn try_router<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    router: SocketAddr,
    source: &str,
) -> Result<FetchOutcome, FetchError> {
    let known = node.site_archive().current().cloned();
    let call = PeerCall::PullSite(SiteRequest {
        router: node.settings.peer_address(),
        version: known.as_ref().map(|known| known.version),
        digest: known.as_ref().map(|known| known.digest),
    });
    let (reply, data) = node.links.fetch(router, &call).await?;
    let packet = match reply {
        PeerReply::Site(SiteReply::Packet(packet)) => packet,
        PeerReply::Site(SiteReply::NotNewer) => return Ok(FetchOutcome::NotNewer),
        PeerReply::Site(SiteReply::Busy {
            retry_after,
            receivers,
        }) => {
            return Ok(FetchOutcome::Busy {
                retry_after,
                receivers,
            });
        }
        _ => return Err(FetchError::WrongReply),
    };
    // Another task may have applied it in the meantime.
    if Some(packet.version) <= node.site_tracker.version() {
        return Ok(FetchOutcome::Applied);
    }
    let base = known.as_ref().map(|known| &*known.content);
    let document = Bytes::from(unpack_document(&packet.header, &data, base)?);
    let site = node.dialect.read_site(&document)?;
    node.store_site_document(site, document, source);
    Ok(FetchOutcome::Applied)
}

/// Returns the outcome of an attempt, or `None` after logging its error.
fn log_error(
    outcome: Result<FetchOutcome, FetchError>,
    source: &str,
    began: BootTime,
) -> Option<FetchOutcome> {
    let error = match outcome {
        Ok(outcome) => return Some(outcome),
        Err(error) => error,
    };
    emit_event!(
        Warn,
        events::SITE_FETCH_FAILED,
        source = source,
        fault = error.to_string(),
        took_ms = observe::millis(boot_clock::now().saturating_sub(began))
    );
    None
}
