//! The project's own programs as separate processes, and signals to them.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Instant;

use super::{ms, read_head};

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
