//! The fault matrix names tests that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const FAULTS: [&str; 10] = [
    "VM dies",
    "Link stalls",
    "Corrupted chunk",
    "Version changes in flight",
    "Platform down or slow",
    "Platform comes back from an older copy",
    "Store down or slow",
    "Answer lost after the write",
    "Lease expires while the holder is paused",
    "Operators race",
];
const STEPS: [&str; 8] = [
    "transfer",
    "activation",
    "request",
    "claim",
    "order",
    "configuration",
    "start",
    "stop",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns whether `name`, as `path::function`, is a test of the repository.
fn exists(name: &str) -> bool {
    let Some((path, function)) = name.rsplit_once("::") else {
        return false;
    };
    let Ok(text) = fs::read_to_string(root().join(path)) else {
        return false;
    };
    let Some(at) = text.find(&format!("fn {function}(")) else {
        return false;
    };
    let before: Vec<&str> = text[..at].lines().rev().collect();
    let end = before
        .iter()
        .position(|line| line.trim() == "}" || line.trim() == "};");
    let attributes = &before[..end.unwrap_or(before.len())];
    attributes.iter().any(|line| {
        let line = line.trim();
        line.starts_with("#[test]") || line.starts_with("#[parameterized") || line == "proptest! {"
    })
}

fn faults_of_cell(cell: &str) -> Option<String> {
    if cell.starts_with("can't happen: ") || cell.starts_with("not proved: ") {
        return None;
    }
    let names: Vec<&str> = cell.split('`').skip(1).step_by(2).collect();
    let missing: Vec<&str> = names.iter().copied().filter(|name| !exists(name)).collect();
    (names.is_empty() || !missing.is_empty()).then(|| format!("{cell:?}: missing {missing:?}"))
}

// Guards against a page that claims a proof by a test that was renamed or removed, and against a cell without a proof.
#[test]
fn matrix_names_existing_tests() {
    let page = fs::read_to_string(root().join("docs/FAULTS.md")).unwrap();
    let (mut section, mut cells, mut findings) = ("", BTreeSet::new(), Vec::new());
    let last = page.split("## Not proved").nth(1).unwrap();
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            section = title;
        }
        let row: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        let [row, cell] = row[..] else { continue };
        if !line.starts_with('|') || matches!(row, "step" | "invariant" | "combination" | "---") {
            continue;
        }
        cells.insert((section, row));
        findings.extend(faults_of_cell(cell).map(|found| format!("{section}, {row}: {found}")));
        if cell.starts_with("not proved") && !last.contains(&format!("- {section}, {row}:")) {
            findings.push(format!("{section}, {row} is not listed at the end"));
        }
    }
    for fault in FAULTS {
        let missing = STEPS
            .iter()
            .filter(|step| !cells.contains(&(fault, **step)));
        findings.extend(missing.map(|step| format!("{fault}, {step}: no cell")));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}
