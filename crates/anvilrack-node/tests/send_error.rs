//! Which errors of a call show that the server has exited.

use std::io::{Error, ErrorKind};

use anvilrack_node::http_pool::SendError;

/// Defines one test per error.
macro_rules! exit_cases {
    ($($name:ident: $error:expr => $shows_exit:literal, unsent $is_unsent:literal;)*) => {
        $(
            /// A target that lived on was taken to have exited, and its keys were given away.
            #[test]
            fn $name() {
                let error: SendError = $error;
                assert_eq!(error.shows_exit(), $shows_exit);
                assert_eq!(error.is_unsent(), $is_unsent);
            }
        )*
    };
}

/// Error number of a process that has no descriptors left, on Linux.
const EMFILE: i32 = 24;

fn no_connection(error: impl Into<Error>) -> SendError {
    SendError::NoConnection(([127, 0, 0, 1], 1).into(), error.into())
}

exit_cases! {
    refused_connection: no_connection(ErrorKind::ConnectionRefused) => true, unsent true;
    reset_connection: no_connection(ErrorKind::ConnectionReset) => false, unsent true;
    no_descriptors_left: no_connection(Error::from_raw_os_error(EMFILE)) => false, unsent true;
    no_address_available: no_connection(ErrorKind::AddrNotAvailable) => false, unsent true;
    slow_connection: SendError::ConnectTimeout(([127, 0, 0, 1], 1).into()) => false, unsent true;
    broken_connection: SendError::Broken("reset".into()) => false, unsent false;
    slow_response: SendError::Timeout => false, unsent false;
}
