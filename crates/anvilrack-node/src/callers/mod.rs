//! HTTP server for callers.

mod caller_connection;
mod caller_request;

pub use caller_connection::serve_callers;
