//! Stand-ins of the users' platform for the cases of the review: its store, plain workers, clients, and the start of the
//! project's own programs. Only the standard library is used.

pub mod engine;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status when the rule was kept.
pub const HELD: i32 = 0;
/// Exit status when the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status when the case could not run.
pub const NOT_RUN: i32 = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Writes what happened to `record.txt` and to standard output, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Returns whether the disruption is to take place: it is left out with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A head of an HTTP message: its first line and its headers, with names in lower case.
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it begins.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head {
                line: first,
                headers,
            }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or is chunked.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if let Some(length) = head.get("content-length") {
        let mut body = vec![0; length.parse().map_err(|_| io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding") != Some("chunked") {
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let mut piece = vec![0; size + 2];
        reader.read_exact(&mut piece)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&piece[..size]);
    }
}

/// The platform's store: objects by kind and name, lists and watches.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Text of each object's `spec`, with the revision of its last change; `None` if it was deleted.
    objects: BTreeMap<(String, String), (u64, Option<String>)>,
    /// Kind of the watches of which one answer will be lost.
    lose: Option<String>,
    /// Number of answers that were lost, and of those that were sent.
    lost: usize,
    answers: usize,
}

impl Store {
    /// Starts the store and returns it with its address.
    pub fn start(record: &Record) -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (serving, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, record) = (serving.clone(), record.clone());
                thread::spawn(move || {
                    let _ = store.serve(stream, &record);
                });
            }
        });
        Ok((store, address))
    }

    /// Writes an object; the return is the store's acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec.to_owned()));
    }

    /// Deletes an object; the return is the store's acknowledgement.
    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec));
        changed.notify_all();
    }

    /// Loses the next answer to a watch of `kind`: the connection returns nothing further.
    pub fn lose_answer(&self, kind: &str) {
        self.0.0.lock().unwrap().lose = Some(kind.to_owned());
    }

    /// Ends the disruption, and returns the number of answers that were lost.
    pub fn lose_no_more(&self) -> usize {
        let mut state = self.0.0.lock().unwrap();
        state.lose = None;
        state.lost
    }

    /// Returns the number of answers that were sent.
    pub fn answers(&self) -> usize {
        self.0.0.lock().unwrap().answers
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(head) = read_head(&mut reader)? {
            let _ = read_body(&mut reader, &head)?;
            let path = head.path().to_owned();
            let Some(rest) = path.strip_prefix("/carobport/objects/") else {
                respond(&mut stream, "404 Not Found", "{}")?;
                continue;
            };
            let (kind, query) = rest.split_once('?').unwrap_or((rest, ""));
            let value = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .filter(|(key, _)| *key == name)
                    .find_map(|(_, value)| value.parse().ok())
            };
            let body = match value("watch") {
                None => self.list(kind),
                Some(after) => {
                    let wait = ms(value("wait_ms").unwrap_or(0).min(30_000));
                    let (body, has_events) = self.watch(kind, after, wait);
                    let lost = has_events && {
                        let mut state = self.0.0.lock().unwrap();
                        let lose = state.lose.as_deref() == Some(kind);
                        if lose {
                            state.lose = None;
                            state.lost += 1;
                        }
                        lose
                    };
                    if lost {
                        record.line(&format!(
                            "store: the answer to a watch of {kind} is lost: {body}"
                        ));
                        // The connection stays open and returns nothing further.
                        let _ = io::copy(&mut reader, &mut io::sink());
                        record.line(
                            "store: the caller closed the connection on which the answer was lost",
                        );
                        return Ok(());
                    }
                    body
                }
            };
            respond(&mut stream, "200 OK", &body)?;
            self.0.0.lock().unwrap().answers += 1;
        }
        Ok(())
    }

    fn list(&self, kind: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .filter_map(|((_, name), (revision, spec))| {
                Some(object(name, *revision, spec.as_ref()?))
            })
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"at":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    /// Returns the events after a revision, as soon as there is one, and whether there are any.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (String, bool) {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        loop {
            let mut events: Vec<(u64, String)> = state
                .objects
                .iter()
                .filter(|((of, _), (revision, _))| of == kind && *revision > after)
                .map(|((_, name), (revision, spec))| {
                    let text = object(name, *revision, spec.as_deref().unwrap_or("null"));
                    let deleted = spec.is_none();
                    (
                        *revision,
                        format!(r#"{{"deleted":{deleted},"object":{text}}}"#),
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let has_events = !events.is_empty();
                let texts: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                let body = format!(
                    r#"{{"events":[{}],"at":{}}}"#,
                    texts.join(","),
                    state.revision
                );
                return (body, has_events);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"deletion_pending":false}},"spec":{spec},"status":null}}"#
    )
}

fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// A request that a worker got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub path: String,
    pub tenant: Option<String>,
}

