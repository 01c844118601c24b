//! Clients that do not behave, at every port of the standalone programs: callers' and health
//! ports of an entry, and health and links of an agent. See the test of the same name in
//! `platform/tests/`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use almondramp::http_client::new_client;
use almondramp::name::Name;
use almondramp::settings::Document;
use almondramp::settings::File;
use almondramp_standins::Crowd;
use almondramp_standins::Launcher;
use almondramp_standins::Process;
use almondramp_standins::RawCaller;
use almondramp_standins::Site;
use almondramp_standins::SiteSpec;
use almondramp_standins::Step;
use almondramp_standins::key_digest;
use almondramp_standins::metrics;
use almondramp_standins::wait_until_ready;
use tokio::sync::Mutex;

/// The memory of the host of each process, in bytes: the bound on what it may have used.
const HOST_BYTES: usize = 64_000_000;

/// The clients of a small crowd, and the bytes that each of them may send.
const CLIENTS: usize = 16;
const CLIENT_BYTES: usize = HOST_BYTES / CLIENTS;

/// The maximum number of caller connections, by the settings.
const CONNECTIONS: usize = 64;

/// The descriptors that a process may have open: one for each connection of a caller and of
/// its request to an upstream, the connections of the admin port, and the process's own.
const DESCRIPTORS: usize = 2 * CONNECTIONS + 64 + 64;

/// The time after which a request that was not answered means that the process hangs.
const HANG_TIME: Duration = Duration::from_secs(60);

const KEY: &str = "small-key";

/// Lets one test run at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

fn settings() -> Document {
    let text = format!(
        r#"
        [limits]
        connections = {CONNECTIONS}
        caller_timeout = "5s"
        caller_idle = "180s"
        [tiers.urgent]
        order = 0
        deadline = "5s"
        [organisations.small]
        tier = "urgent"
        keys = ["{}"]
        [upstreams.portal]
        kind = "service"
        zone = "a"
        address = "127.0.0.1:5"
        agent = "127.0.0.1:6"
        serves = ["portal"]
        slots = 8
        [routes.portal]
        kind = "service"
        path = "/portal"
        service = "portal"
        "#,
        key_digest(KEY),
    );
    Document::new(vec![File {
        name: Name::new("10-base.toml"),
        text,
    }])
}

/// A site and the connection of an ordinary caller.
struct World {
    site: Site,
    early: RawCaller,
}

impl World {
    async fn new() -> Self {
        let launcher = Launcher::Programs {
            entry: PathBuf::from(env!("CARGO_BIN_EXE_almondramp-entry")),
            agent: PathBuf::from(env!("CARGO_BIN_EXE_almondramp-agent")),
        };
        let mut spec = SiteSpec::new(settings(), launcher);
        spec.entry_memory = Some(HOST_BYTES as u64);
        let site = Site::start(&spec);
        wait_until_ready(&site).await;
        let mut early = RawCaller::connect(site.entry_addresses[0]).await;
        expect_answer(&mut early).await;
        Self { site, early }
    }

    fn entry(&self) -> &Process {
        &self.site.entries[0]
    }

    fn agent(&self) -> &Process {
        &self.site.agents[&Name::new("portal")]
    }

    fn agent_admin(&self) -> SocketAddr {
        self.site.agent_admins[&Name::new("portal")]
    }

    /// Returns the address on which entries connect to the agent.
    fn agent_address(&self) -> SocketAddr {
        let overlay = &self.site.document.files.last().expect("an overlay").text;
        let line = overlay.lines().find_map(|l| l.strip_prefix("agent = "));
        let address = line.expect("an agent").trim_matches('"');
        address.parse().expect("an address")
    }

    /// Expects that an ordinary caller is answered, on its connection from before and on a
    /// new one.
    async fn expect_ordinary_answers(&mut self) {
        expect_answer(&mut self.early).await;
        let answered = async {
            let mut new = RawCaller::connect(self.site.entry_addresses[0]).await;
            expect_answer(&mut new).await;
        };
        let answered = actix_rt::time::timeout(HANG_TIME, answered).await;
        assert!(answered.is_ok(), "no answer on a new connection");
    }
}

async fn expect_answer(caller: &mut RawCaller) {
    let headers = format!("host: a.example\r\nauthorization: Bearer {KEY}\r\n");
    let answer = caller.post("/portal/a", &headers, b"prompt").await;
    assert!(answer.is_complete && answer.status == 200, "{answer:?}");
}

