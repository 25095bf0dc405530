//! Documents as routers send them to each other: compressed, and as a delta where possible.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;
use zstd::stream::{read, write};

/// Identifies the content of a document.
pub type DocumentDigest = u128;

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024 * 1024;

/// Compression level; higher levels take several times as long for a few percent.
const COMPRESSION_LEVEL: i32 = 3;

/// Largest window that both ends use, as a power of two in bytes; it covers two documents of the maximum
/// size.
const MAX_WINDOW_LOG: u32 = 27;

/// Describes the data of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketHeader {
    /// The earlier document that the receiver needs; `None` if the packet is complete in itself.
    pub base: Option<DocumentDigest>,
    /// Digest of the document.
    pub digest: DocumentDigest,
    /// Size of the document, in bytes.
    pub bytes: u64,
}

/// Why a packet was refused.
#[derive(Debug, Error)]
pub enum PacketError {
    /// The packet is a delta from a document that the receiver does not have.
    #[error("packet is a delta from document {0:032x}, which this router does not have")]
    UnknownBase(DocumentDigest),
    /// The document is too long.
    #[error("document has {0} bytes, the maximum is {MAX_DOCUMENT_BYTES}")]
    TooLong(u64),
    /// The data cannot be decompressed.
    #[error("packet cannot be decompressed: {0}")]
    Data(#[from] io::Error),
    /// The data yields another document than the header says.
    #[error("packet yields another document than its header says")]
    WrongContent,
}

/// Returns the digest of a document.
#[must_use]
pub fn document_digest(document: &[u8]) -> DocumentDigest {
    xxh3_128(document)
}

/// Packs a document, as a delta from `base` if there is one.
///
/// # Errors
///
/// [`PacketError::TooLong`] if the document is longer than [`MAX_DOCUMENT_BYTES`],
/// [`PacketError::Data`] if it cannot be compressed.
pub fn pack_document(
    document: &[u8],
    base: Option<&[u8]>,
) -> Result<(PacketHeader, Vec<u8>), PacketError> {
    let bytes = document.len() as u64;
    if document.len() > MAX_DOCUMENT_BYTES {
        return Err(PacketError::TooLong(bytes));
    }
    let window = (base.map_or(0, <[u8]>::len) + document.len()).next_power_of_two();
    let window_log = window.ilog2().clamp(10, MAX_WINDOW_LOG);
    let mut encoder =
        write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base.unwrap_or_default())?;
    encoder.set_pledged_src_size(Some(bytes))?;
    encoder.window_log(window_log)?;
    encoder.long_distance_matching(base.is_some())?;
    encoder.write_all(document)?;
    let header = PacketHeader {
        base: base.map(document_digest),
        digest: document_digest(document),
        bytes,
    };
    Ok((header, encoder.finish()?))
}

/// Unpacks a packet; `base` is the document that its header names.
///
/// # Errors
///
/// A [`PacketError`] if the result would not be exactly the document that the header describes.
pub fn unpack_document(
    header: &PacketHeader,
    data: &[u8],
    base: Option<&[u8]>,
) -> Result<Vec<u8>, PacketError> {
    if header.bytes > MAX_DOCUMENT_BYTES as u64 {
        return Err(PacketError::TooLong(header.bytes));
    }
    let base = match header.base {
        None => &[],
        Some(digest) => base
            .filter(|base| document_digest(base) == digest)
            .ok_or(PacketError::UnknownBase(digest))?,
    };
    let mut decoder = read::Decoder::with_ref_prefix(data, base)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut document = Vec::new();
    // One byte more than announced shows that the data yields too much.
    decoder.take(header.bytes + 1).read_to_end(&mut document)?;
    if document.len() as u64 != header.bytes || document_digest(&document) != header.digest {
        return Err(PacketError::WrongContent);
    }
    Ok(document)
}
