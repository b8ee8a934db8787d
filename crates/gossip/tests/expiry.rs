//! Removal of members that are down: a bound on the records, equal hashes, and live members that are always found.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gossip::{
    Expiry, Key, Member, Node, Peers, Phase, Random, Record, Scope, Store, Target, Value, Views,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KEPT: Duration = Duration::from_secs(600);
const ENTRIES: usize = 6;
const TARGETS: usize = 4;

/// Entry VM with its own record, as `bins/entry` joins the decisions.
struct Vm {
    name: String,
    member: Member,
    store: Store,
    peers: Peers,
    expiry: Expiry,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + index as u16).into()
}

fn entry(index: usize) -> Member {
    let value = Value::Entry(Node {
        domain: format!("domain-{}", index % 2),
        region: "levis".into(),
        peer: address(index),
        phase: Phase::Live,
    });
    Member::new(Key::Entry(format!("entry-{index}")), 1, value)
}

fn target(index: usize) -> Member {
    let value = Value::Target(Target {
        domain: "domain-0".into(),
        region: "levis".into(),
        service: "assistant".into(),
        call: address(index),
        chunk: address(index),
        phase: Phase::Live,
    });
    Member::new(Key::Target(format!("target-{index}")), 1, value)
}

impl Vm {
    fn new(index: usize, seed: u64) -> Self {
        let (member, name) = (entry(index), format!("entry-{index}"));
        let random = Random::new(seed + index as u64);
        let mut peers = Peers::new(&name, &format!("domain-{}", index % 2), random);
        // Entry 0 has no seed; the others name it.
        peers.set_seeds((index != 0).then(|| address(0)).into_iter().collect());
        let mut store = Store::new();
        store.merge(member.record().clone());
        let expiry = Expiry::new(KEPT);
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
        if let Some(record) = self.store.down(key).filter(|_| key != self.key()) {
            self.merge(record);
        }
    }

    fn expire(&mut self, now: Instant) {
        for key in self.expiry.due(&self.store, now) {
            if let (Key::Entry(name), Some(Value::Entry(node))) =
                (&key, self.store.get(&key).map(|record| record.value))
            {
                self.peers.remember(name, &node);
            }
            self.store.remove(&key);
        }
    }
}

/// Runs an exchange and returns the number of records that it sent.
fn exchange(vms: &mut [Vm], asks: usize, answers: usize) -> usize {
    let mut sent = 0;
    for _ in 0..64 {
        let first = vms[answers].store.answer(&vms[asks].store.digest());
        let Some(details) = vms[asks].store.details(&first) else {
            return sent;
        };
        let second = vms[answers].store.answer(&details);
        let more = !second.records.is_empty();
        sent += second.records.len();
        for record in second.records.clone() {
            vms[asks].merge(record);
        }
        let wanted = vms[asks].store.wanted(&second);
        if wanted.is_empty() && !more {
            return sent;
        }
        sent += wanted.len();
        for newer in vms[answers].store.corrections(&wanted) {
            vms[asks].merge(newer);
        }
        for record in wanted {
            vms[answers].merge(record);
        }
    }
    panic!("{asks} and {answers} exchange records without end");
}

