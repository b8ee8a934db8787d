//! Stand-in of the platform's store, and the configurations that operators write to it.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Record, ms, read_body, read_head};

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
