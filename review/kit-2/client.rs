//! Consumers on kept connections, and helpers for clients of a crowd.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::Duration;

use crate::http::read_message;
use crate::record::Record;
use crate::site::{fresh_id, HOST};

/// Time limit of a request.
pub const LIMIT_MS: u64 = 1000;

pub fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: {LIMIT_MS}\r\n"
    )
}

/// Time between the first requests of two consumers, so that their later ones do not end together.
const STAGGER: Duration = Duration::from_millis(13);

/// How a request on a kept connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Answered(u16),
    /// The connection ended without an answer.
    Closed,
    /// There was no answer within the time limit.
    Late,
}

/// A connection that a consumer keeps open.
pub struct Kept {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    /// Number of requests that were answered on it.
    pub answered: usize,
}

impl Kept {
    pub fn open(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        // A little beyond the time limit, so that an answer at its very end still counts.
        let limit = Duration::from_millis(LIMIT_MS + 500);
        stream.set_read_timeout(Some(limit)).ok()?;
        let writer = stream.try_clone().ok()?;
        Some(Self {
            reader: BufReader::new(stream),
            writer,
            answered: 0,
        })
    }

    /// Sends a request without a body and waits for its answer.
    pub fn request(&mut self, method: &str, path: &str, id: &str) -> End {
        let out = format!("{}Content-Length: 0\r\n\r\n", head(method, path, id));
        if self.writer.write_all(out.as_bytes()).is_err() {
            return End::Closed;
        }
        match read_message(&mut self.reader) {
            Some(m) => {
                self.answered += 1;
                End::Answered(m.status())
            }
            None => match self.reader.get_ref().take_error() {
                _ if self.is_open() => End::Late,
                _ => End::Closed,
            },
        }
    }

    fn is_open(&self) -> bool {
        let stream = self.reader.get_ref();
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Starts consumers that send one request after the other on kept connections.
pub fn start_kept(
    count: usize,
    to: SocketAddr,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    (0..count)
        .map(|i| {
            let (record, stop) = (record.clone(), stop.clone());
            std::thread::spawn(move || {
                sleep(STAGGER * i as u32);
                consume(to, &record, &stop);
            })
        })
        .collect()
}

fn consume(to: SocketAddr, record: &Record, stop: &AtomicBool) {
    let mut kept: Option<Kept> = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(c) = kept.as_mut() else {
            kept = Kept::open(to);
            sleep(Duration::from_millis(20));
            continue;
        };
        let (id, sent, was_kept) = (fresh_id(), record.now(), c.answered > 0);
        let end = c.request("POST", "/once/booking", &id);
        let status = match end {
            End::Answered(status) => status,
            _ => 0,
        };
        record.answered(&id, sent, status);
        if end == End::Closed && was_kept {
            record.closed.lock().unwrap().push(id);
        }
        if !matches!(end, End::Answered(_)) {
            kept = None;
        }
    }
}

/// Number of threads that connect a crowd.
const CROWD_THREADS: usize = 16;

/// Connects the clients of a crowd, from several threads.
pub fn connect_crowd<F>(count: usize, connect: F) -> Vec<TcpStream>
where
    F: Fn() -> Option<TcpStream> + Clone + Send + 'static,
{
    let threads: Vec<_> = (0..CROWD_THREADS)
        .map(|i| {
            let connect = connect.clone();
            let part = count / CROWD_THREADS + usize::from(i < count % CROWD_THREADS);
            std::thread::spawn(move || (0..part).filter_map(|_| connect()).collect::<Vec<_>>())
        })
        .collect();
    threads
        .into_iter()
        .flat_map(|t| t.join().unwrap())
        .collect()
}
