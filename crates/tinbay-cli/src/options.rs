//! The command line's options, typed and checked.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use clap::ArgMatches;
use clap_complete::Shell;
use tinbay_core::config::{ConfigKey, Kind};
use tinbay_core::ids::ModelRef;
use tinbay_core::units::Millis;
use tinbay_experiment::limits::SimulationParameters;
use tinbay_standin::engine::EngineSettings;
use tinbay_standin::weights::WeightStoreSettings;
use tinbay_standin::{Kind as StandinKind, StandinSettings};

use crate::error::CliError;

/// Everything the command line says.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where to ask and how to answer.
    pub common: CommonOptions,
    /// What to do.
    pub action: Action,
}

/// Options of every command.
#[derive(Debug, Clone)]
pub struct CommonOptions {
    /// Boxes to ask.
    pub servers: Vec<String>,
    /// Token for the administration interface.
    pub token: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Write objects.
    Apply(ApplyOptions),
    /// Show objects.
    Get {
        /// Only of this kind.
        kind: Option<Kind>,
        /// Only this one.
        name: Option<String>,
    },
    /// Compare objects.
    Diff {
        /// The file to compare with.
        file: String,
    },
    /// Delete an object.
    Delete(DeleteOptions),
    /// Compile a policy here.
    PolicyCheck {
        /// The program.
        file: String,
    },
    /// Compile a policy at a box.
    PolicyTry {
        /// The program.
        file: String,
    },
    /// Show the state of the fleet.
    Status,
    /// Make a box leave.
    Drain {
        /// The box.
        id: String,
    },
    /// Show the audit trail.
    Audit {
        /// Only this change.
        change: Option<String>,
    },
    /// Ask which addresses to use.
    Locate {
        /// For this model.
        model: Option<ModelRef>,
    },
    /// Print a completion script.
    Completions {
        /// For this shell.
        shell: Shell,
    },
    /// Send load.
    Load(LoadOptions),
    /// Show the whole path.
    Demo {
        /// Whether to stay up.
        stay: bool,
    },
    /// Run a stand-in.
    Standin(StandinOptions),
    /// Compare ways of deciding.
    Experiment(ExperimentOptions),
    /// Compare ways of keeping limits.
    Limits(LimitsOptions),
    /// Sum up logs.
    Report(ReportOptions),
    /// Run scenarios.
    Scenario {
        /// The files.
        files: Vec<String>,
        /// Seed of random choices.
        seed: u64,
        /// Directory for the logs of all processes.
        log_dir: Option<PathBuf>,
    },
}

/// Options of `apply`.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    /// The file.
    pub file: String,
    /// Name of the change.
    pub change_id: Option<String>,
    /// Who makes it.
    pub operator: String,
    /// How long to wait until it is in force everywhere.
    pub wait_ms: Option<Millis>,
}

/// Options of `delete`.
#[derive(Debug, Clone)]
pub struct DeleteOptions {
    /// The object.
    pub key: ConfigKey,
    /// Who deletes it.
    pub operator: String,
    /// How long to wait until it is in force everywhere.
    pub wait_ms: Option<Millis>,
}

/// Options of `load`.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long.
    pub seconds: u64,
    /// Zipf exponent of the adapters' popularity.
    pub skew: f64,
    /// Classes and their shares; empty for requests that name none.
    pub classes: Vec<ClassShare>,
    /// Tokens of each answer.
    pub max_tokens: u32,
    /// Seed of random choices.
    pub seed: u64,
    /// Whether to check each answer's text.
    pub verify: bool,
}

/// A class and its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassShare {
    /// The class.
    pub name: String,
    /// Its weight among the others.
    pub share: f64,
}

/// Options of `experiment`.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Workload files.
    pub files: Vec<String>,
    /// Whether to use the seeds kept aside for judging.
    pub judge: bool,
    /// Zipf exponent in place of the file's.
    pub skew: Option<f64>,
}

/// Options of `experiment limits`.
#[derive(Debug, Clone)]
pub struct LimitsOptions {
    /// What is played.
    pub terms: SimulationParameters,
    /// File for the plot.
    pub plot: Option<String>,
}

/// Options of `report`.
#[derive(Debug, Clone)]
pub struct ReportOptions {
    /// What is read.
    pub logs: Vec<LogSource>,
    /// Client accounts, servers and boxes that are shown.
    pub worst: usize,
    /// Most steps that time is told in.
    pub most_steps: usize,
}

/// Where a log comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogSource {
    /// Standard input.
    StandardInput,
    /// A file.
    File(String),
}

impl fmt::Display for LogSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogSource::StandardInput => f.write_str("standard input"),
            LogSource::File(path) => f.write_str(path),
        }
    }
}

/// Options of `standin`.
#[derive(Debug, Clone)]
pub struct StandinOptions {
    /// Which one.
    pub kind: StandinKind,
    /// Where it listens.
    pub listen: SocketAddr,
    /// How it behaves.
    pub settings: StandinSettings,
}

