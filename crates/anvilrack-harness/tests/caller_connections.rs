//! Many connections that arrive together and stay open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use anvilrack_harness::Deployment;

/// Time in which each connection must bring its answer; a request has 2 s.
const ANSWER_LIMIT: Duration = Duration::from_secs(8);

macro_rules! connection_cases {
    ($($name:ident: $together:literal together, $rounds:literal rounds;)*) => {
        $(
            #[test]
            fn $name() {
                answer_all($together, $rounds);
            }
        )*
    };
}

connection_cases! {
    pairs_of_connections_are_all_read: 2 together, 60 rounds;
    bursts_of_connections_are_all_read: 8 together, 20 rounds;
}

fn answer_all(together: usize, rounds: usize) {
    let mut deployment = Deployment::new("bookings", 1).unwrap();
    deployment.await_ready().unwrap();
    let caller = deployment.callers[0];
    let mut open = Vec::new();
    for round in 0..rounds {
        let asked: Vec<_> = (0..together)
            .map(|_| thread::spawn(move || ask(caller)))
            .collect();
        for connection in asked {
            let answered = connection.join().unwrap();
            open.push(answered.unwrap_or_else(|error| panic!("round {round}: {error}")));
        }
    }
}

/// Opens a connection, asks once, and keeps the connection open.
fn ask(caller: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(caller)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    stream.write_all(b"GET /bookings/key-1 HTTP/1.1\r\nHost: test\r\n\r\n")?;
    let mut answer = [0; 16];
    stream.read_exact(&mut answer)?;
    Ok(stream)
}
