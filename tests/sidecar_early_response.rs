//! Targets that respond before they have read the body of a request, keep the connection and read on later.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dragonflyquay::connection::upstream::SendError;
use dragonflyquay::sidecar::connection::pool::{Pool, TargetResponse};
use http::Request;
use http_body_util::Full;

/// Size of the body; more than the buffers of a connection hold.
const BODY_BYTES: usize = 12 << 20;
/// Longest wait for a step of the target.
const TIMEOUT: Duration = Duration::from_secs(20);

fn body() -> Vec<u8> {
    (0..BODY_BYTES).map(|i| (i / 251 % 256) as u8).collect()
}

/// Reads the head of a request. Returns its first line; `None` at the end of the connection.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(head).unwrap();
    text.lines().next().map(str::to_owned)
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
fn serve(i: usize, mut stream: TcpStream, events: &Sender<Event>, go_on: &Receiver<()>) {
    while let Some(line) = read_head(&mut stream) {
        let is_upload = line.starts_with("POST");
        let _ = events.send(Event::Request(i, line));
        respond(&mut stream);
        if is_upload && go_on.recv_timeout(TIMEOUT).is_ok() {
            let mut got = vec![0; BODY_BYTES];
            let whole = stream.read_exact(&mut got).is_ok() && got == body();
            let _ = events.send(Event::Body(i, whole));
        }
    }
    let _ = events.send(Event::End(i));
}

async fn send(pool: &Pool, method: &str, body: Vec<u8>) -> Result<TargetResponse, SendError> {
    let body = Full::new(Bytes::from(body));
    let req = Request::builder().method(method).uri("/x").body(body);
    let (response, conn) = pool.send(req.unwrap(), true, Duration::ZERO).await?;
    pool.put_back(conn, Duration::ZERO);
    Ok(response)
}

/// Guards against a request that waits behind the body of an earlier one or is taken for a part of it, and against a
/// target that does not get the rest of the body, or gets something else.
#[test]
fn a_target_that_responds_early_gets_exactly_the_rest_of_the_body() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (events, seen) = channel();
    let (go_on, first) = channel();
    std::thread::spawn(move || {
        let (mut first, (_none, mut later)) = (Some(first), channel());
        for (i, stream) in listener.incoming().flatten().enumerate() {
            let events = events.clone();
            let go_on = first.take().unwrap_or_else(|| {
                let (_, unused) = channel();
                std::mem::replace(&mut later, unused)
            });
            std::thread::spawn(move || serve(i, stream, &events, &go_on));
        }
    });
    let next = || seen.recv_timeout(TIMEOUT).unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let pool = Arc::new(Pool::new(address));
    let exchange = |method: &str, body: Vec<u8>| {
        let result = runtime
            .block_on(async { tokio::time::timeout(TIMEOUT, send(&pool, method, body)).await });
        assert_eq!(result.unwrap().unwrap().body, "hello");
    };
    exchange("POST", body());
    assert_eq!(next(), Event::Request(0, "POST /x HTTP/1.1".into()));
    // The connection is busy with the body.
    exchange("GET", Vec::new());
    assert_eq!(next(), Event::Request(1, "GET /x HTTP/1.1".into()));
    // Nobody waits for the connection any more.
    pool.clear();
    std::thread::sleep(Duration::from_millis(300));
    go_on.send(()).unwrap();
    assert_eq!(next_of(&next, 0), Event::Body(0, true));
    assert_eq!(next_of(&next, 0), Event::End(0));
}

/// The next event of a connection.
fn next_of<F>(next: &F, connection: usize) -> Event
where
    F: Fn() -> Event,
{
    loop {
        let event = next();
        let (Event::Request(i, _) | Event::Body(i, _) | Event::End(i)) = event;
        if i == connection {
            return event;
        }
    }
}
