//! Property tests with sequences of events at several owners of one service.

use std::collections::HashSet;
use std::time::Duration;

use claim::{Answer, Decision, Holder, Outcome, Owner, Table, Write};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::Uuid;

const OWNERS: usize = 3;
const START: u64 = 1_760_000_000_000;

#[derive(Clone, Debug)]
enum Event {
    /// The clock of one owner jumps to this offset from the start, in milliseconds.
    Clock(usize, i64),
    /// An owner observes the table as of some writes ago.
    Observe(usize, usize),
    /// An owner plans a write and sends it; it takes effect now or when a later `Apply` selects it.
    Plan {
        owner: usize,
        down: u8,
        applied: bool,
        answered: bool,
    },
    /// A pending write takes effect if its condition still holds.
    Apply(usize),
    /// A caller sends a key issued at this offset from the start, in milliseconds.
    Call {
        owner: usize,
        offset: u64,
    },
    /// A call in progress ends.
    Finish {
        run: usize,
        outcome: u8,
    },
    Restart(usize),
    Stop(usize),
    /// The backend of an owner starts or stops accepting calls.
    Open(usize, bool),
}

/// The platform's object with all its versions, and the processes that use it.
struct Simulation {
    versions: Vec<Table>,
    pending: Vec<Write>,
    owners: Vec<Owner>,
    clocks: Vec<i64>,
    instances: Vec<u64>,
    runs: Vec<(usize, u64, Uuid)>,
    executed: HashSet<Uuid>,
}

impl Simulation {
    fn new() -> Self {
        let owners = (0..OWNERS)
            .map(|index| Owner::new(&name(index), index as u64))
            .collect();
        Self {
            versions: vec![Table::default()],
            pending: Vec::new(),
            owners,
            clocks: vec![0; OWNERS],
            instances: (0..OWNERS as u64).collect(),
            runs: Vec::new(),
            executed: HashSet::new(),
        }
    }

    fn now(&self, owner: usize) -> Duration {
        Duration::from_millis(START.saturating_add_signed(self.clocks[owner]))
    }

    fn apply_write(&mut self, write: &Write) -> bool {
        if write.base + 1 != self.versions.len() as u64 {
            return false;
        }
        self.versions.push(write.table.clone());
        true
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Clock(owner, to) => self.clocks[owner] = to,
            Event::Observe(owner, ago) => {
                let revision = (self.versions.len() - 1).saturating_sub(ago);
                self.owners[owner].observe(revision as u64, &self.versions[revision]);
            }
            Event::Plan {
                owner,
                down,
                applied,
                answered,
            } => {
                let now = self.now(owner);
                let names: Vec<String> = (0..OWNERS).map(name).collect();
                let is_down = |index: usize| down & (1 << index) != 0 && index != owner;
                let (down, live): (Vec<_>, Vec<_>) = names
                    .into_iter()
                    .enumerate()
                    .partition(|(index, _)| is_down(*index));
                let names_of = |list: Vec<(usize, String)>| {
                    list.into_iter().map(|(_, n)| n).collect::<Vec<_>>()
                };
                let (down, live) = (names_of(down), names_of(live));
                let Some(write) = self.owners[owner].plan(now, &live, &down) else {
                    return Ok(());
                };
                if !applied {
                    self.pending.push(write);
                } else if self.apply_write(&write) && answered {
                    self.owners[owner].observe(write.base + 1, &write.table);
                }
            }
            Event::Apply(index) if !self.pending.is_empty() => {
                let write = self.pending.remove(index % self.pending.len());
                self.apply_write(&write);
            }
            Event::Apply(_) => {}
            Event::Call { owner, offset } => self.call(owner, START + offset)?,
            Event::Finish { run, outcome } if !self.runs.is_empty() => {
                let (owner, instance, key) = self.runs.remove(run % self.runs.len());
                // The end of a call is not delivered to a process that has replaced the one which ran it.
                if self.instances[owner] == instance {
                    let outcome = match outcome % 3 {
                        0 => answer(key),
                        1 => Outcome::Unknown,
                        _ => Outcome::NotRun,
                    };
                    if outcome == Outcome::NotRun {
                        self.executed.remove(&key);
                    }
                    let now = self.now(owner);
                    self.owners[owner].finish("a", key, now, outcome);
                }
            }
            Event::Finish { .. } => {}
            Event::Restart(owner) => {
                self.instances[owner] += OWNERS as u64;
                self.owners[owner] = Owner::new(&name(owner), self.instances[owner]);
            }
            Event::Stop(owner) => self.owners[owner].stop(),
            Event::Open(owner, open) => {
                let now = self.now(owner);
                self.owners[owner].set_backend_open(open, now);
            }
        }
        Ok(())
    }

    /// Advances the time by `millis`, in which each owner observes the table and plans twice a second.
    fn run(&mut self, open: &[bool; OWNERS], millis: i64) -> Result<(), TestCaseError> {
        for _ in 0..=millis / 500 {
            for (owner, open) in open.iter().enumerate() {
                self.clocks[owner] += 500;
                self.apply(&Event::Open(owner, *open))?;
                self.apply(&Event::Observe(owner, 0))?;
                self.apply(&Event::Plan {
                    owner,
                    down: 0,
                    applied: true,
                    answered: true,
                })?;
                self.call(owner, START.saturating_add_signed(self.clocks[owner]))?;
            }
        }
        Ok(())
    }

    fn call(&mut self, owner: usize, time: u64) -> Result<(), TestCaseError> {
        let key = key(time);
        let now = self.now(owner);
        match self.owners[owner].begin("a", key, now) {
            Decision::Run => {
                prop_assert!(
                    self.executed.insert(key),
                    "{key} runs twice, now at owner {owner}"
                );
                self.runs.push((owner, self.instances[owner], key));
            }
            Decision::Stored(answer) => prop_assert_eq!(&answer.body[..], &key.as_bytes()[..]),
            Decision::Wait => prop_assert!(self.executed.contains(&key)),
            _ => {}
        }
        Ok(())
    }
}

