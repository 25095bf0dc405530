//! The site document and its predecessors, packed for other routers.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use anvilrack_core::SiteVersion;
use anvilrack_wire::{DocumentDigest, PacketError, PacketHeader, document_digest, pack_document};
use bytes::Bytes;

/// Maximum number of earlier documents from which deltas are sent.
const MAX_EARLIER: usize = 4;

/// Maximum total size of the earlier documents but the latest, in bytes.
const MAX_EARLIER_BYTES: usize = 1024 * 1024;

/// Maximum number of remembered routers that were sent the current document.
const MAX_RECEIVERS: usize = 64;

/// The current site document, and earlier ones that other routers may still have.
#[derive(Debug, Default)]
pub struct SiteArchive {
    current: Option<ArchivedDocument>,
    /// From latest to earliest.
    earlier: VecDeque<ArchivedDocument>,
    /// Packets of the current document, by base.
    packets: HashMap<Option<DocumentDigest>, DocumentPacket>,
    /// Routers that were sent the current document.
    receivers: VecDeque<SocketAddr>,
}

/// A document with its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchivedDocument {
    /// Version of the document.
    pub version: SiteVersion,
    /// Digest of the content.
    pub digest: DocumentDigest,
    /// The document as it is in the store.
    pub content: Bytes,
}

/// The current document, packed.
#[derive(Clone, Debug)]
pub struct DocumentPacket {
    /// Describes the data.
    pub header: PacketHeader,
    /// The packed document or delta.
    pub data: Bytes,
}

impl SiteArchive {
    /// Makes a document the current one.
    pub fn insert(&mut self, version: SiteVersion, content: Bytes) {
        let document = ArchivedDocument {
            version,
            digest: document_digest(&content),
            content,
        };
        if let Some(replaced) = self.current.replace(document) {
            self.earlier.push_front(replaced);
        }
        self.earlier.truncate(MAX_EARLIER);
        let bytes_after_latest = |earlier: &VecDeque<ArchivedDocument>| {
            let after_latest = earlier.iter().skip(1);
            after_latest.map(|e| e.content.len()).sum::<usize>()
        };
        while bytes_after_latest(&self.earlier) > MAX_EARLIER_BYTES {
            self.earlier.pop_back();
        }
        self.packets.clear();
        self.receivers.clear();
    }

    /// Returns the current document.
    #[must_use]
    pub fn current(&self) -> Option<&ArchivedDocument> {
        self.current.as_ref()
    }

    /// Returns the current document packed for a router that has the document `base`.
    ///
    /// If that is not one of the recent documents, the packet is complete in itself. Returns `None` if
    /// there is no document.
    ///
    /// # Errors
    ///
    /// [`PacketError`] if the document cannot be packed.
    pub fn packet(
        &mut self,
        base: Option<DocumentDigest>,
    ) -> Result<Option<DocumentPacket>, PacketError> {
        let Some(current) = &self.current else {
            return Ok(None);
        };
        let base = base.and_then(|base| self.earlier.iter().find(|e| e.digest == base));
        let key = base.map(|base| base.digest);
        if let Some(packet) = self.packets.get(&key) {
            return Ok(Some(packet.clone()));
        }
        let (header, data) = pack_document(&current.content, base.map(|base| &*base.content))?;
        let packet = DocumentPacket {
            header,
            data: data.into(),
        };
        self.packets.insert(key, packet.clone());
        Ok(Some(packet))
    }

    /// Records that a router was sent the current document.
    pub fn add_receiver(&mut self, router: SocketAddr) {
        if !self.receivers.contains(&router) {
            self.receivers.push_front(router);
            self.receivers.truncate(MAX_RECEIVERS);
        }
    }

    /// Returns routers that were sent the current document.
    #[must_use]
    pub fn receivers(&self) -> Vec<SocketAddr> {
        self.receivers.iter().copied().collect()
    }
}
