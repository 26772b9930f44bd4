//! Fault table of the entry node with a fake upstream client: which failures are retried, and what the caller is told.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use dragonflyquay::connection::upstream::{SendError, Upstream};
use dragonflyquay::process::lifecycle::start::{self, Listeners, RunningNode};
use dragonflyquay::process::members::record::TargetState;
use dragonflyquay::process::node::Process;
use dragonflyquay::process::observe::admin::Announcement;
use dragonflyquay::request::body::{full, Body};
use dragonflyquay::request::context::RETRIES;
use dragonflyquay::request::entry;
use dragonflyquay::request::reason::{Failure, Outcome, Reason};
use dragonflyquay::request::routed::RoutedRequest;
use dragonflyquay::settings::{parse, Settings};
use dragonflyquay::store::mem::MemStore;
use dragonflyquay::version::publish;
use dragonflyquay::version::snapshot::canonical;
use http::{Request, Response};

const MANIFEST: &str = r#"
site = "default"
rank = [{ name = "r", order = 0, min_share_percent = 0 }]
service = [{ name = "s" }]

[[route]]
name = "once"
method = "GET"
path = "/once"
service = "s"
rank = "r"
deadline_ms = 2000
idempotent = false
retries = 2

[[route]]
name = "again"
method = "GET"
path = "/again"
service = "s"
rank = "r"
deadline_ms = 2000
idempotent = true
retries = 2
"#;

/// Upstream client that responds according to a script and records each attempt.
#[derive(Default)]
struct FakeUpstream {
    script: Mutex<VecDeque<Step>>,
    sent: Mutex<Vec<(String, String)>>,
}

#[derive(Clone, Copy)]
enum Step {
    Good,
    NotSent,
    Lost,
    BadResponse,
    Rejected(Reason),
    Hang,
}

#[async_trait]
impl Upstream for FakeUpstream {
    async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError> {
        let retries = req.headers()[RETRIES].to_str().unwrap().to_owned();
        let to = req.uri().authority().unwrap().to_string();
        self.sent.lock().unwrap().push((to, retries));
        let step = self.script.lock().unwrap().pop_front();
        match step.unwrap_or(Step::Good) {
            Step::Good => {
                let mut res = Response::new(full("ok"));
                let done = http::HeaderValue::from_static("done");
                res.headers_mut().insert("dq-outcome", done);
                Ok(res)
            }
            Step::NotSent => Err(SendError::NotSent("refused".into())),
            Step::Lost => Err(SendError::Lost("reset".into())),
            Step::BadResponse => Err(SendError::BadResponse("no end".into())),
            Step::Rejected(reason) => Ok(Failure::not_run(reason).response()),
            Step::Hang => std::future::pending().await,
        }
    }
}

fn settings(id: &str, seeds: &[std::net::SocketAddr]) -> Settings {
    let any = "\"127.0.0.1:0\"";
    parse(&format!(
        "node = {{ id = \"{id}\" }}\npeers = {{ seeds = {:?} }}\n\
         listen = {{ caller = {any}, relay = {any}, peer = {any}, admin = {any} }}\n",
        seeds.iter().map(ToString::to_string).collect::<Vec<_>>()
    ))
    .unwrap()
}

async fn start(
    id: &str,
    seeds: &[std::net::SocketAddr],
    store: &Arc<MemStore>,
    fake: &Arc<FakeUpstream>,
) -> RunningNode {
    let s = settings(id, seeds);
    let listeners = Listeners::open(&s.listen).await.unwrap();
    start::start_with_upstream(s, store.clone(), listeners, fake.clone()).unwrap()
}

async fn announce(node: &RunningNode) {
    let announcement = Announcement {
        service: "s".into(),
        address: "127.0.0.1:9".into(),
        slots: 6,
        connections: 100,
        state: TargetState::Ready,
        incarnation: 1,
        healthy: None,
        load_percent: None,
        floor: None,
    };
    let body = serde_json::to_vec(&announcement).unwrap();
    let req = Request::post(format!("http://{}/announce", node.addresses.admin))
        .header("content-type", "application/json")
        .body(http_body_util::Full::<bytes::Bytes>::from(body))
        .unwrap();
    let executor = hyper_util::rt::TokioExecutor::new();
    let client = hyper_util::client::legacy::Client::builder(executor).build_http();
    assert!(client.request(req).await.unwrap().status().is_success());
}

async fn run_request(p: &Arc<Process>, path: &str, depth: u8) -> Result<(), Failure> {
    let req = Request::get(path)
        .header("dq-depth", depth.to_string())
        .body(full(""))
        .unwrap();
    let mut routed = RoutedRequest::accept(p, req, [127, 0, 0, 1].into())
        .await
        .unwrap();
    entry::run(p, &mut routed).await.map(|_| ())
}

