//! Command-line definition of `tinbay-node`.

use clap::{Arg, ArgAction, Command};

/// Builds the command line. Every setting can also be given as an environment variable: the flag's
/// name in upper case with `TINBAY_` before it.
pub fn build_cli() -> Command {
    Command::new("tinbay-node")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one entry box of tinbay")
        .long_about(
            "Runs one entry box of tinbay. Every box runs this same program; boxes find each \
             other through the platform's list and share the work of routing callers' requests, \
             owning engines and handing on the configuration.\n\n\
             Each setting can be given as a flag or as an environment variable, the flag first. \
             All settings are checked before anything starts.",
        )
        .args(identity_args())
        .args(address_args())
        .args(platform_args())
        .args(behaviour_args())
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .action(ArgAction::SetTrue)
                .help("Print the settings in force and exit"),
        )
}

fn setting(name: &'static str, variable: &'static str) -> Arg {
    Arg::new(name).long(name).env(variable).value_name("VALUE")
}

fn identity_args() -> [Arg; 3] {
    [
        setting("box-id", "TINBAY_BOX_ID")
            .help("Name of this box, unique in the fleet")
            .long_help(
                "Name of this box, unique in the fleet. The platform's list knows the box by \
                 the same name. Letters, digits, '.', '_' and '-'.",
            ),
        setting("zone", "TINBAY_ZONE").help("Availability zone this box stands in"),
        setting("region", "TINBAY_REGION")
            .default_value("main")
            .help("Region of the zone; engines and request keys are shared within a region"),
    ]
}

fn address_args() -> [Arg; 4] {
    [
        setting("listen", "TINBAY_LISTEN")
            .default_value("127.0.0.1:0")
            .help("ip:port for callers, operators and other boxes (HTTP)"),
        setting("control-listen", "TINBAY_CONTROL_LISTEN")
            .default_value("127.0.0.1:0")
            .help("ip:port for control messages between boxes"),
        setting("advertise", "TINBAY_ADVERTISE")
            .help("ip:port that others use for --listen, where it differs"),
        setting("control-advertise", "TINBAY_CONTROL_ADVERTISE")
            .help("ip:port that others use for --control-listen, where it differs"),
    ]
}

fn platform_args() -> [Arg; 3] {
    [
        setting("kv", "TINBAY_KV").help("ip:port of the key-value service (etcd v3 JSON)"),
        setting("box-list", "TINBAY_BOX_LIST").help("ip:port of the platform's list of boxes"),
        setting("admin-token", "TINBAY_ADMIN_TOKEN")
            .hide_env_values(true)
            .help(
                "Token that operators must send; without one the administration interface is open",
            ),
    ]
}

fn behaviour_args() -> [Arg; 7] {
    [
        setting("workers", "TINBAY_WORKERS")
            .default_value("2")
            .help("Threads that serve requests, 1 to 64"),
        setting("locate-valid-ms", "TINBAY_LOCATE_VALID_MS")
            .default_value("2000")
            .help("How long callers may keep an answer of locate, 100 to 10000"),
        setting("stop-within-ms", "TINBAY_STOP_WITHIN_MS")
            .default_value("60000")
            .help("Longest planned stop; requests still running then are cut off, 1000 to 3600000"),
        setting("max-body-bytes", "TINBAY_MAX_BODY_BYTES")
            .default_value("1048576")
            .help("Longest request body, 1024 to 67108864"),
        setting("log-level", "TINBAY_LOG_LEVEL")
            .default_value("info")
            .help("error, warn, info, debug or trace"),
        setting("log-format", "TINBAY_LOG_FORMAT")
            .default_value("text")
            .help("text or json"),
        setting("dead-after-ms", "TINBAY_DEAD_AFTER_MS")
            .default_value("3000")
            .help("Silence after which keepers hold a box to be dead, 1000 to 60000"),
    ]
}
