//! The only entry of a small deployment is frozen for 4 s while new weights are named: no request may begin on the older
//! weights later than `version_ms` after that.

#[path = "../common/mod.rs"]
mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::engine::{Engine, PIECE_BYTES, PIECES, start_origin};
use common::{
    Agent, Entry, Record, SIGCONT, SIGSTOP, Store, ms, request_text, run, shared_ports, signal,
    trouble,
};

/// Bounds of the site.
const CONTACT_MS: u64 = 3000;
const VERSION_MS: u64 = 8000;
/// Length of the freeze, as of the site file.
const FREEZE_MS: u64 = 4000;
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

fn main() {
    run(case)
}

fn config(origin: std::net::SocketAddr) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-1","host":"desk.example","path_prefix":"/desk/","type":"streaming","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"drafts","max_attempts":2,"anonymous":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":300}}],"services":[{{"name":"drafts","health_check_path":"/healthz","max_connections":204,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_cache_tokens":685000,"kv_bytes":327680,"link_mbps":400000.0,"stride":6,"models":[{{"name":"m","pace":1.0,"load_time_s":0.3,"warmup_s":0.3}}],"step_ms":7.4,"per_seq_ms":0.0387,"context_per_k":0.0203,"read_per_s":31900.0,"pairs_per_m":0.7,"chunk":2048,"usual":{{"prompt":100,"answer":20}},"layers":16,"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}},{{"name":"portal-misc","origin":"{origin}","link_mbps":7.3,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-0","api_keys":["{KEY}"]}}]}}"#
    )
}

fn case(record: &Record) -> std::io::Result<bool> {
    let (store, address) = Store::start(record)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let hosts = ["127.0.0.2".parse().unwrap(), "127.0.0.3".parse().unwrap()];
    let (chunks, loads) = shared_ports()?;
    let mut engines = Vec::new();
    for (at, host) in hosts.iter().enumerate() {
        engines.push(Engine::start(
            record,
            &store,
            &format!("i-{at}"),
            *host,
            &runs,
        )?);
    }
    store.put("config", "main", &config(start_origin()?));
    let entry = Entry::start_with_loads(address, loads)?;
    let mut agents = Vec::new();
    for (at, engine) in engines.iter().enumerate() {
        agents.push(Agent::start(
            at,
            engine.address,
            "drafts",
            address,
            chunks,
            loads,
        )?);
    }
    entry.wait_ready()?;
    thread::sleep(ms(CONTACT_MS + 3000));

    record.line("client: requests begin");
    let start = Instant::now();
    let (callers, end) = (entry.callers, ms(3000 + FREEZE_MS + VERSION_MS));
    let client = thread::spawn(move || {
        let mut requests = Vec::new();
        for number in 0.. {
            if start.elapsed() > end {
                break;
            }
            requests.push(thread::spawn(move || send(callers, &format!("r-{number}"))));
            thread::sleep(ms(50));
        }
        requests
            .into_iter()
            .filter_map(|request| request.join().ok())
            .filter(|answered| *answered)
            .count()
    });
    thread::sleep(ms(2000));
    let frozen = trouble();
    if frozen {
        record.line("the entry is frozen");
        signal(entry.child.id(), SIGSTOP)?;
    }
    thread::sleep(ms(100));
    store.put("versions", "m", r#"{"model":"m","version":2}"#);
    let named = Instant::now();
    record.line("store: acknowledges that version 2 is named");
    thread::sleep(ms(FREEZE_MS - 100));
    if frozen {
        signal(entry.child.id(), SIGCONT)?;
        record.line("the entry wakes");
    }
    let woken = Instant::now();
    let answered = client.join().unwrap_or(0);
    for line in entry.log_lines(&["version-named"]) {
        record.line(&format!("entry's log: {line}"));
    }
    let bound = named + ms(VERSION_MS);
    let in_touch = woken + ms(CONTACT_MS);
    let runs = runs.lock().unwrap();
    let late: Vec<Duration> = runs
        .iter()
        .filter(|run| run.version < 2 && run.at > bound.max(in_touch))
        .map(|run| run.at - named)
        .collect();
    let last = late.iter().max().map_or(0, Duration::as_millis);
    let total = runs.len();
    record.line(&format!("{answered} requests were answered; {} of {total} runs began on version 1 later than {VERSION_MS} ms after version 2 was named, the last one after {last} ms", late.len()));
    if answered == 0 || engines.iter().any(|engine| engine.version() != 2) {
        return Err(std::io::Error::other(
            "the requests or the engines did not do what the case needs",
        ));
    }
    Ok(!late.is_empty())
}

/// Sends a request for a stream and returns whether it was answered with success.
fn send(callers: std::net::SocketAddr, id: &str) -> bool {
    use std::io::{BufReader, Write};
    let ask = || -> std::io::Result<u16> {
        let mut stream = std::net::TcpStream::connect(callers)?;
        stream.set_read_timeout(Some(ms(6000)))?;
        let text = request_text("POST", "/desk/2f", id, KEY, ms(6000));
        let model = "X-Model: m\r\nX-Token-Count: 100,20\r\nContent-Length";
        stream.write_all(text.replace("Content-Length", model).as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = common::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        common::read_body(&mut reader, &head)?;
        Ok(head.status())
    };
    ask().is_ok_and(|status| status == 200)
}
