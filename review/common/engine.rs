//! Stand-ins of model engines and of the origin of weights.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use super::{Head, Record, Store, ms, read_body, read_head};

/// Number of pieces of a version, and their size in bytes.
pub const PIECES: usize = 16;
pub const PIECE_BYTES: usize = 1024;
/// Time that an engine needs to load staged weights.
const LOAD_MS: u64 = 300;
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 4;
const EVENT_GAP_MS: u64 = 60;

/// A request that an engine began.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub id: String,
    pub version: u64,
}

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    state: Arc<Mutex<State>>,
}

struct State {
    version: u64,
    busy: bool,
    orders: u64,
    active: u32,
    staged: BTreeMap<usize, Vec<u8>>,
}

/// Returns a piece of a version of the weights.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    (0..PIECE_BYTES)
        .map(|at| (at as u64 * 7 + index as u64 * 13 + version * 101) as u8)
        .collect()
}

impl Engine {
    /// Starts an engine that holds version 1 and registers it.
    pub fn start(
        record: &Record,
        store: &Store,
        id: &str,
        ip: IpAddr,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let staged = (0..PIECES).map(|index| (index, piece(1, index))).collect();
        let state = State {
            version: 1,
            busy: false,
            orders: 0,
            active: 0,
            staged,
        };
        let engine = Self {
            id: id.into(),
            address: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            runs: Arc::clone(runs),
            state: Arc::new(Mutex::new(state)),
        };
        engine.register();
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || {
                    let _ = engine.serve(stream);
                });
            }
        });
        Ok(engine)
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    fn register(&self) {
        let (address, version) = (self.address, self.version());
        let entry = format!(
            r#"{{"service":"drafts","address":"{address}","zone":"north-a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"combined","models":[{{"name":"m","version":{version},"adapters":[]}}],"sequence":1,"born":1700000000000}}"#
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let index = query
                .strip_prefix("sample_count=")
                .and_then(|text| text.parse().ok());
            if path == "/carobport/report" {
                answer(&mut stream, "200 OK", self.report().as_bytes())?;
            } else if path.starts_with("/carobport/stage-put/") {
                let index: usize = index.ok_or(io::ErrorKind::InvalidData)?;
                self.state.lock().unwrap().staged.insert(index, body);
                answer(&mut stream, "200 OK", b"")?;
            } else if path.starts_with("/carobport/stage-get/") {
                let staged = self.state.lock().unwrap().staged.clone();
                match index.map(|index: usize| staged.get(&index)) {
                    Some(Some(bytes)) => answer(&mut stream, "200 OK", bytes)?,
                    Some(None) => answer(&mut stream, "404 Not Found", b"")?,
                    None => {
                        let held: Vec<String> = staged.keys().map(usize::to_string).collect();
                        let text = format!(r#"{{"held":[{}]}}"#, held.join(","));
                        answer(&mut stream, "200 OK", text.as_bytes())?;
                    }
                }
            } else if path == "/carobport/order" {
                let status = self.order(&String::from_utf8_lossy(&body));
                answer(&mut stream, status, b"")?;
            } else {
                self.run(&mut stream, &head)?;
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let (version, busy, orders, active) =
            (state.version, state.busy, state.orders, state.active);
        format!(
            r#"{{"stage":"combined","models":[{{"name":"m","version":{version},"adapters":[]}}],"busy":{busy},"sequence":{orders},"queued":0,"active":{active},"kv_used":0,"kv_capacity":90000,"handles":0,"pace":1.0,"born":1700000000000}}"#
        )
    }

    fn order(&self, text: &str) -> &'static str {
        let number = |name: &str| -> Option<u64> {
            let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let Some(version) = number("version") else {
            return "400 Bad Request";
        };
        let mut state = self.state.lock().unwrap();
        if version == state.version {
            return "200 OK";
        }
        if state.busy || number("expected").is_some_and(|expected| expected != state.orders) {
            return "409 Conflict";
        }
        let whole =
            (0..PIECES).all(|index| state.staged.get(&index) == Some(&piece(version, index)));
        let wholeness = if whole { "whole" } else { "not whole" };
        self.record.line(&format!(
            "engine {}: accepts the order of version {version}, staged {wholeness}",
            self.id
        ));
        state.busy = true;
        state.orders += 1;
        let engine = self.clone();
        thread::spawn(move || engine.load(version));
        "202 Accepted"
    }

    fn load(&self, version: u64) {
        while self.state.lock().unwrap().active > 0 {
            thread::sleep(ms(5));
        }
        thread::sleep(ms(LOAD_MS));
        let mut state = self.state.lock().unwrap();
        state.version = version;
        state.busy = false;
        drop(state);
        self.record
            .line(&format!("engine {}: holds version {version}", self.id));
        self.register();
    }

    fn run(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or("").to_owned();
        let refuse = |stream: &mut TcpStream, status: &str| {
            let text = format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())
        };
        let mut state = self.state.lock().unwrap();
        let version = state.version;
        if head
            .get("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
            || head
                .get("x-expect-version")
                .is_some_and(|expected| expected != version.to_string())
        {
            return refuse(stream, "421 Misdirected Request");
        }
        if state.busy {
            return refuse(stream, "503 Service Unavailable");
        }
        state.active += 1;
        drop(state);
        let run = Run {
            at: Instant::now(),
            engine: self.id.clone(),
            id: id.clone(),
            version,
        };
        self.record.line(&format!(
            "engine {}: begins {id} on version {version}",
            self.id
        ));
        self.runs.lock().unwrap().push(run);
        let sent = self.send_events(stream, &id, version);
        self.state.lock().unwrap().active -= 1;
        sent
    }

    fn send_events(&self, stream: &mut TcpStream, id: &str, version: u64) -> io::Result<()> {
        let seal = &self.id;
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {seal}.{id}\r\nX-Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(text.as_bytes())?;
        for event in 1..=EVENTS {
            let text = format!("id: {event}\ndata: part {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(ms(EVENT_GAP_MS));
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Starts the origin of weights and returns its address.
pub fn start_origin() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = serve_origin(stream);
            });
        }
    });
    Ok(address)
}

