//! A version of an object, and how it came about from earlier ones.

use std::cell::OnceCell;
use std::collections::VecDeque;
use std::rc::Rc;

use delta::Delta;
use node::time::Uptime;
use platform::{Object, Revision};

use crate::message::Patch;

/// Length from which on differences between versions are kept, in bytes. Shorter objects are sent in full.
const MIN_PATCHED_BYTES: usize = 2 << 10;
/// Number of differences that are kept. A receiver that is further behind gets the object in full.
const MAX_PATCHES: usize = 64;

/// An object and its latest differences.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) object: Object,
    /// Time before which this version was not written yet, if known.
    pub(crate) written_after: Option<Uptime>,
    /// Version that the first of the patches is applied to.
    base: Option<Revision>,
    patches: VecDeque<Rc<Patch>>,
    /// Difference to an empty text.
    whole: OnceCell<Rc<Patch>>,
    digest: OnceCell<u64>,
}

impl Held {
    /// Returns `object` without a history.
    pub(crate) fn new(object: Object, written_after: Option<Uptime>) -> Self {
        Self {
            object,
            written_after,
            base: None,
            patches: VecDeque::new(),
            whole: OnceCell::new(),
            digest: OnceCell::new(),
        }
    }

    /// Returns the digest of the object's text.
    pub(crate) fn digest(&self) -> u64 {
        *self.digest.get_or_init(|| digest(text(&self.object)))
    }

    /// Replaces the object by a newer version. `patches` are the differences between both if the newer version came in this
    /// form.
    pub(crate) fn replace(
        &mut self,
        object: Object,
        written_after: Option<Uptime>,
        patches: &[Rc<Patch>],
    ) {
        let old = std::mem::replace(self, Self::new(object, written_after));
        let is_large = |object: &Object| object.value.get().len() >= MIN_PATCHED_BYTES;
        if !is_large(&old.object) || !is_large(&self.object) {
            return;
        }
        let known = old.patches.len() + patches.len();
        (self.base, self.patches) = match old.base {
            Some(base) if known < MAX_PATCHES => (Some(base), old.patches),
            _ => (Some(old.object.revision), VecDeque::new()),
        };
        match patches {
            [] => self.patches.push_back(Rc::new(Patch {
                to: self.object.revision,
                delta: Delta::between(text(&old.object), text(&self.object)),
            })),
            patches => self.patches.extend(patches.iter().cloned()),
        }
    }

    /// Returns the differences that lead from the version that was current at `revision` to this one, and the version that
    /// the first of them is applied to. Without such a history these are the differences from an empty text.
    pub(crate) fn patches_since(
        &self,
        revision: Option<Revision>,
    ) -> (Option<Revision>, Vec<Rc<Patch>>) {
        let newer = |patch: &&Rc<Patch>| revision.is_some_and(|revision| patch.to > revision);
        let patches: Vec<Rc<Patch>> = self.patches.iter().filter(newer).cloned().collect();
        let skipped = self.patches.len() - patches.len();
        let base = match skipped.checked_sub(1) {
            Some(last) => Some(self.patches[last].to),
            None => self.base.filter(|base| revision >= Some(*base)),
        };
        if base.is_some() && !patches.is_empty() {
            return (base, patches);
        }
        let whole = self.whole.get_or_init(|| {
            let delta = Delta::between(&[], text(&self.object));
            let to = self.object.revision;
            Rc::new(Patch { to, delta })
        });
        (None, vec![Rc::clone(whole)])
    }
}

/// Returns a digest that texts share only by accident.
pub(crate) fn digest(text: &[u8]) -> u64 {
    let hash = blake3::hash(text);
    let (first, _) = hash
        .as_bytes()
        .split_first_chunk()
        .expect("a hash has 32 bytes");
    u64::from_le_bytes(*first)
}

fn text(object: &Object) -> &[u8] {
    object.value.get().as_bytes()
}
