//! Differences between two versions of a byte string.
//!
//! A [`Delta`] builds a new version from an older one, its base: it copies what both have in common and holds the rest.
//! It also copies from what it has built already, so a delta against an empty base is a compressed form of a text that
//! repeats itself.

mod blocks;

use serde::{Deserialize, Serialize};

use blocks::Blocks;

/// Shortest run that is copied, in bytes; a shorter one costs as much as its bytes.
const MIN_COPY: usize = 16;

/// The steps that build a version of a byte string from its base.
///
/// ```
/// use delta::Delta;
///
/// let base = b"the routes of a configuration, version 16, and so on";
/// let new = b"the routes of a configuration, version 17, and so on";
/// let delta = Delta::between(base, new);
/// assert_eq!(delta.apply(base, 100).unwrap(), new);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Length of the base, in bytes.
    base_len: u32,
    steps: Vec<Step>,
}

/// A step of a [`Delta`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
enum Step {
    /// Appends `len` bytes that begin at `from` in the base followed by what has been built so far.
    Copy { from: u32, len: u32 },
    /// Appends these bytes.
    Insert(Vec<u8>),
}

/// A delta that can't be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The delta was made for a base of another length.
    #[error("the base has {len} bytes in place of {expected}")]
    Base {
        /// Length of the base, in bytes.
        len: usize,
        /// Length of the base for which the delta was made, in bytes.
        expected: u32,
    },
    /// A step copies bytes that don't exist.
    #[error("a step copies {len} bytes from {from}, beyond what there is")]
    Copy {
        /// Position of the first byte.
        from: u32,
        /// Number of bytes.
        len: u32,
    },
    /// The result is longer than the caller allows.
    #[error("the result exceeds {limit} bytes")]
    Length {
        /// Largest allowed length, in bytes.
        limit: usize,
    },
}

/// Bytes of the base and of the new version up to a position, in which copies are looked for.
struct Window<'a> {
    base: &'a [u8],
    new: &'a [u8],
}

impl Delta {
    /// Returns the delta that builds `new` from `base`.
    ///
    /// # Panics
    ///
    /// Panics if both together have 4 GiB or more.
    pub fn between(base: &[u8], new: &[u8]) -> Self {
        let total = base.len() + new.len();
        assert!(u32::try_from(total).is_ok(), "{total} bytes are too many");
        let window = Window { base, new };
        let mut blocks = Blocks::new(total);
        blocks.extend(&window, base.len());
        let mut steps = Vec::new();
        let (mut at, mut inserted) = (0, 0);
        // Where the base probably goes on after a replacement of the same length.
        let mut expected = 0;
        while at < new.len() {
            let found = blocks.find(&window, at);
            let copy = [Some(expected + at), found]
                .into_iter()
                .flatten()
                .map(|from| (window.common(from, at), from))
                .max_by_key(|(len, _)| *len);
            let Some((len, from)) = copy.filter(|(len, _)| *len >= MIN_COPY) else {
                at += 1;
                blocks.extend(&window, base.len() + at);
                continue;
            };
            let back = window.common_before(from, at, at - inserted);
            push_insert(&mut steps, &new[inserted..at - back]);
            steps.push(Step::Copy {
                from: (from - back) as u32,
                len: (len + back) as u32,
            });
            expected = from.saturating_sub(at);
            at += len;
            inserted = at;
            blocks.extend(&window, base.len() + at);
        }
        push_insert(&mut steps, &new[inserted..]);
        Self {
            base_len: base.len() as u32,
            steps,
        }
    }

    /// Returns the version that this delta builds from `base`, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the delta was made for a base of another length, is malformed, or builds more than `limit` bytes.
    pub fn apply(&self, base: &[u8], limit: usize) -> Result<Vec<u8>, Error> {
        if base.len() != self.base_len as usize {
            return Err(Error::Base {
                len: base.len(),
                expected: self.base_len,
            });
        }
        let mut built = Vec::new();
        for step in &self.steps {
            let added = match step {
                Step::Copy { len, .. } => *len as usize,
                Step::Insert(bytes) => bytes.len(),
            };
            if added > limit - built.len() {
                return Err(Error::Length { limit });
            }
            match step {
                Step::Copy { from, len } => copy(base, &mut built, *from, *len)?,
                Step::Insert(bytes) => built.extend_from_slice(bytes),
            }
        }
        Ok(built)
    }

    /// Returns roughly how many bytes the delta takes when it is sent.
    pub fn cost(&self) -> usize {
        let costs = self.steps.iter().map(|step| match step {
            Step::Copy { .. } => 8,
            Step::Insert(bytes) => bytes.len() + 3,
        });
        costs.sum()
    }
}

impl Window<'_> {
    fn byte(&self, at: usize) -> u8 {
        match at.checked_sub(self.base.len()) {
            Some(at) => self.new[at],
            None => self.base[at],
        }
    }

    /// Returns the number of bytes from `from` in the window that equal those of the new version from `at`.
    fn common(&self, from: usize, at: usize) -> usize {
        let new = &self.new[at..];
        let base_len = self.base.len();
        if from >= base_len + at {
            return 0;
        }
        let Some(base) = self.base.get(from..) else {
            return common_prefix(&self.new[from - base_len..], new);
        };
        let in_base = common_prefix(base, new);
        match in_base == base.len() {
            true => in_base + common_prefix(self.new, &new[in_base..]),
            false => in_base,
        }
    }

    /// Returns the number of bytes before `from` that equal those before `at`, at most `limit`.
    fn common_before(&self, from: usize, at: usize, limit: usize) -> usize {
        let limit = limit.min(from);
        let differs = |back: &usize| self.byte(from - back) != self.new[at - back];
        (1..=limit).find(differs).map_or(limit, |back| back - 1)
    }
}

fn common_prefix(left: &[u8], right: &[u8]) -> usize {
    const WORD: usize = 16;
    let words = left.chunks_exact(WORD).zip(right.chunks_exact(WORD));
    let start = WORD * words.take_while(|(left, right)| left == right).count();
    let rest = left[start..].iter().zip(&right[start..]);
    start + rest.take_while(|(left, right)| left == right).count()
}

fn push_insert(steps: &mut Vec<Step>, bytes: &[u8]) {
    if !bytes.is_empty() {
        steps.push(Step::Insert(bytes.to_vec()));
    }
}

/// Appends `len` bytes that begin at `from` in `base` followed by `built`, whose end may be among them.
fn copy(base: &[u8], built: &mut Vec<u8>, from: u32, len: u32) -> Result<(), Error> {
    let error = Error::Copy { from, len };
    let (mut from, mut len) = (from as usize, len as usize);
    if let Some(base) = base.get(from..) {
        let in_base = len.min(base.len());
        built.extend_from_slice(&base[..in_base]);
        from += in_base;
        len -= in_base;
    }
    while len > 0 {
        let start = from - base.len();
        let available = built.len().saturating_sub(start).min(len);
        if available == 0 {
            return Err(error);
        }
        built.extend_from_within(start..start + available);
        from += available;
        len -= available;
    }
    Ok(())
}
