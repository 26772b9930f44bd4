//! A site whose nodes get uploads, and callers that send them byte by byte.

use std::io::Read;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use super::super::workdir::{http, wait_until, Response};
use super::{config, fresh_id, Node, Site, HOST, SERVICE};

/// Size of the largest uploads.
pub const LARGE: usize = 360_000;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Counter of the bytes of bodies that arrived on links.
pub const BODY_BYTES: &str = "dq_sidecar_link_received_bytes_total{kind=\"body\"}";

/// A body in which every part differs from every other.
pub fn body(len: usize) -> String {
    let mut text: String = (0..len / 8 + 1).map(|n| format!("{n:07},")).collect();
    text.truncate(len);
    text
}

/// Nodes with narrow links. The target of the first one is draining, so that requests go to the other nodes.
pub struct UploadSite(pub Site);

impl UploadSite {
    pub fn start(nodes: usize) -> Self {
        let mut site = Site::empty();
        let upload = format!(
            r#",{{"name":"up","prefix":"/up/","route_type":"upload","timeout_ms":9000,"priority":2,"service":"{SERVICE}","retry_attempts":2}}"#
        );
        site.store.put_config(&config(1, &upload));
        for i in 0..nodes {
            site.add_node_with(i, "link_mbps = 10.0\n");
        }
        site.nodes.iter().for_each(Node::wait_ready);
        site.wait_linked();
        site.nodes[0].target.state.lock().unwrap().reported = "draining";
        wait_until("requests go to the other nodes", || {
            let id = fresh_id();
            site.nodes[0].send_as(&id, "GET", "/safe/x", "4000");
            let others = site.nodes[1..].iter();
            others.map(|n| n.target.runs(&id)).sum::<usize>() == 1
        });
        Self(site)
    }

    pub fn entry(&self) -> &Node {
        &self.0.nodes[0]
    }

    /// Bodies that targets received for a request.
    pub fn received(&self, id: &str) -> Vec<Vec<u8>> {
        let mut found = Vec::new();
        for n in &self.0.nodes {
            let received = n.target.received.lock().unwrap();
            let own = received.iter().filter(|r| r.id == id);
            found.extend(own.map(|r| r.body.clone()));
        }
        found
    }

    /// Sends an upload of [`LARGE`] bytes in another thread.
    pub fn upload(&self, id: &str, path: &str) -> JoinHandle<Option<Response>> {
        let (caller, id, path) = (self.entry().caller, id.to_owned(), path.to_owned());
        std::thread::spawn(move || send(caller, &id, &path, "9000", &body(LARGE)))
    }
}

pub fn send(
    caller: std::net::SocketAddr,
    id: &str,
    path: &str,
    timeout_ms: &str,
    body: &str,
) -> Option<Response> {
    let headers = [
        ("dragonflyquay-request-id", id),
        ("dragonflyquay-deadline-ms", timeout_ms),
        ("host", HOST),
    ];
    http(caller, "POST", path, &headers, body)
}

/// Head of a request that announces a body.
pub fn head(id: &str, path: &str, timeout_ms: u64, len: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\ndragonflyquay-request-id: {id}\r\n\
         dragonflyquay-deadline-ms: {timeout_ms}\r\ncontent-length: {len}\r\n\r\n"
    )
}

pub fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.caller).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .unwrap();
    stream
}

/// Reads a response with a content length. Returns its status line and its body.
pub fn read_response(stream: &mut TcpStream) -> (String, String) {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "the response ends early"
        );
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).unwrap().to_ascii_lowercase();
    let len = text.split("content-length: ").nth(1).unwrap();
    let len = len.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; len];
    stream.read_exact(&mut body).unwrap();
    (text, String::from_utf8(body).unwrap())
}

pub fn metric(node: &Node, name: &str) -> u64 {
    let page = http(node.admin, "GET", "/metrics", &[], "").unwrap().body;
    let line = page.lines().find(|l| l.starts_with(&format!("{name} ")));
    line.map_or(0, |l| l.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Maximum memory that a process has used, in bytes.
pub fn max_memory(node: &Node) -> u64 {
    let page = std::fs::read_to_string(format!("/proc/{}/status", node.process.pid())).unwrap();
    let line = page.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb << 10
}
