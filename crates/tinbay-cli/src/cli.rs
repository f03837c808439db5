//! The command line of `tinbay`.

use clap::{Arg, ArgAction, Command, ValueHint};

/// Exit codes, shown in the long help.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong use, 3 no box answered, \
     4 the box refused, 5 a check was not met (diff, apply --wait, demo, scenario).";

/// Builds the command line.
pub fn build_cli() -> Command {
    Command::new("tinbay")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates tinbay, the serving layer for very many LoRA adapters")
        .after_long_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands(config_commands())
        .subcommands(operate_commands())
        .subcommands(try_commands())
}

fn global_args() -> [Arg; 3] {
    [
        Arg::new("server")
            .long("server")
            .env("TINBAY_SERVER")
            .global(true)
            .value_name("IP:PORT")
            .value_delimiter(',')
            .default_value("127.0.0.1:8080")
            .help("Boxes to ask, the first that answers is used")
            .long_help("Boxes to ask, separated by commas; the first that answers is used."),
        Arg::new("admin-token")
            .long("admin-token")
            .env("TINBAY_ADMIN_TOKEN")
            .hide_env_values(true)
            .global(true)
            .value_name("TOKEN")
            .help("Token for the administration interface"),
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Print JSON for programs"),
    ]
}

fn file_arg() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .required(true)
        .value_name("FILE")
        .value_hint(ValueHint::FilePath)
}

fn files_arg() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .num_args(1..)
        .required(true)
        .value_hint(ValueHint::FilePath)
}

fn operator_arg() -> Arg {
    Arg::new("operator")
        .long("operator")
        .env("TINBAY_OPERATOR")
        .value_name("NAME")
        .default_value("operator")
        .help("Your name in the audit trail")
}

fn wait_arg() -> Arg {
    Arg::new("wait-ms")
        .long("wait-ms")
        .value_name("MS")
        .help("Wait until the change is in force on every box, this long at most")
}

fn config_commands() -> Vec<Command> {
    vec![
        Command::new("apply")
            .about("Write the objects of a TOML file")
            .long_about(
                "Write the objects of a TOML file. Each is checked in full first; up to 100 of \
                 them are written in one change, larger files in several.",
            )
            .arg(file_arg().help("TOML file with [[adapter]], [[version]], [[class]], [[policy]], [[engine]], [[service]] or [[weight_store]] tables"))
            .arg(Arg::new("change-id").long("change-id").value_name("ID").help(
                "Name of the change; asking again with the same name never makes it twice",
            ))
            .arg(operator_arg())
            .arg(wait_arg()),
        Command::new("get")
            .about("Show objects")
            .arg(Arg::new("kind").value_name("KIND").help("adapter, version, class, policy, engine, service or weight_store"))
            .arg(Arg::new("name").value_name("NAME")),
        Command::new("diff")
            .about("Show what apply would change; exit code 5 if anything")
            .arg(file_arg()),
        Command::new("delete")
            .about("Delete an object")
            .arg(Arg::new("object").value_name("KIND/NAME").required(true))
            .arg(operator_arg())
            .arg(wait_arg()),
        Command::new("policy")
            .about("Check or try a policy program")
            .subcommand_required(true)
            .subcommand(Command::new("check").about("Compile a program here").arg(program_arg()))
            .subcommand(Command::new("try").about("Compile a program at a box").arg(program_arg())),
    ]
}

fn program_arg() -> Arg {
    Arg::new("program")
        .value_name("FILE")
        .required(true)
        .value_hint(ValueHint::FilePath)
}

fn operate_commands() -> Vec<Command> {
    vec![
        Command::new("status").about("Show boxes, engines, owners and revisions in force"),
        Command::new("drain")
            .about("Make a box leave")
            .arg(Arg::new("box").value_name("BOX").required(true)),
        Command::new("audit").about("Show the audit trail").arg(
            Arg::new("change")
                .long("change")
                .value_name("ID")
                .help("Only this change"),
        ),
        Command::new("locate")
            .about("Ask which addresses a caller should use")
            .arg(Arg::new("model").value_name("ADAPTER@VERSION")),
        report_command(),
        Command::new("completions")
            .about("Print a shell completion script")
            .arg(
                Arg::new("shell")
                    .value_name("SHELL")
                    .required(true)
                    .help("bash, elvish, fish, powershell or zsh"),
            ),
    ]
}

fn report_command() -> Command {
    Command::new("report")
        .about("Sum up logs of boxes: requests in time, late, failed and refused, and by what")
        .long_about(
            "Sum up the request lines in logs of any number of boxes on the prepared platform: how \
             many were answered in time, late by their first piece, late by a pause, failed or \
             refused, by cause, service and route, client account, server, box and time, and where \
             their time went. A line may have the box's name before it; lines that can't be read \
             are counted and named. Each try of a caller is a request of its own. The time of a \
             request is that of its line, at its end, by the clock of its box.",
        )
        .after_help(
            "LATE_FIRST: the first piece came too late. LATE_PAUSE: a pause was too long. LATE_BOTH: \
             both. LATE_END: a plain answer began in time and ended late. UNJUDGED: the line does \
             not tell. BEFORE_SEND_MS, AT_SERVER_MS: mean time before the last send, and from there \
             to the first piece.",
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .num_args(1..)
                .default_value("-")
                .value_hint(ValueHint::FilePath)
                .help("Logs to read, - for standard input"),
        )
        .arg(
            Arg::new("worst")
                .long("worst")
                .value_name("N")
                .default_value("10")
                .help("Client accounts, servers and boxes to show, those with most requests not in time first"),
        )
        .arg(
            Arg::new("steps")
                .long("steps")
                .value_name("N")
                .default_value("60")
                .help("Most steps of time to show; they begin at one second and double as needed"),
        )
}