/// A plain worker.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Whether the worker has exited.
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// What a worker does with a request.
#[derive(Clone)]
pub struct Behaviour {
    /// Time that a run takes.
    pub work: Duration,
    /// Length of the answer's body.
    pub answer_bytes: usize,
    /// Whether the worker says in its answers that it leaves.
    pub leaving: bool,
}

impl Worker {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        behaviour: Behaviour,
        runs: &Arc<Mutex<Vec<Arrival>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr()?,
            behaviour: Arc::new(Mutex::new(behaviour)),
            ended: Arc::default(),
            connections: Arc::default(),
        };
        let (id, runs) = (worker.id.clone(), Arc::clone(runs));
        let (behaviour, record) = (Arc::clone(&worker.behaviour), record.clone());
        let (ended, connections) = (Arc::clone(&worker.ended), Arc::clone(&worker.connections));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                connections.lock().unwrap().extend(stream.try_clone());
                let (id, runs) = (id.clone(), Arc::clone(&runs));
                let (behaviour, record) = (Arc::clone(&behaviour), record.clone());
                thread::spawn(move || {
                    let _ = serve_worker(stream, &id, &behaviour, &runs, &record);
                });
            }
        });
        Ok(worker)
    }

    pub fn set_leaving(&self) {
        self.behaviour.lock().unwrap().leaving = true;
    }

    /// Ends the worker as if its process exited `after` now: its connections are closed, and its port refuses new ones.
    pub fn exit_in(&self, after: Duration, record: &Record) -> thread::JoinHandle<()> {
        let (id, address, record) = (self.id.clone(), self.address, record.clone());
        let (ended, connections) = (Arc::clone(&self.ended), Arc::clone(&self.connections));
        thread::spawn(move || {
            thread::sleep(after);
            ended.store(true, Ordering::SeqCst);
            // Wakes the listener, which then closes.
            let _ = TcpStream::connect(address);
            for connection in connections.lock().unwrap().iter() {
                let _ = connection.shutdown(Shutdown::Both);
            }
            record.line(&format!("worker {id}: exits"));
        })
    }

    /// Text of the worker's entry in the list of servers.
    pub fn entry(&self, state: &str) -> String {
        let (service, address) = (&self.service, self.address);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"north-a","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":1700000000000}}"#
        )
    }
}

fn serve_worker(
    stream: TcpStream,
    id: &str,
    behaviour: &Mutex<Behaviour>,
    runs: &Mutex<Vec<Arrival>>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = read_head(&mut reader)? {
        let _ = read_body(&mut reader, &head)?;
        let request = head.get("x-attempt-id").unwrap_or("").to_owned();
        let leaving = match behaviour.lock().unwrap().leaving {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        if head
            .get("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {request}\r\nX-Instance-Id: {id}\r\n{leaving}Content-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            continue;
        }
        let arrival = Arrival {
            at: Instant::now(),
            worker: id.to_owned(),
            id: request.clone(),
            path: head.path().to_owned(),
            tenant: head.get("x-tenant").map(str::to_owned),
        };
        let tenant = arrival.tenant.as_deref().unwrap_or("none");
        record.line(&format!("worker {id}: runs {request}, X-Tenant {tenant}"));
        runs.lock().unwrap().push(arrival);
        let behaviour = behaviour.lock().unwrap().clone();
        thread::sleep(behaviour.work);
        let length = behaviour.answer_bytes;
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Response-Seal: {id}.{request}\r\n{leaving}Content-Length: {length}\r\n\r\n"
        );
        stream.write_all(text.as_bytes())?;
        let body: Vec<u8> = (0..length).map(|at| b'a' + (at % 23) as u8).collect();
        stream.write_all(&body)?;
    }
    Ok(())
}

/// What a client got.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the answer.
pub fn request(
    entry: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&entry, ms(1000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline))?;
    stream.write_all(request_text(method, path, id, key, deadline).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok(Answer {
        status: head.status(),
        sealed: head.get("x-response-seal").is_some(),
        body,
    })
}

