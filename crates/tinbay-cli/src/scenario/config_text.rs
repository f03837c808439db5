//! TOML text of the configurations that scenarios apply.

use std::fmt::Write as _;

use super::params::{EngineParams, ServiceParams};

/// Priority classes in the configuration of every scenario.
pub const CLASSES: &str = r#"
[[class]]
name = "counter"
rank = 0
urgent = true
max_wait_ms = 4000

[[class]]
name = "batch"
rank = 50
max_wait_ms = 8000

[[class]]
name = "bid"
rank = 0
urgent = true
max_wait_ms = 4000
repeatable = false

"#;

/// Appends an engine.
pub fn write_engine(text: &mut String, name: &str, address: &str, params: &EngineParams) {
    // Writing to a string cannot fail.
    let _ = write!(
        text,
        "[[engine]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"{}\"\n\
         region = \"main\"\nbase_model = \"{}\"\nslots = {}\nbatch_limit = {}\n\
         checks_orders = {}\n\n",
        params.zone, params.base_model, params.slots, params.batch_limit, !params.unfenced,
    );
}

/// Appends an engine that exists only in the configuration, in a region without boxes.
pub fn write_distant_engine(text: &mut String, number: usize) {
    let _ = write!(
        text,
        "[[engine]]\nname = \"distant-{number}\"\naddress = \"127.0.0.1:1\"\nzone = \"far\"\n\
         region = \"far\"\nbase_model = \"base\"\nslots = 8\nbatch_limit = 8\n\
         checks_orders = true\n\n"
    );
}

/// Appends a plain service.
pub fn write_service(text: &mut String, name: &str, address: &str, params: &ServiceParams) {
    let _ = write!(
        text,
        "[[service]]\nname = \"{name}\"\naddresses = [\"{address}\"]\n\
         repeatable = {}\ntimeout_ms = {}\n\n",
        params.repeatable, params.timeout_ms,
    );
}

/// Appends an adapter with one version.
pub fn write_adapter(text: &mut String, number: usize) {
    let _ = write!(
        text,
        "[[adapter]]\nname = \"adapter-{number}\"\norganisation = \"organisation-{number}\"\n\
         base_model = \"base\"\n\n[[version]]\nadapter = \"adapter-{number}\"\nname = \"v1\"\n\
         weights = \"store://adapter-{number}/v1\"\n\n"
    );
}
