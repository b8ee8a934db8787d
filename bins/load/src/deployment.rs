//! A whole system on loopback: stand-ins, entries and agents, each a process.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use node::http::{Body, Client, Method, Request};
use serde_json::{Value, json};

use crate::address::{BACKEND_PORT, CALL_PORT, Network, OPERATOR_PORT, ORDER_PORT, PEER_PORT};
use crate::standins::journal;
use crate::{Plan, Process};

/// Group of the stand-ins' addresses; the domains' groups follow.
const STANDINS: u8 = 0;
/// First address of the targets within a domain's group.
const FIRST_TARGET: u8 = 20;
/// Time within which a process must open its ports.
const START_LIMIT: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(20);
const CONTROL_DEADLINE: Duration = Duration::from_secs(2);
const MAX_STATUS: usize = 1 << 20;

/// Deployments that this process has started: each has a folder of its own, so that one that is kept after a failure
/// adds nothing to the journals of the next.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Service with a model engine.
pub const MODEL_SERVICE: &str = "assistant";
/// Service whose calls must run at most once.
pub const PLAIN_SERVICE: &str = "greens-desk";
/// Workspace that may call both.
pub const WORKSPACE: &str = "secretaries";
/// Name of the model.
pub const MODEL: &str = "fixtures-lm";

/// An experiment that failed for a reason outside the system under test.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A file or process of the experiment can't be used.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A process did not get ready, or a condition was not met in time.
    #[error("{what} not seen within {limit:?}")]
    Late {
        /// What was awaited.
        what: String,
        /// Time that was allowed.
        limit: Duration,
    },
    /// A stand-in or process gave an unexpected answer.
    #[error("{what}: {reason}")]
    Answer {
        /// What was asked.
        what: String,
        /// What came back.
        reason: String,
    },
}

/// A running process and the address at which it is asked for its state.
#[derive(Debug)]
pub struct Member {
    /// The process.
    pub process: Process,
    /// Failure domain; empty for platform and store.
    pub domain: String,
    /// Operator port; for stand-ins the port with `/control`.
    pub operator: SocketAddr,
    binary: &'static str,
    args: Vec<String>,
}

/// All processes of an experiment; dropping it ends them and removes its folder.
pub struct Deployment {
    /// What was asked for.
    pub plan: Plan,
    /// The platform's stand-in.
    pub platform: Member,
    /// The weight store's stand-in.
    pub store: Member,
    /// Engines, in the order of the agents beside them.
    pub engines: Vec<Member>,
    /// Plain services, in the order of the agents beside them.
    pub plains: Vec<Member>,
    /// Entries.
    pub entries: Vec<Member>,
    /// Agents: those of the engines first, then those of the plain services.
    pub agents: Vec<Member>,
    network: Network,
    folder: Folder,
    binaries: PathBuf,
    client: Client,
}

/// A folder that is removed when the experiment ends.
#[derive(Debug)]
struct Folder(PathBuf);

