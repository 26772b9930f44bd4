//! Requests that a caller sends on a connection before it has the responses to the earlier ones.
//!
//! The HTTP library handles the requests of a connection one after the other. This state machine finds the heads of
//! idempotent requests among the bytes that have arrived, and starts these requests while an earlier one runs. The
//! library then parses the same bytes and gets the response of the request that was started, so that the responses
//! leave in the order of the requests. Everything else waits for its turn: requests with a body, requests that are not
//! idempotent and what comes after them.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;

use bytes::{Buf, Bytes, BytesMut};
use http::{
    header, request, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version,
};
use http_body::Body as _;
use http_body_util::Empty;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;

use super::meter::{ActiveRequest, Meter};
use crate::prelude::*;
use crate::request::body::Body;

/// A request that is being handled.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Decides which requests are started early, and starts them.
pub trait EarlyStart: Send + Sync {
    /// Whether a request may run beside other requests of its connection.
    fn may_overlap(&self, request: &request::Parts) -> bool;
    /// Handles a request without a body.
    fn start(&self, request: Request<Empty<Bytes>>) -> ResponseFuture;
}

/// Limits on requests that are started early.
#[derive(Clone)]
pub(super) struct PipelineLimits {
    /// Maximum number of requests of a connection that wait to be handed to the library.
    pub(super) requests: usize,
    /// Room for such requests of all connections.
    pub(super) room: Arc<Semaphore>,
    /// Maximum number of headers of a request.
    pub(super) headers: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub(super) header_bytes: usize,
    /// Measures what the connection holds, if the process has a budget.
    pub(super) meter: Option<Meter>,
}

/// Response of a request that was started early. Dropping it cancels the request.
pub(super) struct EarlyResponse(JoinHandle<Response<Body>>);

impl EarlyResponse {
    /// Waits for the response; `None` if its task failed.
    pub(super) async fn wait(&mut self) -> Option<Response<Body>> {
        (&mut self.0).await.ok()
    }
}

impl Drop for EarlyResponse {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request that was started early.
struct StartedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    response: EarlyResponse,
    _room: OwnedSemaphorePermit,
}

/// What the bytes after the started requests are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// The head of a request, or the beginning of one.
    Head,
    /// Bytes of unknown kind, or a request that must wait for its turn.
    Unknown,
}

/// Bytes of a connection that the HTTP library has not read, and the requests among them that were started.
pub(super) struct Pipeline {
    starter: Option<Arc<dyn EarlyStart>>,
    limits: PipelineLimits,
    bytes: BytesMut,
    /// Number of bytes at the front that belong to started requests.
    started_bytes: usize,
    started: VecDeque<StartedRequest>,
    next: Next,
    /// Whether the library handles a request.
    running: bool,
    /// Whether no more requests are to be started.
    stopped: bool,
    blank_line: BlankLine,
}

impl Pipeline {
    pub(super) fn new(starter: Option<Arc<dyn EarlyStart>>, limits: PipelineLimits) -> Self {
        Self {
            starter,
            limits,
            bytes: BytesMut::new(),
            started_bytes: 0,
            started: VecDeque::new(),
            next: Next::Unknown,
            running: false,
            stopped: false,
            blank_line: BlankLine::default(),
        }
    }

    /// Number of bytes that the library has not read.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether requests that were started wait to be handed to the library.
    pub(super) fn has_started(&self) -> bool {
        !self.started.is_empty()
    }

    /// Starts no more requests.
    pub(super) fn stop(&mut self) {
        self.stopped = true;
    }

    /// Adds bytes that have arrived, and starts the requests among them.
    pub(super) fn add(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        self.start_requests();
    }

    /// Moves bytes to the library, at most `max`. They end with the first blank line: the library then holds nothing
    /// beyond the head of a request when it begins to handle it.
    pub(super) fn take(&mut self, max: usize) -> Bytes {
        let available = match self.next {
            Next::Head if self.running || self.has_started() => self.started_bytes,
            _ => self.bytes.len(),
        };
        let len = self.blank_line.find_end(&self.bytes[..available.min(max)]);
        if len > self.started_bytes {
            // Where the next head begins is known again once the library handles the request.
            self.next = Next::Unknown;
        }
        self.started_bytes = self.started_bytes.saturating_sub(len);
        let taken = Bytes::copy_from_slice(&self.bytes[..len]);
        self.bytes.advance(len);
        taken
    }

    /// Records that the library begins to handle a request; `has_body` tells whether it has a body. Returns its
    /// response if it was started early.
    pub(super) fn begin(
        &mut self,
        request: &request::Parts,
        has_body: bool,
    ) -> Option<EarlyResponse> {
        self.running = true;
        if let Some(first) = self.started.pop_front() {
            let same = first.method == request.method
                && first.uri == request.uri
                && first.headers == request.headers;
            if same {
                self.start_requests();
                return Some(first.response);
            }
            // The library reads the bytes differently, so nothing that was found in them is trusted.
            self.abandon();
            return None;
        }
        let before_head = self
            .starter
            .as_ref()
            .is_some_and(|s| !has_body && keeps_connection(request) && s.may_overlap(request));
        self.next = match before_head {
            true => Next::Head,
            false => Next::Unknown,
        };
        self.start_requests();
        None
    }

