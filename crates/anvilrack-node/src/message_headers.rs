//! Headers on their way from one connection to another.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that concern one connection only, besides those that `Connection` names.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    // The length is that of the bytes that were read, so it is written anew.
    CONTENT_LENGTH,
];

/// The headers that go on, as a list for messages between routers.
#[must_use]
pub fn to_list(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|words| words.split(','))
        .map(|word| word.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = *name;
            !CONNECTION_HEADERS.contains(name)
                && name.as_str() != "keep-alive"
                && !named.iter().any(|word| word == name.as_str())
        })
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
