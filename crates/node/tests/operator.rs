//! HTTP server of the operator port.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::http::{Body, Client, Request};
use node::operator::{Operator, serve};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

// Guards against an operator port without metrics or status, and against a health check that passes while the process
// is draining.
#[test]
fn operator_paths() {
    node::run("test", async {
        let mut registry = Registry::default();
        let counter: Counter = Counter::default();
        registry.register("drops", "Drops", counter.clone());
        counter.inc();
        let healthy = Rc::new(Cell::new(true));
        let operator = Operator {
            registry,
            status: || serde_json::json!({"revision": 7}),
            healthy: {
                let healthy = healthy.clone();
                move || healthy.get()
            },
        };
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let _server = compio::runtime::spawn(serve(listener, operator, std::future::pending()));
        let client = Client::new();
        let get = async |path: &str| {
            let request = Request::get(path).body(Body::empty()).unwrap();
            let deadline = Instant::now() + Duration::from_secs(1);
            let answer = client.send(address, request, deadline).await.unwrap();
            let status = answer.status().as_u16();
            let bytes = answer.into_body().collect(10_000).await.unwrap();
            (status, String::from_utf8(bytes.to_vec()).unwrap())
        };
        assert!(get("/metrics").await.1.contains("drops_total 1\n"));
        assert_eq!(get("/status").await, (200, r#"{"revision":7}"#.into()));
        assert_eq!(get("/healthz").await.0, 200);
        healthy.set(false);
        assert_eq!(get("/healthz").await.0, 503);
        assert_eq!(get("/other").await.0, 404);
    })
    .unwrap();
}
