//! Switches, counts and journals of the stand-ins.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use node::http::Method;
use serde_json::{Value, json};

use crate::deployment::{Deployment, Error, Member, io_error};

impl Deployment {
    /// Changes the switches of a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in doesn't take the switches.
    pub async fn switch(&self, standin: &Member, switches: &Value) -> Result<Value, Error> {
        let text = switches.to_string();
        self.call(standin.operator, Method::PUT, "/control", Some(text))
            .await
    }

    /// Makes a stand-in end all connections, forget what it held in memory and open its port again after `down`.
    pub async fn crash(&self, standin: &Member, down: Duration) {
        let text = json!({ "down_ms": down.as_millis() as u64 }).to_string();
        // The order ends its own connection, so there is never an answer.
        let _ = self
            .call(
                standin.operator,
                Method::POST,
                "/control/restart",
                Some(text),
            )
            .await;
    }

    /// Returns a count of a stand-in; 0 when it has counted nothing of that name.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in gives no answer.
    pub async fn count(&self, standin: &Member, name: &str) -> Result<u64, Error> {
        let shown = self.get(standin.operator, "/control").await?;
        Ok(shown["counts"][name].as_u64().unwrap_or(0))
    }

    /// Returns how often each key or prompt started to run at `standins`, also before a kill.
    ///
    /// # Errors
    ///
    /// Fails when a stand-in's journal can't be read.
    pub fn runs(&self, standins: &[Member]) -> Result<BTreeMap<String, u64>, Error> {
        let mut runs = BTreeMap::new();
        for standin in standins {
            let path = journal(self.folder(), standin.process.name());
            let text = fs::read_to_string(path).map_err(io_error("reading a journal"))?;
            for line in text.lines() {
                *runs.entry(line.to_owned()).or_default() += 1;
            }
        }
        Ok(runs)
    }
}

/// Returns the path of the file in which the stand-in `name` lists its runs.
pub(crate) fn journal(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.journal"))
}