    /// Records that the response to the request that the library handles is complete.
    pub(super) fn end(&mut self) {
        self.running = false;
    }

    fn abandon(&mut self) {
        self.started.clear();
        self.started_bytes = 0;
        self.next = Next::Unknown;
        self.stopped = true;
    }

    /// Starts the requests whose heads are complete.
    fn start_requests(&mut self) {
        let Some(starter) = self.starter.clone() else {
            return;
        };
        while self.next == Next::Head
            && !self.stopped
            && self.started.len() < self.limits.requests
            && self.started_bytes < self.bytes.len()
            && self
                .limits
                .meter
                .as_ref()
                .is_none_or(Meter::may_start_early)
        {
            let Ok(room) = self.limits.room.clone().try_acquire_owned() else {
                return;
            };
            match parse_head(&self.bytes[self.started_bytes..], &self.limits) {
                Parsed::Head(head, len) if starter.may_overlap(&head) => {
                    let active = match &self.limits.meter {
                        None => None,
                        // Without room the request waits for its turn.
                        Some(meter) => match meter.begin_early(&head.headers) {
                            None => return,
                            active => active,
                        },
                    };
                    self.started_bytes += len;
                    let request = start_request(&*starter, *head, room, active);
                    self.started.push_back(request);
                }
                Parsed::Head(..) | Parsed::Other => self.next = Next::Unknown,
                Parsed::Partial => return,
            }
        }
    }
}

fn start_request(
    starter: &dyn EarlyStart,
    head: request::Parts,
    room: OwnedSemaphorePermit,
    active: Option<ActiveRequest>,
) -> StartedRequest {
    let (method, uri, headers) = (head.method.clone(), head.uri.clone(), head.headers.clone());
    let request_method = method.clone();
    let starting = starter.start(Request::from_parts(head, Empty::new()));
    let response = async move {
        let response = starting.await;
        if let Some(active) = active {
            active.respond(response_bytes(&request_method, &response));
        }
        response
    };
    StartedRequest {
        method,
        uri,
        headers,
        response: EarlyResponse(tokio::spawn(response)),
        _room: room,
    }
}

/// Bytes of the body of a response that its client has to read.
pub(super) fn response_bytes(method: &Method, response: &Response<Body>) -> usize {
    match *method {
        Method::HEAD => 0,
        _ => usize::try_from(response.body().size_hint().lower()).unwrap_or(usize::MAX),
    }
}

/// Whether the connection stays an HTTP/1.1 connection after a request.
fn keeps_connection(request: &request::Parts) -> bool {
    let keep_alive = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"keep-alive");
    let connection = request.headers.get_all(header::CONNECTION);
    request.version == Version::HTTP_11
        && connection.iter().all(keep_alive)
        && !request.headers.contains_key(header::UPGRADE)
}

/// Result of looking for a head at the front of some bytes.
enum Parsed {
    /// A request without a body, and the length of its head.
    Head(Box<request::Parts>, usize),
    /// The beginning of a head.
    Partial,
    /// Something that is left to the library.
    Other,
}

fn parse_head(data: &[u8], limits: &PipelineLimits) -> Parsed {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut parsed = httparse::Request::new(&mut headers);
    let len = match parsed.parse(data) {
        Ok(httparse::Status::Complete(len)) if len <= limits.header_bytes => len,
        Ok(httparse::Status::Partial) if data.len() < limits.header_bytes => {
            return Parsed::Partial
        }
        _ => return Parsed::Other,
    };
    match request_parts(&parsed).filter(|head| !has_body(head) && keeps_connection(head)) {
        Some(head) => Parsed::Head(Box::new(head), len),
        None => Parsed::Other,
    }
}

/// Converts a parsed head; `None` if a part of it is invalid.
fn request_parts(parsed: &httparse::Request<'_, '_>) -> Option<request::Parts> {
    let version = match parsed.version? {
        1 => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse().ok()?;
    *request.version_mut() = version;
    for h in parsed.headers.iter() {
        let name = HeaderName::from_bytes(h.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(h.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request.into_parts().0)
}

/// Whether a request may have a body, or announces something else that the library must handle.
fn has_body(head: &request::Parts) -> bool {
    let h = &head.headers;
    let empty = |v: &HeaderValue| v.as_bytes() == b"0";
    !h.get_all(header::CONTENT_LENGTH).iter().all(empty)
        || h.contains_key(header::TRANSFER_ENCODING)
        || h.contains_key(header::EXPECT)
        || head.method == Method::CONNECT
}

/// Finds blank lines in bytes that arrive in parts.
#[derive(Debug, Default)]
struct BlankLine {
    /// Whether the last line so far is empty, apart from a carriage return.
    empty: bool,
}

impl BlankLine {
    /// Length of the bytes up to the end of the first blank line; that of all bytes if there is none.
    fn find_end(&mut self, data: &[u8]) -> usize {
        for (i, byte) in data.iter().enumerate() {
            match byte {
                b'\n' if self.empty => {
                    self.empty = false;
                    return i + 1;
                }
                b'\n' => self.empty = true,
                b'\r' => {}
                _ => self.empty = false,
            }
        }
        data.len()
    }
}
