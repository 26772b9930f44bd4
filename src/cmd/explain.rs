//! `explain`: shows where a node would send a request now, and why.

use std::io::Read;
use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::sidecar::process::explain::answer::{
    Answer, Query, QuotaVerdict, ResultAnswer, TargetAnswer,
};

/// Text that `explain --help` prints.
pub const USAGE: &str = "\
Shows where a node of `sidecar` would send a request now, and why. The node answers from its memory; the request is not
sent, and no quota, budget or statistic changes.

Usage: dragonflyquay explain --node IP:PORT --host HOST --path PATH [--method METHOD] [--key KEY | --tenant NAME]
                             [--timeout-ms MS] [--upload] [--json]

  --node IP:PORT   admin address of the node
  --host HOST      host of the request
  --path PATH      path of the request
  --method METHOD  HTTP method (default GET)
  --key KEY        API key of the caller; - reads it from standard input, so that it is not in the process list
  --tenant NAME    tenant of the caller, in place of its key
  --timeout-ms MS  time for which the caller waits (default: the timeout of the route)
  --upload         the request has a large body with an announced length
  --json           print the answer of the node as JSON

Exit codes: 0 success, also if the request would be rejected, 1 failed, 2 usage, 3 unknown tenant, 6 node unavailable.
";

/// Maximum length of a key on standard input, in bytes.
const MAX_KEY_BYTES: u64 = 8 << 10;

/// Parsed command line.
struct Args {
    node: SocketAddr,
    query: Query,
    json: bool,
}

/// Queries a node about a request, and prints the answer.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    match parse(parser)? {
        Some(args) => block_on(1, print_answer(args)),
        None => Ok(()),
    }
}

/// Parses the arguments; `None` if the help was printed.
fn parse(mut parser: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut node, mut host, mut path, mut json) = (None, None, None, false);
    let mut query = Query::default();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(None);
            }
            Long("node") => node = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("host") => host = Some(text(&mut parser)?),
            Long("path") => path = Some(text(&mut parser)?),
            Long("method") => query.method = Some(text(&mut parser)?),
            Long("key") => query.key = Some(key(&mut parser)?),
            Long("tenant") => query.tenant = Some(text(&mut parser)?),
            Long("timeout-ms") => {
                let value = parser.value().and_then(|v| v.parse());
                query.timeout_ms = Some(value.map_err(usage)?);
            }
            Long("upload") => query.upload = true,
            Long("json") => json = true,
            other => return Err(usage(other.unexpected())),
        }
    }
    let (Some(node), Some(host), Some(path)) = (node, host, path) else {
        return fail(
            Exit::Usage,
            "--node, --host and --path are required; see --help",
        );
    };
    if query.key.is_some() && query.tenant.is_some() {
        return fail(
            Exit::Usage,
            "--key and --tenant exclude each other; see --help",
        );
    }
    let query = Query {
        host,
        path,
        ..query
    };
    Ok(Some(Args { node, query, json }))
}

fn text(parser: &mut lexopt::Parser) -> CmdResult<String> {
    parser.value().and_then(|v| v.string()).map_err(usage)
}

/// Value of `--key`. Messages do not contain it.
fn key(parser: &mut lexopt::Parser) -> CmdResult<String> {
    let value = parser.value().map_err(usage)?.into_string();
    let Ok(value) = value else {
        return fail(Exit::Usage, "--key is not UTF-8; see --help");
    };
    if value != "-" {
        return Ok(value);
    }
    let mut text = String::new();
    // One byte more shows that the key is too long.
    let input = std::io::stdin().lock().take(MAX_KEY_BYTES + 1);
    match std::io::BufReader::new(input).read_to_string(&mut text) {
        Ok(n) if n as u64 > MAX_KEY_BYTES => {
            let message = format!("the key is longer than {MAX_KEY_BYTES} bytes; see --help");
            fail(Exit::Usage, message)
        }
        Ok(_) if text.trim().is_empty() => {
            fail(Exit::Usage, "standard input has no key; see --help")
        }
        Ok(_) => Ok(text.trim().to_owned()),
        Err(_) => fail(
            Exit::Failed,
            "the key cannot be read from standard input as UTF-8",
        ),
    }
}

async fn print_answer(args: Args) -> CmdResult {
    let data = client::call_raw(args.node, Method::POST, "/explain", &args.query).await?;
    if args.json {
        println!("{}", String::from_utf8_lossy(&data));
        return Ok(());
    }
    let answer: Answer = client::decode(args.node, &data)?;
    println!("{}", lines(&args.query, &answer).join("\n"));
    Ok(())
}

