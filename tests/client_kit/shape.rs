//! What the clients of a crowd send, and where.

use std::time::Duration;

use super::super::site_kit::{fresh_id, HOST};
use super::{BODY_BYTES, CROWD, FIELDS, HEADER_BYTES};

/// Where a crowd connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// A path with a route, on the caller port.
    Route,
    /// A path without a route, on the caller port.
    NoRoute,
    /// The path of the readiness check, on the caller port.
    ReadyPath,
    /// The readiness port.
    Ready,
    /// The control port.
    Control,
    /// The port of the metrics and the admin API.
    Admin,
    /// The port between nodes.
    Relay,
}

/// A way to respect no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Bodies of the largest legal size, written at once without their last byte.
    WholeBody,
    /// Bodies in pieces of a few bytes, each in a packet of its own, without their last byte.
    SmallPieces,
    /// Bodies in chunks, without the last chunk.
    Chunks,
    /// Bodies that announce far more than the limit.
    OverAnnounced,
    /// Bodies in chunks without end.
    OverChunked,
    /// Heads of legal size that consist of very many short fields.
    ShortFields,
    /// Many requests on one connection, whose responses are not read.
    Pipelined,
    /// Heads that arrive a byte at a time.
    SlowSend,
    /// Single requests for a large response that is not read.
    SlowRead,
    /// Heads that stop half-way.
    HalfHead,
}

/// Everything that one client writes.
#[derive(Debug, Clone, Default)]
pub struct Script {
    pub head: String,
    /// Time between the starts of two clients.
    pub stagger: Duration,
    /// Whether the client waits for a response to the head.
    pub waits: bool,
    /// Written after the head.
    pub start: Vec<u8>,
    /// Pause before each piece.
    pub pause: Duration,
    pub piece: Vec<u8>,
    /// How often the piece is written.
    pub pieces: usize,
}

/// Stands for a request id in a head.
pub const ID: &str = "@id@";
/// Pieces of a body that arrives in small pieces, and their size in bytes.
const SMALL_PIECES: (usize, usize) = (500, 64);
/// Pause between these pieces, so that each arrives in a packet of its own.
const SMALL_PAUSE: Duration = Duration::from_millis(3);
/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Times the legal size that a body over the limit has.
const OVER: usize = 16;
/// Requests on one connection; together more than the process reads ahead.
const REQUESTS: usize = 1000;
/// Pause between the bytes of a slow head.
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Connections that pipeline requests: each has many large responses, and the target needs time for them.
const PIPELINING_CROWD: usize = 20;
/// Most bytes of the short fields of a head; the rest is the request line and the fields that each request has.
const FIELD_BYTES: usize = HEADER_BYTES - 1024;

impl Shape {
    /// Number of clients in the crowd.
    pub fn crowd(self) -> usize {
        match self {
            Self::Pipelined => PIPELINING_CROWD,
            _ => CROWD,
        }
    }

    /// What each client writes at a door.
    pub fn script(self, door: Door) -> Script {
        match (door, self) {
            (Door::Relay, Self::ShortFields | Self::SlowSend | Self::HalfHead) => self.heads(door),
            (Door::Relay, _) => self.frames(),
            (_, Self::ShortFields | Self::SlowSend | Self::HalfHead) => self.heads(door),
            (_, Self::Pipelined | Self::SlowRead) => self.reads(door),
            _ => self.bodies(door),
        }
    }

    /// Time between the starts of two clients: the target runs few requests at once, and what it rejects makes the process
    /// hold nothing.
    fn stagger(self) -> Duration {
        match self {
            Self::ShortFields | Self::Pipelined | Self::SlowRead => Duration::from_millis(20),
            _ => Duration::ZERO,
        }
    }

    fn bodies(self, door: Door) -> Script {
        let body = vec![b'x'; BODY_BYTES - 1];
        let chunk = |bytes: usize| chunk(&vec![b'x'; bytes]);
        let length = |bytes: usize| format!("content-length: {bytes}\r\n\r\n");
        let chunked = "transfer-encoding: chunked\r\n\r\n".to_owned();
        let (framing, piece, pieces) = match self {
            Self::SmallPieces => {
                let (count, bytes) = SMALL_PIECES;
                (length(count * bytes + 1), vec![b'x'; bytes], count)
            }
            Self::Chunks => (chunked, chunk(CHUNK_BYTES), BODY_BYTES / CHUNK_BYTES - 1),
            Self::OverAnnounced => (length(OVER * BODY_BYTES), body, OVER),
            Self::OverChunked => (chunked, chunk(CHUNK_BYTES), OVER * BODY_BYTES / CHUNK_BYTES),
            _ => (length(BODY_BYTES), body, 1),
        };
        Script {
            head: request_head(door, true) + &framing,
            stagger: self.stagger(),
            waits: false,
            start: Vec::new(),
            pause: match self {
                Self::SmallPieces => SMALL_PAUSE,
                _ => Duration::ZERO,
            },
            piece,
            pieces,
        }
    }

