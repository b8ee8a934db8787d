//! A model of fleets whose entries exchange evidence late and with losses.

use std::time::{Duration, Instant};

use quarantine::{PartId, Prompt, Quarantine};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

const DEADLY: PartId = 0xdead;
const COMMON: PartId = 0xa0;
const STEP: Duration = Duration::from_millis(10);
/// Steps of the model: 12 s.
const STEPS: usize = 1_200;
/// Steps from the sending of a request until its target has survived it or crashed.
const RUN_STEPS: usize = 40;
/// Steps until other entries have evidence.
const DELAY_STEPS: usize = 10;
/// Steps between two exchanges of all evidence.
const SUMMARY_STEPS: usize = 400;
/// Crashes after which the part must be known, and requests with it that may reach targets later.
const KNOWN_CRASHES: usize = 5;
const MAX_LATER: usize = 3;
/// Steps after that crash in which further requests with the part are in order.
const CONTACT_STEPS: usize = 300;

/// Load and faults of a fleet.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    targets: usize,
    /// Requests in a step.
    requests: f64,
    /// Share of the requests that hold the deadly part.
    deadly: f64,
    /// Share of the evidence that is lost.
    loss: f64,
    /// Share of the targets that crash together for another reason, at 5 s and 10 s.
    herd: f64,
    /// Number of runs, each with another seed.
    seeds: u64,
}

struct Run {
    step: usize,
    entry: usize,
    target: usize,
    prompt: Prompt,
}

#[derive(Debug, Default)]
struct Result {
    crashes: usize,
    later: usize,
    sound_refused: usize,
    sound: usize,
}

struct Model {
    fleet: Fleet,
    rng: SmallRng,
    start: Instant,
    entries: Vec<Quarantine>,
    /// Start number of each target.
    starts: Vec<u64>,
    runs: Vec<Run>,
    /// Step, sender and parts of evidence under way.
    evidence: Vec<(usize, usize, Vec<PartId>)>,
    known_at: Option<usize>,
    result: Result,
}

impl Model {
    fn new(fleet: Fleet, seed: u64) -> Self {
        Self {
            fleet,
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            entries: vec![Quarantine::default(); fleet.entries],
            starts: vec![0; fleet.targets],
            runs: Vec::new(),
            evidence: Vec::new(),
            known_at: None,
            result: Result::default(),
        }
    }

    fn now(&self, step: usize) -> Instant {
        self.start + STEP * step as u32
    }

    fn run(mut self) -> Result {
        for step in 0..STEPS {
            self.send(step);
            self.finish(step);
            if step == 500 || step == 1_000 {
                for target in 0..(self.fleet.targets as f64 * self.fleet.herd) as usize {
                    self.crash(step, target);
                }
            }
            self.deliver(step);
        }
        self.result
    }

    fn send(&mut self, step: usize) {
        let mut requests = self.fleet.requests;
        while requests > 0.0 && (requests >= 1.0 || self.rng.random_bool(requests)) {
            requests -= 1.0;
            let deadly = step > 300 && self.rng.random_bool(self.fleet.deadly);
            // Few subjects are popular, most are rare.
            let subject = 0x1000 + (5_000.0 * self.rng.random::<f64>().powi(3)) as u64;
            let middle = if deadly { DEADLY } else { subject };
            let prompt = Prompt::new(vec![COMMON, middle, self.rng.random()]);
            let entry = self.rng.random_range(0..self.fleet.entries);
            let now = self.now(step);
            let admitted = self.entries[entry].admit(now, &prompt).is_ok();
            self.result.sound += usize::from(!deadly);
            self.result.sound_refused += usize::from(!deadly && !admitted);
            if !admitted {
                continue;
            }
            let late = self.known_at.is_some_and(|at| step > at + CONTACT_STEPS);
            self.result.later += usize::from(deadly && late);
            let target = self.rng.random_range(0..self.fleet.targets);
            let run = Run {
                step,
                entry,
                target,
                prompt,
            };
            self.runs.push(run);
        }
    }

    fn finish(&mut self, step: usize) {
        while let Some(run) = self.runs.first()
            && run.step + RUN_STEPS <= step
        {
            if run.prompt.parts().contains(&DEADLY) {
                let target = run.target;
                self.crash(step, target);
                self.result.crashes += 1;
                if self.result.crashes == KNOWN_CRASHES {
                    self.known_at = Some(step);
                }
                continue;
            }
            let run = self.runs.remove(0);
            let now = self.now(step);
            let changes = self.entries[run.entry].record_survival(now, &run.prompt);
            self.tell(step, run.entry, changes.parts);
        }
    }

    /// Crashes a target and blames the requests that it had not survived yet.
    fn crash(&mut self, step: usize, target: usize) {
        let crash = (target as u64) << 32 | self.starts[target];
        self.starts[target] += 1;
        let now = self.now(step);
        let (lost, left): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.target == target);
        self.runs = left;
        for run in lost {
            let changes = self.entries[run.entry].record_crash(now, crash, &run.prompt);
            self.tell(step, run.entry, changes.parts);
        }
    }

    fn tell(&mut self, step: usize, entry: usize, parts: Vec<PartId>) {
        if !parts.is_empty() {
            self.evidence.push((step + DELAY_STEPS, entry, parts));
        }
    }

    fn deliver(&mut self, step: usize) {
        let now = self.now(step);
        let all = std::mem::take(&mut self.evidence);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, ..)| *at <= step);
        self.evidence = later;
        let told = due
            .into_iter()
            .map(|(_, entry, parts)| self.entries[entry].evidence(now, parts));
        let mut told: Vec<_> = told.collect();
        if step.is_multiple_of(SUMMARY_STEPS) {
            told.extend(self.entries.iter().map(|table| table.summary(now)));
        }
        for evidence in told {
            for entry in 0..self.entries.len() {
                if self.rng.random_bool(self.fleet.loss) {
                    continue;
                }
                let changes = self.entries[entry].merge(now, &evidence);
                let refuted = self.entries[entry].refute(now, &changes.parts);
                self.tell(step, entry, refuted.parts);
            }
        }
    }
}

// Guards against a part that is known too late because each entry of a large fleet sees few crashes or evidence gets lost,
// and against sound requests that are refused because targets crash together.
#[parameterized(
    small = { Fleet { entries: 6, targets: 14, requests: 2.4, deadly: 0.02, loss: 0.0, herd: 0.0, seeds: 4, } },
    small_lossy = { Fleet { entries: 6, targets: 14, requests: 2.4, deadly: 0.02, loss: 0.3, herd: 0.0, seeds: 4, } },
    small_rare = { Fleet { entries: 9, targets: 12, requests: 2.4, deadly: 0.002, loss: 0.0, herd: 0.3, seeds: 4, } },
    grown = { Fleet { entries: 37, targets: 45, requests: 6.4, deadly: 0.02, loss: 0.1, herd: 0.15, seeds: 2, } },
    large = { Fleet { entries: 99, targets: 138, requests: 12.0, deadly: 0.02, loss: 0.1, herd: 0.15, seeds: 1, } },
    herd_only = { Fleet { entries: 37, targets: 45, requests: 6.4, deadly: 0.0, loss: 0.1, herd: 0.6, seeds: 2, } },
)]
fn deadly_part_found(fleet: Fleet) {
    for seed in 0..fleet.seeds {
        let result = Model::new(fleet, seed).run();
        println!("seed {seed}: {result:?}");
        assert!(result.later <= MAX_LATER, "seed {seed}: {result:?}");
        let refused = result.sound_refused as f64 / result.sound as f64;
        assert!(refused < 0.001, "seed {seed}: {result:?}");
    }
}
