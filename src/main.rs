//! Command-line entry point: runs the subcommand and maps its error to an exit code.

use std::process::ExitCode;

use dragonflyquay::cmd::{self, CmdResult, Exit};

const USAGE: &str = "\
Configuration distribution and request routing for a service mesh.

Usage: dragonflyquay COMMAND [ARGS]

Commands:
  node        run the node of a backend server VM
  sidecar     run the node beside a target on the users' platform
  check       report every finding in a manifest
  commit      store a manifest and make it the next version
  stop        drain the backend server of a node
  status      show the state of a node, its zone or all nodes
  explain     show where a node of sidecar would send a request
  quarantine  list or clear requests suspected of crashing backend servers
  dev         run a small complete site in one process
  devstore    run a stand-in for the platform's store
  devbackend  run a sample backend server
  load        send load to nodes and report the results

Run a command with --help to see its usage.
";

fn dispatch() -> CmdResult {
    let mut args = lexopt::Parser::from_env();
    match args.next().map_err(cmd::usage)? {
        Some(lexopt::Arg::Value(name)) => match name.to_str() {
            Some("node") => cmd::node::run(args),
            Some("sidecar") => cmd::sidecar::run(args),
            Some("check") => cmd::check::run(args),
            Some("commit") => cmd::commit::run(args),
            Some("stop") => cmd::stop::run(args),
            Some("status") => cmd::status::run(args),
            Some("explain") => cmd::explain::run(args),
            Some("quarantine") => cmd::quarantine::run(args),
            Some("dev") => cmd::dev::run(args),
            Some("devstore") => cmd::devstore::run(args),
            Some("devbackend") => cmd::devbackend::run(args),
            Some("load") => cmd::load::run(args),
            _ => cmd::fail(Exit::Usage, format!("unknown command {name:?}; see --help")),
        },
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{USAGE}");
            Ok(())
        }
        Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V')) => {
            println!("dragonflyquay {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => cmd::fail(Exit::Usage, "no command given; see --help"),
    }
}

fn main() -> ExitCode {
    match dispatch() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let e = e.current_context();
            eprintln!("dragonflyquay: {e}");
            ExitCode::from(e.exit as u8)
        }
    }
}
