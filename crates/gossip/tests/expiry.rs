//! Tests for the expiry of members that are down: bounded stores, equal hashes and rediscovery of live members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gossip::{
    Expiry, Key, LocalMember, Node, PeerSelector, Phase, Random, Record, Scope, Store, Target,
    Value, ViewReplies,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION: Duration = Duration::from_secs(600);
const ENTRIES: usize = 6;
const TARGETS: usize = 4;

/// An entry VM with its own record, which combines the parts of the crate as `bins/entry` does.
struct Vm {
    name: String,
    member: LocalMember,
    store: Store,
    peers: PeerSelector,
    expiry: Expiry,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + index as u16).into()
}

fn entry(index: usize) -> LocalMember {
    let value = Value::Entry(Node {
        domain: format!("domain-{}", index % 2),
        region: "levis".into(),
        peer: address(index),
        phase: Phase::Live,
    });
    LocalMember::new(Key::Entry(format!("entry-{index}")), 1, value)
}

fn target(index: usize) -> LocalMember {
    let value = Value::Target(Target {
        domain: "domain-0".into(),
        region: "levis".into(),
        service: "assistant".into(),
        call: address(index),
        chunk: address(index),
        phase: Phase::Live,
    });
    LocalMember::new(Key::Target(format!("target-{index}")), 1, value)
}

impl Vm {
    fn new(index: usize, seed: u64) -> Self {
        let (member, name) = (entry(index), format!("entry-{index}"));
        let random = Random::new(seed + index as u64);
        let mut peers = PeerSelector::new(&name, &format!("domain-{}", index % 2), random);
        // Entry 0 has no seed and is the seed of the others.
        peers.set_seeds((index != 0).then(|| address(0)).into_iter().collect());
        let mut store = Store::new();
        store.merge(member.record().clone());
        let expiry = Expiry::new(RETENTION);
        Self {
            name,
            member,
            store,
            peers,
            expiry,
        }
    }

    fn merge(&mut self, record: Record) {
        self.store.merge(record);
        let own = self.store.get(self.key()).unwrap();
        if self.member.refute(&own) {
            self.store.merge(self.member.record().clone());
        }
    }

    fn key(&self) -> &Key {
        &self.member.record().key
    }

    fn down(&mut self, key: &Key) {
        if let Some(record) = self.store.down_record(key).filter(|_| key != self.key()) {
            self.merge(record);
        }
    }

    fn expire(&mut self, now: Instant) {
        for key in self.expiry.expired(&self.store, now) {
            if let (Key::Entry(name), Some(Value::Entry(node))) =
                (&key, self.store.get(&key).map(|record| record.value))
            {
                self.peers.remember_dropped(name, &node);
            }
            self.store.remove(&key);
        }
    }
}

/// Repeats an exchange until nothing is left to send, and returns the number of records sent.
fn exchange(vms: &mut [Vm], initiator: usize, responder: usize) -> usize {
    let mut sent = 0;
    for _ in 0..64 {
        let first = vms[responder].store.answer(&vms[initiator].store.digest());
        let Some(details) = vms[initiator].store.bucket_digest(&first) else {
            return sent;
        };
        let second = vms[responder].store.answer(&details);
        let more = !second.records.is_empty();
        sent += second.records.len();
        for record in second.records.clone() {
            vms[initiator].merge(record);
        }
        let wanted = vms[initiator].store.wanted_records(&second);
        if wanted.is_empty() && !more {
            return sent;
        }
        sent += wanted.len();
        for newer in vms[responder].store.corrections(&wanted) {
            vms[initiator].merge(newer);
        }
        for record in wanted {
            vms[responder].merge(record);
        }
    }
    panic!("{initiator} and {responder} exchange records endlessly");
}

