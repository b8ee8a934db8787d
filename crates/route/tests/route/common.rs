//! Test setup: a router with a catalogue and targets.

use std::time::{Duration, Instant};

use gossip::Phase;
use proptest::test_runner::{Config, RngSeed};
use route::{Action, Failure, InFlight, Outcome, RequestId, Router, Submission};
use wire::{Gate, Report};

pub struct Setup {
    pub router: Router,
    pub now: Instant,
    pub sequence: u64,
}

/// Returns the proptest configuration of all files, with a fixed seed and a bounded number of cases.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x6361_726f),
        failure_persistence: None,
        ..Config::default()
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn class(name: &str, rank: u8, weight: u32) -> String {
    format!(
        r#"{{"kind":"class","name":"{name}","owner":"ops","class":"{name}","rank":{rank},"weight":{weight},
        "objective":{{"answered":0.999,"within_ms":2000,"within":0.95}}}}"#
    )
}

pub fn service(name: &str, class: &str, limits: &str, repeatable: bool) -> String {
    format!(
        r#"{{"kind":"service","name":"{name}","owner":"ops","class":"{class}","limits":{limits},
        "backend":"plain","repeatable":{repeatable},"deadline_ms":5000}}"#
    )
}

pub fn workspace(name: &str, class: &str, limits: &str) -> String {
    format!(
        r#"{{"kind":"workspace","name":"{name}","owner":"ops","class":"{class}","limits":{limits},
        "services":["desk","bookings"]}}"#
    )
}

impl Setup {
    /// Returns a setup with three ranks, the services `desk` and `bookings`, and no targets.
    pub fn new(desk_limits: &str) -> Self {
        let mut setup = Self {
            router: Router::new("levis", 7),
            now: Instant::now(),
            sequence: 0,
        };
        setup.apply(&class("urgent", 0, 8));
        setup.apply(&class("standard", 1, 8));
        setup.apply(&class("relaxed", 1, 2));
        setup.apply(&class("bulk", 2, 1));
        setup.apply(&service("desk", "urgent", desk_limits, true));
        setup.apply(&service("bookings", "urgent", r#"{"per_target":2}"#, false));
        for name in ["urgent", "standard", "relaxed", "bulk"] {
            setup.apply(&workspace(&format!("{name}-a"), name, "{}"));
            setup.apply(&workspace(&format!("{name}-b"), name, "{}"));
        }
        setup
    }

    pub fn apply(&mut self, entry: &str) {
        let revision = self.router.catalogue().revision() + 1;
        assert!(
            self.router
                .apply(serde_json::from_str(entry).unwrap(), revision)
        );
    }

    pub fn put_member(&mut self, name: &str, service: &str, domain: &str, phase: Phase) {
        let address = "127.0.0.1:1".parse().unwrap();
        let member = gossip::Target {
            domain: domain.into(),
            region: domain.into(),
            service: service.into(),
            call: address,
            chunk: address,
            phase,
        };
        self.router.upsert_target(name, &member);
    }

    pub fn report(&mut self, name: &str, gate: Gate, running: u32, slots: u16) {
        self.report_weights(name, gate, running, slots, None);
    }

    pub fn report_weights(
        &mut self,
        name: &str,
        gate: Gate,
        running: u32,
        slots: u16,
        weights: Option<u64>,
    ) {
        self.sequence += 1;
        let report = Report {
            target: name.into(),
            incarnation: 1,
            sequence: self.sequence,
            gate,
            weights,
            chunks: 0,
            running,
            waiting: 0,
            slots,
            view: 0,
            member: None,
        };
        self.router.apply_report(self.now, &report);
    }

    /// Adds live, open targets `t0`, `t1` and so on of the service `desk` in the router's domain.
    pub fn add_open_targets(&mut self, count: usize) {
        for index in 0..count {
            self.put_member(&format!("t{index}"), "desk", "levis", Phase::Live);
            self.report(&format!("t{index}"), Gate::Open, 0, 0);
        }
    }

    pub fn submit(&mut self, workspace: &str) -> Result<RequestId, route::Refusal> {
        let submission = Submission {
            workspace,
            service: "desk",
            ..Submission::default()
        };
        self.router.submit(self.now, &submission)
    }

    pub fn submit_keyed(&mut self, claim_slot: u8) -> RequestId {
        let submission = Submission {
            workspace: "urgent-a",
            service: "bookings",
            claim_slot: Some(claim_slot),
            ..Submission::default()
        };
        self.router.submit(self.now, &submission).unwrap()
    }

    pub fn poll(&mut self) -> (Vec<InFlight>, Vec<(RequestId, Outcome)>) {
        let (mut sent, mut done) = (Vec::new(), Vec::new());
        for action in self.router.poll(self.now) {
            match action {
                Action::Send(request) => sent.push(request),
                Action::Finish(request) => done.push((request.id(), request.outcome().clone())),
            }
        }
        (sent, done)
    }

    /// Polls the router and returns the request to send, which must be the only action.
    pub fn poll_one(&mut self) -> InFlight {
        let (mut sent, done) = self.poll();
        assert!(
            sent.len() == 1 && done.is_empty(),
            "sent {sent:?}, done {done:?}"
        );
        sent.remove(0)
    }

    pub fn answer(&mut self, request: InFlight) -> Outcome {
        let request = self.router.answer_started(self.now, request);
        self.router
            .answer_finished(self.now, request, true)
            .outcome()
            .clone()
    }

    pub fn fail(&mut self, request: InFlight, failure: Failure) {
        self.router.attempt_failed(self.now, request, failure);
    }
}
