//! Deltas between versions of a configuration, and malformed ones.

use delta::{Delta, Error};
use proptest::prelude::*;
use yare::parameterized;

/// Longest result in these tests, in bytes.
const LIMIT: usize = 1 << 20;

/// Returns a configuration of `routes` routes, as operators write it.
fn config(version: usize, routes: impl Iterator<Item = usize>) -> Vec<u8> {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"route-{number}\",\"host\":\"h{}.example\",\"path_prefix\":\"/p{number}/{:x}/\",\
             \"type\":\"idempotent\",\"timeout_ms\":6000,\"service\":\"desk\",\"max_attempts\":2}}",
            number % 7,
            number.wrapping_mul(0x9E37_79B1) & 0xFFFF,
        )
    };
    let routes: Vec<String> = routes.map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"limits\":{{}}}}",
        routes.join(",")
    )
    .into_bytes()
}

// Guards against sending a large configuration to each entry for a small change.
#[parameterized(
    version_only = { config(17, 0..1500) },
    route_added = { config(100, 0..1501) },
    route_removed = { config(17, (0..1500).filter(|number| *number != 700)) },
    routes_moved = { config(17, (750..1500).chain(0..750)) },
)]
fn small_change(new: Vec<u8>) {
    let base = config(16, 0..1500);
    let delta = Delta::between(&base, &new);
    assert_eq!(delta.apply(&base, LIMIT).unwrap(), new);
    let encoded = postcard::to_stdvec(&delta).unwrap().len();
    assert!(encoded < 300, "{encoded} bytes for {}", new.len());
}

// Guards against entries that start and get the configuration in full length from their neighbours.
#[test]
fn empty_base_compresses() {
    let new = config(1, 0..1500);
    let delta = Delta::between(&[], &new);
    assert_eq!(delta.apply(&[], LIMIT).unwrap(), new);
    let encoded = postcard::to_stdvec(&delta).unwrap().len();
    assert!(encoded * 2 < new.len(), "{encoded} bytes for {}", new.len());
}

// Guards against a version built from a base that the delta was not made for, and against results of any length.
#[test]
fn malformed_refused() {
    let (base, new) = (config(1, 0..9), config(2, 0..9));
    let delta = Delta::between(&base, &new);
    let short = delta.apply(&base[1..], LIMIT);
    assert!(matches!(short, Err(Error::Base { .. })), "{short:?}");
    let limit = new.len() - 1;
    assert_eq!(delta.apply(&base, limit), Err(Error::Length { limit }));
}

proptest! {
    // Guards against deltas that build another version than the one that they were made from.
    #[test]
    fn round_trip(base in "[a-d]{0,300}", new in "[a-d]{0,300}", cut in 0usize..300) {
        let (base, new) = (base.repeat(3), format!("{}{new}{}", &base[..cut.min(base.len())], base));
        let delta = Delta::between(base.as_bytes(), new.as_bytes());
        prop_assert_eq!(delta.apply(base.as_bytes(), LIMIT).unwrap(), new.as_bytes());
    }

    // Guards against a panic on bytes that are no delta.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(delta) = postcard::from_bytes::<Delta>(&bytes) {
            let _ = delta.apply(b"base", 1000);
        }
    }
}
