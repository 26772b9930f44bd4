//! Minimal HTTP/1.1: reads and writes whole messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn read_line<R: BufRead>(input: &mut R) -> io::Result<String> {
    let mut line = String::new();
    match input.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ if !line.ends_with('\n') => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// Reads a whole message. An error says that the connection ended before the message was complete.
pub fn read_message<R: BufRead>(input: &mut R) -> io::Result<Message> {
    let mut m = Message {
        start: read_line(input)?,
        ..Message::default()
    };
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            m.headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if m.header("transfer-encoding").contains("chunked") {
        loop {
            let size = usize::from_str_radix(read_line(input)?.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            m.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        m.body = vec![0; m.header("content-length").parse().unwrap_or(0)];
        input.read_exact(&mut m.body)?;
    }
    Ok(m)
}

pub fn response(status: u16, headers: &str, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        _ => "Service Unavailable",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Reads the response on a connection.
pub fn read_response(stream: &TcpStream) -> io::Result<Message> {
    read_message(&mut BufReader::new(stream))
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = connect(to, timeout)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    read_response(&stream)
}
