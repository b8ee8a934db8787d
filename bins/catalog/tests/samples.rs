//! The sample catalogues.

use std::path::Path;
use std::process::Command;

use yare::parameterized;

/// Guards against findings in the sample catalogues.
#[parameterized(
    regie = { "regie" },
    thornvale = { "thornvale" },
)]
fn check_samples(deployment: &str) {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let output = Command::new(env!("CARGO_BIN_EXE_carobport-catalog"))
        .arg("check")
        .env_remove(node::log::LEVEL_VARIABLE)
        .arg(samples.join(deployment).join("catalog"))
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
