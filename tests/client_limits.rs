//! Clients that respect no limit: crowds at every port of a node, whose memory and descriptors must stay bounded while it
//! serves ordinary callers. Each test guards against one kind of crowd at one door, as its name says.

mod client_kit;
mod site_kit;
mod workdir;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use client_kit::shape::{request_head, Door, Shape, ID};
use client_kit::{one_at_a_time, peak_memory, LimitedNode, BODY_BYTES};
use site_kit::upload::{connect, head, read_response};

/// Plays the crowd of a shape at a door; see [`LimitedNode::play`] for what is checked.
fn check(shape: Shape, door: Door) {
    let _alone = one_at_a_time();
    let mut node = LimitedNode::start();
    node.play(door, &vec![shape.script(door); shape.crowd()]);
}

macro_rules! crowds {
    ($($shape:ident: $($name:ident $door:ident),+;)+) => {
        $($(
            #[test]
            fn $name() {
                check(Shape::$shape, Door::$door);
            }
        )+)+
    };
}

/// Guards against a limit that rejects a single request of the largest legal size when there is no overload.
#[test]
fn the_largest_body_is_served() {
    let _alone = one_at_a_time();
    let node = LimitedNode::start();
    assert_eq!(node.post(BODY_BYTES), Some(200));
}

/// Guards against a default budget that has no room for the largest body that a configuration may allow on the smallest
/// VM, and against a body that takes twice its size.
#[test]
fn the_largest_body_fits_on_a_small_vm() {
    const VM_MEMORY_MB: usize = 160;
    const LARGE_BODY_BYTES: usize = 67_108_864;
    let _alone = one_at_a_time();
    let node = LimitedNode::start_on_vm(VM_MEMORY_MB, LARGE_BODY_BYTES);
    assert_eq!(node.post(LARGE_BODY_BYTES), Some(200));
    let peak = peak_memory(node.site.nodes[0].process.pid());
    assert!(peak <= VM_MEMORY_MB << 20, "{peak} bytes");
    println!("peak {peak} bytes");
}

/// Guards against the header timeout closing a connection whose caller waits before its next request.
#[test]
fn a_connection_is_used_again_after_the_header_timeout() {
    /// Three times the header timeout of the configuration.
    const PAUSE: Duration = Duration::from_secs(3);
    let _alone = one_at_a_time();
    let node = LimitedNode::start_on_vm(160, BODY_BYTES);
    let mut stream = TcpStream::connect(node.address(Door::Route)).unwrap();
    stream
        .set_read_timeout(Some(workdir::WAIT_TIMEOUT))
        .unwrap();
    for _ in 0..3 {
        let head = request_head(Door::Route, false).replace("/safe/large", "/safe/x");
        let head = head.replace(ID, &site_kit::fresh_id()) + "\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let mut status = [0; 12];
        stream.read_exact(&mut status).unwrap();
        assert_eq!(&status, b"HTTP/1.1 200");
        std::thread::sleep(PAUSE);
        // The rest of the response.
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
    }
}

/// Guards against the rest of a rejected body that counts as the head of the next request, so that the header timeout
/// closes the connection of a caller that sends slowly.
#[test]
fn the_rest_of_a_rejected_body_is_no_head() {
    const PIECES: usize = 5;
    const PIECE_BYTES: usize = 10_000;
    /// All pieces take twice the header timeout of the configuration.
    const PAUSE: Duration = Duration::from_millis(500);
    let _alone = one_at_a_time();
    let node = LimitedNode::start_on_vm(160, BODY_BYTES);
    let n = &node.site.nodes[0];
    let mut stream = connect(n);
    let id = site_kit::fresh_id();
    let announced = head(&id, "/none/x", 9000, PIECES * PIECE_BYTES);
    stream.write_all(announced.as_bytes()).unwrap();
    let (response, _) = read_response(&mut stream);
    assert!(response.starts_with("http/1.1 404 "), "{response}");
    for _ in 0..PIECES {
        std::thread::sleep(PAUSE);
        stream.write_all(&[b'x'; PIECE_BYTES]).unwrap();
    }
    std::thread::sleep(PAUSE);
    let next = head(&site_kit::fresh_id(), "/safe/x", 4000, 0);
    stream.write_all(next.as_bytes()).unwrap();
    let (response, _) = read_response(&mut stream);
    assert!(response.starts_with("http/1.1 200 "), "{response}");
    let page = workdir::http(n.admin, "GET", "/metrics", &[], "").unwrap();
    assert!(!page.body.contains("dq_sidecar_limited_clients_total{"));
}

