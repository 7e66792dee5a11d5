//! Simulated caches, parents and origins.
use super::{CONNECT_TIMEOUT, NARROW_BUFFER, SIZES, TIMEOUT};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const BACKLOG: i32 = 128;

/// The fields that the answer with a copy must have.
pub const COPY_FIELDS: &str = "ver=4be0c192,born=1764576000123";

/// A message that arrived at a host.
pub struct HostMessage {
    pub stream: TcpStream,
    pub words: Vec<String>,
}

/// The state shared by a host's connection threads.
#[derive(Clone)]
pub struct HostServer {
    pub messages: Sender<HostMessage>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    pub is_stopped: Arc<AtomicBool>,
    /// Whether reading is stopped.
    pub is_reading_stopped: Arc<AtomicBool>,
    /// If set, everything is answered at once with this many bytes.
    pub auto_answer_bytes: Arc<Mutex<Option<usize>>>,
    /// If set, objects are answered by size: the number of places and the rate in bytes/s; and the places in
    /// use.
    pub paced_answers: Arc<Mutex<Option<(usize, usize)>>>,
    pub busy_places: Arc<AtomicUsize>,
    /// The number of connections accepted, and the objects of all attempts received.
    pub accepted: Arc<AtomicUsize>,
    pub objects: Arc<Mutex<Vec<String>>>,
}

/// A simulated cache, parent or origin, which receives messages at several addresses and answers on command.
pub struct Host {
    pub role: &'static str,
    pub addresses: Vec<SocketAddr>,
    /// Sockets that are bound to the addresses and never listen, so that no other socket takes a port while
    /// the host doesn't listen on it.
    pub _reserved_ports: [socket2::Socket; 2],
    pub messages: Receiver<HostMessage>,
    pub server: HostServer,
    pub last_message: Option<HostMessage>,
    pub backlog_streams: Vec<TcpStream>,
    /// Listeners from which nothing is accepted.
    pub unaccepting_listeners: Vec<TcpListener>,
    /// The number of accepted connections that are the test's own, or older than the last command `hear`.
    pub old_connections: usize,
    /// The last answer, and its bytes that are not sent yet.
    pub last_answer: Option<(TcpStream, Vec<u8>)>,
    pub unsent_bytes: Vec<u8>,
}

/// Connects until the port is closed: its accepting thread ends at the next connection, and a process that is
/// being spawned may hold the listener until it executes its program.
fn wait_until_refused(address: &SocketAddr) {
    let until = Instant::now() + TIMEOUT;
    let is_refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    while !TcpStream::connect_timeout(address, CONNECT_TIMEOUT).is_err_and(|error| is_refused(&error)) {
        assert!(Instant::now() < until, "{address} is still open");
        sleep(Duration::from_millis(1));
    }
}

/// Creates a socket bound to an address that other sockets of this kind may be bound to.
fn bound_socket(address: &str) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&address.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket
}

/// Creates a listener, with a small receive buffer if narrow.
pub fn listener(address: &str, narrow: bool, backlog: i32) -> TcpListener {
    let socket = bound_socket(address);
    if narrow {
        socket.set_recv_buffer_size(NARROW_BUFFER).unwrap();
    }
    socket.listen(backlog).unwrap();
    socket.into()
}

pub fn encode_answer(id: &str, word: &str, fields: &str, bytes: usize) -> Vec<u8> {
    let body = "x".repeat(bytes);
    let parts = [id, word, fields, &body].map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*4\r\n{}", parts.concat()).into_bytes()
}

fn read_message(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut number = |mark: char| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let count = number('*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut bytes = vec![0; line.trim_end().strip_prefix('$')?.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut bytes).ok()?;
        words.push(String::from_utf8_lossy(&bytes[..bytes.len() - 2]).into_owned());
    }
    Some(words)
}

/// The object of an attempt.
fn attempted_object(words: &[String]) -> &str {
    words[2].split("k=").nth(1).unwrap().split(',').next().unwrap()
}

