//! Many connections that are opened at the same time and stay open: each gets its response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use anvilrack_harness::Deployment;

/// Maximum wait for a response on a connection; the request itself has a timeout of 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

macro_rules! connection_cases {
    ($($name:ident: $connections_per_round:literal connections, $rounds:literal rounds;)*) => {
        $(
            #[test]
            fn $name() {
                assert_all_connections_served($connections_per_round, $rounds);
            }
        )*
    };
}

connection_cases! {
    pairs_of_connections_are_all_served: 2 connections, 60 rounds;
    bursts_of_connections_are_all_served: 8 connections, 20 rounds;
}

fn assert_all_connections_served(connections_per_round: usize, rounds: usize) {
    let mut deployment = Deployment::new("bookings", 1).unwrap();
    deployment.await_ready().unwrap();
    let caller = deployment.caller_addresses[0];
    let mut open_connections = Vec::new();
    for round in 0..rounds {
        let callers: Vec<_> = (0..connections_per_round)
            .map(|_| thread::spawn(move || send_request(caller)))
            .collect();
        for caller_thread in callers {
            let connection = caller_thread.join().unwrap();
            open_connections
                .push(connection.unwrap_or_else(|error| panic!("round {round}: {error}")));
        }
    }
}

/// Opens a connection, sends one request, reads the start of the response, and returns the open
/// connection.
fn send_request(caller: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(caller)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(b"GET /bookings/key-1 HTTP/1.1\r\nHost: test\r\n\r\n")?;
    let mut response = [0; 16];
    stream.read_exact(&mut response)?;
    Ok(stream)
}
