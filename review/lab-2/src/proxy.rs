//! A relay between routers that can reset its connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;
const SO_RCVBUF: i32 = 8;

#[derive(Clone, Default)]
pub struct Proxy {
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Self::default();
        let open = proxy.open.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                for stream in [&near, &far] {
                    stream.set_nodelay(true).ok();
                    open.lock().unwrap().extend(stream.try_clone());
                }
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                std::thread::spawn(move || copy(near, far));
                std::thread::spawn(move || copy(far2, near2));
            }
        });
        Ok(proxy)
    }

    /// Resets all connections that are open now; returns how many there were. New ones work.
    pub fn reset(&self) -> usize {
        let streams = std::mem::take(&mut *self.open.lock().unwrap());
        for stream in &streams {
            reset_on_close(stream);
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        streams.len() / 2
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0_u8; 65_536];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    to.shutdown(std::net::Shutdown::Write).ok();
}

fn reset_on_close(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the option's value is two integers that live through the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr().cast(),
            8,
        )
    };
}

/// Sets a small window for what a stream receives, as links of the platform have.
pub fn set_small_window(stream: &TcpStream, bytes: i32) {
    // SAFETY: the option's value is an integer that lives through the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            (&raw const bytes).cast(),
            4,
        )
    };
}