fn serve_origin(stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = read_head(&mut reader)? {
        let _ = read_body(&mut reader, &head)?;
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let value = |name: &str| -> Option<u64> {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse().ok())
        };
        let version = value("version").unwrap_or(1);
        if path.starts_with("/carobport/manifest/") {
            let digest = |index| format!("\"{}\"", sha256_hex(&piece(version, index)));
            let digests: Vec<String> = (0..PIECES).map(digest).collect();
            let text = format!(
                r#"{{"model":"m","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
                digests.join(",")
            );
            answer(&mut stream, "200 OK", text.as_bytes())?;
        } else {
            let index = value("sample_count").unwrap_or(0) as usize;
            answer(&mut stream, "200 OK", &piece(version, index))?;
        }
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, status: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Returns the SHA-256 of `bytes` in hexadecimal (FIPS 180-4).
fn sha256_hex(bytes: &[u8]) -> String {
    let primes = |count: usize| {
        (2u64..)
            .filter(|n| (2..*n).all(|d| n % d != 0))
            .take(count)
            .collect::<Vec<u64>>()
    };
    // The first 32 bits of the fractional parts of the roots of the first primes.
    let fraction = |root: f64| ((root - root.floor()) * 4_294_967_296.0) as u32;
    let k: Vec<u32> = primes(64)
        .iter()
        .map(|p| fraction((*p as f64).cbrt()))
        .collect();
    let mut h: Vec<u32> = primes(8)
        .iter()
        .map(|p| fraction((*p as f64).sqrt()))
        .collect();
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend((bytes.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w: Vec<u32> = block
            .chunks(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
            .collect();
        for t in 16..64 {
            let s0 = w[t - 15].rotate_right(7) ^ w[t - 15].rotate_right(18) ^ (w[t - 15] >> 3);
            let s1 = w[t - 2].rotate_right(17) ^ w[t - 2].rotate_right(19) ^ (w[t - 2] >> 10);
            w.push(
                w[t - 16]
                    .wrapping_add(s0)
                    .wrapping_add(w[t - 7])
                    .wrapping_add(s1),
            );
        }
        let mut v = h.clone();
        for t in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7]
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(k[t])
                .wrapping_add(w[t]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(majority);
            v = vec![
                t1.wrapping_add(t2),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(t1),
                v[4],
                v[5],
                v[6],
            ];
        }
        for (sum, value) in h.iter_mut().zip(v) {
            *sum = sum.wrapping_add(value);
        }
    }
    h.iter().map(|word| format!("{word:08x}")).collect()
}
