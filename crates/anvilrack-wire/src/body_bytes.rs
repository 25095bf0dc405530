//! Request and response bodies, serialized as a single byte array.

use std::fmt;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer, Error, Visitor};
use serde::ser::{Serialize, Serializer};

/// The body of a request or a response.
///
/// `Serialize` and `Deserialize` are written by hand because bodies make up most of the traffic and
/// the derived code would process them byte by byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyBytes(pub Arc<[u8]>);

impl Serialize for BodyBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for BodyBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = BodyBytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte array")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(BodyBytes(bytes.into()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(BodyBytes(bytes.into()))
    }
}
