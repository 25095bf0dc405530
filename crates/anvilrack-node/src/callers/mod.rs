//! The callers' side: HTTP in, answers out.

mod caller_connection;
mod caller_request;

pub use caller_connection::serve_callers;