fn name(index: usize) -> String {
    format!("vm-{index}")
}

/// Returns the first key issued at `time` that is in slot 0. A single slot makes conflicting events more frequent.
fn key(time: u64) -> Uuid {
    let head = u128::from(time) << 80 | 0x7000_8000_0000_0000_0000;
    let mut keys = (0..).map(|tail| Uuid::from_u128(head | tail));
    keys.find(|key| claim::slot("a", *key) == 0).unwrap()
}

fn answer(key: Uuid) -> Outcome {
    let body = key.as_bytes().to_vec();
    Outcome::Answered(Answer {
        status: 200,
        headers: Vec::new(),
        body,
    })
}

fn event() -> impl Strategy<Value = Event> {
    let owner = 0..OWNERS;
    // Most jumps stay near the issue times, where intervals adjoin; some exceed the retention or any realistic time.
    let clocks = prop_oneof![
        8 => 0..60_000_i64,
        1 => -2_000_000..2_000_000_i64,
        1 => any::<i64>().prop_map(|to| to / 4),
    ];
    prop_oneof![
        2 => (owner.clone(), clocks).prop_map(|(owner, to)| Event::Clock(owner, to)),
        4 => (owner.clone(), 0..3_usize).prop_map(|(owner, ago)| Event::Observe(owner, ago)),
        6 => (owner.clone(), any::<u8>(), any::<bool>(), any::<bool>())
            .prop_map(|(owner, down, applied, answered)| Event::Plan { owner, down, applied, answered }),
        2 => any::<usize>().prop_map(Event::Apply),
        12 => (owner.clone(), 0..40_u64).prop_map(|(owner, step)| Event::Call { owner, offset: step * 1500 }),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(run, outcome)| Event::Finish { run, outcome }),
        1 => owner.clone().prop_map(Event::Restart),
        1 => owner.clone().prop_map(Event::Stop),
        2 => (owner, any::<bool>()).prop_map(|(owner, open)| Event::Open(owner, open)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a key that runs twice: at two owners, after a restart, or after it has expired.
    #[test]
    fn begin_runs_a_key_once(events in prop::collection::vec(event(), 1..300)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.apply(event)?;
        }
    }

    /// Guards against keys that no owner runs although one backend accepts calls, after any outages of the backends.
    #[test]
    fn plan_moves_slots_to_the_open(
        steps in prop::collection::vec((0..OWNERS, any::<bool>(), 1..6_000_i64), 0..20),
        open in 0..OWNERS,
    ) {
        let mut simulation = Simulation::new();
        let mut open_now = [true; OWNERS];
        let ends = (0..OWNERS).map(|owner| (owner, owner == open, 1));
        let last = [(open, true, 15_000)];
        for (owner, is_open, pause) in steps.into_iter().chain(ends).chain(last) {
            open_now[owner] = is_open;
            simulation.run(&open_now, pause)?;
        }
        let now = START.saturating_add_signed(simulation.clocks[open]);
        prop_assert_eq!(simulation.owners[open].owned_slots(), 0xffff);
        let decision = simulation.owners[open].begin("a", key(now + 1), Duration::from_millis(now));
        prop_assert_eq!(decision, Decision::Run);
    }

    /// Guards against a live owner whose interval ends because other owners that renew at the same time always write
    /// first.
    #[test]
    fn plan_renews_in_phase(owners in 2..=16_usize, last in any::<prop::sample::Index>()) {
        let live: Vec<String> = (0..owners).map(name).collect();
        let mut table = Table::default();
        let mut held: Vec<Owner> = Vec::new();
        let mut now = Duration::from_millis(START);
        for (owner, name) in live.iter().enumerate() {
            for (slot, place) in claim::slot_ranks(name, &live).into_iter().enumerate() {
                if place == 0 {
                    table.acquire(slot as u8, &Holder::new(name, owner as u64), now, now + claim::TERM);
                }
            }
            held.push(Owner::new(name, owner as u64));
        }
        let mut order: Vec<usize> = (0..owners).collect();
        order.rotate_left(last.index(owners) + 1);
        let mut revision = 1;
        for _ in 0..100 {
            // All owners that are due read the same table, so only the first write takes effect. The others retry after
            // 150 ms, the mean delay of the agent. The same owner is last each time.
            let read = (revision, table.clone());
            for &owner in &order {
                if held[owner].next_plan(now) > now {
                    continue;
                }
                held[owner].observe(read.0, &read.1);
                match held[owner].plan(now, &live, &[]) {
                    Some(write) if write.base == revision => {
                        (revision, table) = (revision + 1, write.table);
                        held[owner].observe(revision, &table);
                    }
                    _ => {}
                }
            }
            now += Duration::from_millis(150);
            for slot in 0..claim::SLOT_COUNT {
                let until = Duration::from_millis(table.claim(slot).until_ms);
                prop_assert!(until > now, "slot {} ended at {:?}, now {:?}", slot, until, now);
            }
        }
    }

    /// Guards against overlapping intervals of successive epochs, for any sequence of table changes.
    #[test]
    fn table_intervals_are_disjoint(steps in prop::collection::vec((0..4_u8, 0..3_u64, 0..60_u64), 1..60)) {
        let mut table = Table::default();
        let mut ends: Vec<(u64, u64)> = Vec::new();
        for (step, who, at) in steps {
            let (holder, now) = (Holder::new("vm", who), Duration::from_millis(START + at * 1000));
            let claim = table.claim(0).clone();
            match step {
                0 => { table.acquire(0, &holder, now, now + claim::TERM); }
                1 => { let _ = table.renew(0, &holder, claim.epoch, now, now + claim::TERM); }
                2 => { let _ = table.release(0, &holder, claim.epoch, now); }
                _ => table.set_wanted_by(0, Some("vm")),
            }
            let after = table.claim(0);
            prop_assert!(after.from_ms <= after.until_ms || after.epoch == 0);
            if after.epoch > claim.epoch && claim.epoch > 0 {
                ends.push((claim.from_ms, claim.until_ms));
                prop_assert!(ends.iter().all(|(_, until)| *until <= after.from_ms));
            }
        }
    }
}
