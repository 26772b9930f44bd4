//! Opening of links to other nodes, again and again while the nodes are known.

use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::WebSocketStream;

use super::link::drive;
use super::node::Node;
use crate::prelude::*;

/// Time to open a link: several round trips between zones, and the pauses of a busy process.
pub(super) const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest and longest pause before a link is opened again; a node that restarts is back within seconds.
const REOPEN: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));
/// Buffers of a link, in bytes. A node has two links with every other one, and most messages are short.
const BUFFER: usize = 4 << 10;

pub(super) type Stream = WebSocketStream<TcpStream>;

/// Opens the link to a node again and again until the node is forgotten.
pub(super) async fn keep(n: Arc<Node>, node: NodeId) {
    let mut pause = REOPEN.0;
    loop {
        let address = n.members().get(&node).map(|r| r.relay);
        let Some(address) = address else {
            n.links.let_go(&node);
            return;
        };
        let opened = tokio::time::timeout(OPEN_TIMEOUT, open(address)).await;
        match opened {
            Ok(Ok(stream)) => {
                pause = REOPEN.0;
                n.log.event("link_opened", &[("node", &node)]);
                let why = drive(&n, &node, stream).await;
                n.log
                    .event("link_lost", &[("node", &node), ("reason", &why)]);
            }
            Ok(Err(e)) => spdlog::debug!("event=link_failed", kv: { error = e }),
            Err(_) => spdlog::debug!("event=link_failed", kv: { error = "timeout" }),
        }
        let wait = pause.mul_f64(0.5 + rand::random::<f64>());
        tokio::time::sleep(wait).await;
        pause = (pause * 2).min(REOPEN.1);
    }
}

pub(super) fn buffers() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(0)
}

async fn open(address: std::net::SocketAddr) -> Result<Stream, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/link");
    let opened = tokio_tungstenite::client_async_with_config(url, stream, Some(buffers())).await;
    opened.map(|(s, _)| s).map_err(|e| e.to_string())
}