/// One second of all entries in which only the pairs with equal `side` reach each other.
fn second(vms: &mut [Vm], side: impl Fn(usize) -> bool) {
    for asks in 0..vms.len() {
        let store = vms[asks].store.clone();
        let chosen = vms[asks].peers.exchange(&store);
        let peer = chosen.map(|(_, peer)| usize::from(peer.port()) - 7000);
        let reached = peer.filter(|peer| *peer < vms.len() && side(*peer) == side(asks));
        if let Some(answers) = reached.filter(|answers| *answers != asks) {
            exchange(vms, asks, answers);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// The entry declares a member down, rightly or not.
    Down(usize, usize),
    /// The entry's time for all members that are down is over.
    Drop(usize),
    /// The target reports to the entry.
    Report(usize, usize),
    /// The entries of each side exchange for some seconds.
    Seconds(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ENTRIES, 0..ENTRIES + TARGETS).prop_map(|(at, who)| Step::Down(at, who)),
        2 => (0..ENTRIES).prop_map(Step::Drop),
        2 => (0..ENTRIES, 0..TARGETS).prop_map(|(at, who)| Step::Report(at, who)),
        2 => (1..30_u8, any::<u8>()).prop_map(|(count, side)| Step::Seconds(count, side)),
    ]
}

fn key(who: usize) -> Key {
    match who.checked_sub(ENTRIES) {
        None => Key::Entry(format!("entry-{who}")),
        Some(target) => Key::Target(format!("target-{target}")),
    }
}

fn report(vm: &mut Vm, member: &mut Member) {
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

    /// Guards against a live member that is lost for good, and against stores that stay different, whatever order
    /// members are declared down and dropped in and whichever entries reach each other meanwhile.
    #[test]
    fn live_members_found_again(steps in prop::collection::vec(step(), 0..60), seed in 0..1_000_000_u64) {
        let mut vms: Vec<Vm> = (0..ENTRIES).map(|index| Vm::new(index, seed)).collect();
        let mut targets: Vec<Member> = (0..TARGETS).map(target).collect();
        let mut now = Instant::now();
        for _ in 0..20 {
            second(&mut vms, |_| true);
        }
        for step in steps {
            match step {
                Step::Down(at, who) => vms[at].down(&key(who)),
                Step::Drop(at) => {
                    vms[at].expire(now);
                    now += KEPT;
                    vms[at].expire(now);
                }
                Step::Report(at, who) => report(&mut vms[at], &mut targets[who]),
                Step::Seconds(count, side) => {
                    for _ in 0..count {
                        second(&mut vms, |index| side & 1 << index == 0);
                    }
                }
            }
        }
        // Healed: the last target is dead, the others report, and the entries that it reported to notice its silence.
        for round in 0..400 {
            second(&mut vms, |_| true);
            for (index, target) in targets.iter_mut().enumerate().take(TARGETS - 1) {
                report(&mut vms[(index + round) % ENTRIES], target);
            }
            vms[round % ENTRIES].down(&key(ENTRIES + TARGETS - 1));
        }
        for vm in &mut vms {
            vm.expire(now);
            vm.expire(now + KEPT);
        }
        let live = ENTRIES + TARGETS - 1;
        for vm in &vms {
            prop_assert_eq!(vm.store.root(), vms[0].store.root());
            prop_assert_eq!(vm.store.len(), live, "at {}", vm.name);
            for who in 0..live {
                let value = vm.store.get(&key(who)).map(|record| record.value);
                prop_assert_eq!(value.and_then(|value| value.phase()), Some(Phase::Live));
            }
        }
    }
}

/// Guards against records that are sent again and again between entries that drop them at different times.
#[test]
fn drop_sends_nothing() {
    let mut vms: Vec<Vm> = (0..2).map(|index| Vm::new(index, 1)).collect();
    let dead: Vec<Member> = (0..500).map(target).collect();
    for member in &dead {
        vms[0].merge(member.record().clone());
    }
    exchange(&mut vms, 1, 0);
    for member in &dead {
        vms[0].down(&member.record().key);
    }
    // The other learns that they are down by the exchange alone.
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
    vms[0].expire(now + KEPT);
    assert_eq!((vms[0].store.len(), vms[1].store.len()), (2, 502));
    assert_eq!(exchange(&mut vms, 0, 1) + exchange(&mut vms, 1, 0), 0);
    let kept = vms[1].store.get(&dead[0].record().key).unwrap();
    assert!(!vms[0].store.merge(kept));
}

/// Guards against records that accumulate under steady replacement: 918 VMs a day for 5 days.
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
    // 100 live targets and the entry, and those that went down within 10 minutes.
    assert!(most <= 101 + 8, "{most} records");
}

/// Guards against domains that never meet again when a partition outlasts the records of the other side.
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
            for who in (0..ENTRIES).filter(|who| who % 2 != at % 2) {
                vm.down(&key(who));
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
        assert!(healed.is_some(), "seed {seed}: apart 120 s after the heal");
    }
}

/// Guards against a memory of lost entries that grows without a bound.
#[test]
fn lost_bounded() {
    let mut peers = Peers::new("entry-0", "domain-0", Random::new(1));
    let store = Store::new();
    for index in 0..1000 {
        let Value::Entry(node) = entry(index).record().value.clone() else {
            panic!("an entry has another value");
        };
        peers.remember(&format!("entry-{index}"), &node);
    }
    let tried: BTreeMap<_, _> = (0..10_000).filter_map(|_| peers.exchange(&store)).collect();
    assert_eq!(tried.len(), 256);
    assert!(tried.contains_key("entry-999"));
}

/// Guards against an agent that was cut off and holds dropped members for ever, which costs a full copy each second.
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
    let mut views = Views::default();
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
