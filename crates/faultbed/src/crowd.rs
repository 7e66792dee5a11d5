//! A crowd of clients that connect and stay idle. Those whose connection is closed connect again.
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often closed connections are replaced.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The crowd; it leaves when dropped.
pub struct Crowd {
    has_left: Arc<AtomicBool>,
}

impl Crowd {
    pub fn start(address: SocketAddr, count: usize) -> Crowd {
        let has_left: Arc<AtomicBool> = Arc::default();
        let left = has_left.clone();
        std::thread::spawn(move || {
            let mut connections: Vec<TcpStream> = Vec::new();
            while !left.load(SeqCst) {
                connections.retain_mut(is_open);
                let missing = count.saturating_sub(connections.len());
                connections.extend((0..missing).map_while(|_| connect(address)));
                std::thread::sleep(CHECK_INTERVAL);
            }
        });
        Crowd { has_left }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.has_left.store(true, SeqCst);
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

fn is_open(stream: &mut TcpStream) -> bool {
    stream.read(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
