//! Checks of the sample settings of entries.

use std::path::Path;

use entry::Settings;
use yare::parameterized;

/// Guards against sample settings that the entry rejects.
#[parameterized(
    regie = { "regie" },
    thornvale = { "thornvale" },
)]
fn settings_of_samples(deployment: &str) {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let path = samples.join(deployment).join("settings/entry.json");
    let loaded = node::settings::load::<Settings>(path);
    assert!(loaded.is_ok(), "{}", loaded.unwrap_err());
}
