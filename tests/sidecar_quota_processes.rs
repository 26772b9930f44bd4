//! Quotas of tenants, on processes.

mod site_kit;
mod workdir;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use dragonflyquay::sidecar::process::quota::limits::{Quota, QuotaBounds};
use dragonflyquay::sidecar::settings::SidecarSettings;
use site_kit::{config, fresh_id, Node, Site, HOST};
use workdir::{http, wait_until, Response};

/// Configuration with a limited tenant (key `k1`), one that sends more than is left of its small quota (`k2`), one without
/// a quota (`k3`), and a route `/absent/` of a service without targets.
fn limited(rate: u32, burst: u32) -> String {
    let absent = r#",{"name":"absent","prefix":"/absent/","route_type":"safe","timeout_ms":5000,"priority":1,"service":"none"}"#;
    let tenant = |name: &str, rate: u32, burst: u32| {
        format!(
            r#"{{"name":"t-{name}","api_keys":["{name}"],"priority":1,"rate_per_s":{rate},"burst":{burst}}}"#
        )
    };
    let tenants = format!(
        r#"{{"version":1,"tenants":[{},{},{}],"#,
        tenant("k1", rate, burst),
        tenant("k2", 2, 20),
        tenant("k3", 0, 0)
    );
    let service = r#""services":[{"name":"none","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},"#;
    config(1, absent)
        .replacen(r#"{"version":1,"#, &tenants, 1)
        .replacen(r#""services":["#, service, 1)
}

fn send(caller: SocketAddr, path: &str, key: &str) -> Response {
    let (id, key) = (fresh_id(), format!("Bearer {key}"));
    let headers = [
        ("dragonflyquay-request-id", id.as_str()),
        ("dragonflyquay-deadline-ms", "4000"),
        ("host", HOST),
        ("authorization", key.as_str()),
    ];
    http(caller, "GET", path, &headers, "").expect("a response")
}

/// Guards against a quota that each node applies for itself, that limits tenants without one, or that requests use up
/// which no target has run, and against a refusal without a time at which to come again.
#[test]
fn processes_share_a_quota() {
    let (rate, burst) = (20, 10);
    let mut site = Site::empty();
    site.store.put_config(&limited(rate, burst));
    for i in 0..3 {
        site.add_node(i);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    wait_until("the first unit", || {
        send(site.nodes[0].caller, "/safe/a", "k1").status == 200
    });
    let start = Instant::now();
    let served: usize = std::thread::scope(|s| {
        let flood = |caller| {
            let responses = (0..120).map(|_| send(caller, "/safe/b", "k1"));
            let check = |r: &Response| {
                assert!(r.status == 200 || r.status == 429, "{}", r.status);
                if r.status == 429 {
                    assert!(r.body.contains("quota"), "{}", r.body);
                    let after: f64 = r.header("retry-after").parse().unwrap();
                    assert!(after > 0.0 && after < 6.0, "{after}");
                }
                r.status == 200
            };
            responses.filter(check).count()
        };
        let threads: Vec<_> = site
            .nodes
            .iter()
            .map(|n| n.caller)
            .map(|caller| s.spawn(move || flood(caller)))
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).sum()
    });
    let windows = start.elapsed().as_secs_f64() / 5.0;
    let bound = Quota::new(rate.into(), burst.into())
        .unwrap()
        .bound(&QuotaBounds::new(&SidecarSettings::default()));
    assert!(
        served as f64 <= bound * windows.ceil(),
        "{served} in {windows} windows"
    );
    assert!(served >= burst as usize, "{served}");
    let n = &site.nodes[0];
    for _ in 0..60 {
        assert_eq!(send(n.caller, "/safe/c", "k3").status, 200);
        // A request that finds no target returns its unit.
        assert_eq!(send(n.caller, "/absent/d", "k2").status, 503);
    }
    assert_eq!(send(n.caller, "/safe/e", "k2").status, 200);
    let metrics = http(n.admin, "GET", "/metrics", &[], "").unwrap().body;
    assert!(metrics.contains(r#"dq_sidecar_quota_units_total{event="refused",tenant="t-k1"}"#));
    assert!(
        !metrics.contains("t-k3"),
        "a tenant without a quota has state"
    );
}

/// Value of the counter of a tenant's units; 0 if there is none.
fn units(n: &Node, tenant: &str, event: &str) -> u64 {
    let text = http(n.admin, "GET", "/metrics", &[], "").unwrap().body;
    let name = format!(r#"dq_sidecar_quota_units_total{{event="{event}",tenant="{tenant}"}} "#);
    let line = text.lines().find_map(|l| l.strip_prefix(name.as_str()));
    line.map_or(0, |v| v.parse().unwrap())
}

/// Guards against requests whose bodies arrive slowly and that run together later, and against units that are lost when
/// callers leave before their requests were sent on.
#[test]
fn units_of_slow_and_abandoned_requests() {
    let mut site = Site::empty();
    site.store.put_config(&limited(20, 10));
    site.add_node(0).wait_ready();
    site.wait_linked();
    let n = &site.nodes[0];
    wait_until("the first unit", || {
        send(n.caller, "/safe/a", "k1").status == 200
    });
    let (used, returned) = (units(n, "t-k1", "used"), units(n, "t-k1", "returned"));
    let begin = || {
        let mut stream = TcpStream::connect(n.caller).unwrap();
        let head = format!(
            "POST /once/b HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer k1\r\n\
             dragonflyquay-request-id: {}\r\ndragonflyquay-deadline-ms: 4500\r\ncontent-length: 2\r\n\r\nx",
            fresh_id()
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    };
    let abandoned = begin();
    wait_until("the unit", || units(n, "t-k1", "used") == used + 1);
    drop(abandoned);
    wait_until("its return", || {
        units(n, "t-k1", "returned") == returned + 1
    });
    let mut slow = begin();
    std::thread::sleep(Duration::from_millis(1100));
    slow.write_all(b"y").unwrap();
    let mut answer = [0; 12];
    slow.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
    assert_eq!(units(n, "t-k1", "used"), used + 3);
    assert_eq!(units(n, "t-k1", "returned"), returned + 1);
}
