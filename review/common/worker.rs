//! Stand-in of a plain worker.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Record, read_body, read_head};

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
