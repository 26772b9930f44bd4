//! WebSocket links between nodes.

use std::net::SocketAddr;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::WebSocketStream;

use super::frame::Frame;
use crate::prelude::*;

/// Largest message on a link, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Time to open a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// A link to another node.
pub type Link = WebSocketStream<TcpStream>;

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn timed_out() -> Error {
    Error::Io(std::io::ErrorKind::TimedOut.into())
}

/// Opens a link.
///
/// # Errors
///
/// The transport's error, or a time-out.
pub async fn connect(address: SocketAddr) -> Result<Link, Error> {
    let open = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let (link, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
        Ok(link)
    };
    tokio::time::timeout(OPEN_TIMEOUT, open)
        .await
        .map_err(|_| timed_out())?
}

/// Accepts a link.
///
/// # Errors
///
/// The transport's error, or a time-out.
pub async fn accept(stream: TcpStream) -> Result<Link, Error> {
    stream.set_nodelay(true)?;
    let open = tokio_tungstenite::accept_async_with_config(stream, Some(config()));
    tokio::time::timeout(OPEN_TIMEOUT, open)
        .await
        .map_err(|_| timed_out())?
}

/// Sends one message.
///
/// # Errors
///
/// The transport's error.
pub async fn send(link: &mut Link, frame: &Frame) -> Result<(), Error> {
    let mut data = Vec::new();
    ciborium::into_writer(frame, &mut data)
        .map_err(|e| Error::Io(std::io::Error::other(e.to_string())))?;
    link.send(Message::binary(data)).await
}

/// Receives the next message.
///
/// # Errors
///
/// The transport's error, the end of the link, or a message that cannot be decoded.
pub async fn receive(link: &mut Link) -> Result<Frame, Error> {
    loop {
        match link.next().await {
            Some(Ok(Message::Binary(data))) => {
                return ciborium::from_reader(data.as_ref())
                    .map_err(|e| Error::Io(std::io::Error::other(e.to_string())));
            }
            Some(Ok(_)) => {}
            Some(Err(e)) => return Err(e),
            None => return Err(Error::ConnectionClosed),
        }
    }
}
