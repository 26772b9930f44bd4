//! One client sends one body of legal size in chunks, and the process of the node needs more memory than its machine has.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::client::{head, start_kept};
use crate::http::read_message;
use crate::memory::{judge, watch_memory};
use crate::record::Record;
use crate::site::{fresh_id, Site, MEMORY_MB, OTHER_SERVICE, SERVICE};
use crate::Verdict;

const SERVICES: [&str; 4] = [SERVICE, SERVICE, OTHER_SERVICE, OTHER_SERVICE];
const WORK: Duration = Duration::from_millis(120);
/// Bytes of the body, of the 67,108,864 that the configuration allows, and of each of its chunks.
const BODY: (usize, usize) = (44_000_000, 100_000);
const CONSUMERS: usize = 12;
const WATCHED: Duration = Duration::from_secs(6);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut site = Site::with_services(&SERVICES, MEMORY_MB, record);
    if !site.start_all(WORK) {
        return Verdict::NotRun;
    }
    let to = site.nodes[0].outbound;
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = start_kept(CONSUMERS, to, record, &stop);
    sleep(Duration::from_secs(4));
    let r = record.clone();
    let client = trouble.then(|| std::thread::spawn(move || send_body(&r, to)));
    watch_memory(&mut site, record, WATCHED);
    client.into_iter().for_each(|c| c.join().unwrap());
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|c| c.join().unwrap());
    site.end();
    judge(record)
}

/// Sends the body at once, in chunks, and waits for the answer.
fn send_body(record: &Record, to: SocketAddr) {
    let chunk = format!("{:x}\r\n{}\r\n", BODY.1, "x".repeat(BODY.1));
    let id = fresh_id();
    let Ok(mut s) = TcpStream::connect(to) else {
        return;
    };
    let _ = s.set_read_timeout(Some(Duration::from_secs(3)));
    let head = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n",
        head("POST", "/hall/posting", &id)
    );
    let sent = record.now();
    record.write(&format!(
        "request {id} has a body of {} bytes in chunks",
        BODY.0
    ));
    let mut written = s.write_all(head.as_bytes());
    for _ in 0..BODY.0 / BODY.1 {
        written = written.and_then(|()| s.write_all(chunk.as_bytes()));
    }
    let written = written.and_then(|()| s.write_all(b"0\r\n\r\n"));
    let answer = written
        .ok()
        .and_then(|()| read_message(&mut BufReader::new(s)));
    record.answered(&id, sent, answer.map_or(0, |a| a.status()));
}
