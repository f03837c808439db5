//! Typed and validated settings of a box.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::ArgMatches;
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_core::units::Millis;

use crate::error::NodeError;
use crate::logging::LogFormat;

/// Prefix of the environment variables for settings.
const VARIABLE_PREFIX: &str = "TINBAY_";

/// The validated settings of a box.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the box, unique in the fleet.
    pub box_id: BoxId,
    /// Availability zone in which the box runs.
    pub zone: ZoneId,
    /// Region of the zone; engines and request keys are shared within a region.
    pub region: String,
    /// Address to listen on for HTTP.
    pub listen: SocketAddr,
    /// Address to listen on for control messages.
    pub control_listen: SocketAddr,
    /// Address that others use for HTTP; `None` if it is the one listened on.
    pub advertise: Option<SocketAddr>,
    /// Address that other boxes use for control messages; `None` if it is the one listened on.
    pub control_advertise: Option<SocketAddr>,
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Address of the platform's list of boxes.
    pub box_list: SocketAddr,
    /// Token that operators must send; without one the administration interface is open.
    pub admin_token: Option<String>,
    /// Number of threads that serve requests.
    pub workers: usize,
    /// How long callers may cache a locate answer.
    pub locate_valid_ms: Millis,
    /// Maximum duration of a planned stop; requests still running then are cut off.
    pub stop_within_ms: Millis,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Time without heartbeats after which keepers declare a box dead.
    pub dead_after_ms: Millis,
}

/// A missing or invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// A required setting was not given.
    #[error("--{flag} is missing: {allowed}")]
    Missing {
        /// The flag without its dashes.
        flag: &'static str,
        /// Hint that says which values are allowed.
        allowed: &'static str,
    },
    /// The value could not be parsed or is not allowed.
    #[error("--{flag} is '{value}': {allowed}")]
    Invalid {
        /// The flag without its dashes.
        flag: &'static str,
        /// The value as given.
        value: String,
        /// Hint that says which values are allowed.
        allowed: &'static str,
    },
}

/// Hint for settings that take an address.
const ADDRESS: &str = "give an ip:port";

/// Hint for settings that take a name.
const NAME: &str = "give letters, digits, '.', '_' and '-'";

impl Options {
    /// Reads and validates the settings from the parsed command line.
    ///
    /// # Errors
    /// Returns [`NodeError::Settings`] with every missing or invalid setting.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, NodeError> {
        let mut reader = Reader {
            matches,
            errors: Vec::new(),
        };
        let options = reader.read();
        match (options, reader.errors.is_empty()) {
            (Some(options), true) => Ok(options),
            _ => Err(NodeError::Settings(reader.errors)),
        }
    }
}

/// Reads settings one by one and collects the errors.
struct Reader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

impl Reader<'_> {
    fn read(&mut self) -> Option<Options> {
        // All settings are read before any is unwrapped, so that one run reports all errors.
        let box_id = self.name("box-id");
        let zone = self.name("zone");
        let region = self.name("region");
        let listen = self.required("listen", ADDRESS);
        let control_listen = self.required("control-listen", ADDRESS);
        let advertise = self.optional("advertise", ADDRESS);
        let control_advertise = self.optional("control-advertise", ADDRESS);
        let kv = self.required("kv", ADDRESS);
        let box_list = self.required("box-list", ADDRESS);
        let workers = self.ranged("workers", 1, 64, "give 1 to 64");
        let locate_valid_ms = self.ranged("locate-valid-ms", 100, 10_000, "give 100 to 10000");
        let stop_within_ms =
            self.ranged("stop-within-ms", 1_000, 3_600_000, "give 1000 to 3600000");
        let max_body_bytes =
            self.ranged("max-body-bytes", 1_024, 67_108_864, "give 1024 to 67108864");
        let log_level = self.required("log-level", "give error, warn, info, debug or trace");
        let log_format = self.required("log-format", "give text or json");
        let dead_after_ms = self.ranged("dead-after-ms", 1_000, 60_000, "give 1000 to 60000");
        Some(Options {
            box_id: BoxId::new(box_id?),
            zone: ZoneId::new(zone?),
            region: region?,
            listen: listen?,
            control_listen: control_listen?,
            advertise,
            control_advertise,
            kv: kv?,
            box_list: box_list?,
            admin_token: self.text("admin-token"),
            workers: workers? as usize,
            locate_valid_ms: locate_valid_ms?,
            stop_within_ms: stop_within_ms?,
            max_body_bytes: max_body_bytes? as usize,
            log_level: log_level?,
            log_format: log_format?,
            dead_after_ms: dead_after_ms?,
        })
    }

    fn text(&self, flag: &'static str) -> Option<String> {
        self.matches.get_one::<String>(flag).cloned()
    }

    fn optional<T: FromStr>(&mut self, flag: &'static str, allowed: &'static str) -> Option<T> {
        let value = self.text(flag)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.invalid(flag, value, allowed);
        }
        parsed
    }

    fn required<T: FromStr>(&mut self, flag: &'static str, allowed: &'static str) -> Option<T> {
        if self.text(flag).is_none() {
            self.errors.push(SettingError::Missing { flag, allowed });
            return None;
        }
        self.optional(flag, allowed)
    }

    fn name(&mut self, flag: &'static str) -> Option<String> {
        let name: String = self.required(flag, NAME)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        if name.is_empty() || !name.chars().all(allowed) {
            self.invalid(flag, name, NAME);
            return None;
        }
        Some(name)
    }

    fn ranged(
        &mut self,
        flag: &'static str,
        min: u64,
        max: u64,
        allowed: &'static str,
    ) -> Option<u64> {
        let number: u64 = self.required(flag, allowed)?;
        if !(min..=max).contains(&number) {
            self.invalid(flag, number.to_string(), allowed);
            return None;
        }
        Some(number)
    }

    fn invalid(&mut self, flag: &'static str, value: String, allowed: &'static str) {
        self.errors.push(SettingError::Invalid {
            flag,
            value,
            allowed,
        });
    }
}

/// Returns the environment variables that have the settings' prefix and are no settings, probably
/// misspelt.
pub fn unknown_variables(command: &clap::Command) -> Vec<String> {
    let known: Vec<&str> = command
        .get_arguments()
        .filter_map(|arg| arg.get_env()?.to_str())
        .collect();
    std::env::vars_os()
        .filter_map(|(name, _)| name.into_string().ok())
        .filter(|name| name.starts_with(VARIABLE_PREFIX) && !known.contains(&name.as_str()))
        .collect()
}
