//! Tests of the command against a mock server and against a real entry.

mod support;

use node::http::{Body, Client, Request};
use serde_json::json;

use crate::support::{EntryProcess, MockServer, metrics_text, run_report, wait_until};

/// Guards against a report that miscounts across a restart, loses earlier samples, draws a picture without its
/// objectives, or exits with the wrong code.
#[test]
fn report_mock_server() {
    node::block_on(async {
        let texts = [(1.0, 1000, 0), (1.0, 1100, 50), (2.0, 40, 10)];
        let server = MockServer::start(texts.map(metrics_text).to_vec());
        let (file, picture) = (support::temp_path("jsonl"), support::temp_path("svg"));
        let address = server.address.to_string();
        let rest = format!("--for=2s --every=1s --samples {file} --picture {picture}");
        let (code, report) = run_report(&address, &address, &rest).await;
        assert_eq!(code, 3, "{report}");
        assert_eq!(report["restarts"], json!({ &address: 1 }));
        assert_eq!(report["unreached"], json!([]));
        let answered = &report["objectives"][0];
        let counted = ["class", "kind"].map(|name| &answered[name]);
        assert_eq!(counted, ["urgent", "answered"]);
        let counted = ["requests", "missed"].map(|name| &answered["period"][name]);
        assert_eq!(counted, [200, 60]);
        let drawn = std::fs::read_to_string(&picture).unwrap();
        assert!(drawn.contains("urgent within 1000 ms"), "{drawn}");
        assert_eq!(std::fs::read_to_string(&file).unwrap().lines().count(), 3);

        // Reads the same samples from the file and samples an address without a listener.
        let closed = loopback::unused_address().to_string();
        let rest = format!("--for=1s --every=1s --samples {file} --pair=5m/1h@1000");
        let (code, report) = run_report(&address, &closed, &rest).await;
        assert_eq!(code, 4, "{report}");
        assert_eq!(report["unreached"][0]["entry"], closed);
        assert_eq!(report["unreached"][0]["failed"], 2);
        let period = &report["objectives"][0]["period"];
        assert_eq!(period["requests"], 200);
        assert_eq!(period["missing"], json!([closed]));
    })
    .unwrap();
}

/// Guards against a report that ignores or misclassifies the metrics of a real entry.
#[test]
fn report_real_entry() {
    node::block_on(async {
        let server = MockServer::start(Vec::new());
        let entry = EntryProcess::start(server.address);
        let client = Client::new();
        wait_until("the catalogue", async || {
            let request = Request::get("/healthz").body(Body::empty()).unwrap();
            let response = client
                .send(entry.operator_address, request, support::deadline())
                .await;
            response.is_ok_and(|response| response.status() == 200)
        })
        .await;
        let call = async |workspace: &str| {
            let request = Request::post("/v1/desk/x").header("carobport-workspace", workspace);
            let request = request.body(Body::from("{}")).unwrap();
            let response = client
                .send(entry.caller_address, request, support::deadline())
                .await;
            String::from(
                response.unwrap().headers()["carobport-reason"]
                    .to_str()
                    .unwrap(),
            )
        };
        // Requests before the report's first sample are not counted.
        assert_eq!(call("clerks").await, "target");
        let (platform, operator_address) = (
            server.address.to_string(),
            entry.operator_address.to_string(),
        );
        let file = support::temp_path("jsonl");
        let rest = format!("--for=4s --every=1s --samples {file}");
        let load = async {
            let has_sample = async || std::fs::read(&file).is_ok_and(|bytes| !bytes.is_empty());
            wait_until("the first sample", has_sample).await;
            for _ in 0..3 {
                assert_eq!(call("clerks").await, "target");
                assert_eq!(call("strangers").await, "workspace");
            }
            // The workspace's rate limit allows one request per second.
            assert_eq!(call("limited").await, "target");
            assert_eq!(call("limited").await, "rate");
        };
        let report = run_report(&platform, &operator_address, &rest);
        let ((code, report), ()) = futures::future::join(report, load).await;
        assert_eq!(code, 3, "{report}");
        let urgent = json!({ "not-run/rate": 1, "not-run/target": 4 });
        assert_eq!(report["causes"]["urgent"], urgent, "{report}");
        let unknown = json!({ "not-run/workspace": 3 });
        assert_eq!(report["causes"]["unknown"], unknown);
        let period = &report["objectives"][0]["period"];
        assert_eq!(["requests", "missed"].map(|name| &period[name]), [4, 4]);
    })
    .unwrap();
}
