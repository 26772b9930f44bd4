//! HTTP/1.1 over TCP: one exchange at a time on a connection, for the stand-ins of servers and of clients.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response, without its first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request as a server reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub message: Message,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query field, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let found = query.split('&').filter_map(|p| p.split_once('='));
        let value = found.filter(|(k, _)| *k == name).map(|(_, v)| v).next()?;
        let bytes = value.as_bytes();
        let (mut out, mut i) = (Vec::new(), 0);
        while i < bytes.len() {
            match bytes[i] {
                b'%' => {
                    let hex = value.get(i + 1..i + 3)?;
                    out.push(u8::from_str_radix(hex, 16).ok()?);
                    i += 3;
                }
                b => {
                    out.push(b);
                    i += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

fn read_line<R: BufRead>(r: &mut R) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    match r.read_line(&mut line)? {
        0 => Ok(None),
        _ => Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned())),
    }
}

fn broken(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text)
}

/// Reads headers and a body. `to_end` says that a body without a length ends with the connection.
fn read_message<R: BufRead>(r: &mut R, has_body: bool, to_end: bool) -> std::io::Result<Message> {
    let mut m = Message::default();
    loop {
        let line = read_line(r)?.ok_or_else(|| broken("the head ends early"))?;
        if line.is_empty() {
            break;
        }
        let (k, v) = line.split_once(':').ok_or_else(|| broken("malformed header"))?;
        m.headers.push((k.trim().to_owned(), v.trim().to_owned()));
    }
    if !has_body {
        return Ok(m);
    }
    let chunked = m.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let length = m.header("content-length").and_then(|v| v.parse::<usize>().ok());
    match (chunked, length) {
        (true, _) => loop {
            let line = read_line(r)?.ok_or_else(|| broken("the body ends early"))?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| broken("malformed chunk"))?;
            let mut chunk = vec![0; size];
            r.read_exact(&mut chunk)?;
            m.body.extend_from_slice(&chunk);
            read_line(r)?;
            if size == 0 {
                break;
            }
        },
        (false, Some(length)) => {
            m.body = vec![0; length];
            r.read_exact(&mut m.body)?;
        }
        (false, None) if to_end => {
            r.read_to_end(&mut m.body)?;
        }
        (false, None) => {}
    }
    Ok(m)
}

/// Reads a request; `None` if the connection ends before one.
pub fn read_request<R: BufRead>(r: &mut R) -> std::io::Result<Option<Request>> {
    let Some(line) = read_line(r)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(broken("malformed request line"));
    };
    let (method, target) = (method.to_owned(), target.to_owned());
    let message = read_message(r, true, false)?;
    Ok(Some(Request { method, target, message }))
}

/// Writes a response with a length.
pub fn write_response(s: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    s.write_all(&out)
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.reader.get_ref().set_read_timeout(Some(timeout));
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Sends a request and reads its response: the status, the headers and the body.
    pub fn exchange(
        &mut self,
        method: &str,
        target: &str,
        headers: &str,
        body: &[u8],
    ) -> std::io::Result<(u16, Message)> {
        let head = format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        let mut out = head.into_bytes();
        out.extend_from_slice(body);
        self.reader.get_mut().write_all(&out)?;
        self.read_response()
    }

    pub fn read_response(&mut self) -> std::io::Result<(u16, Message)> {
        loop {
            let line = read_line(&mut self.reader)?.ok_or_else(|| broken("closed without a response"))?;
            let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
            let status: u16 = status.ok_or_else(|| broken("malformed status line"))?;
            let has_body = status >= 200 && status != 204 && status != 304;
            let message = read_message(&mut self.reader, has_body, true)?;
            if status >= 200 {
                return Ok((status, message));
            }
        }
    }
}
