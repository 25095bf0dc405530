//! Removes hop-by-hop headers from forwarded messages.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Headers that apply to a single connection, in addition to those named by `Connection`.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    // Set again from the length of the body that was read.
    CONTENT_LENGTH,
    // The complete body is sent at once.
    EXPECT,
];

/// Returns the end-to-end headers as a list for messages between routers.
#[must_use]
pub fn to_list(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let connection_names: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = *name;
            !HOP_BY_HOP_HEADERS.contains(name)
                && name.as_str() != "keep-alive"
                && !connection_names
                    .iter()
                    .any(|hop_name| hop_name == name.as_str())
        })
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
