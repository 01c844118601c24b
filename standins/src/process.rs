//! Starts daemons as separate processes and sends them signals.

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

/// Runs a daemon and exits if the first argument of the program names one; see
/// `Launcher::CurrentExe`. Must be called first in `main`.
pub fn run_daemon_if_requested() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("entry") => almondramp::programs::entry(&args),
        Some("agent") => almondramp::programs::agent(&args),
        _ => return,
    };
    std::process::exit(code as i32);
}

/// Selects the executable of the daemons.
#[derive(Clone, Debug)]
pub enum Launcher {
    /// Separate programs.
    Programs {
        /// Path of `almondramp-entry`.
        entry: PathBuf,
        /// Path of `almondramp-agent`.
        agent: PathBuf,
    },
    /// The running program, with the name of the daemon as its first argument.
    CurrentExe,
}

/// A daemon in a separate process, which is killed on drop.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Launcher {
    /// Starts an entry with the configuration file `config`.
    pub fn entry(&self, config: &Path) -> Process {
        Process::spawn(self.command("entry"), config)
    }

    /// Starts an agent with the configuration file `config`.
    pub fn agent(&self, config: &Path) -> Process {
        Process::spawn(self.command("agent"), config)
    }

    fn command(&self, daemon: &str) -> Command {
        match self {
            Self::Programs { entry, .. } if daemon == "entry" => Command::new(entry),
            Self::Programs { agent, .. } => Command::new(agent),
            Self::CurrentExe => {
                let current_exe = std::env::current_exe().expect("the running program has a path");
                let mut command = Command::new(current_exe);
                command.arg(daemon);
                command
            }
        }
    }
}

impl Process {
    fn spawn(mut command: Command, config: &Path) -> Self {
        let log = config.with_extension("log");
        command
            .arg("--config")
            .arg(config)
            .stdout(Stdio::null())
            .stderr(open_log(&log));
        Self::start(command, log)
    }

    /// Starts `command`, which logs on its standard output to the file `log`.
    pub fn start_logging_to_stdout(mut command: Command, log: &Path) -> Self {
        command.stdout(open_log(log));
        Self::start(command, log.to_owned())
    }

    fn start(mut command: Command, log: PathBuf) -> Self {
        let child = command.stdin(Stdio::null()).spawn();
        Self {
            child: child.expect("the daemon starts"),
            log,
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the contents of the log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the most memory that the process has had resident, in bytes; `None` if it
    /// has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.id());
        let status = std::fs::read_to_string(path).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Returns the number of descriptors that the process has open; `None` if it has ended.
    pub fn open_descriptors(&self) -> Option<usize> {
        let path = format!("/proc/{}/fd", self.id());
        std::fs::read_dir(path).ok().map(Iterator::count)
    }

    /// Kills the process with SIGKILL and waits for it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process until `resume`.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells the process with SIGHUP that its settings file has changed.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the exit status can be read")
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id is positive");
        let _ = kill(Pid::from_raw(pid), signal);
    }
}

fn open_log(path: &Path) -> File {
    let file = File::options().create(true).append(true).open(path);
    file.expect("the log can be written")
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
