//! Loads the sample settings of agents.

use std::path::Path;

use agent::Settings;
use yare::parameterized;

/// Guards against sample settings that the agent rejects.
#[parameterized(
    regie_engine = { "regie/settings/agent-engine.json" },
    regie_plain = { "regie/settings/agent-plain.json" },
    thornvale_engine = { "thornvale/settings/agent-engine.json" },
    thornvale_plain = { "thornvale/settings/agent-plain.json" },
)]
fn settings_of_samples(file: &str) {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let loaded = node::settings::load::<Settings>(samples.join(file));
    assert!(loaded.is_ok(), "{}", loaded.unwrap_err());
}
