//! HTTP/1.1 for the stand-ins: reading messages, and a server with a thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

fn read_line(r: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    r.read_until(b'\n', &mut line).ok()?;
    if line.last() != Some(&b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads a request or a response with a length or chunks; `None` if the connection ends first.
pub fn read_message(r: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut m = Message {
        line: read_line(r)?,
        ..Message::default()
    };
    loop {
        let line = read_line(r)?;
        match line.split_once(':') {
            _ if line.is_empty() => break,
            Some((k, v)) => m.headers.push((k.trim().into(), v.trim().into())),
            None => return None,
        }
    }
    if m.header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let size = usize::from_str_radix(read_line(r)?.split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            r.read_exact(&mut chunk).ok()?;
            m.body.extend(chunk);
            read_line(r)?;
            if size == 0 {
                return Some(m);
            }
        }
    }
    let len = m.header("content-length").parse().unwrap_or(0);
    m.body = vec![0; len];
    r.read_exact(&mut m.body).ok()?;
    Some(m)
}

/// Serves connections; a handler that returns `None` closes its connection.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Message) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(m) = read_message(&mut reader) {
                    let written = handler(m).map(|response| writer.write_all(&response));
                    if !matches!(written, Some(Ok(()))) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend(body);
    out
}

/// Sends a request on a new connection and waits for the response; `None` if there is none in time.
pub fn call(to: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Option<Message> {
    let end = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut out = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend(body);
    writer.write_all(&out).ok()?;
    read_message(&mut BufReader::new(stream))
}
