//! Command lines of the programs.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::ValueHint;
use clap::builder::PossibleValuesParser;
use clap::builder::TypedValueParser;
use clap::value_parser;
use clap_complete::Shell;

use crate::log::LogFormat;

/// The action that the command line of a daemon selects.
#[derive(Clone, Debug)]
pub enum DaemonAction {
    /// Run the daemon.
    Run {
        /// The file with the process's own settings.
        config: PathBuf,
        /// The format of log lines.
        log_format: LogFormat,
    },
    /// Print the completions for a shell.
    Completions(Shell),
}

/// The action that the command line of the operators' program selects.
#[derive(Clone, Debug)]
pub enum OperatorAction {
    /// Review the settings in a folder.
    Check {
        /// The folder of settings.
        folder: PathBuf,
        /// The URL of the platform's object API if the folder is merged with the
        /// settings in the store, as by `apply`.
        store: Option<String>,
        /// The format of the report.
        format: ReportFormat,
    },
    /// Show the merged settings of a folder.
    Show(PathBuf),
    /// Show what differs between two versions of the settings.
    Diff {
        /// The version before.
        before: DiffBase,
        /// The folder of settings after.
        after: PathBuf,
        /// The format of the report.
        format: ReportFormat,
    },
    /// Write the settings in a folder to the store.
    Apply {
        /// The folder of settings.
        folder: PathBuf,
        /// The URL of the platform's object API.
        store: String,
    },
    /// Update a folder with the settings in the store.
    Fetch {
        /// The folder of settings.
        folder: PathBuf,
        /// The URL of the platform's object API.
        store: String,
    },
    /// Show the state of the agents.
    Status {
        /// The folder of settings, which define the upstreams.
        folder: PathBuf,
        /// The file of the site key.
        site_key: PathBuf,
        /// The format of the report.
        format: ReportFormat,
    },
    /// Drain an agent: it accepts no new tickets, returns the waiting ones to
    /// their entries, and its running requests end.
    Drain {
        /// The folder of settings, which define the upstreams.
        folder: PathBuf,
        /// The file of the site key.
        site_key: PathBuf,
        /// The upstream of the agent.
        upstream: String,
    },
    /// Report service-level burn.
    ReportBurn {
        /// The URLs of the admin servers of the entries.
        entries: Vec<String>,
        /// The format of the report.
        format: ReportFormat,
    },
    /// Show the steps of a request found in logs.
    Explain {
        /// The id of the request.
        id: String,
        /// The log files; standard input is read if this is empty.
        files: Vec<PathBuf>,
        /// The format of the report.
        format: ReportFormat,
    },
    /// Print the completions for a shell.
    Completions(Shell),
}

/// The version that settings are compared with.
#[derive(Clone, Debug)]
pub enum DiffBase {
    /// The settings in a folder.
    Folder(PathBuf),
    /// The settings in the store at this URL.
    Store(String),
}

/// The format of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportFormat {
    /// Text for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

/// Returns the command line of `almondramp-entry`.
pub fn entry_command() -> Command {
    daemon_command(
        "almondramp-entry",
        "Serves callers and schedules their requests",
    )
}

/// Returns the command line of `almondramp-agent`.
pub fn agent_command() -> Command {
    daemon_command(
        "almondramp-agent",
        "Runs beside an upstream and dispatches to it",
    )
}

/// Returns the command line of `almondramp`.
pub fn operator_command() -> Command {
    Command::new("almondramp")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks and shows the settings of almondramp")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Report every problem of a folder of settings, and what has no effect")
                .arg(folder_arg("folder"))
                .arg(store_arg().required(false))
                .arg(format_arg()),
        )
        .subcommand(
            Command::new("show")
                .about("Show merged settings, each value with the file that set it")
                .arg(folder_arg("folder")),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what a folder changes for callers, and the values that differ")
                .override_usage(
                    "almondramp diff BEFORE AFTER\n       almondramp diff DIR --store URL",
                )
                .arg(folder_arg("before"))
                .arg(
                    folder_arg("after")
                        .required(false)
                        .required_unless_present("store"),
                )
                .arg(store_arg().required(false).conflicts_with("after"))
                .arg(format_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Check a folder and write it to the store, merged with others' changes")
                .arg(folder_arg("folder"))
                .arg(store_arg()),
        )
        .subcommand(
            Command::new("fetch")
                .about("Bring the settings in the store into a folder")
                .arg(folder_arg("folder"))
                .arg(store_arg()),
        )
        .subcommand(
            Command::new("status")
                .about("Show the state of every agent")
                .arg(folder_arg("folder"))
                .arg(site_key_arg())
                .arg(format_arg()),
        )
        .subcommand(
            Command::new("drain")
                .about("Have an agent take no new work, and wait for its running work")
                .arg(
                    Arg::new("upstream")
                        .value_name("UPSTREAM")
                        .help("The upstream whose agent is drained")
                        .required(true),
                )
                .arg(folder_arg("folder"))
                .arg(site_key_arg()),
        )
        .subcommand(report_command())
        .subcommand(explain_command())
        .subcommand(
            Command::new("completions")
                .about("Print completions for a shell")
                .arg(shell_arg().required(true)),
        )
}

/// Returns the action that `matches` of a daemon's command line select.
pub fn daemon_action(matches: &ArgMatches) -> DaemonAction {
    if let Some(shell) = matches.get_one::<Shell>("completions") {
        return DaemonAction::Completions(*shell);
    }
    DaemonAction::Run {
        config: path(matches, "config"),
        log_format: matches
            .get_one::<LogFormat>("log-format")
            .copied()
            .unwrap_or_default(),
    }
}

