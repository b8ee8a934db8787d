//! Tests of the weight store stand-in.

mod support;

use std::time::{Duration, Instant};

use node::http::{Body, Request};
use serde_json::json;
use support::{Process, Response};
use weights::Manifest;

fn with_store<F: Future<Output = ()>>(test: impl FnOnce(Process) -> F) {
    let model = json!({"name": "m", "version": "v1", "size": 300_000, "chunk_size": 100_000});
    let process = Process::start("store", json!({"models": [model]}));
    node::run("test", test(process)).unwrap();
}

/// Requests a range of the weights.
async fn get_range(store: &Process, range: &str) -> Response {
    let request = Request::get("/weights/m/v1/data").header("range", range);
    store
        .send(request.body(Body::empty()).unwrap())
        .await
        .unwrap()
}

// Guards against data that doesn't match the manifest.
#[test]
fn data_matches_manifest() {
    with_store(|store| async move {
        let (_, _, body) = store.call("GET /weights/m/v1/manifest", "").await.unwrap();
        let manifest: Manifest = serde_json::from_slice(&body).unwrap();
        manifest.check().unwrap();
        let (status, headers, chunk) = get_range(&store, "bytes=100000-199999").await;
        assert_eq!((status, chunk.len()), (206, 100_000));
        assert_eq!(headers["content-range"], "bytes 100000-199999/300000");
        assert!(manifest.verify(1, &chunk));
        let (status, _, whole) = store.call("GET /weights/m/v1/data", "").await.unwrap();
        assert_eq!((status, &whole[100_000..200_000]), (200, &chunk[..]));
        assert_eq!(get_range(&store, "bytes=300000-").await.0, 416);
        assert_eq!(store.count("bytes_drawn").await, 400_000);
    });
}

// Guards against a link that exceeds its configured rate, which would falsify measurements, and against faults that
// have no effect.
#[test]
fn data_rate_and_faults() {
    with_store(|store| async move {
        let (_, _, right) = get_range(&store, "bytes=0-99999").await;
        store
            .switch(json!({"bytes_per_s": 500_000, "corrupt": true}))
            .await;
        let start = Instant::now();
        let (one, two) = futures::join!(
            get_range(&store, "bytes=0-"),
            get_range(&store, "bytes=0-99999")
        );
        // 400 KB take 800 ms over a shared link of 500 KB/s.
        assert!(
            start.elapsed() > Duration::from_millis(700),
            "{:?}",
            start.elapsed()
        );
        assert!(
            start.elapsed() < Duration::from_millis(1500),
            "{:?}",
            start.elapsed()
        );
        assert_eq!(one.2.len(), 300_000);
        assert_ne!(two.2, right);
        store.switch(json!({"down": true})).await;
        assert_eq!(get_range(&store, "bytes=0-").await.0, 503);
    });
}
