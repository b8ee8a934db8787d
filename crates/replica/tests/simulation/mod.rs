//! Entries of one failure domain, the store in another region, and the links between them.

mod link;
mod node;

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform::{Listing, Object, Revision, Update};
use replica::Kind;
use serde_json::value::RawValue;

use link::Link;
use node::Node;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Rate of the link between two regions, in megabits a second.
const REGION_MBPS: f64 = 27.0;
/// Rate of an entry's own link, in megabits a second.
const ENTRY_MBPS: f64 = 40.0;
/// Time since boot at which the simulation begins.
const BOOT: Duration = Duration::from_secs(100);
/// Time from the begin of faults to the first change.
const FIRST_CHANGE: Duration = Duration::from_millis(50);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// What is wrong with an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It does nothing.
    Frozen,
    /// The store refuses its calls.
    TurnedAway,
    /// Its calls to the store get no answer.
    CutFromStore,
    /// Its messages to and from other entries are lost.
    CutFromEntries,
    /// Its own link is narrow.
    Squeezed { mbps: f64 },
}

/// The store.
pub struct Store {
    pub objects: Vec<(Kind, Object)>,
    pub revision: u64,
}

/// Present time, in the forms that entries use.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    pub elapsed: Duration,
}

/// The entries of a domain, in their order.
pub struct Domain {
    clock: Clock,
    store: Store,
    region: Link,
    nodes: Vec<Node>,
    length: usize,
}

/// What was seen in a time.
pub struct Report {
    /// Time from each change to its being in force at each entry in touch.
    delays: Vec<(Kind, Duration)>,
    changes: usize,
    region_bytes: usize,
    /// Most bytes that an entry sent to others.
    entry_bytes: usize,
    length: usize,
}

/// Delays of changes of a kind.
pub struct Delays {
    pub median: Duration,
    pub longest: Duration,
}

impl Clock {
    pub fn instant(&self) -> Instant {
        self.start + self.elapsed
    }

    pub fn uptime(&self) -> Duration {
        BOOT + self.elapsed
    }
}

impl Store {
    fn put(&mut self, kind: Kind, name: &str, text: String) {
        self.revision += 1;
        let object = Object {
            name: name.into(),
            revision: Revision::new(0, self.revision),
            value: RawValue::from_string(text).unwrap(),
        };
        self.objects
            .retain(|(of, old)| (*of, &*old.name) != (kind, name));
        self.objects.push((kind, object));
    }

    /// Returns what a read of `kind` after `after` returns.
    pub fn read(&self, kind: Kind, after: Option<Revision>) -> Update {
        let objects = self.objects.iter();
        let objects = objects.filter(|(of, object)| *of == kind && Some(object.revision) > after);
        let objects: Vec<Object> = objects.map(|(_, object)| object.clone()).collect();
        Update {
            listing: Listing {
                revision: Revision::new(0, self.revision),
                bytes: objects.iter().map(|object| object.value.get().len()).sum(),
                objects,
                ..Listing::default()
            },
            whole: after.is_none(),
        }
    }
}

/// Returns a configuration of about `length` bytes.
fn config(version: u64, length: usize) -> String {
    let route = |number: u64| {
        let token = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let timeout = 6000 + u64::from(number == version % 100) * version;
        format!(
            "{{\"name\":\"r-{token:x}\",\"host\":\"h{}.example\",\"path_prefix\":\"/{:x}/\",\"type\":\"streaming\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":400,\"priority\":1,\"service\":\"s1\",\"max_attempts\":2}}",
            number % 5,
            token >> 40,
        )
    };
    let routes: Vec<String> = (0..length as u64 / 180).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
}

impl Domain {
    /// Returns a domain of `count` entries that start, and a configuration of `length` bytes.
    pub fn new(count: usize, length: usize) -> Self {
        let clock = Clock {
            start: Instant::now(),
            elapsed: Duration::ZERO,
        };
        let address = |number: usize| SocketAddr::from(([10, 1, 0, number as u8], 7700));
        let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
        let node = |address: &SocketAddr| Node::new(clock, *address, &addresses);
        let mut nodes: Vec<Node> = addresses.iter().map(node).collect();
        nodes.sort_by_key(|node| node.rank());
        let mut store = Store {
            objects: Vec::new(),
            revision: 0,
        };
        store.put(Kind::Config, "main", config(1, length));
        Self {
            clock,
            store,
            region: Link::new(REGION_MBPS),
            nodes,
            length,
        }
    }