impl Deployment {
    /// Starts all processes and waits until they serve; the catalogue is empty then.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or doesn't get ready.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let id = std::process::id();
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("carobport-load-{id}-{number}");
        let network = Network::reserve(id).map_err(|source| Error::Io {
            what: "reserving loopback addresses".into(),
            source,
        })?;
        Self::start_in(plan, network, &name).await
    }

    async fn start_in(plan: Plan, network: Network, name: &str) -> Result<Self, Error> {
        let folder = Folder::create(std::env::temp_dir().join(name))?;
        let binaries = binaries()?;
        let launcher = Launcher {
            plan: &plan,
            network: &network,
            folder: &folder.0,
            binaries: &binaries,
        };
        let platform = launcher.platform()?;
        let store = launcher.store()?;
        let (mut engines, mut plains) = (Vec::new(), Vec::new());
        let (mut entries, mut agents) = (Vec::new(), Vec::new());
        for group in 1..=plan.domains.len() as u8 {
            for index in 0..plan.engines {
                engines.push(launcher.engine(group, index)?);
            }
            for index in plan.engines..plan.engines + plan.plains {
                plains.push(launcher.plain(group, index)?);
            }
            for index in 0..plan.entries {
                entries.push(launcher.entry(group, index)?);
            }
        }
        for group in 1..=plan.domains.len() as u8 {
            for index in 0..plan.engines {
                agents.push(launcher.agent(group, index, true)?);
            }
        }
        for group in 1..=plan.domains.len() as u8 {
            for index in plan.engines..plan.engines + plan.plains {
                agents.push(launcher.agent(group, index, false)?);
            }
        }
        let deployment = Self {
            platform,
            store,
            engines,
            plains,
            entries,
            agents,
            network,
            folder,
            binaries,
            client: Client::new(),
            plan,
        };
        deployment.wait_started().await?;
        Ok(deployment)
    }

    /// Returns the caller ports of all entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let port = |member: &Member| SocketAddr::new(member.operator.ip(), CALL_PORT);
        self.entries.iter().map(port).collect()
    }

    /// Returns the folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    /// Starts a process again with its old settings, after it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn restart(&self, member: &mut Member) -> Result<(), Error> {
        member.process.kill();
        let args: Vec<&str> = member.args.iter().map(String::as_str).collect();
        let binary = self.binaries.join(member.binary);
        let name = member.process.name().to_owned();
        member.process = start(&binary, &args, &name, &self.folder.0)?;
        Ok(())
    }

    /// Starts the store again like [`Deployment::restart`]; its contents follow from its settings.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn restart_store(&mut self) -> Result<(), Error> {
        self.store.process.kill();
        let args: Vec<&str> = self.store.args.iter().map(String::as_str).collect();
        let name = self.store.process.name().to_owned();
        let binary = self.binaries.join(STANDIN);
        self.store.process = start(&binary, &args, &name, &self.folder.0)?;
        Ok(())
    }

    /// Returns a JSON document of a process, such as `/status` or `/control`.
    ///
    /// # Errors
    ///
    /// Fails when the process gives no whole answer or no JSON.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Error> {
        self.call(address, Method::GET, path, None).await
    }

    /// Waits until `condition` holds.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't hold within `limit`.
    pub async fn wait(
        &self,
        what: &str,
        limit: Duration,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<Duration, Error> {
        let start = Instant::now();
        while !condition().await {
            if start.elapsed() > limit {
                return Err(Error::Late {
                    what: what.into(),
                    limit,
                });
            }
            compio::time::sleep(POLL).await;
        }
        Ok(start.elapsed())
    }

    async fn wait_started(&self) -> Result<(), Error> {
        let members = [&self.platform, &self.store]
            .into_iter()
            .chain(&self.engines)
            .chain(&self.plains)
            .chain(&self.entries)
            .chain(&self.agents);
        for member in members {
            let path = if member.binary == STANDIN {
                "/control"
            } else {
                "/status"
            };
            let answers = async || self.get(member.operator, path).await.is_ok();
            self.wait(member.process.name(), START_LIMIT, answers)
                .await?;
        }
        Ok(())
    }

    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<Value, Error> {
        let what = format!("{method} {path} of {address}");
        let bytes = self.read(address, method, path, body).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Answer {
            what,
            reason: error.to_string(),
        })
    }

    /// Returns the metrics of a process in their text form.
    ///
    /// # Errors
    ///
    /// Fails when the process gives no whole answer.
    pub(crate) async fn metrics(&self, address: SocketAddr) -> Result<String, Error> {
        let bytes = self.read(address, Method::GET, "/metrics", None).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    async fn read(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<Vec<u8>, Error> {
        let what = format!("{method} {path} of {address}");
        let failed = |reason: String| Error::Answer {
            what: what.clone(),
            reason,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(body.map_or_else(Body::empty, Body::from))
            .expect("the experiment's own paths are valid");
        let deadline = Instant::now() + CONTROL_DEADLINE;
        let response = self.client.send(address, request, deadline).await;
        let response = response.map_err(|error| failed(error.to_string()))?;
        let status = response.status();
        let bytes = response.into_body().collect(MAX_STATUS).await;
        let bytes = bytes.map_err(|error| failed(error.to_string()))?;
        if !status.is_success() {
            return Err(failed(format!(
                "{status}: {}",
                String::from_utf8_lossy(&bytes)
            )));
        }
        Ok(bytes.to_vec())
    }

    /// Returns the address of the platform's stand-in.
    pub fn platform_address(&self) -> SocketAddr {
        self.network.address(STANDINS, 1, CALL_PORT)
    }

    /// Returns the path of a binary of the project.
    pub fn binary(&self, name: &str) -> PathBuf {
        self.binaries.join(name)
    }
}

const STANDIN: &str = "carobport-standin";

/// Writes settings files and starts processes.
struct Launcher<'a> {
    plan: &'a Plan,
    network: &'a Network,
    folder: &'a Path,
    binaries: &'a Path,
}

impl Launcher<'_> {
    fn platform(&self) -> Result<Member, Error> {
        let address = self.network.address(STANDINS, 1, CALL_PORT);
        self.standin(
            "platform",
            "platform",
            "",
            &json!({ "listen": address }),
            address,
        )
    }

    fn store(&self) -> Result<Member, Error> {
        let address = self.store_address();
        let model = |version: &str| {
            json!({
                "name": MODEL,
                "version": version,
                "size": self.plan.model_bytes,
                "chunk_size": self.plan.chunk_bytes,
            })
        };
        let settings = json!({
            "listen": address,
            "bytes_per_s": self.plan.origin_bytes_per_s,
            "models": [model("v1"), model("v2"), model("v3")],
        });
        self.standin("store", "store", "", &settings, address)
    }

    fn engine(&self, group: u8, index: u8) -> Result<Member, Error> {
        let address = self.target(group, index, BACKEND_PORT);
        let name = format!("engine-{}-{index}", self.domain(group));
        let settings = json!({
            "listen": address,
            "journal": self.journal(&name),
            "check_fencing": self.plan.engines_check_fencing,
            "slots": self.plan.engine_slots,
            "first_token_ms": self.plan.first_token_ms,
            "token_ms": self.plan.token_ms,
        });
        self.standin("engine", &name, self.domain(group), &settings, address)
    }

    fn plain(&self, group: u8, index: u8) -> Result<Member, Error> {
        let address = self.target(group, index, BACKEND_PORT);
        let name = format!("plain-{}-{index}", self.domain(group));
        let settings = json!({
            "listen": address,
            "journal": self.journal(&name),
            "service_ms": self.plan.service_ms,
        });
        self.standin("plain", &name, self.domain(group), &settings, address)
    }

    fn entry(&self, group: u8, index: u8) -> Result<Member, Error> {
        let address = |port| self.network.address(group, index + 1, port);
        let name = format!("entry-{}-{index}", self.domain(group));
        let settings = json!({
            "name": name,
            "domain": self.domain(group),
            "region": self.plan.region(self.domain(group)),
            "caller_listen": address(CALL_PORT),
            "peer_listen": address(PEER_PORT),
            "operator_listen": address(OPERATOR_PORT),
            "platform": self.network.address(STANDINS, 1, CALL_PORT),
            "seeds": self.seeds(),
            "balancer_wait_ms": 300,
        });
        self.member(
            "carobport-entry",
            &name,
            group,
            &settings,
            address(OPERATOR_PORT),
        )
    }

    fn agent(&self, group: u8, index: u8, engine: bool) -> Result<Member, Error> {
        let address = |port| self.target(group, index, port);
        let name = format!("vm-{}-{index}", self.domain(group));
        let mut settings = json!({
            "name": name,
            "domain": self.domain(group),
            "region": self.plan.region(self.domain(group)),
            "service": if engine { MODEL_SERVICE } else { PLAIN_SERVICE },
            "backend": if engine { "engine" } else { "plain" },
            "backend_address": address(BACKEND_PORT),
            "call_listen": address(CALL_PORT),
            "chunk_listen": address(PEER_PORT),
            "operator_listen": address(OPERATOR_PORT),
            "order_listen": address(ORDER_PORT),
            "platform": self.network.address(STANDINS, 1, CALL_PORT),
            "seeds": self.seeds(),
            "uplink": self.plan.link_bytes_per_s,
            "downlink": self.plan.link_bytes_per_s,
            "inter_region": self.plan.region_share(),
        });
        if engine {
            settings["store"] = json!(self.store_address());
        }
        self.member(
            "carobport-agent",
            &name,
            group,
            &settings,
            address(OPERATOR_PORT),
        )
    }

    fn journal(&self, name: &str) -> PathBuf {
        journal(self.folder, name)
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let groups = 1..=self.plan.domains.len() as u8;
        groups
            .map(|group| self.network.address(group, 1, PEER_PORT))
            .collect()
    }

    fn store_address(&self) -> SocketAddr {
        self.network.address(STANDINS, 2, CALL_PORT)
    }

    fn target(&self, group: u8, index: u8, port: u16) -> SocketAddr {
        self.network.address(group, FIRST_TARGET + index, port)
    }

    fn domain(&self, group: u8) -> &str {
        &self.plan.domains[usize::from(group) - 1]
    }

    fn standin(
        &self,
        role: &str,
        name: &str,
        domain: &str,
        settings: &Value,
        operator: SocketAddr,
    ) -> Result<Member, Error> {
        let file = self.write(name, settings)?;
        self.launch(STANDIN, vec![role.into(), file], name, domain, operator)
    }

    fn member(
        &self,
        binary: &'static str,
        name: &str,
        group: u8,
        settings: &Value,
        operator: SocketAddr,
    ) -> Result<Member, Error> {
        let file = self.write(name, settings)?;
        self.launch(
            binary,
            vec!["--settings".into(), file],
            name,
            self.domain(group),
            operator,
        )
    }

    fn launch(
        &self,
        binary: &'static str,
        args: Vec<String>,
        name: &str,
        domain: &str,
        operator: SocketAddr,
    ) -> Result<Member, Error> {
        let list: Vec<&str> = args.iter().map(String::as_str).collect();
        let process = start(&self.binaries.join(binary), &list, name, self.folder)?;
        Ok(Member {
            process,
            domain: domain.into(),
            operator,
            binary,
            args,
        })
    }

    fn write(&self, name: &str, settings: &Value) -> Result<String, Error> {
        let path = self.folder.join(format!("{name}.json"));
        let text = format!("{settings:#}\n");
        fs::write(&path, text).map_err(|source| Error::Io {
            what: format!("writing {}", path.display()),
            source,
        })?;
        Ok(path.display().to_string())
    }
}

impl Folder {
    fn create(path: PathBuf) -> Result<Self, Error> {
        fs::create_dir_all(&path).map_err(|source| Error::Io {
            what: format!("creating {}", path.display()),
            source,
        })?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A panicking test keeps its logs; otherwise a folder that can't be removed only takes space.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a conversion of an I/O error that says what was tried.
pub(crate) fn io_error(what: &str) -> impl Fn(io::Error) -> Error {
    let what = what.to_owned();
    move |source| Error::Io {
        what: what.clone(),
        source,
    }
}

fn start(binary: &Path, args: &[&str], name: &str, folder: &Path) -> Result<Process, Error> {
    Process::start(binary, args, name, folder).map_err(|source| Error::Io {
        what: format!("starting {name}"),
        source,
    })
}

/// Returns the folder of the project's binaries: that of this program, or its parent for tests.
fn binaries() -> Result<PathBuf, Error> {
    let program = std::env::current_exe().map_err(|source| Error::Io {
        what: "finding this program's folder".into(),
        source,
    })?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.to_path_buf())
}