/// Lets a crowd play until it has settled, and expects that `process` stays within its host.
async fn play(process: &Process, address: SocketAddr, count: usize, steps: &[Step]) -> Crowd {
    let crowd = Crowd::start(address, count, steps);
    let (mut descriptors, mut memory) = (0, 0);
    crowd
        .settle(|| {
            descriptors = descriptors.max(process.open_descriptors().unwrap_or(0));
            memory = process.peak_memory().unwrap_or(u64::MAX);
            memory <= HOST_BYTES as u64
        })
        .await;
    println!("{memory} bytes of {HOST_BYTES}, {descriptors} descriptors of {DESCRIPTORS}");
    assert_ne!(memory, u64::MAX, "the process has ended");
    assert!(
        memory <= HOST_BYTES as u64,
        "the process used {memory} bytes"
    );
    assert!(
        descriptors <= DESCRIPTORS,
        "the process had {descriptors} descriptors"
    );
    crowd
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n")
}

#[actix_rt::test]
async fn requests_sent_ahead_at_the_callers_port() {
    let _alone = ALONE.lock().await;
    for path in ["/healthz", "/readyz", "/unknown", "/portal/a"] {
        let mut world = World::new().await;
        let steps = [Step::repeat(&get(path), CLIENT_BYTES)];
        let address = world.site.entry_addresses[0];
        let _crowd = play(world.entry(), address, CLIENTS, &steps).await;
        world.expect_ordinary_answers().await;
    }
}

#[actix_rt::test]
async fn requests_sent_ahead_at_the_health_port_of_an_entry() {
    let _alone = ALONE.lock().await;
    for path in ["/healthz", "/metrics", "/burn", "/unknown"] {
        let mut world = World::new().await;
        let steps = [Step::repeat(&get(path), CLIENT_BYTES)];
        let address = world.site.entry_admins[0];
        let _crowd = play(world.entry(), address, CLIENTS, &steps).await;
        world.expect_ordinary_answers().await;
    }
}

#[actix_rt::test]
async fn requests_sent_ahead_at_the_health_port_of_an_agent() {
    let _alone = ALONE.lock().await;
    for path in ["/healthz", "/metrics", "/unknown"] {
        let mut world = World::new().await;
        let steps = [Step::repeat(&get(path), CLIENT_BYTES)];
        let _crowd = play(world.agent(), world.agent_admin(), CLIENTS, &steps).await;
        assert_ne!(metrics(&new_client(), world.agent_admin()).await, "");
        world.expect_ordinary_answers().await;
    }
}

#[actix_rt::test]
async fn heads_that_are_never_ended_at_health_ports() {
    let _alone = ALONE.lock().await;
    let mut world = World::new().await;
    let steps = [
        Step::send("GET / HTTP/1.1\r\nhost: a.example\r\nx-long: "),
        Step::repeat("a", HOST_BYTES / 64),
    ];
    let entry = play(world.entry(), world.site.entry_admins[0], 64, &steps).await;
    let agent = play(world.agent(), world.agent_admin(), 64, &steps).await;
    world.expect_ordinary_answers().await;
    drop((entry, agent));
}

// A peer that does not know the site key announces a large message, and sends it.
#[actix_rt::test]
async fn messages_of_strangers_at_the_links_of_an_agent() {
    let _alone = ALONE.lock().await;
    let mut world = World::new().await;
    // One segment of 4,000,000 words.
    let mut announced = vec![0, 0, 0, 0];
    announced.extend(4_000_000_u32.to_le_bytes());
    let steps = [
        Step::Send(announced.into()),
        Step::repeat("x", CLIENT_BYTES),
    ];
    let _crowd = play(world.agent(), world.agent_address(), CLIENTS, &steps).await;
    world.expect_ordinary_answers().await;
}

// Memory is taken for a message that is only announced.
#[actix_rt::test]
async fn messages_that_strangers_announce_at_the_links_of_an_agent() {
    let _alone = ALONE.lock().await;
    let mut world = World::new().await;
    let mut announced = vec![0, 0, 0, 0];
    announced.extend(4_000_000_u32.to_le_bytes());
    let steps = [Step::Send(announced.into())];
    let _crowd = play(world.agent(), world.agent_address(), CLIENTS, &steps).await;
    world.expect_ordinary_answers().await;
}

#[actix_rt::test]
async fn connections_of_strangers_at_the_links_of_an_agent() {
    let _alone = ALONE.lock().await;
    let mut world = World::new().await;
    let steps = [Step::send("x")];
    let count = 2 * DESCRIPTORS;
    let _crowd = play(world.agent(), world.agent_address(), count, &steps).await;
    world.expect_ordinary_answers().await;
}

#[actix_rt::test]
async fn connections_with_one_byte_each_at_the_callers_port() {
    let _alone = ALONE.lock().await;
    let mut world = World::new().await;
    let address = world.site.entry_addresses[0];
    let _crowd = play(world.entry(), address, 2 * DESCRIPTORS, &[Step::send("G")]).await;
    world.expect_ordinary_answers().await;
}