/// Returns the action that `matches` of the operators' command line select;
/// `None` without a known subcommand.
pub fn operator_action(matches: &ArgMatches) -> Option<OperatorAction> {
    let (name, matches) = matches.subcommand()?;
    match name {
        "check" => Some(OperatorAction::Check {
            folder: path(matches, "folder"),
            store: matches.get_one::<String>("store").cloned(),
            format: format(matches),
        }),
        "show" => Some(OperatorAction::Show(path(matches, "folder"))),
        "diff" => Some(diff_action(matches)),
        "apply" => Some(OperatorAction::Apply {
            folder: path(matches, "folder"),
            store: text(matches, "store"),
        }),
        "fetch" => Some(OperatorAction::Fetch {
            folder: path(matches, "folder"),
            store: text(matches, "store"),
        }),
        "status" => Some(OperatorAction::Status {
            folder: path(matches, "folder"),
            site_key: path(matches, "site-key-file"),
            format: format(matches),
        }),
        "drain" => Some(OperatorAction::Drain {
            folder: path(matches, "folder"),
            site_key: path(matches, "site-key-file"),
            upstream: text(matches, "upstream"),
        }),
        "report" => report_action(matches),
        "explain" => {
            let files = matches.get_many::<PathBuf>("file").unwrap_or_default();
            Some(OperatorAction::Explain {
                id: text(matches, "id"),
                files: files.cloned().collect(),
                format: format(matches),
            })
        }
        "completions" => {
            let shell = matches.get_one::<Shell>("shell");
            shell.copied().map(OperatorAction::Completions)
        }
        _ => None,
    }
}

/// With a store, the only folder is the version after.
fn diff_action(matches: &ArgMatches) -> OperatorAction {
    let folder = path(matches, "before");
    let (before, after) = match matches.get_one::<String>("store") {
        Some(store) => (DiffBase::Store(store.clone()), folder),
        None => (DiffBase::Folder(folder), path(matches, "after")),
    };
    OperatorAction::Diff {
        before,
        after,
        format: format(matches),
    }
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Show the way of a request through the logs of several processes")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("The request's id, as its caller knows it")
                .required(true),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Logs in JSON lines [default: standard input]")
                .value_parser(value_parser!(PathBuf))
                .value_hint(ValueHint::FilePath)
                .action(ArgAction::Append),
        )
        .arg(format_arg())
}

fn report_command() -> Command {
    Command::new("report")
        .about("Report what the entries have counted")
        .subcommand_required(true)
        .subcommand(
            Command::new("burn")
                .about("Report service-level burn by tier and organisation")
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .short('e')
                        .value_name("URL")
                        .help("Where an entry serves its metrics; may be repeated")
                        .action(ArgAction::Append)
                        .required(true),
                )
                .arg(format_arg()),
        )
}

fn report_action(matches: &ArgMatches) -> Option<OperatorAction> {
    let (_, matches) = matches.subcommand()?;
    let entries = matches.get_many::<String>("entry").unwrap_or_default();
    Some(OperatorAction::ReportBurn {
        entries: entries.cloned().collect(),
        format: format(matches),
    })
}

fn report_format_parser() -> impl TypedValueParser<Value = ReportFormat> {
    PossibleValuesParser::new(["table", "json"]).map(|value| match value.as_str() {
        "json" => ReportFormat::Json,
        _ => ReportFormat::Table,
    })
}

fn daemon_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .help("The process's own settings, in TOML")
                .value_parser(value_parser!(PathBuf))
                .value_hint(ValueHint::FilePath)
                .required_unless_present("completions"),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .short('f')
                .value_name("FORMAT")
                .help("The form of log lines")
                .value_parser(log_format_parser())
                .default_value("text"),
        )
        .arg(
            Arg::new("completions")
                .long("completions")
                .value_name("SHELL")
                .help("Print completions for a shell and exit")
                .value_parser(value_parser!(Shell)),
        )
}

fn log_format_parser() -> impl TypedValueParser<Value = LogFormat> {
    PossibleValuesParser::new(["text", "json"]).map(|value| match value.as_str() {
        "json" => LogFormat::Json,
        _ => LogFormat::Text,
    })
}

fn folder_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("DIR")
        .help("A folder of TOML files")
        .value_parser(value_parser!(PathBuf))
        .value_hint(ValueHint::DirPath)
        .required(true)
}

fn store_arg() -> Arg {
    Arg::new("store")
        .long("store")
        .short('s')
        .value_name("URL")
        .help("The address of the platform's object API")
        .required(true)
}

fn site_key_arg() -> Arg {
    Arg::new("site-key-file")
        .long("site-key-file")
        .short('k')
        .value_name("FILE")
        .help("The file of the key shared by all processes of the site")
        .value_parser(value_parser!(PathBuf))
        .value_hint(ValueHint::FilePath)
        .required(true)
}

fn format_arg() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .help("The form of the report")
        .value_parser(report_format_parser())
        .default_value("table")
}

fn shell_arg() -> Arg {
    Arg::new("shell")
        .value_name("SHELL")
        .help("The shell")
        .value_parser(value_parser!(Shell))
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    let path = matches.get_one::<PathBuf>(name);
    path.cloned().unwrap_or_default()
}

fn text(matches: &ArgMatches, name: &str) -> String {
    let text = matches.get_one::<String>(name);
    text.cloned().unwrap_or_default()
}

fn format(matches: &ArgMatches) -> ReportFormat {
    let format = matches.get_one::<ReportFormat>("format");
    format.copied().unwrap_or_default()
}
