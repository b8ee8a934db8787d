//! Keys that ran and their answers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::RETENTION;

/// Largest answer that is stored, in bytes; a larger one is sent to its caller but not sent again.
const ANSWER_LIMIT: usize = 16 * 1024;

/// Size of all stored answers, in bytes.
const TOTAL_LIMIT: usize = 16 * 1024 * 1024;

/// Number of keys remembered; at about 150 bytes a key this bounds the table to 10 MB.
const KEY_LIMIT: usize = 65_536;

/// A whole answer, as the first caller got it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers that are sent again.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body, complete.
    pub body: Vec<u8>,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend answered; the answer is stored when it is small enough.
    Answered(Answer),
    /// The call may have run, and its answer is not known.
    Unknown,
    /// Nothing was written to the backend; the key may run later.
    NotRun,
}

/// What is remembered of a key.
#[derive(Clone, Debug)]
pub(crate) enum State {
    Running,
    Done(Option<Arc<Answer>>),
}

type Id = (Uuid, Box<str>);

/// Keys in progress and finished keys of the last 15 minutes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    keys: HashMap<Id, State>,
    /// Finished keys, the earliest finished first.
    finished: VecDeque<(Duration, Id)>,
    /// Keys with a stored answer, the earliest finished first.
    stored: VecDeque<Id>,
    stored_bytes: usize,
}

impl Answer {
    /// Returns the size that counts against the limits, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}

impl Memory {
    pub(crate) fn get(&self, workspace: &str, key: Uuid) -> Option<&State> {
        self.keys.get(&(key, workspace.into()))
    }

    pub(crate) fn start(&mut self, workspace: &str, key: Uuid) {
        self.keys.insert((key, workspace.into()), State::Running);
    }

    /// Records how a running key ended. A key that isn't running is left as it is; returns whether it was running.
    pub(crate) fn finish(
        &mut self,
        workspace: &str,
        key: Uuid,
        now: Duration,
        outcome: Outcome,
    ) -> bool {
        let id: Id = (key, workspace.into());
        if !matches!(self.keys.get(&id), Some(State::Running)) {
            return false;
        }
        let answer = match outcome {
            Outcome::NotRun => {
                self.keys.remove(&id);
                return true;
            }
            Outcome::Answered(answer) if answer.size() <= ANSWER_LIMIT => Some(Arc::new(answer)),
            Outcome::Answered(_) | Outcome::Unknown => None,
        };
        if let Some(answer) = &answer {
            self.stored_bytes += answer.size();
            self.stored.push_back(id.clone());
        }
        self.keys.insert(id.clone(), State::Done(answer));
        self.finished.push_back((now, id));
        self.drop_answers();
        true
    }

    /// Removes finished keys past the retention or above the number kept, and returns them.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<(Uuid, Box<str>)> {
        let mut gone = Vec::new();
        while let Some((time, _)) = self.finished.front() {
            if now.saturating_sub(*time) < RETENTION && self.finished.len() <= KEY_LIMIT {
                break;
            }
            let Some((_, id)) = self.finished.pop_front() else {
                break;
            };
            if let Some(State::Done(Some(answer))) = self.keys.remove(&id) {
                self.stored_bytes -= answer.size();
                // Answers are stored in the order of finishing, so this one is the first that is left.
                self.stored.pop_front();
            }
            gone.push(id);
        }
        gone
    }

    pub(crate) fn running(&self) -> usize {
        self.keys.len() - self.finished.len()
    }

    pub(crate) fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    fn drop_answers(&mut self) {
        while self.stored_bytes > TOTAL_LIMIT {
            let Some(id) = self.stored.pop_front() else {
                return;
            };
            if let Some(State::Done(answer)) = self.keys.get_mut(&id) {
                self.stored_bytes -= answer.take().map_or(0, |answer| answer.size());
            }
        }
    }
}
