//! Entry point of `tinbay-node`.

use std::process::ExitCode;

use clap::ArgMatches;
use tinbay_node::cli::build_cli;
use tinbay_node::error::NodeError;
use tinbay_node::logging::{self, part};
use tinbay_node::node;
use tinbay_node::options::{Options, unknown_variables};
use tinbay_platform::Platform;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tinbay-node: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), NodeError> {
    let matches = build_cli().get_matches();
    if let Some(platform) = Platform::detect() {
        return run_on_platform(&platform, &matches);
    }
    let options = Options::from_matches(&matches)?;
    logging::set_up(options.log_level, options.log_format)?;
    for name in unknown_variables(&build_cli()) {
        log::warn!(target: part::NODE, "{name} is not a setting and is ignored");
    }
    if matches.get_flag("check") {
        println!("settings are valid");
        return Ok(());
    }
    if matches.get_flag("print-settings") {
        let hidden = options.admin_token.as_ref().map(|_| "(hidden)".to_string());
        let shown = Options {
            admin_token: hidden,
            ..options
        };
        println!("{shown:#?}");
        return Ok(());
    }
    let node = node::start(options)?;
    println!(
        "listening {} control {}",
        node.address(),
        node.control_address()
    );
    node.run_until_signal();
    Ok(())
}

fn run_on_platform(platform: &Platform, matches: &ArgMatches) -> Result<(), NodeError> {
    if matches.get_flag("check") {
        tinbay_gateway::run::read_settings(platform)?;
        println!("settings are valid");
        return Ok(());
    }
    if matches.get_flag("print-settings") {
        println!("{:#?}", tinbay_gateway::run::read_settings(platform)?);
        return Ok(());
    }
    tinbay_gateway::events::set_up(log::LevelFilter::Info)?;
    Ok(tinbay_gateway::run::run(platform)?)
}