    /// Lets `time` pass without changes. The objects there are count as a change at the beginning.
    pub fn run(&mut self, time: Duration) -> Report {
        self.play(time, &[], 0)
    }

    /// Lets the first entries fail as `faults` says, and makes changes in the first half of `time`.
    pub fn change_during(&mut self, faults: &[Fault], time: Duration) -> Report {
        let changes = (time / 2).as_millis() / CHANGE_INTERVAL.as_millis();
        self.play(time, faults, changes as usize)
    }

    fn play(&mut self, time: Duration, faults: &[Fault], count: usize) -> Report {
        for (place, node) in self.nodes.iter_mut().enumerate() {
            node.set_fault(faults.get(place).copied());
        }
        let sent: Vec<usize> = self.nodes.iter().map(Node::sent_bytes).collect();
        let region_bytes = self.region.bytes;
        let start = self.clock.elapsed;
        let mut changes = Vec::new();
        while self.clock.elapsed < start + time {
            let next = FIRST_CHANGE + CHANGE_INTERVAL * changes.len() as u32;
            if changes.len() < count && self.clock.elapsed >= start + next {
                self.change();
                changes.push((self.clock.elapsed, self.store.revision));
            }
            self.step();
        }
        if changes.is_empty() {
            changes.push((start, self.store.revision));
        }
        let in_touch = |place: usize| !faults.get(place).is_some_and(Fault::is_out_of_touch);
        let mut delays = Vec::new();
        for (made_at, revision) in changes {
            let nodes = self.nodes.iter().enumerate();
            for (_, node) in nodes.filter(|(place, _)| in_touch(*place)) {
                for kind in [Kind::Config, Kind::Evacuations] {
                    let at = node.known_at(kind, revision, self.clock);
                    delays.push((kind, at.saturating_sub(made_at)));
                }
            }
        }
        let nodes = self.nodes.iter().zip(&sent);
        Report {
            delays,
            changes: count.max(1),
            region_bytes: self.region.bytes - region_bytes,
            entry_bytes: nodes
                .map(|(node, sent)| node.sent_bytes() - sent)
                .max()
                .unwrap(),
            length: self.length,
        }
    }

    /// Changes the configuration and begins an evacuation.
    fn change(&mut self) {
        let version = self.store.revision + 1;
        let name = format!("domain-{version}");
        self.store.put(Kind::Evacuations, &name, "{}".into());
        self.store
            .put(Kind::Config, "main", config(version, self.length));
    }

    fn step(&mut self) {
        self.clock.elapsed += STEP;
        for node in &mut self.nodes {
            node.read_store(self.clock, &self.store, &mut self.region);
        }
        let clock = self.clock;
        let nodes = self.nodes.iter_mut();
        let readers: Vec<SocketAddr> = nodes.filter_map(|node| node.take_announcement()).collect();
        for reader in readers {
            self.nodes
                .iter_mut()
                .for_each(|node| node.find_reader(clock, reader));
        }
        for place in 0..self.nodes.len() {
            let (before, rest) = self.nodes.split_at_mut(place);
            let (node, after) = rest.split_first_mut().unwrap();
            node.exchange(self.clock, before, after);
        }
    }
}

impl Fault {
    /// Returns whether bounds don't hold for an entry with this fault.
    fn is_out_of_touch(&self) -> bool {
        !matches!(self, Self::TurnedAway)
    }
}

impl Report {
    pub fn delays(&self, kind: Kind) -> Delays {
        let delays = self.delays.iter().filter(|(of, _)| *of == kind);
        let mut delays: Vec<Duration> = delays.map(|(_, delay)| *delay).collect();
        delays.sort();
        Delays {
            median: delays[delays.len() / 2],
            longest: delays[delays.len() - 1],
        }
    }

    /// Returns how often the configuration crossed the link to the store for each change.
    pub fn copies_from_store(&self) -> f64 {
        self.region_bytes as f64 / (self.length * self.changes) as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let copies = self.copies_from_store();
        let bytes = self.entry_bytes / self.changes;
        write!(
            f,
            "{copies:.2} copies from the store and at most {bytes} bytes from an entry a change"
        )
    }
}

impl fmt::Display for Delays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (median, longest) = (self.median.as_millis(), self.longest.as_millis());
        write!(f, "{median} ms, longest {longest} ms")
    }
}
