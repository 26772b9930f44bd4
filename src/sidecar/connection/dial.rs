//! Opens links to other nodes, and opens them again after they were closed.

use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::WebSocketStream;

use crate::prelude::*;
use crate::sidecar::connection::link_task::drive;
use crate::sidecar::process::node::Node;

/// Time to open a link: several round trips between availability zones, and the pauses of a busy process.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest and longest back-off before a link is opened again; a node that restarts is back within seconds.
const REOPEN_BACK_OFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));
/// Size of the read buffer of a link. A node has two links with every other node, and most messages are short.
const READ_BUFFER_BYTES: usize = 4 << 10;

pub(crate) type LinkStream = WebSocketStream<TcpStream>;

/// Keeps a link to a node open until the node is forgotten.
pub(crate) async fn maintain(n: Arc<Node>, node: NodeId) {
    let mut back_off = REOPEN_BACK_OFF.0;
    loop {
        let address = n.members().get(&node).map(|r| r.relay);
        let Some(address) = address else {
            n.links.forget(&node);
            return;
        };
        let opened = tokio::time::timeout(OPEN_TIMEOUT, open(address)).await;
        match opened {
            Ok(Ok(stream)) => {
                back_off = REOPEN_BACK_OFF.0;
                n.log.event("link_opened", &[("node", &node)]);
                let reason = drive(&n, &node, stream).await;
                n.log
                    .event("link_lost", &[("node", &node), ("reason", &reason)]);
            }
            Ok(Err(e)) => spdlog::debug!("event=link_failed", kv: { error = e }),
            Err(_) => spdlog::debug!("event=link_failed", kv: { error = "timeout" }),
        }
        let wait = back_off.mul_f64(0.5 + rand::random::<f64>());
        tokio::time::sleep(wait).await;
        back_off = (back_off * 2).min(REOPEN_BACK_OFF.1);
    }
}

pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

async fn open(address: std::net::SocketAddr) -> Result<LinkStream, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    // A link is closed only if its requests have been given up, so what is still unsent must not be delivered.
    let _ = stream.set_zero_linger();
    let url = format!("ws://{address}/link");
    let opened =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await;
    opened.map(|(s, _)| s).map_err(|e| e.to_string())
}
