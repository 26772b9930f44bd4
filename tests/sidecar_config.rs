//! Transfer of configuration versions between nodes of the `sidecar` command.

mod site_kit;
mod workdir;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dragonflyquay::sidecar::connection::frame::{Head, Message};
use dragonflyquay::sidecar::process::fleet::members::NodeRecord;
use futures_util::{SinkExt, StreamExt};
use site_kit::{config, Site, SERVICE};
use tokio_tungstenite::tungstenite::Message as Ws;

/// Bandwidth of the node's link in the test, in Mbit/s.
const LINK_MBPS: f64 = 2.0;
const PEERS: usize = 8;

/// A configuration whose routes hardly compress.
fn large_config() -> String {
    let route = |i: usize| {
        let name = format!(
            "{:016x}{:016x}",
            rand::random::<u64>(),
            rand::random::<u64>()
        );
        format!(
            r#",{{"name":"{name}","prefix":"/{i}{name}/","route_type":"safe","timeout_ms":5000,"priority":1,"service":"{SERVICE}","retry_attempts":2}}"#
        )
    };
    config(2, &(0..1000).map(route).collect::<String>())
}

fn record(node: &str) -> NodeRecord {
    NodeRecord {
        node: node.into(),
        incarnation: 1,
        sequence: 1,
        az: "az".into(),
        relay: "127.0.0.1:9".parse().unwrap(),
        service: SERVICE.into(),
        target: None,
        leaving: false,
        link_mbps: 0,
    }
}

/// Requests the whole version on a link of its own. Returns the size of the version and the time of its arrival.
async fn fetch(relay: SocketAddr, node: String) -> (usize, Instant) {
    let url = format!("ws://{relay}/link");
    let stream = tokio::net::TcpStream::connect(relay).await.unwrap();
    let (mut link, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let hello = Head::Hello(Box::new(record(&node)), 0, false);
    for head in [hello, Head::GetConfig(0)] {
        let data = Message::without_payload(head).encode();
        link.send(Ws::Binary(data)).await.unwrap();
    }
    loop {
        let Ws::Binary(data) = link.next().await.unwrap().unwrap() else {
            continue;
        };
        let message = Message::decode(data).unwrap();
        if matches!(message.head, Head::Config(0)) {
            return (message.payload.len(), Instant::now());
        }
    }
}

/// Guards against a version that is sent to many nodes at once and fills the link of the VM, so that requests queue behind
/// it.
#[test]
fn a_version_leaves_room_on_the_link() {
    let mut site = Site::empty();
    site.store.put_config(&large_config());
    site.add_node_with(0, &format!("link_mbps = {LINK_MBPS:?}\n"));
    site.nodes[0].wait_ready();
    let relay = site.nodes[0].relay;
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let start = Instant::now();
    let mut received = runtime.block_on(async {
        let tasks: Vec<_> = (0..PEERS)
            .map(|i| tokio::spawn(fetch(relay, format!("peer-{i}"))))
            .collect();
        let mut out = Vec::new();
        for task in tasks {
            out.push(task.await.unwrap());
        }
        out
    });
    received.sort_by_key(|(_, at)| *at);
    let bytes: usize = received[..PEERS - 1].iter().map(|(n, _)| n).sum();
    let full_rate = bytes as f64 * 8.0 / (LINK_MBPS * 1e6);
    let elapsed = received[PEERS - 1].1 - start;
    assert!(
        elapsed >= Duration::from_secs_f64(1.5 * full_rate),
        "{bytes} bytes before the last version, which came after {elapsed:?}"
    );
}

/// Guards against nodes that read the store again and again while the operator has written no version: the load on the
/// store would grow with the fleet.
#[test]
fn nodes_without_a_version_rarely_read_the_store() {
    let mut site = Site::empty();
    for i in 0..6 {
        site.add_node(i);
    }
    std::thread::sleep(Duration::from_secs(6));
    let reads = |site: &Site| {
        let calls = site.store.calls();
        // The configuration is read with the orders of rollouts, which have the same prefix.
        let operator = calls.iter().filter(|c| c.contains("prefix=op/"));
        operator.filter(|c| c.contains("kv-range")).count()
    };
    let before = reads(&site);
    // Each node may read once before it has links, and once more when it has waited long for a version.
    assert!(before <= 18, "{before} reads");
    site.store.put_config(&config(1, ""));
    site.nodes.iter().for_each(site_kit::Node::wait_ready);
}
