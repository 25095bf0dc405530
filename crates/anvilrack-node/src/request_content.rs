//! The content of a request, by which resends under new ids are recognized.

use anvilrack_core::{RequestFingerprint, fingerprint_with_body};
use hyper::header::HOST;

use crate::KeyNumber;
use crate::held_body::HeldBody;

/// What stays the same each time that a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Service that has to run the request.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The caller's headers; of these only `Host` counts.
    pub headers: &'a [(String, Vec<u8>)],
    /// The request's key; `None` if the caller named none.
    pub key: Option<KeyNumber>,
    /// The complete body.
    pub body: &'a HeldBody,
}

impl RequestContent<'_> {
    /// Returns a fingerprint that is the same for all resends of the request.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        let host = self.headers.iter().find(|(name, _)| name == HOST.as_str());
        let key = self.key.map(KeyNumber::to_le_bytes);
        let parts = [
            self.service.as_bytes(),
            self.method.as_bytes(),
            host.map_or(&[], |(_, host)| host),
            self.path.as_bytes(),
            key.as_ref().map_or(&[], |key| key),
        ];
        fingerprint_with_body(&parts, self.body.len(), self.body.blocks())
    }
}

/// Returns the fingerprint of a request's content as it appears in the log.
pub fn content_label(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}