fn try_commands() -> Vec<Command> {
    vec![
        load_command(),
        Command::new("demo")
            .about("Run stand-ins and three boxes in this process and send sample requests")
            .arg(
                Arg::new("stay")
                    .long("stay")
                    .action(ArgAction::SetTrue)
                    .help("Stay up and print curl lines to try"),
            ),
        standin_command(),
        Command::new("experiment")
            .about("Compare ways of deciding on a workload, on virtual time")
            .long_about(
                "Run a workload file against the naive strategies and the core, on virtual time \
                 with fakes of engines and weight store, and compare. The policy stands beside \
                 the file with the ending .rhai. The same seeds give the same figures.",
            )
            .args_conflicts_with_subcommands(true)
            .subcommand_negates_reqs(true)
            .subcommand(limits_command())
            .arg(files_arg())
            .arg(
                Arg::new("judge")
                    .long("judge")
                    .action(ArgAction::SetTrue)
                    .help("Use the seeds kept aside for judging"),
            )
            .arg(
                Arg::new("skew")
                    .long("skew")
                    .value_name("EXPONENT")
                    .help("Zipf exponent of the popularity in place of the file's"),
            ),
        Command::new("scenario")
            .about("Run scripted scenarios against real processes")
            .subcommand_required(true)
            .subcommand(
                Command::new("run")
                    .about("Run scenario files and name the first broken promise of each")
                    .arg(files_arg())
                    .arg(
                        Arg::new("seed")
                            .long("seed")
                            .value_name("N")
                            .default_value("1")
                            .help("Seed of the scenario's random choices"),
                    )
                    .arg(
                        Arg::new("log-dir")
                            .long("log-dir")
                            .value_name("DIR")
                            .help("Write the whole log of each process to DIR/PROCESS.log"),
                    ),
            ),
    ]
}

fn load_command() -> Command {
    Command::new("load")
        .about("Send requests at a fixed rate and report stalls and latencies")
        .long_about(
            "Send requests at a fixed rate, whether or not earlier ones are answered, to adapters \
             of skewed popularity, and report load stall, first token and total time by class.",
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("PER-S")
                .default_value("20")
                .help("Requests a second, up to 5000"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("S")
                .default_value("5")
                .help("How long, up to 600"),
        )
        .arg(
            Arg::new("skew")
                .long("skew")
                .value_name("EXPONENT")
                .default_value("1.0")
                .help("Zipf exponent of the adapters' popularity"),
        )
        .arg(
            Arg::new("class")
                .long("class")
                .value_name("NAME=SHARE")
                .action(ArgAction::Append)
                .help("A class and its share of the requests; may be repeated"),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .value_name("N")
                .default_value("16"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1"),
        )
        .arg(
            Arg::new("verify")
                .long("verify")
                .action(ArgAction::SetTrue)
                .help("Compare each answer with what the engine stand-in must generate"),
        )
}

fn standin_command() -> Command {
    Command::new("standin")
        .about("Run a stand-in of the platform or a back end")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .required(true)
                .help("kv, engine, weights, service or boxes"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:0"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("N")
                .default_value("4")
                .help("engine: adapters at once"),
        )
        .arg(
            Arg::new("batch-limit")
                .long("batch-limit")
                .value_name("N")
                .default_value("8")
                .help("engine: requests at once"),
        )
        .arg(
            Arg::new("unfenced")
                .long("unfenced")
                .action(ArgAction::SetTrue)
                .help("engine: take every order"),
        )
        .arg(
            Arg::new("prefill-ms")
                .long("prefill-ms")
                .value_name("MS")
                .default_value("10")
                .help("engine: time before the first token"),
        )
        .arg(
            Arg::new("token-ms")
                .long("token-ms")
                .value_name("MS")
                .default_value("5")
                .help("engine: time between tokens"),
        )
        .arg(
            Arg::new("weight-store")
                .long("weight-store")
                .value_name("IP:PORT")
                .help("engine: where weights come from"),
        )
        .arg(
            Arg::new("loads-per-s")
                .long("loads-per-s")
                .value_name("N")
                .default_value("9")
                .help("weights: loads that may begin in a second"),
        )
        .arg(
            Arg::new("at-once")
                .long("at-once")
                .value_name("N")
                .default_value("6")
                .help("weights: loads at once at full speed"),
        )
        .arg(
            Arg::new("load-ms")
                .long("load-ms")
                .value_name("MS")
                .default_value("120")
                .help("weights, engine: time of a load"),
        )
}

fn limits_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .default_value(default)
            .help(help)
    };
    Command::new("limits")
        .about("Play limits of client accounts over many boxes, on virtual time")
        .long_about(
            "Play limits of client accounts over many boxes, on virtual time, with each way of \
             keeping them. One account asks many times its usual for a third of the run, and a \
             part of the boxes is killed in its middle. The same seed gives the same figures.",
        )
        .arg(number("boxes", "2200", "Boxes"))
        .arg(number("accounts", "10000", "Client accounts"))
        .arg(number(
            "requests-per-s",
            "120000",
            "Requests a second at the usual",
        ))
        .arg(number("seconds", "15", "Length of the run"))
        .arg(number(
            "hot",
            "6",
            "How many times its usual the hot account asks",
        ))
        .arg(number("killed", "0.5", "Part of the boxes that is killed"))
        .arg(number("seed", "1", "Seed of all random choices"))
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Draw the hot account second by second into an SVG file"),
        )
}
