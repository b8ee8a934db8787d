//! History of the keys that ran, with their answers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::KEY_RETENTION;

/// Maximum size of a stored answer, in bytes. A larger one is sent to its caller, but not again for a retry.
const MAX_ANSWER: usize = 16 * 1024;

/// Maximum size of all stored answers, in bytes.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of remembered keys; at about 150 bytes per key, the keys take up to 10 MB.
const MAX_KEYS: usize = 65_536;

/// A complete answer as sent to the first caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers that are part of the stored answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend answered; the answer is stored if it is small enough.
    Answered(Answer),
    /// The call may have run, and its answer is not known.
    Unknown,
    /// Nothing was written to the backend, so the key may still run.
    NotRun,
}

/// State of a remembered key. A finished key has no answer if none was stored or it was evicted.
#[derive(Clone, Debug)]
pub(crate) enum KeyState {
    Running,
    Done(Option<Arc<Answer>>),
}

type KeyId = (Uuid, Box<str>);

/// Keys in progress and finished keys of the last 15 minutes.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyHistory {
    keys: HashMap<KeyId, KeyState>,
    /// Finished keys with the times of their ends, earliest first.
    finished: VecDeque<(Duration, KeyId)>,
    /// Keys with a stored answer, the first to finish at the front.
    stored: VecDeque<KeyId>,
    stored_bytes: usize,
}

impl Answer {
    /// Returns the size that counts against the limits, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}

impl KeyHistory {
    pub(crate) fn get(&self, workspace: &str, key: Uuid) -> Option<&KeyState> {
        self.keys.get(&(key, workspace.into()))
    }

    pub(crate) fn start(&mut self, workspace: &str, key: Uuid) {
        self.keys.insert((key, workspace.into()), KeyState::Running);
    }

    /// Records the outcome of a running key, and returns whether the key was running. Other keys are left unchanged.
    pub(crate) fn finish(
        &mut self,
        workspace: &str,
        key: Uuid,
        now: Duration,
        outcome: Outcome,
    ) -> bool {
        let id: KeyId = (key, workspace.into());
        if !matches!(self.keys.get(&id), Some(KeyState::Running)) {
            return false;
        }
        let answer = match outcome {
            Outcome::NotRun => {
                self.keys.remove(&id);
                return true;
            }
            Outcome::Answered(answer) if answer.size() <= MAX_ANSWER => Some(Arc::new(answer)),
            Outcome::Answered(_) | Outcome::Unknown => None,
        };
        if let Some(answer) = &answer {
            self.stored_bytes += answer.size();
            self.stored.push_back(id.clone());
        }
        self.keys.insert(id.clone(), KeyState::Done(answer));
        self.finished.push_back((now, id));
        self.evict_answers();
        true
    }

    /// Removes and returns the finished keys that exceed the retention or the maximum number of keys.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<(Uuid, Box<str>)> {
        let mut expired = Vec::new();
        while let Some((time, _)) = self.finished.front() {
            if now.saturating_sub(*time) < KEY_RETENTION && self.finished.len() <= MAX_KEYS {
                break;
            }
            let Some((_, id)) = self.finished.pop_front() else {
                break;
            };
            if let Some(KeyState::Done(Some(answer))) = self.keys.remove(&id) {
                self.stored_bytes -= answer.size();
                // Answers are stored in the order in which keys finish, so this one is at the front.
                self.stored.pop_front();
            }
            expired.push(id);
        }
        expired
    }

    pub(crate) fn running(&self) -> usize {
        self.keys.len() - self.finished.len()
    }

    pub(crate) fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    fn evict_answers(&mut self) {
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some(id) = self.stored.pop_front() else {
                return;
            };
            if let Some(KeyState::Done(answer)) = self.keys.get_mut(&id) {
                self.stored_bytes -= answer.take().map_or(0, |answer| answer.size());
            }
        }
    }
}
