//! Simulates several downloaders and uploaders whose events are delivered in a given order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use burst::permit::{Decision, PermitObject};
use burst::{
    Action, Answer, Downloader, Grant, Members, Peer, Requester, Response, Setup, Source, Uploader,
    Version,
};
use catalog::Plan;
use weights::{Chunk, ChunkStore, Manifest};

pub fn peer(domain: &str, number: usize) -> Peer {
    Peer {
        name: format!("{domain}-{number}"),
        domain: domain.into(),
        region: domain.into(),
        address: ([127, domain.len() as u8, 0, 1], number as u16 + 1).into(),
    }
}

pub fn setup(me: Peer, plan: Plan) -> Setup {
    Setup {
        holder_prefix: format!("{}/1/0", me.name),
        seed: u64::from(me.address.port()),
        local: me,
        plan,
        max_requests: 8,
        max_upstream_requests: burst::MAX_UPSTREAM_REQUESTS,
        max_retry_delay: burst::MAX_RETRY_DELAY,
        origin_chunk_time: Duration::ZERO,
    }
}

pub fn version(data: &[u8], chunk_size: u32) -> Version {
    let manifest = Manifest::build(data, chunk_size);
    Version::check(manifest.digest(), manifest).unwrap()
}

/// Fault that affects the next action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The answer never arrives.
    Stall,
    /// A chunk is corrupted; for a permit, the write is lost.
    Corrupt,
    /// The connection for a chunk breaks; for a permit, the answer is lost after the write.
    Disconnect,
}

pub struct Agent {
    pub peer: Peer,
    pub downloader: Downloader,
    pub uploader: Uploader,
    pub store: ChunkStore,
    pub complete: bool,
}

pub struct Fleet {
    pub agents: Vec<Option<Agent>>,
    pub data: Vec<u8>,
    pub version: Version,
    pub now: Instant,
    pub permits: BTreeMap<u32, serde_json::Value>,
    /// Number of times that the origin delivered each chunk.
    pub drawn: BTreeMap<u32, usize>,
    pending: Vec<(usize, Action)>,
    cancelled: BTreeSet<(usize, u64)>,
    /// Agents that transfer another version: they neither request chunks of this one nor send them.
    other_version: BTreeSet<usize>,
}

impl Fleet {
    /// Starts `per_domain` agents in each domain for a version of 40 chunks.
    pub fn new(domains: &[&str], per_domain: usize, plan: Plan) -> Self {
        let data: Vec<u8> = (0..160u8).collect();
        let version = version(&data, 4);
        let peers: Vec<Peer> = domains
            .iter()
            .flat_map(|domain| (0..per_domain).map(|number| peer(domain, number)))
            .collect();
        let members = Members::new(peers.clone());
        let now = Instant::now();
        let mut fleet = Self {
            agents: Vec::new(),
            data,
            version: version.clone(),
            now,
            permits: BTreeMap::new(),
            drawn: BTreeMap::new(),
            pending: Vec::new(),
            cancelled: BTreeSet::new(),
            other_version: BTreeSet::new(),
        };
        for (number, peer) in peers.into_iter().enumerate() {
            let setup = setup(peer.clone(), plan);
            let (downloader, actions) =
                Downloader::start(setup, version.clone(), &members, |_| false, now);
            fleet.agents.push(Some(Agent {
                peer,
                downloader,
                uploader: Uploader::new(2),
                store: ChunkStore::new(1 << 20),
                complete: false,
            }));
            fleet.queue(number, actions);
        }
        fleet
    }

    /// Stops an agent without informing the others.
    pub fn kill(&mut self, number: usize) {
        self.agents[number] = None;
    }

    /// Sets the members that an agent sees to those at the given indices and itself.
    pub fn set_visible_members(&mut self, number: usize, indices: &[usize]) {
        let seen = indices
            .iter()
            .filter_map(|index| self.agents[*index].as_ref());
        let members = Members::new(seen.map(|agent| agent.peer.clone()));
        self.event(number, |downloader, now| {
            downloader.set_members(&members, now)
        });
    }

    /// Makes an agent transfer another version without informing the others.
    pub fn transfer_other_version(&mut self, number: usize) {
        self.other_version.insert(number);
        self.agents[number].as_mut().unwrap().complete = true;
    }

    /// Returns the number of requests of an agent to the origin that are neither answered nor cancelled.
    pub fn draws_in_progress(&self, number: usize) -> usize {
        let open = self.pending.iter().filter(|(agent, action)| {
            let Action::Fetch { request, from, .. } = action else {
                return false;
            };
            *agent == number
                && *from == Source::Origin
                && !self.cancelled.contains(&(number, *request))
        });
        open.count()
    }

    pub fn is_complete(&self) -> bool {
        self.agents.iter().flatten().all(|agent| agent.complete)
    }

