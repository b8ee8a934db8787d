//! Graceful shutdown and settings.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use crate::common::{Step, complete, summary, with_entry};

/// Guards against a planned stop that aborts a request, that the health check announces too late, or that closes the
/// port instead of telling callers to retry.
#[test]
fn shutdown_finishes_requests_in_progress() {
    with_entry(|fixture| async move {
        let go = Rc::new(Cell::new(false));
        let wait = Rc::clone(&go);
        fixture.agent("t0", "desk", 0, move |index| match index {
            0 => vec![Step::Wait(Rc::clone(&wait)), complete()],
            _ => vec![complete()],
        });
        let first = Rc::clone(&fixture);
        let first = compio::runtime::spawn(async move {
            let response = first.call("/v1/desk/x", &[]).await;
            response.into_body().collect(10).await.unwrap()
        });
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.operator("/healthz").await.0, 200);
        fixture.stop.take();
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.operator("/healthz").await.0, 503);
        let response = fixture.call("/v1/desk/x", &[]).await;
        assert_eq!(
            summary(&response).1,
            "answered",
            "the balancer still sends requests here"
        );
        compio::time::sleep(Duration::from_millis(250)).await;
        let response = fixture.call("/v1/desk/x", &[]).await;
        assert_eq!(
            summary(&response),
            (503, "not-run".into(), "draining".into(), true)
        );
        let (_, status) = fixture.operator("/status").await;
        assert!(status.contains(r#""in_progress":1"#), "{status}");
        go.set(true);
        assert_eq!(first.await.unwrap(), "whole");
    });
}

/// Guards against a planned stop that ends while a request is in progress and cuts it off without an outcome.
#[test]
fn shutdown_answers_unfinished_requests() {
    with_entry(|fixture| async move {
        let never = Rc::new(Cell::new(false));
        let patient = r#"{"kind":"service","name":"desk","owner":"o","class":"urgent","backend":"plain",
            "repeatable":true,"deadline_ms":20000}"#;
        let patient = serde_json::from_str(patient).unwrap();
        fixture.shared.put_catalog(99, patient);
        fixture.agent("t0", "desk", 0, move |_| {
            vec![Step::Wait(Rc::clone(&never))]
        });
        let unfinished = Rc::clone(&fixture);
        let unfinished = compio::runtime::spawn(async move {
            let response = unfinished
                .call("/v1/desk/x", &[("carobport-deadline-ms", "20000")])
                .await;
            summary(&response)
        });
        compio::time::sleep(Duration::from_millis(50)).await;
        fixture.stop.take();
        let outcome = unfinished.await.unwrap();
        assert_eq!(outcome, (504, "unknown".into(), "stopped".into(), false));
    });
}

/// Guards against invalid settings that are reported one at a time.
#[test]
fn settings_all_findings() {
    let text = r#"{"name":"","domain":"levis","caller_listen":"here","balancer_wait_ms":-1}"#;
    let findings = node::settings::parse::<entry::Settings>(text)
        .unwrap_err()
        .to_string();
    for pointer in [
        "/name",
        "/region",
        "/caller_listen",
        "/platform",
        "/balancer_wait_ms",
    ] {
        assert!(findings.contains(pointer), "{findings}");
    }
}

/// Guards against a process that ignores SIGTERM, exits before the balancer has noticed, or exits with a failure.
#[test]
fn process_stops_on_sigterm() {
    let ports: Vec<SocketAddr> = (0..3).map(|_| loopback::unused_address()).collect();
    let directory = std::env::temp_dir().join(format!("carobport-entry-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("settings.json");
    let text = format!(
        r#"{{"name":"e0","domain":"levis","region":"quebec","caller_listen":"{}","peer_listen":"{}",
        "operator_listen":"{}","platform":"127.0.0.1:1","balancer_wait_ms":600}}"#,
        ports[0], ports[1], ports[2]
    );
    std::fs::write(&file, text).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_carobport-entry"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::null())
        .env_remove(node::log::LEVEL_VARIABLE)
        .spawn()
        .unwrap();
    let up = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        status(ports[2]).is_some_and(|response| response.contains(r#""draining":false"#))
    });
    let term = Command::new("kill")
        .args(["-TERM", &process.id().to_string()])
        .status();
    std::thread::sleep(Duration::from_millis(200));
    let draining = status(ports[2]);
    let ended = (0..200).find_map(|_| {
        std::thread::sleep(Duration::from_millis(20));
        process.try_wait().unwrap()
    });
    if ended.is_none() {
        process.kill().unwrap();
    }
    std::fs::remove_dir_all(&directory).unwrap();
    assert!(up, "the process did not start");
    assert!(term.unwrap().success());
    assert!(draining.is_some_and(|response| response.contains(r#""draining":true"#)));
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

fn status(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = "GET /status HTTP/1.1\r\nhost: e0\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}
