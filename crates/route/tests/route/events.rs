//! Invariants over random sequences of events.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::{Setup, config, ms};
use gossip::Phase;
use proptest::collection::vec;
use proptest::prelude::*;
use route::{Answering, Failure, InFlight, Outcome, Request, RequestId, State};
use wire::Gate;

const TARGETS: usize = 4;
const WORKSPACES: [&str; 4] = ["urgent-a", "standard-a", "relaxed-b", "bulk-a"];
const LIMITS: &str = r#"{"concurrent":7,"per_target":3,"queue":12}"#;

#[derive(Clone, Debug)]
enum Event {
    Submit(usize),
    AdvanceTime(u64),
    Answer(usize),
    Finish(usize, bool),
    Fail(usize, Failure),
    Report(usize, Gate, u32),
    Leave(usize),
    Cancel(usize),
}

/// Reference model: the expected state of every request.
#[derive(Default)]
struct Model {
    submitted: Vec<RequestId>,
    outcomes: BTreeMap<RequestId, Outcome>,
    cancelled: BTreeSet<RequestId>,
    may_have_run: BTreeSet<RequestId>,
    sent: Vec<InFlight>,
    answering: Vec<Request<Answering>>,
    left_targets: BTreeSet<String>,
}

fn event_strategy() -> impl Strategy<Value = Event> {
    let failure = prop_oneof![
        Just(Failure::Rejected),
        Just(Failure::Overloaded),
        Just(Failure::Closed),
        Just(Failure::Refused),
        Just(Failure::NotConnected),
        Just(Failure::ConnectionLost),
        Just(Failure::TimedOut),
        Just(Failure::OutcomeUnknown),
    ];
    let gate = prop_oneof![4 => Just(Gate::Open), 1 => Just(Gate::Closed)];
    prop_oneof![
        6 => (0..WORKSPACES.len()).prop_map(Event::Submit),
        3 => (1..400u64).prop_map(Event::AdvanceTime),
        4 => any::<usize>().prop_map(Event::Answer),
        4 => (any::<usize>(), prop::bool::weighted(0.9)).prop_map(|(i, whole)| Event::Finish(i, whole)),
        2 => (any::<usize>(), failure).prop_map(|(i, failure)| Event::Fail(i, failure)),
        4 => (0..TARGETS, gate, 0..3u32).prop_map(|(i, gate, running)| Event::Report(i, gate, running)),
        1 => (0..TARGETS * 4).prop_map(Event::Leave),
        1 => any::<usize>().prop_map(Event::Cancel),
    ]
}

impl Model {
    fn end(&mut self, id: RequestId, outcome: Outcome) {
        if let Outcome::NotRun(_) = outcome {
            assert!(!self.may_have_run.contains(&id), "{id} may have run");
        }
        assert!(self.submitted.contains(&id), "{id} was never submitted");
        assert!(!self.cancelled.contains(&id), "{id} was cancelled");
        assert!(
            self.outcomes.insert(id, outcome).is_none(),
            "{id} ended twice"
        );
    }

    fn apply(&mut self, setup: &mut Setup, event: Event) {
        match event {
            Event::Submit(index) => self.submitted.extend(setup.submit(WORKSPACES[index])),
            Event::AdvanceTime(time) => setup.now += ms(time),
            Event::Answer(index) if !self.sent.is_empty() => {
                let request = self.sent.swap_remove(index % self.sent.len());
                self.may_have_run.insert(request.id());
                self.answering
                    .push(setup.router.answer_started(setup.now, request));
            }
            Event::Finish(index, whole) if !self.answering.is_empty() => {
                let request = self.answering.swap_remove(index % self.answering.len());
                let done = setup.router.answer_finished(setup.now, request, whole);
                self.end(done.id(), done.outcome().clone());
            }
            Event::Fail(index, failure) if !self.sent.is_empty() => {
                let request = self.sent.swap_remove(index % self.sent.len());
                if matches!(
                    failure,
                    Failure::ConnectionLost | Failure::TimedOut | Failure::OutcomeUnknown
                ) {
                    self.may_have_run.insert(request.id());
                }
                setup.fail(request, failure);
            }
            Event::Report(index, gate, running) => {
                setup.report(&format!("t{index}"), gate, running, 0)
            }
            // Half of the targets never leave, so that there is always one left to send to.
            Event::Leave(index) if index < TARGETS / 2 => {
                setup.put_member(&format!("t{index}"), "desk", "levis", Phase::Leaving);
                self.left_targets.insert(format!("t{index}"));
            }
            Event::Cancel(index) if !self.submitted.is_empty() => {
                let id = self.submitted[index % self.submitted.len()];
                if setup.router.cancel(id) {
                    self.cancelled.insert(id);
                }
            }
            _ => {}
        }
    }