impl Host {
    pub fn start(role: &'static str, narrow: bool) -> Host {
        let (sender, messages) = channel();
        let (streams, is_stopped, is_reading_stopped) = Default::default();
        let (auto_answer_bytes, paced_answers, busy_places, accepted, objects) = Default::default();
        let server = HostServer {
            messages: sender,
            streams,
            is_stopped,
            is_reading_stopped,
            auto_answer_bytes,
            paced_answers,
            busy_places,
            accepted,
            objects,
        };
        let reserved_ports = [0; 2].map(|_| bound_socket("127.0.0.1:0"));
        let address = |port: &socket2::Socket| port.local_addr().unwrap().as_socket().unwrap();
        let addresses: Vec<SocketAddr> = reserved_ports.iter().map(address).collect();
        let listen = |address: &SocketAddr| listener(&address.to_string(), narrow, BACKLOG);
        let listeners: Vec<TcpListener> = addresses.iter().map(listen).collect();
        let (last_message, backlog_streams, unaccepting_listeners) = Default::default();
        let (old_connections, last_answer, unsent_bytes) = Default::default();
        let host = Host {
            role,
            addresses,
            _reserved_ports: reserved_ports,
            messages,
            server,
            last_message,
            backlog_streams,
            unaccepting_listeners,
            old_connections,
            last_answer,
            unsent_bytes,
        };
        listeners.into_iter().for_each(|listener| host.open(listener));
        host
    }

    pub fn open(&self, listener: TcpListener) {
        let server = self.server.clone();
        spawn(move || server.accept(listener));
    }

    /// Closes the ports of the addresses.
    pub fn stop(&self) {
        self.server.is_stopped.store(true, Ordering::SeqCst);
        self.addresses.iter().for_each(wait_until_refused);
    }

    pub fn cut(&self) {
        let streams = std::mem::take(&mut *self.server.streams.lock().unwrap());
        streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Resets the host's connections; messages received before have been taken.
    pub fn reset(&mut self) {
        (self.last_message, self.last_answer) = (None, None);
        for stream in std::mem::take(&mut *self.server.streams.lock().unwrap()) {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    /// Fills the backlogs, so that the kernel drops new connects.
    pub fn stop_accepting_silently(&mut self) {
        self.stop();
        for address in self.addresses.clone() {
            let listener = listener(&address.to_string(), false, 1);
            while let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                self.backlog_streams.push(stream);
            }
            self.unaccepting_listeners.push(listener);
        }
    }

    /// Accepts connections again after the commands `deaf` or `down`.
    pub fn accept_again(&mut self) {
        self.server.is_stopped = Arc::default();
        self.old_connections = self.server.accepted.load(Ordering::SeqCst) + self.backlog_streams.len();
        self.backlog_streams.clear();
        let mut listeners = std::mem::take(&mut self.unaccepting_listeners);
        if listeners.is_empty() {
            let reopen = |address: &SocketAddr| listener(&address.to_string(), false, BACKLOG);
            listeners = self.addresses.iter().map(reopen).collect();
        }
        listeners.into_iter().for_each(|listener| self.open(listener));
    }
}

impl HostServer {
    fn accept(self, listener: TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            self.streams.lock().unwrap().push(stream.try_clone().unwrap());
            self.accepted.fetch_add(1, Ordering::SeqCst);
            let server = self.clone();
            spawn(move || server.read(stream));
        }
    }

    fn read(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        loop {
            while self.is_reading_stopped.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(1));
            }
            let Some(words) = read_message(&mut reader) else { return };
            if words[0] == "want" {
                self.objects.lock().unwrap().push(attempted_object(&words).to_owned());
            }
            let (auto, paced) =
                (*self.auto_answer_bytes.lock().unwrap(), *self.paced_answers.lock().unwrap());
            if let Some(pace) = paced {
                self.answer_paced(words, pace, &writer);
                continue;
            }
            match auto {
                Some(bytes) if words[0] == "want" => {
                    drop((&stream).write_all(&encode_answer(&words[1], "DONE", COPY_FIELDS, bytes)));
                }
                Some(_) => {}
                None => drop(self.messages.send(HostMessage { stream: stream.try_clone().unwrap(), words })),
            }
        }
    }
}

impl HostServer {
    /// Answers after the time that the object's size takes, or that the host is full if all places are in
    /// use.
    fn answer_paced(
        &self,
        words: Vec<String>,
        (places, pace): (usize, usize),
        writer: &Arc<Mutex<TcpStream>>,
    ) {
        if words[0] != "want" {
            return;
        }
        let bytes = SIZES.iter().find(|(digit, _)| attempted_object(&words).ends_with(*digit)).unwrap().1;
        let (server, writer) = (self.clone(), writer.clone());
        let write_answer = move |word: &str, fields: &str, bytes: usize| {
            drop(writer.lock().unwrap().write_all(&encode_answer(&words[1], word, fields, bytes)));
        };
        if self.busy_places.fetch_add(1, Ordering::SeqCst) >= places {
            self.busy_places.fetch_sub(1, Ordering::SeqCst);
            return write_answer("WAIT", "-", 0);
        }
        spawn(move || {
            sleep(Duration::from_secs_f64(bytes as f64 / pace as f64));
            server.busy_places.fetch_sub(1, Ordering::SeqCst);
            write_answer("DONE", COPY_FIELDS, bytes);
        });
    }
}