/// The reason a value is refused where a whole number is due.
const WHOLE_NUMBER: &str = "give a whole number";

impl Options {
    /// Turns matches into options.
    ///
    /// # Errors
    /// [`CliError::Option`] for the first value that is not allowed.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, CliError> {
        let servers = matches.get_many::<String>("server");
        let common = CommonOptions {
            servers: servers.into_iter().flatten().cloned().collect(),
            token: text(matches, "admin-token"),
            json: matches.get_flag("json"),
        };
        Ok(Self {
            common,
            action: read_action(matches)?,
        })
    }
}

fn read_action(matches: &ArgMatches) -> Result<Action, CliError> {
    let Some((name, sub)) = matches.subcommand() else {
        return Ok(Action::Status);
    };
    Ok(match name {
        "apply" => Action::Apply(ApplyOptions {
            file: required(sub, "file"),
            change_id: text(sub, "change-id"),
            operator: required(sub, "operator"),
            wait_ms: optional(sub, "wait-ms", WHOLE_NUMBER)?,
        }),
        "get" => Action::Get {
            kind: optional(sub, "kind", "give a kind as the help lists them")?,
            name: text(sub, "name"),
        },
        "diff" => Action::Diff {
            file: required(sub, "file"),
        },
        "delete" => Action::Delete(DeleteOptions {
            key: parsed(sub, "object", "give kind/name")?,
            operator: required(sub, "operator"),
            wait_ms: optional(sub, "wait-ms", WHOLE_NUMBER)?,
        }),
        "policy" => read_policy(sub),
        "drain" => Action::Drain {
            id: required(sub, "box"),
        },
        "audit" => Action::Audit {
            change: text(sub, "change"),
        },
        "locate" => Action::Locate {
            model: optional(sub, "model", "give adapter@version")?,
        },
        "completions" => Action::Completions {
            shell: parsed(sub, "shell", "give bash, elvish, fish, powershell or zsh")?,
        },
        "load" => Action::Load(read_load(sub)?),
        "demo" => Action::Demo {
            stay: sub.get_flag("stay"),
        },
        "standin" => Action::Standin(read_standin(sub)?),
        "experiment" if sub.subcommand_matches("limits").is_some() => read_limits(sub)?,
        "experiment" => Action::Experiment(ExperimentOptions {
            files: sub
                .get_many::<String>("files")
                .into_iter()
                .flatten()
                .cloned()
                .collect(),
            judge: sub.get_flag("judge"),
            skew: optional(sub, "skew", "give a number")?,
        }),
        "report" => Action::Report(read_report(sub)?),
        "scenario" => read_scenario(sub)?,
        _ => Action::Status,
    })
}

fn read_limits(matches: &ArgMatches) -> Result<Action, CliError> {
    let Some(sub) = matches.subcommand_matches("limits") else {
        return Ok(Action::Status);
    };
    let part = |name, most| ranged(sub, name, 0.0, most, "give a number that is not below 0");
    Ok(Action::Limits(LimitsOptions {
        terms: SimulationParameters {
            boxes: ranged(sub, "boxes", 1, 100_000, "give 1 to 100000")?,
            accounts: ranged(sub, "accounts", 2, 1_000_000, "give 2 to 1000000")?,
            requests_per_s: ranged(sub, "requests-per-s", 1.0, 1e7, "give 1 to 10000000")?,
            seconds: ranged(sub, "seconds", 3, 3_600, "give 3 to 3600")?,
            hot: part("hot", 1_000.0)?,
            killed: ranged(sub, "killed", 0.0, 1.0, "give 0 to 1")?,
            seed: ranged(sub, "seed", 0, u64::MAX, WHOLE_NUMBER)?,
        },
        plot: sub.get_one::<String>("plot").cloned(),
    }))
}

fn read_policy(matches: &ArgMatches) -> Action {
    match matches.subcommand() {
        Some(("try", sub)) => Action::PolicyTry {
            file: required(sub, "program"),
        },
        Some((_, sub)) => Action::PolicyCheck {
            file: required(sub, "program"),
        },
        None => Action::Status,
    }
}

fn read_load(matches: &ArgMatches) -> Result<LoadOptions, CliError> {
    let shares = matches.get_many::<String>("class").into_iter().flatten();
    Ok(LoadOptions {
        rate_per_s: ranged(matches, "rate", 0.1, 5_000.0, "give 0.1 to 5000")?,
        seconds: ranged(matches, "seconds", 1, 600, "give 1 to 600")?,
        skew: ranged(matches, "skew", 0.0, 5.0, "give 0 to 5")?,
        classes: shares
            .map(|text| read_share(text))
            .collect::<Result<_, _>>()?,
        max_tokens: ranged(matches, "max-tokens", 1, 100_000, "give 1 to 100000")?,
        seed: parsed(matches, "seed", WHOLE_NUMBER)?,
        verify: matches.get_flag("verify"),
    })
}

