//! The command against stand-ins and against a real entry.

mod support;

use node::http::{Body, Client, Request};
use serde_json::json;

use crate::support::{Entry, Standin, burn, metrics, until};

/// Guards against a report that an operator can't rely on: samples, restart, file, picture and exit code together.
#[test]
fn report_standin() {
    node::block_on(async {
        let texts = [(1.0, 1000, 0), (1.0, 1100, 50), (2.0, 40, 10)];
        let standin = Standin::start(texts.map(metrics).to_vec());
        let (file, picture) = (support::path("jsonl"), support::path("svg"));
        let address = standin.address.to_string();
        let rest = format!("--for=2s --every=1s --samples {file} --picture {picture}");
        let (code, report) = burn(&address, &address, &rest).await;
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

        // The same samples from the file, with an entry that no one listens for.
        let closed = loopback::unused_address().to_string();
        let rest = format!("--for=1s --every=1s --samples {file} --pair=5m/1h@1000");
        let (code, report) = burn(&address, &closed, &rest).await;
        assert_eq!(code, 4, "{report}");
        assert_eq!(report["unreached"][0]["entry"], closed);
        assert_eq!(report["unreached"][0]["failed"], 2);
        let period = &report["objectives"][0]["period"];
        assert_eq!(period["requests"], 200);
        assert_eq!(period["missing"], json!([closed]));
    })
    .unwrap();
}

/// Guards against a report that counts nothing of what a real entry shows, or counts it for the wrong side.
#[test]
fn report_real_entry() {
    node::block_on(async {
        let standin = Standin::start(Vec::new());
        let entry = Entry::start(standin.address);
        let client = Client::new();
        until("the catalogue", async || {
            let request = Request::get("/healthz").body(Body::empty()).unwrap();
            let answer = client.send(entry.operators, request, support::soon()).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
        let call = async |workspace: &str| {
            let request = Request::post("/v1/desk/x").header("carobport-workspace", workspace);
            let request = request.body(Body::from("{}")).unwrap();
            let answer = client.send(entry.callers, request, support::soon()).await;
            String::from(
                answer.unwrap().headers()["carobport-reason"]
                    .to_str()
                    .unwrap(),
            )
        };
        // Counters that the report's first sample already holds don't count.
        assert_eq!(call("clerks").await, "target");
        let (platform, operators) = (standin.address.to_string(), entry.operators.to_string());
        let file = support::path("jsonl");
        let rest = format!("--for=4s --every=1s --samples {file}");
        let load = async {
            let is_sampled = async || std::fs::read(&file).is_ok_and(|bytes| !bytes.is_empty());
            until("the first sample", is_sampled).await;
            for _ in 0..3 {
                assert_eq!(call("clerks").await, "target");
                assert_eq!(call("strangers").await, "workspace");
            }
            // The rate limit of the workspace lets one request a second pass.
            assert_eq!(call("limited").await, "target");
            assert_eq!(call("limited").await, "rate");
        };
        let report = burn(&platform, &operators, &rest);
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
