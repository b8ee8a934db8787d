//! Reads and checks entry files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{fs, io};

use catalog::{CheckResult, SourceFile, check};

/// Names and contents of files.
pub type Files = Vec<(String, String)>;

/// A file or directory that can't be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("can't read {path}: {source}")]
pub struct Error {
    path: String,
    source: io::Error,
}

/// Reads the given files and, of directories, the `*.json` files sorted by path.
///
/// # Errors
///
/// Returns the first path that can't be read. A directory without such files is an error too, because a wrong path must
/// not pass as checked.
pub fn read(paths: &[PathBuf]) -> Result<Files, Error> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let found = json_files(path).map_err(|source| error(path, source))?;
            if found.is_empty() {
                let source = io::Error::other("the directory holds no file *.json");
                return Err(error(path, source));
            }
            for path in found {
                files.push(read_file(&path)?);
            }
        } else {
            files.push(read_file(path)?);
        }
    }
    Ok(files)
}

/// Checks files as one set.
pub fn check_all(files: &Files, targets: &BTreeMap<String, u32>) -> CheckResult {
    let sources: Vec<SourceFile<'_>> = files
        .iter()
        .map(|(file, text)| SourceFile { file, text })
        .collect();
    check(&sources, targets)
}

fn json_files(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn read_file(path: &Path) -> Result<(String, String), Error> {
    let text = fs::read_to_string(path).map_err(|source| error(path, source))?;
    Ok((path.display().to_string(), text))
}

fn error(path: &Path, source: io::Error) -> Error {
    Error {
        path: path.display().to_string(),
        source,
    }
}
