//! Tests of the platform stand-in with the platform client.

mod support;

use std::time::Duration;

use platform::{Client, Condition, Error, Put, Revision, State};
use serde_json::json;
use support::Process;

fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(Process, Client) -> F) {
    let vms = json!([{"name": "vm1", "domain": "levis", "state": "live"}]);
    let process = Process::start("platform", json!({"vms": vms}));
    let client = Client::new(process.address, Duration::from_millis(500));
    node::run("test", test(process, client)).unwrap();
}

/// Returns a revision of era 0.
const fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

// Guards against lost updates: a conditional write that succeeds although the object was changed or created since.
#[test]
fn put_conditions() {
    with_platform(|process, client| async move {
        let _process = process;
        let put = async |value, condition| client.put("k", "a/b", &value, condition).await.unwrap();
        assert_eq!(put(1, Condition::Absent).await, Put::Accepted(revision(1)));
        assert_eq!(
            put(2, Condition::Absent).await,
            Put::Conflict(Some(revision(1)))
        );
        assert_eq!(
            put(3, Condition::Revision(revision(1))).await,
            Put::Accepted(revision(2))
        );
        assert_eq!(
            put(4, Condition::Revision(revision(1))).await,
            Put::Conflict(Some(revision(2)))
        );
        let object = client.get("k", "a/b").await.unwrap().unwrap();
        assert_eq!((object.revision, object.value.get()), (revision(2), "3"));
        assert!(client.get("other", "a/b").await.unwrap().is_none());
        let missing = client
            .put("k", "none", &1, Condition::Revision(revision(1)))
            .await;
        assert_eq!(missing.unwrap(), Put::Conflict(None));
    });
}

// Guards against watches that miss a change, report it twice, or never time out.
#[test]
fn watch_changes() {
    with_platform(|process, client| async move {
        let _process = process;
        let wait = Duration::from_millis(300);
        client.put("k", "a", &1, Condition::Any).await.unwrap();
        let start = client.list("k").await.unwrap();
        assert_eq!((start.revision, start.objects.len()), (revision(1), 1));
        let write = async {
            compio::time::sleep(Duration::from_millis(50)).await;
            client.put("other", "x", &1, Condition::Any).await.unwrap();
            client.put("k", "b", &2, Condition::Any).await.unwrap();
        };
        let (changed, ()) = futures::join!(client.watch("k", start.revision, wait), write);
        let changed = changed.unwrap();
        assert_eq!(
            (changed.revision, changed.objects[0].name.as_str()),
            (revision(3), "b")
        );
        let nothing = client.watch("k", changed.revision, wait).await.unwrap();
        assert_eq!((nothing.revision, nothing.objects.len()), (revision(3), 0));
    });
}

// Guards against injected faults that differ from those specified on the design page.
#[test]
fn put_faults() {
    with_platform(|process, client| async move {
        let put = async |value| client.put("k", "a", &value, Condition::Any).await;
        process.switch(json!({"outage": "refuse"})).await;
        assert!(matches!(put(1).await, Err(Error::Unavailable { .. })));
        for outage in ["cut", "hang"] {
            process.switch(json!({"outage": outage})).await;
            assert!(matches!(put(2).await, Err(Error::Unknown { .. })));
        }
        process
            .switch(json!({"outage": "none", "lose_answers": 1}))
            .await;
        assert!(client.get("k", "a").await.unwrap().is_none());
        assert!(matches!(put(3).await, Err(Error::Unknown { .. })));
        let object = client.get("k", "a").await.unwrap().unwrap();
        assert_eq!(object.value.get(), "3");
        put(4).await.unwrap();
        process.switch(json!({"stale_reads": true})).await;
        assert_eq!(
            client.get("k", "a").await.unwrap().unwrap().revision,
            object.revision
        );
        assert_eq!(process.count("lost_answers").await, 1);
    });
}

// Guards against a VM list that can't be updated by a test, and against unknown switches that are accepted.
#[test]
fn vms_states() {
    with_platform(|process, client| async move {
        assert!(client.leaving_vms().await.unwrap().is_empty());
        let (_, _, all) = process.call("GET /vms", "").await.unwrap();
        let all: serde_json::Value = serde_json::from_slice(&all).unwrap();
        assert_eq!(all[0]["state"], "live");
        let vms = json!([{"name": "vm1", "domain": "levis", "state": "leaving"}]);
        process.switch(json!({"vms": vms})).await;
        assert_eq!(client.leaving_vms().await.unwrap()[0].state, State::Leaving);
        let (status, _, _) = process
            .call("PUT /control", r#"{"outrage": 1}"#)
            .await
            .unwrap();
        assert_eq!(status, 400);
    });
}

// Guards against a simulated restore that keeps lost writes, keeps the era or gives out new revisions, and against a
// watch that goes on from a revision which the copy doesn't have.
#[test]
fn restart_from_copy() {
    with_platform(|process, client| async move {
        let put = async |name, value| client.put("k", name, &value, Condition::Any).await.unwrap();
        put("a", 1).await;
        compio::time::sleep(Duration::from_millis(1_500)).await;
        put("a", 2).await;
        assert_eq!(put("b", 1).await, Put::Accepted(revision(3)));
        process.switch(json!({"copy_age_ms": 1_000})).await;
        // The connection ends with the restart.
        let _ = process
            .call("POST /control/restart", r#"{"down_ms": 0}"#)
            .await;
        let listing = loop {
            compio::time::sleep(Duration::from_millis(50)).await;
            if let Ok(listing) = client.list("k").await {
                break listing;
            }
        };
        let names: Vec<(&str, &str)> = listing
            .objects
            .iter()
            .map(|object| (object.name.as_str(), object.value.get()))
            .collect();
        assert_eq!(
            (listing.revision, names),
            (Revision::new(1, 1), vec![("a", "1")])
        );
        let wait = Duration::from_millis(100);
        let gone = client.watch("k", Revision::new(1, 3), wait).await;
        assert!(matches!(gone, Err(Error::HistoryGone { .. })), "{gone:?}");
        assert_eq!(put("c", 1).await, Put::Accepted(Revision::new(1, 2)));
        // A further restart loses nothing.
        let _ = process
            .call("POST /control/restart", r#"{"down_ms": 0}"#)
            .await;
        compio::time::sleep(Duration::from_millis(300)).await;
        let listing = client.list("k").await.unwrap();
        assert_eq!(
            (listing.revision, listing.objects.len()),
            (Revision::new(1, 2), 2)
        );
    });
}
