//! Reading from mirrors that may be behind the store.

use std::time::Duration;

use platform::{Listing, Object, Revision, Update};
use proptest::prelude::*;
use replica::{Error, Kind, Mirror, Replica};
use serde_json::value::RawValue;

/// Returns a revision of era 0.
const fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

fn object(name: &str, number: u64) -> Object {
    Object {
        name: name.into(),
        revision: revision(number),
        value: RawValue::NULL.to_owned(),
    }
}

/// A reader of mirrors that applies what it reads.
#[derive(Debug, Default)]
struct Reader {
    after: Option<Revision>,
    objects: std::collections::BTreeMap<String, u64>,
}

impl Reader {
    fn read(&mut self, mirror: &Mirror) {
        let Some(update) = mirror.update_after(self.after) else {
            return;
        };
        // A reader rejects objects that are older than its own state.
        if Some(update.listing.revision) < self.after {
            return;
        }
        if update.whole {
            self.objects.clear();
        }
        self.apply(update.listing);
    }

    fn apply(&mut self, listing: Listing) {
        for object in listing.objects {
            let known = self.objects.insert(object.name, object.revision.number);
            let newer = known.is_none_or(|known| known <= object.revision.number);
            assert!(newer, "older");
        }
        for name in listing.deleted {
            self.objects.remove(&name);
        }
        self.after = Some(listing.revision);
    }
}

/// A change in the store: the number of an object, and whether it is written rather than deleted.
fn change() -> impl Strategy<Value = (u8, bool)> {
    (0u8..6, prop::bool::weighted(0.7))
}

proptest! {
    // Guards against a reader that misses changes or reverts to older objects when it switches between two mirrors,
    // each of which may be behind and may have lost its history.
    #[test]
    fn readers_converge(
        changes in prop::collection::vec(change(), 1..60),
        lags in prop::collection::vec((0usize..6, 0usize..6, any::<bool>(), prop::bool::weighted(0.1)), 1..60),
    ) {
        let mut store: Vec<Listing> = Vec::new();
        let mut objects = std::collections::BTreeMap::new();
        for (number, (name, written)) in changes.iter().enumerate() {
            let number = number as u64 + 1;
            let name = name.to_string();
            let mut listing = Listing { revision: revision(number), ..Listing::default() };
            match written {
                true => {
                    objects.insert(name.clone(), number);
                    listing.objects.push(object(&name, number));
                }
                false => {
                    objects.remove(&name);
                    listing.deleted.push(name);
                }
            }
            store.push(listing);
        }
        let whole = Update { listing: Listing::default(), whole: true };
        let mut mirrors = [Mirror::default(), Mirror::default()];
        for mirror in &mut mirrors {
            mirror.apply(&whole, None);
        }
        let mut read = [0, 0];
        let mut reader = Reader::default();
        for (first, second, choice, restarts) in lags {
            for (place, steps) in [(0, first), (1, second)] {
                for _ in 0..steps {
                    if let Some(listing) = store.get(read[place]) {
                        mirrors[place].apply(&Update { listing: listing.clone(), whole: false }, None);
                        read[place] += 1;
                    }
                }
            }
            let place = usize::from(choice);
            if restarts {
                let list = mirrors[place].list().unwrap();
                mirrors[place] = Mirror::default();
                mirrors[place].apply(&Update { listing: list, whole: true }, None);
            }
            reader.read(&mirrors[place]);
        }
        while let Some(listing) = store.get(read[0]) {
            mirrors[0].apply(&Update { listing: listing.clone(), whole: false }, None);
            read[0] += 1;
        }
        reader.read(&mirrors[0]);
        prop_assert_eq!(reader.objects, objects);
    }
}

// Guards against unbounded memory use: one deletion is kept per target that was ever removed.
#[test]
fn deletions_bounded() {
    let mut mirror = Mirror::default();
    let whole = Update {
        listing: Listing::default(),
        whole: true,
    };
    mirror.apply(&whole, None);
    for number in 1..=3_000 {
        let listing = Listing {
            revision: revision(number),
            deleted: vec![format!("t-{number}")],
            bytes: 0,
            ..Listing::default()
        };
        let whole = false;
        mirror.apply(&Update { listing, whole }, None);
    }
    assert!(mirror.update_after(Some(revision(1))).unwrap().whole);
    let update = mirror.update_after(Some(revision(2_990))).unwrap();
    assert_eq!((update.whole, update.listing.deleted.len()), (false, 10));
}

// Guards against an entry that keeps asking for differences which don't fit what it holds.
#[test]
fn whole_kind_after_misfit() {
    let (first, second) = ([10, 0, 0, 1], [10, 0, 0, 2]);
    let [mut replica, mut other] = [first, second].map(|ip| Replica::new((ip, 7700).into()));
    let text = |end: &str| {
        let text = format!("\"{}{end}\"", end[..1].repeat(4_000));
        RawValue::from_string(text).unwrap()
    };
    let config = |number, value| Update {
        listing: Listing {
            revision: revision(number),
            objects: vec![Object {
                value,
                ..object("main", number)
            }],
            ..Listing::default()
        },
        whole: number == 1,
    };
    let now = Duration::from_secs(100);
    replica.apply(Kind::Config, &config(1, text("a")), None);
    other.apply(Kind::Config, &config(1, text("b")), None);
    other.apply(Kind::Config, &config(2, text("bbbc")), None);
    let mut ask = || {
        let query = replica.query(now, Duration::ZERO);
        let answer = other.answer(now, now, &query).unwrap();
        replica.merge(now, now, &answer)
    };
    assert_eq!(ask().errors, [(Kind::Config, Error::Digest)]);
    assert_eq!(ask().changed, [Kind::Config]);
    let update = replica.update_after(Kind::Config, None).unwrap();
    assert_eq!(update.listing.objects[0].value.get(), text("bbbc").get());
}