    fn heads(self, door: Door) -> Script {
        // A response that is slow, so that the heads of the requests are held meanwhile.
        let first = |door| request_head(door, false).replace("/safe/large", "/safe/slow");
        let head = first(door);
        let short = |i: usize| format!("a{i:x}:\r\n");
        let (piece, pieces) = match self {
            Self::SlowSend => (b"a".to_vec(), HEADER_BYTES),
            Self::HalfHead => (format!("x: {}", "a".repeat(FIELD_BYTES)).into(), 1),
            _ => {
                let fields = (0..FIELDS - 16).map(short).collect::<String>();
                assert!(fields.len() < FIELD_BYTES);
                // All requests but the last one wait for their turn.
                let again = format!("\r\n{}{fields}", with_id(&first(door)));
                (again.into(), 4)
            }
        };
        Script {
            head,
            stagger: self.stagger(),
            waits: false,
            start: Vec::new(),
            pause: match self {
                Self::SlowSend => SLOW_PAUSE,
                _ => Duration::ZERO,
            },
            piece,
            pieces,
        }
    }

    fn reads(self, door: Door) -> Script {
        let request = request_head(door, false) + "\r\n";
        let pieces = match self {
            Self::Pipelined => REQUESTS,
            _ => 1,
        };
        Script {
            head: String::new(),
            stagger: self.stagger(),
            waits: false,
            start: Vec::new(),
            pause: Duration::ZERO,
            piece: request.replace(ID, &fresh_id()).into(),
            pieces,
        }
    }

    /// Messages of a peer that is no node: frames of the protocol of links without the messages of a node.
    fn frames(self) -> Script {
        let head = request_head(Door::Relay, false)
            + "connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n\
               sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
        let body = vec![b'x'; BODY_BYTES - 1];
        let (start, piece, pieces) = match self {
            Self::SmallPieces => {
                let (count, bytes) = SMALL_PIECES;
                let start = frame(2, true, count * bytes + 1);
                (start, vec![b'x'; bytes], count)
            }
            Self::Chunks | Self::OverChunked => {
                let part = [frame(0, false, CHUNK_BYTES), vec![b'x'; CHUNK_BYTES]].concat();
                let bytes = match self {
                    Self::Chunks => BODY_BYTES,
                    _ => OVER * BODY_BYTES,
                };
                (frame(2, false, 0), part, bytes / CHUNK_BYTES - 1)
            }
            Self::OverAnnounced => (frame(2, true, 15 * BODY_BYTES), body, OVER - 2),
            // Pings, which are answered.
            Self::Pipelined => (
                vec![],
                [frame(9, true, 100), vec![b'x'; 100]].concat(),
                10_000,
            ),
            Self::SlowRead => (vec![], frame(9, true, 0), 1),
            _ => (frame(2, true, BODY_BYTES), body, 1),
        };
        Script {
            head,
            pause: match self {
                Self::SmallPieces => SMALL_PAUSE,
                _ => Duration::ZERO,
            },
            stagger: self.stagger(),
            waits: true,
            start,
            piece,
            pieces,
        }
    }
}

impl Script {
    /// Head of the first request, with an id of its own.
    pub fn head(&self) -> String {
        with_id(&self.head)
    }
}

fn with_id(head: &str) -> String {
    head.replace(ID, &fresh_id())
}

/// Request line and the fields that each request needs, without the blank line.
pub fn request_head(door: Door, has_body: bool) -> String {
    let (method, path) = match door {
        Door::Route if has_body => ("POST", "/once/x"),
        Door::Route => ("GET", "/safe/large"),
        Door::NoRoute if has_body => ("POST", "/nowhere/x"),
        Door::NoRoute => ("GET", "/nowhere/x"),
        Door::ReadyPath | Door::Ready if has_body => ("POST", "/api/ready"),
        Door::ReadyPath | Door::Ready => ("GET", "/api/ready"),
        Door::Control => ("PUT", "/api/instances/i-0"),
        Door::Admin if has_body => ("POST", "/metrics"),
        Door::Admin => ("GET", "/metrics"),
        Door::Relay => ("GET", "/link"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ndragonflyquay-request-id: {ID}\r\ndragonflyquay-deadline-ms: 4000\r\n"
    )
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", data.len());
    [size.as_bytes(), data, b"\r\n"].concat()
}

/// First bytes of a masked frame whose mask is zero.
fn frame(code: u8, last: bool, bytes: usize) -> Vec<u8> {
    let mut out = vec![code | if last { 0x80 } else { 0 }, 0xff];
    out.extend_from_slice(&(bytes as u64).to_be_bytes());
    out.extend_from_slice(&[0; 4]);
    out
}
