//! Starts the daemons as separate processes and interferes with them.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Runs a daemon in place of the calling program if its first argument names
/// one; see `Launcher::Itself`. Call this first in `main`.
pub fn run_daemon_if_asked() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("entry") => almondramp::programs::entry(&args),
        Some("agent") => almondramp::programs::agent(&args),
        _ => return,
    };
    std::process::exit(code as i32);
}

/// How the daemons are started.
#[derive(Clone, Debug)]
pub enum Launcher {
    /// By their built programs.
    Programs {
        /// `almondramp-entry`.
        entry: PathBuf,
        /// `almondramp-agent`.
        agent: PathBuf,
    },
    /// By the running program itself, with the name of the daemon as its
    /// first argument.
    Itself,
}

/// A daemon in a process of its own. It is killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Launcher {
    /// Starts an entry with the settings in `config`.
    pub fn entry(&self, config: &Path) -> Process {
        Process::spawn(self.command("entry"), config)
    }

    /// Starts an agent with the settings in `config`.
    pub fn agent(&self, config: &Path) -> Process {
        Process::spawn(self.command("agent"), config)
    }

    fn command(&self, daemon: &str) -> Command {
        match self {
            Self::Programs { entry, .. } if daemon == "entry" => Command::new(entry),
            Self::Programs { agent, .. } => Command::new(agent),
            Self::Itself => {
                let itself = std::env::current_exe().expect("the running program has a path");
                let mut command = Command::new(itself);
                command.arg(daemon);
                command
            }
        }
    }
}

impl Process {
    fn spawn(mut command: Command, config: &Path) -> Self {
        let log = config.with_extension("log");
        let out = File::options().create(true).append(true).open(&log);
        let child = command
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out.expect("the log can be written"))
            .spawn();
        Self {
            child: child.expect("the daemon starts"),
            log,
        }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it from running until it is woken.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it run again.
    pub fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the daemon can be waited for")
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id is positive");
        let _ = kill(Pid::from_raw(pid), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