    fn poll(&mut self, setup: &mut Setup) {
        let (sent, done) = setup.poll();
        for request in sent {
            let target = setup
                .router
                .pool("desk")
                .unwrap()
                .get(request.target())
                .unwrap();
            assert_eq!(
                target.state(setup.now),
                State::Open,
                "{} accepts no requests",
                request.target()
            );
            assert!(
                !self.left_targets.contains(request.target()),
                "{} has left",
                request.target()
            );
            self.sent.push(request);
        }
        for (id, outcome) in done {
            self.end(id, outcome);
        }
    }

    fn check(&self, setup: &Setup) {
        let in_progress = self.sent.len() + self.answering.len();
        assert_eq!(
            setup.router.in_progress("desk") as usize,
            in_progress,
            "a concurrency permit leaked"
        );
        assert!(
            in_progress <= 7,
            "{in_progress} requests exceed the service's limit"
        );
        let names = self.sent.iter().map(InFlight::target);
        let names = names.chain(self.answering.iter().map(Request::<Answering>::target));
        let mut on_target: BTreeMap<&str, u32> = BTreeMap::new();
        names.for_each(|name| *on_target.entry(name).or_default() += 1);
        assert!(
            on_target.values().all(|count| *count <= 3),
            "per-target limit: {on_target:?}"
        );
        let waiting: usize = setup.router.waiting("desk").values().sum();
        let known = self.outcomes.len() + self.cancelled.len() + in_progress + waiting;
        assert_eq!(known, self.submitted.len(), "a request was lost");
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against requests that are lost or end twice, leaked permits, exceeded limits, requests to targets that
    /// accept none, and `not-run` after a request was written.
    #[test]
    fn router_random_events(events in vec(event_strategy(), 1..150)) {
        let mut setup = Setup::new(LIMITS);
        setup.add_open_targets(TARGETS);
        let mut model = Model::default();
        for event in events {
            model.apply(&mut setup, event);
            model.poll(&mut setup);
            model.check(&setup);
        }
        for request in std::mem::take(&mut model.sent) {
            model.may_have_run.insert(request.id());
            setup.fail(request, Failure::TimedOut);
        }
        for request in std::mem::take(&mut model.answering) {
            let done = setup.router.answer_finished(setup.now, request, true);
            model.end(done.id(), done.outcome().clone());
        }
        setup.now += ms(10_000);
        model.poll(&mut setup);
        prop_assert!(model.sent.is_empty());
        prop_assert_eq!(model.outcomes.len() + model.cancelled.len(), model.submitted.len());
    }

    /// Guards against a request that waits although a target has free capacity for it.
    #[test]
    fn router_work_conservation(
        arrivals in vec(0..WORKSPACES.len(), 1..60),
        finished in vec(any::<usize>(), 0..60),
    ) {
        let mut setup = Setup::new(r#"{"per_target":2}"#);
        setup.add_open_targets(TARGETS);
        let mut model = Model::default();
        let mut finished = finished.into_iter();
        for index in arrivals {
            model.apply(&mut setup, Event::Submit(index));
            if let Some(index) = finished.next() {
                model.apply(&mut setup, Event::Answer(index));
                model.apply(&mut setup, Event::Finish(index, true));
            }
            model.poll(&mut setup);
            let waiting: usize = setup.router.waiting("desk").values().sum();
            let full = setup.router.in_progress("desk") == 2 * TARGETS as u32;
            prop_assert!(waiting == 0 || full, "{} wait for {} busy", waiting, setup.router.in_progress("desk"));
        }
    }
}