/// Guards against a retry of a non-idempotent request that may have run, a retry at the same target, unlimited retries,
/// the outcome "not run" after an attempt with an unknown outcome, and a call tree budget that does not decrease.
#[test]
fn fault_table() {
    use Step::*;
    let full = Rejected(Reason::QueueFull);
    let not_run = |reason| Err((Outcome::NotRun, reason));
    let unknown = |reason| Err((Outcome::Unknown, reason));
    let table = [
        ("/once", 0, vec![Good], 1, Ok(())),
        ("/once", 0, vec![NotSent, Good], 2, Ok(())),
        (
            "/once",
            0,
            vec![Rejected(Reason::NotReady), Good],
            2,
            Ok(()),
        ),
        ("/once", 0, vec![Lost, Good], 1, unknown(Reason::Lost)),
        (
            "/once",
            0,
            vec![BadResponse],
            1,
            unknown(Reason::BadResponse),
        ),
        ("/once", 0, vec![NotSent, Lost], 2, unknown(Reason::Lost)),
        ("/once", 0, vec![NotSent; 9], 3, not_run(Reason::NotSent)),
        ("/once", 0, vec![full, Good], 2, Ok(())),
        (
            "/once",
            0,
            vec![full, full, Good],
            2,
            not_run(Reason::QueueFull),
        ),
        ("/once", 1, vec![full, Good], 1, not_run(Reason::QueueFull)),
        ("/once", 1, vec![NotSent, Good], 2, Ok(())),
        (
            "/once",
            0,
            vec![Rejected(Reason::BadRequest)],
            1,
            not_run(Reason::BadRequest),
        ),
        ("/once", 0, vec![Hang], 1, unknown(Reason::Deadline)),
        ("/again", 0, vec![Lost, BadResponse, Good], 3, Ok(())),
        ("/again", 0, vec![Lost; 9], 3, unknown(Reason::Lost)),
        (
            "/again",
            0,
            vec![Lost, NotSent, NotSent],
            3,
            unknown(Reason::NotSent),
        ),
        (
            "/again",
            0,
            vec![Lost, full, full],
            3,
            unknown(Reason::QueueFull),
        ),
    ];
    let rt = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    rt.block_on(async {
        let mut fake = Arc::new(FakeUpstream::default());
        let (mut entry, mut _others) = start_site(&fake).await;
        let mut spent = 0;
        for (path, depth, script, attempts, want) in table {
            // Starts a new site before the token bucket of the node is empty.
            if spent + attempts > 10 {
                fake = Arc::new(FakeUpstream::default());
                (entry, _others) = start_site(&fake).await;
                spent = 0;
            }
            spent += attempts;
            fake.sent.lock().unwrap().clear();
            let name = format!("{path} at depth {depth}, {} steps, {want:?}", script.len());
            *fake.script.lock().unwrap() = script.into();
            let got = run_request(&entry.process, path, depth).await;
            assert_eq!(got.map_err(|f| (f.outcome, f.reason)), want, "{name}");
            let sent = fake.sent.lock().unwrap();
            assert_eq!(sent.len(), attempts, "{name}");
            let budgets: Vec<_> = sent.iter().map(|(_, r)| r.as_str()).collect();
            assert_eq!(budgets, ["2", "1", "0"][..attempts], "{name}");
            let targets: std::collections::BTreeSet<_> = sent.iter().map(|(to, _)| to).collect();
            assert_eq!(
                targets.len(),
                attempts,
                "{name}: each attempt has to use another target"
            );
        }
    });
}

/// Starts an entry node with the fake upstream client and three targets beside other nodes.
async fn start_site(fake: &Arc<FakeUpstream>) -> (RunningNode, Vec<RunningNode>) {
    let store = Arc::new(MemStore::default());
    let m = dragonflyquay::version::manifest::parse(MANIFEST).unwrap();
    publish::commit(store.as_ref(), "default", 0, &canonical(&m))
        .await
        .unwrap();
    let entry = start("entry", &[], &store, fake).await;
    let mut others = Vec::new();
    for id in ["t1", "t2", "t3"] {
        let node = start(id, &[entry.addresses.peer], &store, fake).await;
        announce(&node).await;
        others.push(node);
    }
    let known = || {
        let records = entry.process.records.load();
        records.values().filter(|r| r.target.is_some()).count() == 3
    };
    let ready = async {
        while !known() || entry.process.version().number == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), ready)
        .await
        .unwrap();
    (entry, others)
}
