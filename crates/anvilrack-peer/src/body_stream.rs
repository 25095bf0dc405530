//! Reading a whole body from a stream.

use bytes::BytesMut;
use h2::RecvStream;

/// Bytes that a peer may have under way on one stream.
pub(crate) const STREAM_WINDOW: u32 = 1024 * 1024;

/// Bytes that a peer may have under way on one link.
pub(crate) const LINK_WINDOW: u32 = 16 * 1024 * 1024;

/// Longest body that is read, in bytes.
const BODY_LIMIT: usize = 32 * 1024 * 1024;

/// Reads to the end of the stream, giving the peer room as it goes; `on_chunk` hears of each piece.
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
        if body.len() > BODY_LIMIT {
            return Err(h2::Reason::ENHANCE_YOUR_CALM.into());
        }
    }
    Ok(body)
}
