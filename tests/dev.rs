//! Tests of the `dev` command.

mod workdir;

use workdir::{http, repo_file, wait_until, Workdir};

/// Guards against a `dev` command, the first one in the README, that fails to run a request or a commit.
#[test]
fn runs_a_request_and_a_commit() {
    let out = Workdir::new().run(&["dev", "--once"]);
    assert!(out.status.success(), "{out:?}");
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        text.contains("version 2 is in force on 10 of 10 nodes"),
        "{text}"
    );
}

/// Guards against printed commands that fail when they are run as printed.
#[test]
fn printed_commands_work() {
    let dir = Workdir::new();
    std::fs::create_dir(dir.path("examples")).unwrap();
    let sample = std::fs::read_to_string(repo_file("examples/trust.toml")).unwrap();
    dir.write("examples/trust.toml", &sample);
    let dev = dir.start(&["dev"]);
    let curl = dev.wait_line("curl -i http://");
    let (address, path) = curl
        .trim()
        .trim_start_matches("curl -i http://")
        .split_once('/')
        .unwrap();
    let response = http(
        address.parse().unwrap(),
        "GET",
        &format!("/{path}"),
        &[],
        "",
    )
    .unwrap();
    assert_eq!(
        (response.status, response.header("dq-outcome")),
        (200, "done")
    );
    let commit = dev.wait_line(" --base ");
    let args: Vec<_> = commit.split_whitespace().skip(1).collect();
    let out = dir.run(&args);
    assert!(out.status.success(), "{out:?}");
    let status = dev.wait_line(" status ");
    let args: Vec<_> = status.split_whitespace().skip(1).collect();
    assert!(dir.run(&args).status.success());
    let booking = dev.wait_line("/bookings");
    let caller = booking
        .rsplit("http://")
        .next()
        .unwrap()
        .trim_end_matches("/bookings")
        .parse()
        .unwrap();
    let mut key = String::new();
    wait_until("key issued", || {
        let response = http(caller, "POST", "/.dq/key", &[], "").unwrap();
        key = response.body;
        response.status == 200
    });
    let headers = [("idempotency-key", key.trim())];
    let response = http(caller, "POST", "/bookings", &headers, "").unwrap();
    assert_eq!(
        (response.status, response.header("dq-outcome")),
        (200, "done"),
        "{key}"
    );
    dev.wait_line("version 2 is in force on 10 of 10 nodes");
}

/// Guards against gauges that are registered but not updated from the state of the node.
#[test]
fn metrics_show_the_site() {
    let dir = Workdir::new();
    let dev = dir.start(&["dev"]);
    let line = dev.wait_line("a1 ");
    let admin = line.split_whitespace().last().unwrap().parse().unwrap();
    dev.wait_line("version 1 is in force on 10 of 10 nodes");
    for metric in [
        "dq_version_number 1\n",
        "dq_version_lag 0\n",
        "dq_members{state=\"alive\"} 10\n",
        "dq_stop_phase{phase=\"serving\"} 1\n",
        "dq_known_targets{state=\"ready\"} 10\n",
        "dq_adopt_seconds_count 1\n",
    ] {
        wait_until(metric, || {
            http(admin, "GET", "/metrics", &[], "").is_some_and(|r| r.body.contains(metric))
        });
    }
}
