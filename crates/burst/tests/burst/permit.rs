//! Permit objects with conditional updates.

use burst::permit::{Decision, MAX_GRANTS, PermitObject};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use yare::parameterized;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a fifth grant or a holder listed twice when writes are delayed, fail or lose their answers. In
    // each step, an agent reads the object or performs the write decided at its last read, on the condition that the
    // object hasn't changed.
    #[test]
    fn decide_interleaved(steps in prop::collection::vec((0..7usize, any::<bool>()), 0..200)) {
        let mut object: (u64, Option<Value>) = (0, None);
        let mut writes: Vec<Option<(u64, Value)>> = vec![None; 7];
        for (agent, read) in steps {
            if read {
                writes[agent] = match PermitObject::decide(object.1.as_ref(), &agent.to_string()).unwrap() {
                    Decision::Write(value) => Some((object.0, value)),
                    _ => None,
                };
            } else if let Some((revision, value)) = &writes[agent]
                && *revision == object.0
            {
                object = (revision + 1, Some(value.clone()));
            }
            let held = object.1.as_ref().map(|value| PermitObject::read(value).unwrap());
            let mut holders = held.map_or(Vec::new(), |draws| draws.holders().to_vec());
            let listed = holders.len();
            holders.sort();
            holders.dedup();
            prop_assert!(listed <= MAX_GRANTS && holders.len() == listed);
        }
    }
}

// Guards against a second grant for a write whose answer was lost, and against a draw without a grant.
#[parameterized(
    written = { json!({"draws": ["a", "b"]}), "b", Decision::Granted },
    not_written = { json!({"draws": ["a"]}), "b", Decision::Write(json!({"draws": ["a", "b"]})) },
    full = { json!({"draws": ["a", "b", "c", "d"]}), "e", Decision::Refused },
    full_but_listed = { json!({"draws": ["a", "b", "c", "d"]}), "d", Decision::Granted },
)]
fn decide_read_back(value: Value, holder: &str, expected: Decision) {
    assert_eq!(
        PermitObject::decide(Some(&value), holder).unwrap(),
        expected
    );
}

// Guards against granting a draw based on a value that isn't a permit object.
#[parameterized(array = { json!([]) }, extra = { json!({"draws": [], "x": 1}) }, number = { json!({"draws": 3}) })]
fn decide_malformed(value: Value) {
    let error = PermitObject::decide(Some(&value), "a")
        .unwrap_err()
        .to_string();
    assert!(error.contains(&value.to_string()), "{error}");
}
