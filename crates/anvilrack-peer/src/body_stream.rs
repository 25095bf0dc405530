//! Reads a complete body from an h2 stream.

use bytes::BytesMut;
use h2::RecvStream;

/// Flow-control window of one stream, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 1024 * 1024;

/// Flow-control window of one link, in bytes.
pub(crate) const LINK_WINDOW: u32 = 16 * 1024 * 1024;

/// Maximum size of a body; reading a longer one fails.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Reads to the end of the stream and returns flow-control capacity to the peer after each chunk;
/// `on_chunk` is called for each chunk.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    on_chunk: impl Fn(),
) -> Result<BytesMut, h2::Error> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        on_chunk();
        body.extend_from_slice(&chunk);
        stream.flow_control().release_capacity(chunk.len())?;
        if body.len() > MAX_BODY_BYTES {
            return Err(h2::Reason::ENHANCE_YOUR_CALM.into());
        }
    }
    Ok(body)
}
