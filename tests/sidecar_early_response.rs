//! Targets that respond before they have read the body of a request, keep the connection and read on later.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dragonflyquay::connection::upstream::SendError;
use dragonflyquay::sidecar::connection::pool::{Pool, TargetResponse};
use http::Request;
use http_body_util::Full;
use tokio::runtime::Runtime;

/// Size of the body; more than the buffers of a connection hold.
const BODY_BYTES: usize = 12 << 20;
/// Longest wait for a step of the target.
const TIMEOUT: Duration = Duration::from_secs(20);

fn body(len: usize) -> Vec<u8> {
    (0..len).map(|i| (i / 251 % 256) as u8).collect()
}

/// Reads the head of a request. Returns its first line and the length of its body; `None` at the end of the connection.
fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let len = text
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let line = text.lines().next()?.to_ascii_uppercase();
    Some((line, len.map_or(0, |l| l.parse().unwrap())))
}

fn respond(stream: &mut TcpStream) {
    let head =
        "HTTP/1.1 200 OK\r\ndragonflyquay-request-id: 1\r\ndragonflyquay-response-signature: s";
    let text = format!("{head}\r\ncontent-length: 5\r\n\r\nhello");
    let _ = stream.write_all(text.as_bytes());
}

/// What a target saw on a connection.
#[derive(Debug, PartialEq, Eq)]
enum Event {
    Request(usize, String),
    /// The body of the upload arrived: whether it was the right one.
    Body(usize, bool),
    End(usize),
}

/// Responds to each request on connection `i` at once. The body of an upload is read once `go_on` says so.
fn serve(i: usize, mut stream: TcpStream, events: &Sender<Event>, go_on: &Mutex<Receiver<()>>) {
    while let Some((line, len)) = read_head(&mut stream) {
        let _ = events.send(Event::Request(i, line));
        respond(&mut stream);
        if len > 0 && go_on.lock().unwrap().recv_timeout(TIMEOUT).is_ok() {
            let mut got = vec![0; len];
            let whole = stream.read_exact(&mut got).is_ok() && got == body(len);
            let _ = events.send(Event::Body(i, whole));
        }
    }
    let _ = events.send(Event::End(i));
}

/// A target, and a pool of connections to it.
struct Exchanges {
    runtime: Runtime,
    pool: Arc<Pool>,
    events: Receiver<Event>,
    go_on: Sender<()>,
}

impl Exchanges {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = channel();
        let (go_on, receiver) = channel();
        std::thread::spawn(move || {
            let receiver = Arc::new(Mutex::new(receiver));
            for (i, stream) in listener.incoming().flatten().enumerate() {
                let (sender, receiver) = (sender.clone(), receiver.clone());
                std::thread::spawn(move || serve(i, stream, &sender, &receiver));
            }
        });
        Self {
            runtime: Runtime::new().unwrap(),
            pool: Arc::new(Pool::new(address)),
            events,
            go_on,
        }
    }

    /// Sends a request with a body of this length at a time of the pool's clock, and reads its response.
    fn exchange(&self, method: &str, len: usize, now: u64) {
        let now = Duration::from_millis(now);
        let result = self.runtime.block_on(async {
            tokio::time::timeout(TIMEOUT, send(&self.pool, method, body(len), now)).await
        });
        assert_eq!(result.unwrap().unwrap().body, "hello");
    }

    fn next(&self) -> Event {
        self.events.recv_timeout(TIMEOUT).unwrap()
    }

    /// The next event of a connection.
    fn next_of(&self, connection: usize) -> Event {
        loop {
            let event = self.next();
            let (Event::Request(i, _) | Event::Body(i, _) | Event::End(i)) = event;
            if i == connection {
                return event;
            }
        }
    }
}

async fn send(
    pool: &Pool,
    method: &str,
    body: Vec<u8>,
    now: Duration,
) -> Result<TargetResponse, SendError> {
    let body = Full::new(Bytes::from(body));
    let req = Request::builder().method(method).uri("/x").body(body);
    let (response, conn) = pool.send(req.unwrap(), true, now).await?;
    pool.put_back(conn, now);
    Ok(response)
}

/// Guards against a request that waits behind the body of an earlier one or is taken for a part of it, and against a
/// target that does not get the rest of the body, or gets something else.
#[test]
fn a_target_that_responds_early_gets_exactly_the_rest_of_the_body() {
    let e = Exchanges::start();
    e.exchange("POST", BODY_BYTES, 0);
    assert_eq!(e.next(), Event::Request(0, "POST /X HTTP/1.1".into()));
    // The connection is busy with the body, whatever time passes.
    e.exchange("GET", 0, 3000);
    assert_eq!(e.next(), Event::Request(1, "GET /X HTTP/1.1".into()));
    // Nobody waits for the connection any more.
    e.pool.clear();
    std::thread::sleep(Duration::from_millis(300));
    e.go_on.send(()).unwrap();
    assert_eq!(e.next_of(0), Event::Body(0, true));
    assert_eq!(e.next_of(0), Event::End(0));
}

/// Guards against a request that waits behind a body that is in the buffers of the system, and against connections that
/// are never used again after a large body.
#[test]
fn a_connection_rests_after_a_large_body() {
    let e = Exchanges::start();
    e.exchange("POST", 60_000, 0);
    assert_eq!(e.next(), Event::Request(0, "POST /X HTTP/1.1".into()));
    e.exchange("GET", 0, 500);
    assert_eq!(e.next(), Event::Request(1, "GET /X HTTP/1.1".into()));
    e.go_on.send(()).unwrap();
    assert_eq!(e.next(), Event::Body(0, true));
    // The connection is used again after a while, unless its task has yet to notice that the body is written.
    let used_again = (0..50).any(|_| {
        let e = Exchanges::start();
        e.exchange("POST", 60_000, 0);
        e.go_on.send(()).unwrap();
        assert_eq!(e.next(), Event::Request(0, "POST /X HTTP/1.1".into()));
        assert_eq!(e.next(), Event::Body(0, true));
        e.exchange("GET", 0, 1200);
        e.next() == Event::Request(0, "GET /X HTTP/1.1".into())
    });
    assert!(used_again);
}
