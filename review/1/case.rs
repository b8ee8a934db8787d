//! All keys are taken away: requests with a key that no configuration in force holds must not run.

#[path = "../common/mod.rs"]
mod common;

use std::sync::{Arc, Mutex};
use std::thread;

use common::{Behaviour, Entry, Record, Store, Worker, config, ms, request, route, run, trouble};

/// `config_apply_ms` of the site, and as much again.
const APPLIED_MS: u64 = 2 * 2000;
/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3000;
const KEYS: [&str; 3] = [
    "jnbanfqasnmgkcuyj8pj",
    "qm2kx8vdbtr0yheg4wcz",
    "u5zs1onlp9fa3ihxkd7m",
];
const UNKNOWN_KEY: &str = "b6y0never9held1by2any";

fn main() {
    run(case)
}

/// Returns the tenants of a configuration: one key each, of which the first `taken` were taken away.
fn tenants(taken: usize) -> String {
    let tenant = |(at, key): (usize, &&str)| {
        let keys = match at < taken {
            true => String::new(),
            false => format!(r#""{key}""#),
        };
        format!(r#"{{"name":"tenant-{at}","api_keys":[{keys}]}}"#)
    };
    let texts: Vec<String> = KEYS.iter().enumerate().map(tenant).collect();
    format!("[{}]", texts.join(","))
}

fn case(record: &Record) -> std::io::Result<bool> {
    let (store, address) = Store::start(record)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let behaviour = Behaviour {
        work: ms(30),
        answer_bytes: 800,
        leaving: false,
    };
    let mut workers = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let worker = Worker::start(record, id, "desk", behaviour.clone(), &runs)?;
        store.put("servers", id, &worker.entry("ready"));
        workers.push(worker);
    }
    let route = route("non_idempotent", 1500);
    store.put("config", "main", &config(3, &route, &tenants(0)));
    let entry = Entry::start(address)?;
    entry.wait_ready()?;
    thread::sleep(ms(CONTACT_MS + 1000));

    let send = |id: &str, key: &str| -> std::io::Result<u16> {
        let answer = request(entry.callers, "POST", "/desk/2f", id, key, ms(1500))?;
        record.line(&format!(
            "client: {id} with key {key} got {}",
            answer.status
        ));
        Ok(answer.status)
    };
    for (at, key) in KEYS.iter().enumerate() {
        if send(&format!("before-{at}"), key)? != 200 {
            return Err(std::io::Error::other(
                "a proper request was not served before",
            ));
        }
    }
    if send("before-unknown", UNKNOWN_KEY)? != 401 {
        return Err(std::io::Error::other(
            "an unknown key was not refused before",
        ));
    }
    if trouble() {
        for taken in 1..=KEYS.len() {
            let version = 3 + 2 * taken as u64;
            store.put("config", "main", &config(version, &route, &tenants(taken)));
            record.line(&format!(
                "operator: version {version} is acknowledged; {taken} of 3 keys are taken away"
            ));
            thread::sleep(ms(100));
        }
    }
    thread::sleep(ms(APPLIED_MS));
    for round in 0..4 {
        for (at, key) in KEYS.iter().enumerate() {
            send(&format!("after-{round}-{at}"), key)?;
        }
        send(&format!("after-{round}-unknown"), UNKNOWN_KEY)?;
    }
    for line in entry.log_lines(&["config-in-force"]) {
        record.line(&format!("entry's log: {line}"));
    }
    let runs = runs.lock().unwrap();
    let dropped = runs
        .iter()
        .filter(|run| run.id.starts_with("after-") && !run.id.ends_with("unknown"))
        .count();
    let unknown = runs
        .iter()
        .filter(|run| run.id.ends_with("unknown"))
        .count();
    record.line(&format!("run afterwards: {dropped} of 12 with a key of version 3, {unknown} of 4 with a key that no version ever held"));
    Ok(match trouble() {
        true => dropped > 0 || unknown > 0,
        false => unknown > 0 || dropped < 12,
    })
}