    /// Performs the pending action at index `choice`, or advances the time to the next deadline.
    pub fn step(&mut self, choice: usize, fault: Fault) {
        if self.pending.is_empty() {
            let deadlines = self
                .agents
                .iter()
                .flatten()
                .filter_map(|agent| agent.downloader.deadline(self.now));
            let next = deadlines.min().unwrap_or(self.now);
            self.now = next.max(self.now + Duration::from_millis(1));
            for number in 0..self.agents.len() {
                self.event(number, |downloader, now| downloader.tick(now));
            }
            return;
        }
        let (number, action) = self.pending.swap_remove(choice % self.pending.len());
        if self.agents[number].is_some() && !self.other_version.contains(&number) {
            self.perform(number, action, fault);
        }
    }

    fn event(
        &mut self,
        number: usize,
        event: impl FnOnce(&mut Downloader, Instant) -> Vec<Action>,
    ) {
        if let Some(agent) = &mut self.agents[number] {
            let actions = event(&mut agent.downloader, self.now);
            self.queue(number, actions);
        }
    }

    /// Performs local actions immediately and queues the others.
    fn queue(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch { .. } | Action::RequestPermit { .. } => {
                    self.pending.push((number, action))
                }
                _ => self.perform(number, action, Fault::None),
            }
        }
    }

    fn perform(&mut self, number: usize, action: Action, fault: Fault) {
        match action {
            Action::Fetch {
                request,
                chunk,
                from,
            } => {
                if fault == Fault::Stall || self.cancelled.contains(&(number, request)) {
                    return;
                }
                if let Some(answer) = self.fetch(number, chunk, from, fault) {
                    self.event(number, |downloader, now| {
                        downloader.handle_answer(request, answer, now)
                    });
                }
            }
            Action::Cancel { request } => {
                self.cancelled.insert((number, request));
            }
            Action::RequestPermit { stripe, holder, .. } => {
                let grant = self.grant(stripe, &holder, fault);
                self.event(number, |downloader, now| {
                    downloader.handle_grant(stripe, grant, now)
                });
            }
            Action::Stage { content, keep, .. } => self.agents[number]
                .as_mut()
                .unwrap()
                .store
                .insert(content, keep),
            Action::Complete(complete) => {
                assert_eq!(complete.digest(), self.version.digest());
                self.agents[number].as_mut().unwrap().complete = true;
            }
        }
    }

    fn grant(&mut self, stripe: u32, holder: &str, fault: Fault) -> Grant {
        match PermitObject::decide(self.permits.get(&stripe), holder).unwrap() {
            _ if matches!(fault, Fault::Corrupt | Fault::Stall) => Grant::Unavailable,
            Decision::Granted => Grant::Granted,
            Decision::Refused => Grant::Refused,
            Decision::Write(value) => {
                self.permits.insert(stripe, value);
                if fault == Fault::Disconnect {
                    Grant::Lost
                } else {
                    Grant::Granted
                }
            }
        }
    }

    fn fetch(&mut self, number: usize, chunk: u32, from: Source, fault: Fault) -> Option<Answer> {
        let start = chunk as usize * 4;
        let bytes = self.data[start..start + 4].to_vec();
        let requester = self.agents[number].as_ref()?.peer.clone();
        let slot = match from {
            _ if fault == Fault::Disconnect => return Some(Answer::Failed),
            Source::Origin => {
                *self.drawn.entry(chunk).or_default() += 1;
                None
            }
            Source::Peer(address) => {
                // A dead peer doesn't answer at all, so the request stalls.
                let (index, owner) = self
                    .agents
                    .iter()
                    .enumerate()
                    .filter_map(|(index, agent)| Some((index, agent.as_ref()?)))
                    .find(|(_, agent)| agent.peer.address == address)?;
                if self.other_version.contains(&index) {
                    return Some(Answer::Unknown(Duration::from_millis(300)));
                }
                let digest = Chunk::verify(self.version.chunk_digest(chunk), bytes.clone().into())
                    .unwrap()
                    .digest();
                let held = owner.store.contains(&digest);
                let requester = Requester {
                    address: requester.address,
                    same_region: requester.region == owner.peer.region,
                };
                match owner.uploader.answer(digest, held, requester, self.now) {
                    Response::Send(slot) => Some(slot),
                    Response::Redirect(holders) => return Some(Answer::Holders(holders)),
                    Response::Wait(time) => return Some(Answer::NotYet(time)),
                }
            }
        };
        if fault == Fault::Corrupt {
            return Some(Answer::Bytes(vec![0xff; 4].into()));
        }
        if let Some(slot) = slot {
            slot.finish(self.now);
        }
        Some(Answer::Bytes(bytes.into()))
    }
}
