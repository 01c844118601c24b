//! Starts the project's programs with the commands of the deploy file, and ends them.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_head;

const PROGRAM: &str = "target/release/almondramp-platform";

/// The processes that were started, by the names of their machines.
static PROCESSES: Mutex<BTreeMap<String, Child>> = Mutex::new(BTreeMap::new());

/// Ends all processes that were started.
pub fn end_all() {
    let mut processes = PROCESSES.lock().unwrap_or_else(|e| e.into_inner());
    for process in processes.values_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    processes.clear();
}

/// A loopback network of one run: machines are addresses, and ports are the same on all.
pub struct Network {
    octets: (u8, u8),
    port: u16,
    pub folder: PathBuf,
}

impl Network {
    pub fn new() -> Self {
        let pid = std::process::id();
        let octets = (64 + (pid >> 8) as u8 % 64, pid as u8);
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut network = Self {
            octets,
            port: 20_000 + (pid % 1000) as u16 * 10,
            folder,
        };
        while TcpListener::bind(network.front(1)).is_err() {
            network.port += 10;
        }
        network
    }

    pub fn ip(&self, machine: u8) -> String {
        format!("127.{}.{}.{machine}", self.octets.0, self.octets.1)
    }

    fn address(&self, machine: u8, offset: u16) -> SocketAddr {
        let text = format!("{}:{}", self.ip(machine), self.port + offset);
        text.parse().expect("an address")
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        self.address(machine, 0)
    }

    fn ready(&self, machine: u8) -> SocketAddr {
        self.address(machine, 1)
    }

    /// The address of the replica on a machine.
    pub fn app(&self, machine: u8) -> SocketAddr {
        self.address(machine, 2)
    }

    /// Starts an entry.
    pub fn start_entry(&self, machine: u8, zone: &str, store: SocketAddr) {
        let ip = self.ip(machine);
        let text = format!(
            "node = \"edge-{zone}-{machine}\"\nrole = \"entry\"\nclass = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\nportRange = [{}, {}]\nseeds = []\n\
             bootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\n{CONTRACTS}[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\nd = \"r\"\n[listen]\nfront = \"{}\"\n\
             ready = \"{}\"\n[limits]\ncpuShare = 0.19\ncores = 1\nramMb = 110\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n{BOUNDS}[platform]\naddr = \"{store}\"\n{PLATFORM}",
            self.port + 5,
            self.port + 9,
            self.front(machine),
            self.ready(machine),
        );
        self.start("entry", &format!("edge-{machine}"), &text);
    }

    /// Starts the agent on the machine of a replica.
    pub fn start_agent(&self, machine: u8, zone: &str, service: &str, store: SocketAddr) {
        let ip = self.ip(machine);
        let text = format!(
            "node = \"side-{zone}-{machine}\"\nrole = \"agent\"\nclass = \"side\"\nserves = [\"side\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\nportRange = [{}, {}]\nseeds = []\n\
             bootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\n{CONTRACTS}app = \"{}\"\nbackend = \"{service}\"\n\
             [zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\nd = \"r\"\n[listen]\n[limits]\ncpuShare = 0.2\ncores = 1\nramMb = 192\n\
             maxFds = 4096\nlinkMbps = 2000.0\ndiskMb = 0\n{BOUNDS}\
             [platform]\naddr = \"{store}\"\n{PLATFORM}",
            self.port + 5,
            self.port + 9,
            self.app(machine),
        );
        self.start("agent", &format!("side-{machine}"), &text);
    }

    fn start(&self, role: &str, node: &str, settings: &str) {
        let path = self.folder.join(format!("{node}.toml"));
        let mut file = File::create(&path).expect("a settings file");
        file.write_all(settings.as_bytes())
            .expect("a settings file");
        let log = self.folder.join(format!("{node}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let mut command = Command::new(PROGRAM);
        command.arg(role).env("ALMONDRAMP_BOOT", &path);
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        let child = match command.spawn() {
            Ok(child) => child,
            Err(e) => panic!("cannot start {PROGRAM}: {e}"),
        };
        let mut processes = PROCESSES.lock().expect("processes");
        processes.insert(node.to_owned(), child);
    }

    /// Kills the entry of a machine.
    pub fn kill_entry(&self, machine: u8) {
        let mut processes = PROCESSES.lock().expect("processes");
        if let Some(mut process) = processes.remove(&format!("edge-{machine}")) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM to the entry of a machine.
    pub fn terminate_entry(&self, machine: u8) {
        let processes = PROCESSES.lock().expect("processes");
        if let Some(process) = processes.get(&format!("edge-{machine}")) {
            let kill = format!("kill -TERM {}", process.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
    }

    /// Returns whether the entry of a machine runs.
    pub fn runs_entry(&self, machine: u8) -> bool {
        let mut processes = PROCESSES.lock().expect("processes");
        let process = processes.get_mut(&format!("edge-{machine}"));
        process.is_some_and(|p| matches!(p.try_wait(), Ok(None)))
    }

    /// Waits until an entry says that it is ready; `false` if it doesn't in time.
    pub fn wait_until_ready(&self, machine: u8) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready(machine) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self, machine: u8) -> bool {
        let ask = || -> std::io::Result<u16> {
            let address = self.ready(machine);
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |h| h.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

const CONTRACTS: &str = "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
    \"engine\",\"stream\",\"tenants\",\"quota\",\"platform\"]\n";

const BOUNDS: &str = "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\n\
    reuseAfterS = 2\ntouchMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n\
    lostMs = 200\nconfigMs = 2000\nbackMs = 250\nouterMs = 5000\nstrictRevoke = false\n\
    revokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nquotaWindowS = 8\n\
    quotaOver = 0.1\nquotaSlack = 140000\nrecoverS = 12\npassMs = 120\nretryAfterS = 8.3\n";

const PLATFORM: &str = "form = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
    valueBytes = 1048576\nminTtlMs = 1000\n";
