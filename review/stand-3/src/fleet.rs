//! The project's own programs, as separate processes on loopback addresses of their own, with
//! the bounds of the site akfo-ledger-grown.

use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Addresses that no other run uses: a loopback network, and a port that is free on it.
pub struct Net {
    prefix: String,
    port: u16,
    pub dir: PathBuf,
}

const FRONT: u16 = 30;
const READY: u16 = 31;

impl Net {
    pub fn new() -> Self {
        let pid = std::process::id();
        let prefix = format!("127.{}.{}.", 70 + (pid >> 8) % 100, pid % 250 + 1);
        let mut port = 20_000 + (pid % 90) as u16 * 50;
        while !Self::is_free(&prefix, port) {
            port += 50;
            assert!(port < 32_000, "no free ports");
        }
        let dir = Self::folder();
        fs::create_dir_all(&dir).expect("a temporary folder");
        Self { prefix, port, dir }
    }

    fn folder() -> PathBuf {
        std::env::temp_dir().join(format!("stand-3-{}", std::process::id()))
    }

    fn is_free(prefix: &str, port: u16) -> bool {
        let free =
            |host: u8, port: u16| TcpListener::bind(format!("{prefix}{host}:{port}")).is_ok();
        [
            1, 2, 3, 4, 5, 6, 7, 8, 100, 101, 102, 103, 104, 105, 106, 107, 108, 109,
        ]
        .iter()
        .all(|host| {
            [0, 1, FRONT, READY]
                .iter()
                .all(|offset| free(*host, port + offset))
        })
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}{host}", self.prefix)
    }

    /// The address of an entry for requesters.
    pub fn front(&self, host: u8) -> SocketAddr {
        let address = format!("{}:{}", self.ip(host), self.port + FRONT);
        address.parse().expect("an address")
    }

    fn settings(&self, name: &str, host: u8, store: SocketAddr, own: &str) -> PathBuf {
        let (ip, port) = (self.ip(host), self.port);
        let text = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\n\
             portRange = [{port},{}]\nbootstrap = true\ndiscovery = \"platform\"\n\
             heartbeatMs = 1200\n{own}\n[limits]\ncpuShare = 0.19\ncores = 1\nramMb = 112\n\
             maxFds = 4100\nlinkMbps = 1000.0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n\
             touchMs = 4000\nackMs = 6000\ncatchUpS = 6\ndrainMs = 3000\ngraceS = 8\n\
             lostMs = 200\nconfigMs = 3000\nbackMs = 250\nouterMs = 6000\nretryRatio = 0.2\n\
             retryWindowS = 10\nretrySlack = 133\nquotaWindowS = 8\nquotaOver = 0.1\n\
             quotaSlack = 140000\nrecoverS = 15\npassMs = 200\nretryAfterS = 10\n\
             [platform]\naddr = \"{store}\"\nform = \"objects\"\nwritesPerS = 1200\n\
             readsPerS = 6000\nhistoryS = 20\nvalueBytes = 1048576\n",
            port + 15
        );
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, text).expect("the settings are written");
        path
    }

    pub fn entry(&self, host: u8, store: SocketAddr) -> Process {
        let own = format!(
            "role = \"entry\"\nclass = \"edge\"\nserves = [\"edge\"]\n[listen]\n\
             front = \"{}:{}\"\nready = \"{}:{}\"",
            self.ip(host),
            self.port + FRONT,
            self.ip(host),
            self.port + READY
        );
        let settings = self.settings(&format!("edge-a-{host}"), host, store, &own);
        Process::start("entry", settings)
    }

    pub fn agent(
        &self,
        host: u8,
        store: SocketAddr,
        replica: SocketAddr,
        service: &str,
    ) -> Process {
        let own = format!(
            "role = \"agent\"\nclass = \"side\"\nserves = [\"side\"]\napp = \"{replica}\"\n\
             backend = \"{service}\"\n[listen]"
        );
        let settings = self.settings(&format!("side-a-{host}"), host, store, &own);
        Process::start("agent", settings)
    }

    /// Waits until an entry says that it is ready; returns whether it does in time.
    pub fn wait_until_ready(&self, host: u8, limit: Duration) -> bool {
        let address: SocketAddr = format!("{}:{}", self.ip(host), self.port + READY)
            .parse()
            .expect("an address");
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if Self::is_ready(address).unwrap_or(false) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
        let second = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&address, second)?;
        stream.set_read_timeout(Some(second))?;
        stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut buf = [0; 64];
        let count = stream.read(&mut buf)?;
        Ok(String::from_utf8_lossy(&buf[..count]).contains(" 200 "))
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// The processes that have not ended, as far as this program knows.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the program after `limit` as a case that could not run, with all processes that it
/// started.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        let running = RUNNING.lock().unwrap();
        for pid in running.iter().filter_map(|id| Pid::from_raw(*id as i32)) {
            let _ = kill_process(pid, Signal::KILL);
        }
        let _ = fs::remove_dir_all(Net::folder());
        eprintln!("not run: no result within {limit:?}");
        std::process::exit(2);
    });
}

/// A process of the project, ended on drop.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    child: Child,
}

impl Process {
    fn start(role: &'static str, settings: PathBuf) -> Self {
        let child = Self::spawn(role, &settings);
        Self {
            role,
            settings,
            child,
        }
    }

    /// Starts the program with the command of the deploy file.
    fn spawn(role: &str, settings: &PathBuf) -> Child {
        let log = settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/almondramp-platform")
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("ALMONDRAMP_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/almondramp-platform is built");
        RUNNING.lock().unwrap().push(child.id());
        child
    }

    fn forget(&self) {
        let id = self.child.id();
        RUNNING.lock().unwrap().retain(|other| *other != id);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.forget();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.child = Self::spawn(self.role, &self.settings);
    }

    pub fn terminate(&self) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Waits for the end of the process, for at most `limit`. Returns whether it has ended.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                self.forget();
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
