//! Measures the record store and prints the cost of a merge, the memory per record and the bytes of an exchange as
//! JSON.
//!
//! Run with `cargo run --release -p gossip --example cost -- RECORDS`. Memory is measured once, before anything else
//! has used the heap, so run the program several times. The other figures are lists of all runs, in order.

use std::fs;
use std::time::Instant;

use gossip::{Key, Phase, Record, Scope, Store, Target, Value, Version};
use serde_json::{Value as Json, json};

const RUNS: usize = 5;

fn main() {
    let argument = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let Some(size) = argument else {
        eprintln!("usage: cost RECORDS");
        std::process::exit(2);
    };
    let before = resident_bytes();
    let store = filled_store(size);
    let memory = resident_bytes().saturating_sub(before) / store.len();
    println!("{}", measure(size, memory));
}

fn measure(size: usize, memory: usize) -> Json {
    let mut new_ns = Vec::new();
    let mut same_ns = Vec::new();
    let mut newer_ns = Vec::new();
    let mut view_hash_ns = Vec::new();
    for _ in 0..RUNS {
        let batch = records(size, 0);
        let (again, newer) = (batch.clone(), records(size, 1));
        let mut store = Store::new();
        new_ns.push(nanos_per_record(size, || merge(&mut store, batch)));
        same_ns.push(nanos_per_record(size, || merge(&mut store, again)));
        newer_ns.push(nanos_per_record(size, || merge(&mut store, newer)));
        let services = vec!["assistant".into()];
        let scope = Scope {
            domain: "levis".into(),
            services,
        };
        view_hash_ns.push(nanos_per_record(size, || assert_ne!(scope.hash(&store), 0)));
    }
    let changed = [0, 1, 10, 100]
        .into_iter()
        .filter(|changed| *changed <= size);
    let exchanges: Vec<Json> = changed.map(|changed| exchange(size, changed)).collect();
    json!({
        "records": size,
        "merge_new_ns": new_ns,
        "merge_same_ns": same_ns,
        "merge_newer_ns": newer_ns,
        "view_hash_ns_per_record": view_hash_ns,
        "resident_bytes_per_record": memory,
        "exchange": exchanges,
    })
}

fn exchange(size: usize, changed: usize) -> Json {
    let (mut initiator, mut responder) = (filled_store(size), filled_store(size));
    merge(&mut responder, records(changed, 1));
    let mut bytes = Vec::new();
    let digest = initiator.digest();
    bytes.push(encoded_length(&digest));
    let first = responder.answer(&digest);
    bytes.push(encoded_length(&first));
    if let Some(details) = initiator.bucket_digest(&first) {
        bytes.push(encoded_length(&details));
        let second = responder.answer(&details);
        bytes.push(encoded_length(&second));
        merge(&mut initiator, second.records.clone());
        bytes.push(encoded_length(&initiator.wanted_records(&second)));
    }
    assert!(initiator == responder);
    let all: Vec<Record> = records(size, 0);
    json!({
        "changed": changed,
        "message_bytes": bytes,
        "total_bytes": bytes.iter().sum::<usize>(),
        "changed_records_bytes": encoded_length(&records(changed, 1)),
        "whole_store_bytes": encoded_length(&all),
    })
}

fn filled_store(size: usize) -> Store {
    let mut store = Store::new();
    for index in 0..size {
        store.merge(record(index, 0));
    }
    store
}

fn records(count: usize, minor: u64) -> Vec<Record> {
    (0..count).map(|index| record(index, minor)).collect()
}

fn record(index: usize, minor: u64) -> Record {
    let host = [10, 0, (index / 250) as u8, (index % 250) as u8];
    Record {
        key: Key::Target(format!("vm-{index:05}")),
        version: Version {
            major: 1_000_000 + index as u64,
            minor,
            down: false,
        },
        value: Value::Target(Target {
            domain: "levis".into(),
            region: "levis".into(),
            service: "assistant".into(),
            call: (host, 8080).into(),
            chunk: (host, 8081).into(),
            phase: Phase::Live,
        }),
    }
}

fn merge(store: &mut Store, records: Vec<Record>) {
    for record in records {
        store.merge(record);
    }
}

/// Runs `work` and returns its duration per record, in nanoseconds.
fn nanos_per_record(records: usize, work: impl FnOnce()) -> u128 {
    let start = Instant::now();
    work();
    start.elapsed().as_nanos() / records as u128
}

fn encoded_length<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value)
        .expect("message must be serializable")
        .len()
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}