/// Simulates one second of all entries, in which only pairs with equal `side` reach each other.
fn second(vms: &mut [Vm], side: impl Fn(usize) -> bool) {
    for initiator in 0..vms.len() {
        let store = vms[initiator].store.clone();
        let chosen = vms[initiator].peers.exchange_peer(&store);
        let peer = chosen.map(|(_, peer)| usize::from(peer.port()) - 7000);
        let reached = peer.filter(|peer| *peer < vms.len() && side(*peer) == side(initiator));
        if let Some(responder) = reached.filter(|responder| *responder != initiator) {
            exchange(vms, initiator, responder);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// The entry declares a member down, which may be live.
    Down(usize, usize),
    /// The retention of all members that are down at the entry passes.
    Drop(usize),
    /// The target reports to the entry.
    Report(usize, usize),
    /// The entries of each side exchange records for some seconds.
    Seconds(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ENTRIES, 0..ENTRIES + TARGETS).prop_map(|(at, member)| Step::Down(at, member)),
        2 => (0..ENTRIES).prop_map(Step::Drop),
        2 => (0..ENTRIES, 0..TARGETS).prop_map(|(at, member)| Step::Report(at, member)),
        2 => (1..30_u8, any::<u8>()).prop_map(|(count, side)| Step::Seconds(count, side)),
    ]
}

fn key(member: usize) -> Key {
    match member.checked_sub(ENTRIES) {
        None => Key::Entry(format!("entry-{member}")),
        Some(target) => Key::Target(format!("target-{target}")),
    }
}

fn report(vm: &mut Vm, member: &mut LocalMember) {
    vm.merge(member.record().clone());
    let held = vm.store.get(&member.record().key);
    if held.is_some_and(|held| member.refute(&held)) {
        vm.merge(member.record().clone());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a live member that is never rediscovered, and against stores that keep differing, for any order
    /// in which members are declared down and dropped and for any partitions between the entries.
    #[test]
    fn live_members_found_again(steps in prop::collection::vec(step(), 0..60), seed in 0..1_000_000_u64) {
        let mut vms: Vec<Vm> = (0..ENTRIES).map(|index| Vm::new(index, seed)).collect();
        let mut targets: Vec<LocalMember> = (0..TARGETS).map(target).collect();
        let mut now = Instant::now();
        for _ in 0..20 {
            second(&mut vms, |_| true);
        }
        for step in steps {
            match step {
                Step::Down(at, member) => vms[at].down(&key(member)),
                Step::Drop(at) => {
                    vms[at].expire(now);
                    now += RETENTION;
                    vms[at].expire(now);
                }
                Step::Report(at, member) => report(&mut vms[at], &mut targets[member]),
                Step::Seconds(count, side) => {
                    for _ in 0..count {
                        second(&mut vms, |index| side & 1 << index == 0);
                    }
                }
            }
        }
        // The partition has healed: the last target is dead, the others report, and all entries detect its silence.
        for round in 0..400 {
            second(&mut vms, |_| true);
            for (index, target) in targets.iter_mut().enumerate().take(TARGETS - 1) {
                report(&mut vms[(index + round) % ENTRIES], target);
            }
            vms[round % ENTRIES].down(&key(ENTRIES + TARGETS - 1));
        }
        for vm in &mut vms {
            vm.expire(now);
            vm.expire(now + RETENTION);
        }
        let live = ENTRIES + TARGETS - 1;
        for vm in &vms {
            prop_assert_eq!(vm.store.root(), vms[0].store.root());
            prop_assert_eq!(vm.store.len(), live, "at {}", vm.name);
            for member in 0..live {
                let value = vm.store.get(&key(member)).map(|record| record.value);
                prop_assert_eq!(value.and_then(|value| value.phase()), Some(Phase::Live));
            }
        }
    }
}

/// Guards against records that are sent repeatedly between entries that drop them at different times.
#[test]
fn drop_sends_nothing() {
    let mut vms: Vec<Vm> = (0..2).map(|index| Vm::new(index, 1)).collect();
    let dead: Vec<LocalMember> = (0..500).map(target).collect();
    for member in &dead {
        vms[0].merge(member.record().clone());
    }
    exchange(&mut vms, 1, 0);
    for member in &dead {
        vms[0].down(&member.record().key);
    }
    // The other entry learns only by the exchange that they are down.
    exchange(&mut vms, 1, 0);
    let down = |vm: &Vm| {
        vm.store
            .iter()
            .filter(|(_, _, value)| value.is_down())
            .count()
    };
    assert_eq!((down(&vms[0]), down(&vms[1])), (500, 500));
    let now = Instant::now();
    vms[0].expire(now);
    vms[0].expire(now + RETENTION);
    assert_eq!((vms[0].store.len(), vms[1].store.len()), (2, 502));
    assert_eq!(exchange(&mut vms, 0, 1) + exchange(&mut vms, 1, 0), 0);
    let kept = vms[1].store.get(&dead[0].record().key).unwrap();
    assert!(!vms[0].store.merge(kept));
}

/// Guards against records that accumulate under continuous replacement of VMs: 918 a day for 5 days.
#[test]
fn replacement_keeps_records_bounded() {
    let start = Instant::now();
    let interval = Duration::from_secs(86_400 / 918);
    let mut vm = Vm::new(0, 1);
    let mut most = 0;
    for index in 0..5 * 918 {
        let now = start + interval * index as u32;
        vm.merge(target(index).record().clone());
        if index >= 100 {
            vm.down(&target(index - 100).record().key);
        }
        vm.expire(now);
        most = most.max(vm.store.len());
    }
    // 100 live targets and the entry, and up to 8 members that went down within the last 10 minutes.
    assert!(most <= 101 + 8, "{most} records");
}

/// Guards against domains that never reconnect after a partition that lasted longer than the retention of their
/// records.
#[test]
fn partition_of_an_hour_heals() {
    for seed in 0..20 {
        let mut vms: Vec<Vm> = (0..ENTRIES).map(|index| Vm::new(index, seed)).collect();
        let mut now = Instant::now();
        for _ in 0..30 {
            second(&mut vms, |_| true);
        }
        for vm in &mut vms {
            vm.peers.set_seeds(Vec::new());
        }
        for (at, vm) in vms.iter_mut().enumerate() {
            for member in (0..ENTRIES).filter(|member| member % 2 != at % 2) {
                vm.down(&key(member));
            }
        }
        for _ in 0..3600 {
            now += Duration::from_secs(1);
            second(&mut vms, |index| index % 2 == 0);
            vms.iter_mut().for_each(|vm| vm.expire(now));
        }
        assert!(vms.iter().all(|vm| vm.store.len() == ENTRIES / 2));
        let all_meet = |vms: &[Vm]| vms.iter().all(|vm| vm.store.len() == ENTRIES);
        let healed = (1..=120).find(|_| {
            second(&mut vms, |_| true);
            all_meet(&vms)
        });
        assert!(
            healed.is_some(),
            "seed {seed}: still partitioned 120 s after the heal"
        );
    }
}

/// Guards against unbounded growth of the list of dropped entries.
#[test]
fn lost_bounded() {
    let mut peers = PeerSelector::new("entry-0", "domain-0", Random::new(1));
    let store = Store::new();
    for index in 0..1000 {
        let Value::Entry(node) = entry(index).record().value.clone() else {
            panic!("the value of an entry must be a node");
        };
        peers.remember_dropped(&format!("entry-{index}"), &node);
    }
    let tried: BTreeMap<_, _> = (0..10_000)
        .filter_map(|_| peers.exchange_peer(&store))
        .collect();
    assert_eq!(tried.len(), 256);
    assert!(tried.contains_key("entry-999"));
}

/// Guards against a partitioned agent that keeps dropped members forever, which costs a full copy each second.
#[test]
fn view_loses_dropped_members() {
    let scope = Scope::new("domain-0", "assistant", &BTreeMap::<String, u8>::new());
    let (mut store, mut agent) = (Store::new(), Store::new());
    for index in 0..2000 {
        agent.merge(target(index).record().clone());
        if index % 2 == 0 {
            store.merge(target(index).record().clone());
        }
    }
    let mut views = ViewReplies::default();
    let mut replies = 0;
    while scope.hash(&agent) != scope.hash(&store) {
        replies += 1;
        assert!(replies < 20, "{} of {} records", agent.len(), store.len());
        let update = views.reply(&store, "target-0", &scope, scope.hash(&agent));
        let missing = update
            .span
            .map(|span| span.missing(&agent, &update.records));
        for key in missing.unwrap_or_default() {
            agent.remove(&key);
        }
        for record in update.records {
            agent.merge(record);
        }
    }
    assert_eq!(agent.len(), 1000);
}
