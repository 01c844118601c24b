//! Starts the system's programs with the commands of the deploy file.

use std::cell::Cell;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::CaseError;
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The program and its roles, as in `deploy/system.toml`.
const PROGRAM: &str = "target/release/almondramp-platform";

/// The ports of a machine. They are below the ephemeral ports of the system.
const FRONT_PORT: u16 = 20_221;
const READY_PORT: u16 = 20_224;
const FIRST_PORT: u16 = 20_600;

/// Bounds of the small deployments (`../given/kit/more/system/SYSTEM.md`).
pub const GRACE: Duration = Duration::from_secs(8);
pub const TOUCH: Duration = Duration::from_secs(3);
pub const CONFIG: Duration = Duration::from_secs(2);

/// The heartbeat of replicas.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The store, the machines and a folder for their files.
pub struct Deployment {
    pub store: Rc<Store>,
    pub record: Record,
    /// The memory of an `edge` machine.
    pub ram_mb: u64,
    /// Where new machines reach the store.
    pub store_address: SocketAddr,
    dir: tempfile::TempDir,
    machines: Cell<u8>,
}

impl Deployment {
    pub async fn start(record: &Record) -> Result<Self, CaseError> {
        if !PathBuf::from(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing; run the build of the deploy file").into());
        }
        let store = Store::start().await?;
        Ok(Self {
            store_address: store.address,
            store,
            record: record.clone(),
            ram_mb: 260,
            dir: tempfile::tempdir()?,
            machines: Cell::new(0),
        })
    }

    /// Returns the loopback address of a new machine.
    pub fn new_ip(&self) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        let number = self.machines.get() + 1;
        self.machines.set(number);
        Ipv4Addr::new(127, 128 + high % 64, low, number)
    }

    /// Returns an `edge` machine whose process does not run yet.
    pub fn edge(&self, name: &str) -> Machine {
        let ip = self.new_ip();
        let listen = format!(
            "[listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{}\"\n",
            READY_PORT + 5
        );
        let class = format!("class = \"edge\"\nrole = \"entry\"\nserves = [\"edge\"]\n");
        self.machine(name, ip, "entry", &class, &listen, self.ram_mb)
    }

    /// Returns the `side` machine of the model replica at `app`, whose process does not run
    /// yet.
    pub fn side(&self, name: &str, app: SocketAddr, service: &str) -> Machine {
        let SocketAddr::V4(address) = app else {
            unreachable!("replicas listen on IPv4");
        };
        let class = format!(
            "class = \"side\"\nrole = \"agent\"\nserves = [\"side\"]\napp = \"{app}\"\n\
             backend = \"{service}\"\n"
        );
        self.machine(name, *address.ip(), "agent", &class, "[listen]\n", 192)
    }

    fn machine(
        &self,
        name: &str,
        ip: Ipv4Addr,
        role: &'static str,
        class: &str,
        listen: &str,
        ram_mb: u64,
    ) -> Machine {
        let settings = format!(
            "node = \"{name}\"\n{class}ip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\n\
             portRange = [{FIRST_PORT}, {}]\nseeds = []\nbootstrap = true\n\
             countsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = {}\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", \
             \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"quota\", \
             \"platform\"]\n[zones]\na = \"r\"\n{listen}[limits]\ncpuShare = 0.19\ncores = 1\n\
             ramMb = {ram_mb}\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [tolerate]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ntouchMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlostMs = 200\nconfigMs = 2000\n\
             backMs = 250\nouterMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nquotaWindowS = 8\n\
             quotaOver = 0.1\nquotaSlack = 140000\nrecoverS = 12\npassMs = 120\n\
             retryAfterS = 10\n[platform]\naddr = \"{}\"\nform = \"objects\"\n\
             writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n\
             minTtlMs = 1000\n",
            FIRST_PORT + 15,
            HEARTBEAT.as_millis(),
            self.store_address,
        );
        let path = self.dir.path().join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings file is written");
        Machine {
            name: name.to_owned(),
            role,
            settings: path,
            front: SocketAddr::from((ip, FRONT_PORT)),
            ready: SocketAddr::from((ip, READY_PORT)),
            record: self.record.clone(),
            child: None,
        }
    }
}

/// A machine with one process, which is killed on drop.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    role: &'static str,
    settings: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Machine {
    /// Starts the process.
    pub fn start(&mut self) -> Result<(), CaseError> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("ALMONDRAMP_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.line(&format!("start {}", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(&format!("SIGKILL {}", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{signal} {}", self.name));
            let _ = kill(Pid::from_raw(child.id().cast_signed()), signal);
        }
    }

    /// Sends SIGTERM, waits for the end, and sends SIGKILL after the grace time.
    pub async fn stop(&mut self) {
        self.signal(Signal::SIGTERM);
        let until = Instant::now() + GRACE;
        while self.is_running() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        match self.is_running() {
            true => self.kill(),
            false => self.record.line(&format!("ended {}", self.name)),
        }
        self.child = None;
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Returns the memory that the process uses, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let path = format!("/proc/{}/statm", child.id());
        let statm = std::fs::read_to_string(path).unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
        pages.unwrap_or(0) * 4096
    }

    /// Returns the process's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Asks once whether the machine says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let asked = async {
            let stream = TcpStream::connect(self.ready).await.ok()?;
            let (mut reader, mut writer) = http::split(stream);
            let request = "GET /readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
            writer.write_all(request.as_bytes()).await.ok()?;
            let head = http::read_head(&mut reader).await.ok()??;
            Some(head.status() == 200)
        };
        let asked = tokio::time::timeout(Duration::from_secs(1), asked).await;
        asked.ok().flatten().unwrap_or(false)
    }

    /// Waits until the machine says that it is ready, for at most `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<(), CaseError> {
        let until = Instant::now() + limit;
        while !self.is_ready().await {
            if Instant::now() > until {
                return Err(format!("{} did not get ready: {}", self.name, self.log()).into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.record.line(&format!("ready {}", self.name));
        Ok(())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a configuration with one tenant, whose key is `key`, and the given routes and
/// services.
pub fn configuration(
    version: u64,
    routes: serde_json::Value,
    backends: serde_json::Value,
) -> serde_json::Value {
    json!({
        "version": version, "routes": routes, "backends": backends,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
                   "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
        "tenants": [{"name": "hule930", "apiKeys": ["key"], "unit": "token",
                     "plainTokens": 200, "ratePerS": 0, "burst": 0}],
    })
}
