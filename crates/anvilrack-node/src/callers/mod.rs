//! HTTP server for callers.

mod caller_body;
mod caller_connection;
mod caller_request;
mod caller_stream;

pub use caller_connection::serve_callers;