fn read_share(text: &str) -> Result<ClassShare, CliError> {
    let refused = || CliError::Option {
        option: "class",
        value: text.to_owned(),
        allowed: "give name=share with a share above 0",
    };
    let (name, share) = text.split_once('=').ok_or_else(refused)?;
    let share: f64 = share.parse().map_err(|_| refused())?;
    if name.is_empty() || !(share.is_finite() && share > 0.0) {
        return Err(refused());
    }
    Ok(ClassShare {
        name: name.to_owned(),
        share,
    })
}

fn read_standin(matches: &ArgMatches) -> Result<StandinOptions, CliError> {
    let kind_text = required(matches, "kind");
    let kind = StandinKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == kind_text)
        .ok_or(CliError::Option {
            option: "kind",
            value: kind_text,
            allowed: "give kv, engine, weights, service or boxes",
        })?;
    let load_ms = parsed(matches, "load-ms", WHOLE_NUMBER)?;
    Ok(StandinOptions {
        kind,
        listen: parsed(matches, "listen", "give an ip:port")?,
        settings: StandinSettings {
            engine: EngineSettings {
                slots: parsed(matches, "slots", WHOLE_NUMBER)?,
                batch_limit: parsed(matches, "batch-limit", WHOLE_NUMBER)?,
                checks_orders: !matches.get_flag("unfenced"),
                prefill_ms: parsed(matches, "prefill-ms", WHOLE_NUMBER)?,
                token_ms: parsed(matches, "token-ms", WHOLE_NUMBER)?,
                load_ms,
                weight_store: text(matches, "weight-store"),
            },
            weights: WeightStoreSettings {
                loads_per_s: ranged(
                    matches,
                    "loads-per-s",
                    0.01,
                    100_000.0,
                    "give a number above 0",
                )?,
                at_once: ranged(matches, "at-once", 1, 100_000, "give at least 1")?,
                load_ms,
            },
        },
    })
}

/// Name of a log that stands for standard input.
const STANDARD_INPUT: &str = "-";

fn read_report(matches: &ArgMatches) -> Result<ReportOptions, CliError> {
    let logs = matches.get_many::<String>("logs").into_iter().flatten();
    let logs: Vec<LogSource> = logs.map(|log| read_log_source(log)).collect();
    let from_input = logs
        .iter()
        .filter(|log| **log == LogSource::StandardInput)
        .count();
    if from_input > 1 {
        return Err(CliError::Option {
            option: "logs",
            value: STANDARD_INPUT.to_owned(),
            allowed: "standard input can be read once",
        });
    }
    Ok(ReportOptions {
        logs,
        worst: ranged(matches, "worst", 1, 1_000, "give 1 to 1000")?,
        most_steps: ranged(matches, "steps", 1, 3_600, "give 1 to 3600")?,
    })
}

fn read_log_source(log: &str) -> LogSource {
    match log {
        STANDARD_INPUT => LogSource::StandardInput,
        path => LogSource::File(path.to_owned()),
    }
}

fn read_scenario(matches: &ArgMatches) -> Result<Action, CliError> {
    let Some((_, sub)) = matches.subcommand() else {
        return Ok(Action::Status);
    };
    let files = sub.get_many::<String>("files");
    Ok(Action::Scenario {
        files: files.into_iter().flatten().cloned().collect(),
        seed: parsed(sub, "seed", WHOLE_NUMBER)?,
        log_dir: text(sub, "log-dir").map(PathBuf::from),
    })
}

fn text(matches: &ArgMatches, option: &str) -> Option<String> {
    matches.get_one::<String>(option).cloned()
}

/// The text of an option that clap has made sure is there.
fn required(matches: &ArgMatches, option: &str) -> String {
    text(matches, option).unwrap_or_default()
}

fn parsed<T: FromStr>(
    matches: &ArgMatches,
    option: &'static str,
    allowed: &'static str,
) -> Result<T, CliError> {
    let value = required(matches, option);
    value.parse().map_err(|_| CliError::Option {
        option,
        value,
        allowed,
    })
}

fn optional<T: FromStr>(
    matches: &ArgMatches,
    option: &'static str,
    allowed: &'static str,
) -> Result<Option<T>, CliError> {
    match text(matches, option) {
        Some(_) => parsed(matches, option, allowed).map(Some),
        None => Ok(None),
    }
}

fn ranged<T: FromStr + PartialOrd>(
    matches: &ArgMatches,
    option: &'static str,
    least: T,
    most: T,
    allowed: &'static str,
) -> Result<T, CliError> {
    let number: T = parsed(matches, option, allowed)?;
    if number < least || number > most {
        return Err(CliError::Option {
            option,
            value: required(matches, option),
            allowed,
        });
    }
    Ok(number)
}
