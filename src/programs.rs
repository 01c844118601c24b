//! The programs, as called by their `main` functions.

use std::future::Future;
use std::io;

use clap::Command;
use clap_complete::Shell;
use eyre::Report;
use slog::Logger;

use crate::agent;
use crate::apply::ApplyError;
use crate::cli;
use crate::cli::DaemonAction;
use crate::cli::OperatorAction;
use crate::config::AgentConfig;
use crate::config::ConfigError;
use crate::config::EntryConfig;
use crate::daemon::DaemonError;
use crate::entry;
use crate::exit_codes::ExitCode;
use crate::log::new_logger;
use crate::operator;
use crate::settings::SettingsError;

/// The prefix of each line of an error on standard error.
const ERROR_PREFIX: &str = "[almondramp error]";

/// Runs `almondramp-entry` with the command line `args`.
pub fn entry(args: &[String]) -> ExitCode {
    exit_code(run_daemon(cli::entry_command(), args, |config, format| {
        let config = EntryConfig::read(config)?;
        let log = new_logger(format, &config.name);
        run_system(entry::run(config, log.clone()), &log)
    }))
}

/// Runs `almondramp-agent` with the command line `args`.
pub fn agent(args: &[String]) -> ExitCode {
    exit_code(run_daemon(cli::agent_command(), args, |config, format| {
        let config = AgentConfig::read(config)?;
        let log = new_logger(format, &config.name);
        run_system(agent::run(config, log.clone()), &log)
    }))
}

/// Runs `almondramp`, the operators' program, with the command line `args`.
pub fn operator(args: &[String]) -> ExitCode {
    let matches = cli::operator_command().get_matches_from(args);
    let Some(action) = cli::operator_action(&matches) else {
        return ExitCode::Invalid;
    };
    exit_code(match action {
        OperatorAction::Completions(shell) => print_completions(cli::operator_command(), shell),
        action => operator::run(action),
    })
}

fn run_daemon<F>(command: Command, args: &[String], run: F) -> Result<ExitCode, Report>
where
    F: FnOnce(&std::path::Path, crate::log::LogFormat) -> Result<ExitCode, Report>,
{
    let matches = command.clone().get_matches_from(args);
    match cli::daemon_action(&matches) {
        DaemonAction::Completions(shell) => print_completions(command, shell),
        DaemonAction::Run { config, log_format } => run(&config, log_format),
    }
}

fn run_system<F>(daemon: F, log: &Logger) -> Result<ExitCode, Report>
where
    F: Future<Output = Result<(), DaemonError>>,
{
    match actix_rt::System::new().block_on(daemon) {
        Ok(()) => Ok(ExitCode::Success),
        Err(e) => {
            slog::error!(log, "stopped with an error"; "error" => %e);
            Err(e.into())
        }
    }
}

fn print_completions(mut command: Command, shell: Shell) -> Result<ExitCode, Report> {
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut io::stdout());
    Ok(ExitCode::Success)
}

/// Prints the error, if any, and returns the exit code.
fn exit_code(result: Result<ExitCode, Report>) -> ExitCode {
    let e = match result {
        Ok(code) => return code,
        Err(e) => e,
    };
    let causes: Vec<String> = e.chain().map(ToString::to_string).collect();
    for line in causes.join(": ").lines() {
        eprintln!("{ERROR_PREFIX}: {line}");
    }
    let invalid = e.is::<ConfigError>() || e.is::<SettingsError>();
    let conflict = matches!(e.downcast_ref(), Some(ApplyError::Conflict(_)));
    match (invalid, conflict) {
        (true, _) => ExitCode::Invalid,
        (_, true) => ExitCode::Conflict,
        (false, false) => ExitCode::Failure,
    }
}
