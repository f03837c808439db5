//! Entry point of `tinbay-node`.

use std::process::ExitCode;

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
        return Ok(tinbay_gateway::run::run(&platform, log::LevelFilter::Info)?);
    }
    let options = Options::from_matches(&matches)?;
    logging::set_up(options.log_level, options.log_format)?;
    for name in unknown_variables(&build_cli()) {
        log::warn!(target: part::NODE, "{name} is no setting and is ignored");
    }
    if matches.get_flag("check") {
        println!("settings are valid");
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