pub fn request_text(method: &str, path: &str, id: &str, key: &str, deadline: Duration) -> String {
    let ms = deadline.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// The entry as a process of its own, started with the command of the deploy file; it is killed when dropped.
pub struct Entry {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
}

impl Entry {
    /// Starts `target/release/carobport-entry` with the settings of a small deployment, in the form of
    /// `deploy/entry.json` and with the bounds of the site.
    pub fn start(store: SocketAddr) -> io::Result<Self> {
        let loads = free_port()?.port();
        Self::start_with_loads(store, loads)
    }

    /// Starts the entry with the port on which agents report their loads.
    pub fn start_with_loads(store: SocketAddr, loads: u16) -> io::Result<Self> {
        let folder = temporary_folder()?;
        let (callers, ready, operators) = (free_port()?, free_port()?, free_port()?);
        let settings = format!(
            r#"{{
  "interface": "platform",
  "name": "edge-north-a-1",
  "domain": "north-a",
  "regions": {{"north-a": "north", "midlands-a": "midlands", "south-a": "south"}},
  "caller_listen": "{callers}",
  "ready_listen": "{ready}",
  "operator_listen": "{operators}",
  "load_listen": "127.0.0.1:{loads}",
  "platform": "{store}",
  "bounds": {{
    "grace_s": 8,
    "contact_ms": 3000,
    "drain_ms": 2000,
    "heartbeat_ms": 1200,
    "version_ms": 8000,
    "repeat_ratio": 0.2,
    "repeat_extra": 106,
    "repeat_window_s": 10
  }}
}}
"#
        );
        let file = folder.join("settings.conf");
        std::fs::write(&file, settings)?;
        let child = start_program(
            "target/release/carobport-entry",
            &file,
            &folder.join("entry.log"),
        )?;
        Ok(Self {
            child,
            callers,
            ready,
            folder,
        })
    }

    /// Waits until the entry reports that it is ready; fails after 10 s.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + ms(10_000);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(ms(50));
        }
        Err(io::Error::other("the entry was not ready within 10 s"))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, ms(500))?;
            stream.set_read_timeout(Some(ms(500)))?;
            stream.write_all(
                b"GET /carobport/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
            )?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Sends SIGTERM, as the platform does for a planned stop.
    pub fn terminate(&self) -> io::Result<()> {
        signal(self.child.id(), SIGTERM)
    }

    /// Lines of the entry's log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = std::fs::read_to_string(self.folder.join("entry.log")).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An agent as a process of its own, started with the command of the deploy file; it is killed when dropped.
pub struct Agent {
    child: Child,
}

impl Agent {
    /// Starts `target/release/carobport-agent` beside `engine`, with settings in the form of `deploy/agent.json`.
    ///
    /// `chunks` and `loads` are the ports that all agents and entries use.
    pub fn start(
        number: usize,
        engine: SocketAddr,
        service: &str,
        store: SocketAddr,
        chunks: u16,
        loads: u16,
    ) -> io::Result<Self> {
        let (folder, ip, operators) = (temporary_folder()?, engine.ip(), free_port()?.port());
        let settings = format!(
            r#"{{
  "interface": "platform",
  "name": "side-north-a-{number}",
  "domain": "north-a",
  "regions": {{"north-a": "north", "midlands-a": "midlands", "south-a": "south"}},
  "engine": "{engine}",
  "service": "{service}",
  "chunk_listen": "{ip}:{chunks}",
  "operator_listen": "{ip}:{operators}",
  "load_listen": "{ip}:{loads}",
  "platform": "{store}",
  "link_mbps": 7.3,
  "version_ms": 8000
}}
"#
        );
        let file = folder.join(format!("agent-{number}.conf"));
        std::fs::write(&file, settings)?;
        let log = folder.join(format!("agent-{number}.log"));
        let child = start_program("target/release/carobport-agent", &file, &log)?;
        Ok(Self { child })
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_program(program: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::create(log)?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Signals with their numbers on Linux.
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this test started.
pub fn signal(process: u32, number: i32) -> io::Result<()> {
    // SAFETY: the call takes no pointers.
    match unsafe { kill(process as i32, number) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Returns the folder for settings and logs of this run.
fn temporary_folder() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Returns two ports that are free on the first three loopback addresses, for TCP and UDP.
pub fn shared_ports() -> io::Result<(u16, u16)> {
    let free = || -> io::Result<u16> {
        let port = free_port()?.port();
        for host in 2..=3 {
            let address = SocketAddr::from(([127, 0, 0, host], port));
            TcpListener::bind(address)?;
            UdpSocket::bind(address)?;
        }
        Ok(port)
    };
    Ok((free()?, free()?))
}

/// Returns a loopback address whose port is free for TCP and UDP.
fn free_port() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    UdpSocket::bind(address)?;
    Ok(address)
}

/// Text of a configuration with one route to a service of each kind; `tenants` is a JSON array.
pub fn config(version: u64, route: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{route}],"services":[{{"name":"desk","health_check_path":"/healthz","max_connections":52,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000}},"tenants":{tenants}}}"#
    )
}

/// Text of a route to the service `desk`.
pub fn route(kind: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"r-1","host":"desk.example","path_prefix":"/desk/","type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":150,"priority":1,"service":"desk","max_attempts":2,"anonymous":false,"session_affinity":false,"stream_resume":false}}"#
    )
}

/// Reads exactly what comes within `limit` bytes; helper for slow readers.
pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer)
}

/// Runs `case` in the folder given as the first argument, and exits with its result.
pub fn run(case: impl FnOnce(&Record) -> io::Result<bool>) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let code = match Record::create(Path::new(&folder)) {
        Err(_) => NOT_RUN,
        Ok(record) => match case(&record) {
            Ok(true) => {
                record.line("result: the rule was broken");
                BROKEN
            }
            Ok(false) => {
                record.line("result: the rule held");
                HELD
            }
            Err(error) => {
                record.line(&format!("result: the case could not run: {error}"));
                NOT_RUN
            }
        },
    };
    std::process::exit(code)
}
