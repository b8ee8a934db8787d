//! The catalogue of an experiment, put by the operators' own tool.

use std::fs;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::{
    Deployment, Error, MODEL, MODEL_SERVICE, PLAIN_SERVICE, WORKSPACE, io_error,
};

const POLL: Duration = Duration::from_millis(10);
/// Time within which a change must be in force everywhere, in seconds; the tool gives up after it.
const PUT_LIMIT_S: &str = "20";

impl Deployment {
    /// Puts classes, services and workspace, with the model at `version`.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't know the version or the operators' tool fails.
    pub async fn put_catalogue(&self, version: &str) -> Result<(), Error> {
        let class = |name: &str, rank: u8| {
            json!({
                "kind": "class", "name": name, "owner": "ops", "class": name, "rank": rank,
                "limits": {},
                "objective": {"answered": 0.999, "within_ms": 1100, "within": 0.95},
            })
        };
        let plain = json!({
            "kind": "service", "name": PLAIN_SERVICE, "owner": "bookings", "class": "urgent",
            "backend": "plain", "repeatable": false, "deadline_ms": 5000,
            "limits": {"per_target": 16, "queue": 256},
        });
        let workspace = json!({
            "kind": "workspace", "name": WORKSPACE, "owner": "league-office", "class": "urgent", "limits": {},
            "services": [MODEL_SERVICE, PLAIN_SERVICE],
        });
        let model = self.model_service(version).await?;
        let entries = [
            class("urgent", 0),
            class("batch", 2),
            plain,
            workspace,
            model,
        ];
        self.put(&entries).await
    }

    /// Puts the model's service entry with another version and waits until it is in force on every entry.
    ///
    /// # Errors
    ///
    /// Fails like [`Deployment::put_catalogue`].
    pub async fn put_version(&self, version: &str) -> Result<(), Error> {
        let entry = self.model_service(version).await?;
        self.put(&[entry]).await
    }

    /// Returns the digest of a version's manifest, as the catalogue names it.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no manifest.
    pub async fn digest(&self, version: &str) -> Result<String, Error> {
        let path = format!("/weights/{MODEL}/{version}/manifest");
        let shown = self.get(self.store.operator, &path).await?;
        let manifest: weights::Manifest =
            serde_json::from_value(shown).map_err(|error| Error::Answer {
                what: path,
                reason: error.to_string(),
            })?;
        Ok(manifest.digest().to_string())
    }

    /// Returns the model's service entry with the model at `version`.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't know the version.
    pub async fn model_service(&self, version: &str) -> Result<Value, Error> {
        Ok(json!({
            "kind": "service", "name": MODEL_SERVICE, "owner": "league-office", "class": "urgent",
            "backend": "model", "repeatable": true, "deadline_ms": 10_000,
            "limits": {"per_target": self.plan.engine_slots, "queue": 256},
            "model": {
                "name": MODEL, "version": version, "digest": self.digest(version).await?,
                "plan": self.plan.transfer,
            },
        }))
    }

    /// Writes `entries` to files and has `carobport-catalog put` write them to the platform.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the tool fails or takes too long.
    pub async fn put(&self, entries: &[Value]) -> Result<(), Error> {
        self.put_as("load", entries).await
    }

    /// Puts entries like [`Deployment::put`] under the name of an operator.
    ///
    /// # Errors
    ///
    /// Fails like [`Deployment::put`], also when another operator was first.
    pub async fn put_as(&self, author: &str, entries: &[Value]) -> Result<(), Error> {
        let folder = self.folder().join(format!("catalogue-{author}"));
        let log = self.folder().join(format!("put-{author}.log"));
        fs::create_dir_all(&folder).map_err(io_error("creating the catalogue's folder"))?;
        let mut command = Command::new(self.binary("carobport-catalog"));
        command.env_remove(node::log::LEVEL_VARIABLE);
        command.args(["put", "--author", author, "--timeout", PUT_LIMIT_S]);
        command
            .arg("--platform")
            .arg(self.platform_address().to_string());
        for entry in &self.entries {
            command.arg("--entry").arg(entry.operator.to_string());
        }
        for entry in entries {
            let name = format!("{}-{}.json", text(&entry["kind"]), text(&entry["name"]));
            let path = folder.join(name);
            fs::write(&path, format!("{entry:#}\n")).map_err(io_error("writing an entry"))?;
            command.arg(path);
        }
        let output = fs::File::create(&log);
        let output = output.map_err(io_error("creating the log of a put"))?;
        let errors = output
            .try_clone()
            .map_err(io_error("opening the log of a put"))?;
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let mut child = command
            .spawn()
            .map_err(io_error("starting carobport-catalog"))?;
        // The tool ends by itself at its time limit; polling leaves the event loop to the live requests.
        let status = loop {
            match child
                .try_wait()
                .map_err(io_error("waiting for carobport-catalog"))?
            {
                Some(status) => break status,
                None => compio::time::sleep(POLL).await,
            }
        };
        if status.success() {
            return Ok(());
        }
        let log = fs::read_to_string(&log).unwrap_or_default();
        Err(Error::Answer {
            what: "carobport-catalog put".into(),
            reason: format!("{status}: {}", log.trim()),
        })
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