crowds! {
    // Guards against bodies of legal size that are held open before their end.
    WholeBody:
        whole_bodies_at_a_route Route,
        whole_bodies_at_a_path_without_route NoRoute,
        whole_bodies_at_the_readiness_path ReadyPath,
        whole_bodies_at_the_readiness_port Ready,
        whole_bodies_at_the_control_port Control,
        whole_bodies_at_the_admin_port Admin,
        whole_bodies_at_the_port_between_nodes Relay;
    // Guards against bodies whose small pieces cost far more memory than their bytes.
    SmallPieces:
        bodies_in_small_pieces_at_a_route Route,
        bodies_in_small_pieces_at_a_path_without_route NoRoute,
        bodies_in_small_pieces_at_the_readiness_path ReadyPath,
        bodies_in_small_pieces_at_the_readiness_port Ready,
        bodies_in_small_pieces_at_the_control_port Control,
        bodies_in_small_pieces_at_the_admin_port Admin,
        bodies_in_small_pieces_at_the_port_between_nodes Relay;
    // Guards against chunked bodies that are held open before their end.
    Chunks:
        bodies_in_chunks_at_a_route Route,
        bodies_in_chunks_at_a_path_without_route NoRoute,
        bodies_in_chunks_at_the_readiness_path ReadyPath,
        bodies_in_chunks_at_the_readiness_port Ready,
        bodies_in_chunks_at_the_control_port Control,
        bodies_in_chunks_at_the_admin_port Admin,
        bodies_in_chunks_at_the_port_between_nodes Relay;
    // Guards against bodies that announce more than the limit.
    OverAnnounced:
        too_long_bodies_at_a_route Route,
        too_long_bodies_at_a_path_without_route NoRoute,
        too_long_bodies_at_the_readiness_path ReadyPath,
        too_long_bodies_at_the_readiness_port Ready,
        too_long_bodies_at_the_control_port Control,
        too_long_bodies_at_the_admin_port Admin,
        too_long_bodies_at_the_port_between_nodes Relay;
    // Guards against chunked bodies without end.
    OverChunked:
        endless_chunks_at_a_route Route,
        endless_chunks_at_a_path_without_route NoRoute,
        endless_chunks_at_the_readiness_path ReadyPath,
        endless_chunks_at_the_readiness_port Ready,
        endless_chunks_at_the_control_port Control,
        endless_chunks_at_the_admin_port Admin,
        endless_chunks_at_the_port_between_nodes Relay;
    // Guards against heads whose fields cost far more memory than their bytes.
    ShortFields:
        short_header_fields_at_a_route Route,
        short_header_fields_at_a_path_without_route NoRoute,
        short_header_fields_at_the_readiness_path ReadyPath,
        short_header_fields_at_the_readiness_port Ready,
        short_header_fields_at_the_control_port Control,
        short_header_fields_at_the_admin_port Admin,
        short_header_fields_at_the_port_between_nodes Relay;
    // Guards against pipelined requests whose responses are not read.
    Pipelined:
        pipelined_requests_at_a_route Route,
        pipelined_requests_at_a_path_without_route NoRoute,
        pipelined_requests_at_the_readiness_path ReadyPath,
        pipelined_requests_at_the_readiness_port Ready,
        pipelined_requests_at_the_control_port Control,
        pipelined_requests_at_the_admin_port Admin,
        pipelined_requests_at_the_port_between_nodes Relay;
    // Guards against heads that arrive a byte at a time on all connections.
    SlowSend:
        slow_senders_at_a_route Route,
        slow_senders_at_a_path_without_route NoRoute,
        slow_senders_at_the_readiness_path ReadyPath,
        slow_senders_at_the_readiness_port Ready,
        slow_senders_at_the_control_port Control,
        slow_senders_at_the_admin_port Admin,
        slow_senders_at_the_port_between_nodes Relay;
    // Guards against responses that nobody reads on all connections.
    SlowRead:
        slow_readers_at_a_route Route,
        slow_readers_at_a_path_without_route NoRoute,
        slow_readers_at_the_readiness_path ReadyPath,
        slow_readers_at_the_readiness_port Ready,
        slow_readers_at_the_control_port Control,
        slow_readers_at_the_admin_port Admin,
        slow_readers_at_the_port_between_nodes Relay;
    // Guards against heads that stop half-way on all connections.
    HalfHead:
        half_heads_at_a_route Route,
        half_heads_at_a_path_without_route NoRoute,
        half_heads_at_the_readiness_path ReadyPath,
        half_heads_at_the_readiness_port Ready,
        half_heads_at_the_control_port Control,
        half_heads_at_the_admin_port Admin,
        half_heads_at_the_port_between_nodes Relay;
}