/// The answer as text.
fn lines(query: &Query, a: &Answer) -> Vec<String> {
    let method = query.method.as_deref().unwrap_or("GET");
    let confirmed = a
        .confirmed_ms
        .map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms ago"));
    let mut out = vec![
        format!("request  {method} {}{}", query.host, query.path),
        format!("node     {} in {}, {}", a.node, a.az, a.phase),
        format!("version  {}, confirmed {confirmed}", a.version),
    ];
    out.extend(route_lines(a));
    out.extend(tenant_lines(a));
    out.extend(service_lines(a));
    if !a.targets.is_empty() {
        out.push("targets".to_owned());
        out.extend(table(&a.targets));
    }
    out.push(format!("result   {}", result(&a.result)));
    out
}

fn route_lines(a: &Answer) -> Vec<String> {
    let Some(r) = &a.route else {
        return Vec::new();
    };
    let flag = |on, name| if on { name } else { "" };
    let flags = [
        flag(r.public, ", public"),
        flag(r.idempotent, ", idempotent"),
        flag(a.upload, ", upload"),
    ];
    let limit = a.time_limit_ms.unwrap_or(r.timeout_ms);
    let mut out = vec![format!(
        "route    {} {}{}, time limit {limit} ms, objective {} ms",
        r.name,
        r.prefix,
        flags.concat(),
        r.objective_ms
    )];
    if r.services.len() > 1 {
        let weights = r
            .services
            .iter()
            .map(|s| format!("{} {}", s.service, s.weight));
        let weights: Vec<_> = weights.collect();
        out.push(format!("split    {}", weights.join(", ")));
    }
    out
}

fn tenant_lines(a: &Answer) -> Vec<String> {
    let mut out = Vec::new();
    if let Some(t) = &a.tenant {
        out.push(format!("tenant   {}, priority {}", t.name, t.rank));
    }
    match (a.rank, a.effective_rank) {
        (Some(rank), Some(effective)) if effective != rank => {
            out.push(format!("rank     {rank}, competes as {effective}"));
        }
        (Some(rank), _) => out.push(format!("rank     {rank}")),
        _ => {}
    }
    if let Some(q) = &a.quota {
        let verdict = match q.verdict {
            QuotaVerdict::Granted => "a unit would be granted",
            QuotaVerdict::Waits => "the request would wait for a unit",
            QuotaVerdict::Refused => "no unit would be granted",
        };
        out.push(format!(
            "quota    {}/s, burst {}; here {:.1} units, {:.1}/s; {verdict}",
            q.rate, q.burst, q.units, q.unit_rate
        ));
    }
    out
}

fn service_lines(a: &Answer) -> Vec<String> {
    let mut out = Vec::new();
    if let Some(service) = &a.service {
        out.push(format!("service  {service}"));
    }
    if let Some(left) = a.retries_left {
        out.push(format!("retries  {left:.1} left"));
    }
    if let Some(r) = &a.rollout {
        let from = r.from.as_deref().unwrap_or("unknown");
        let share = r.share * 100.0;
        out.push(format!(
            "rollout  {from} to {}, step {}, share {share:.1}%",
            r.to, r.step
        ));
    }
    out
}

/// Table of the targets, with a header.
fn table(targets: &[TargetAnswer]) -> Vec<String> {
    let header = [
        "node", "zone", "target", "version", "state", "running", "waiting", "slots", "pace",
        "report", "back-off", "wait", "cost",
    ];
    let mut rows = vec![header.map(str::to_owned)];
    rows.extend(targets.iter().map(row));
    let width = |i: usize| rows.iter().map(|r| r[i].len()).max().unwrap_or(0);
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let line = |r: &[String; 13]| {
        let cells = r.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        format!("  {}", cells.collect::<Vec<_>>().join("  "))
            .trim_end()
            .to_owned()
    };
    rows.iter().map(line).collect()
}

fn row(t: &TargetAnswer) -> [String; 13] {
    let state = serde_json::to_value(t.state).unwrap_or_default();
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    [
        t.node.clone(),
        t.az.clone(),
        t.target.clone(),
        or_dash(t.version.clone()),
        state.as_str().unwrap_or_default().to_owned(),
        t.running.to_string(),
        t.waiting.to_string(),
        t.slots.to_string(),
        or_dash(t.pace.map(|p| p.to_string())),
        or_dash(t.report_age_ms.map(|ms| format!("{ms} ms"))),
        format!("{} ms", t.back_off_ms),
        format!("{} ms", t.wait_ms),
        format!("{:.3}", t.cost),
    ]
}

fn result(r: &ResultAnswer) -> String {
    let reason = r.reason.as_deref().unwrap_or_default();
    let status = r.status.unwrap_or_default();
    match (&r.node, r.retry_after_ms) {
        (Some(node), _) => format!("sent to {node}"),
        (None, Some(ms)) => format!("rejected: {reason}, status {status}, retry after {ms} ms"),
        (None, None) => format!("rejected: {reason}, status {status}"),
    }
}
