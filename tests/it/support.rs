//! Test environment: a small site of the built programs and an HTTP client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use almondramp::http_client::new_client;
use almondramp::name::Name;
use almondramp::settings::Document;
use almondramp::settings::File;
use almondramp_standins::Launcher;
use almondramp_standins::Site;
use almondramp_standins::SiteSpec;
use almondramp_standins::key_digest;
use almondramp_standins::metrics;
use almondramp_standins::wait_until_ready;
use awc::Client;
use awc::ClientResponse;
use serde_json::Value;
use serde_json::json;

/// The API key of the small organisation in `settings`.
pub const KEY: &str = "small-key";

/// The API key of the large organisation in `settings`.
pub const ANCHOR_KEY: &str = "anchor-key";

/// Maximum wait for a condition; long enough to fail only on a hang.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running site and an HTTP client.
pub struct Env {
    pub site: Site,
    pub client: Client,
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub complete: bool,
    pub retry_after: Option<String>,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn run(&self) -> String {
        self.json()["error"]["run"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

pub fn launcher() -> Launcher {
    Launcher::Programs {
        entry: PathBuf::from(env!("CARGO_BIN_EXE_almondramp-entry")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_almondramp-agent")),
    }
}

/// Returns the configuration of a site that runs the built programs.
pub fn spec(document: Document) -> SiteSpec {
    SiteSpec::new(document, launcher())
}

/// Returns settings with two engines and one service; `more` adds or overrides
/// values.
pub fn settings(more: &str) -> Document {
    let text = format!(
        r#"
        [tiers.urgent]
        order = 0
        deadline = "5s"
        [tiers.batch]
        order = 1
        deadline = "30s"
        [organisations.anchor]
        tier = "urgent"
        keys = ["{}"]
        [organisations.small]
        tier = "urgent"
        keys = ["{}"]
        [upstreams.engine-a]
        kind = "model"
        zone = "a"
        address = "127.0.0.1:1"
        agent = "127.0.0.1:2"
        serves = ["m"]
        slots = 4
        cache_tokens = 65536
        [upstreams.engine-b]
        kind = "model"
        zone = "b"
        address = "127.0.0.1:3"
        agent = "127.0.0.1:4"
        serves = ["m"]
        slots = 4
        cache_tokens = 65536
        [upstreams.portal]
        kind = "service"
        zone = "a"
        address = "127.0.0.1:5"
        agent = "127.0.0.1:6"
        serves = ["portal"]
        slots = 8
        [routes.chat]
        kind = "model"
        path = "/v1/chat/completions"
        [routes.portal]
        kind = "service"
        path = "/portal"
        service = "portal"
        "#,
        key_digest(ANCHOR_KEY),
        key_digest(KEY),
    );
    let base = File {
        name: Name::new("10-base.toml"),
        text,
    };
    let more = File {
        name: Name::new("20-more.toml"),
        text: more.to_owned(),
    };
    Document::new(vec![base, more])
}

impl Env {
    /// Starts a site with one entry and waits until it is ready.
    pub async fn new() -> Self {
        Self::with_settings(settings("")).await
    }

    /// Starts a site with these settings and one entry and waits until it is
    /// ready.
    pub async fn with_settings(document: Document) -> Self {
        Self::start(&spec(document)).await
    }

    /// Starts a site and waits until it is ready.
    pub async fn start(spec: &SiteSpec) -> Self {
        let site = Site::start(spec);
        wait_until_ready(&site).await;
        let client = new_client();
        Self { site, client }
    }

    /// Waits until an entry is connected to exactly `links` agents.
    pub async fn wait_for_links(&self, entry: usize, links: usize) {
        let expected = format!("almondramp_entry_links {links}");
        self.wait_until(|| async {
            let metrics = self.metrics(entry).await;
            metrics.lines().any(|line| line == expected)
        })
        .await;
    }

    /// Waits until `condition` holds.
    pub async fn wait_until<F, Fut>(&self, condition: F)
    where
        F: Fn() -> Fut,
        Fut: Future<Output = bool>,
    {
        let started = Instant::now();
        while !condition().await {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the condition did not hold in time"
            );
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn metrics(&self, entry: usize) -> String {
        metrics(&self.client, self.site.entry_admins[entry]).await
    }

    /// Returns the address of the first entry.
    pub fn entry_address(&self) -> SocketAddr {
        self.site.entry_addresses[0]
    }

    /// Sends a chat request for `tokens` tokens to the first entry.
    pub async fn chat(&self, user: &str, stream: bool, tokens: u64) -> Reply {
        let body = chat_body(user, stream, tokens, "is this tolerance right?");
        self.post("/v1/chat/completions", &body).await
    }

    /// Sends a body as the small organisation to the first entry.
    pub async fn post(&self, path: &str, body: &Value) -> Reply {
        self.post_as(0, KEY, path, body).await
    }

    pub async fn post_as(&self, entry: usize, key: &str, path: &str, body: &Value) -> Reply {
        let url = format!("http://{}{path}", self.site.entry_addresses[entry]);
        let sent = self.client.post(url).bearer_auth(key).send_json(body);
        match sent.await {
            Ok(res) => read_reply(res).await,
            Err(e) => Reply {
                status: 0,
                body: e.to_string(),
                complete: false,
                retry_after: None,
            },
        }
    }

    /// Returns how often the service ran the request with this id.
    pub fn service_runs(&self, id: &str) -> u32 {
        let ledgers = self.site.services.values().map(|s| s.stats());
        ledgers.filter_map(|l| l.runs.get(id).copied()).sum()
    }

    /// Returns how often engines ran the request of this user.
    pub fn engine_runs(&self, user: &str) -> u32 {
        let ledgers = self.site.engines.values().map(|e| e.stats());
        ledgers.filter_map(|l| l.runs.get(user).copied()).sum()
    }
}

pub fn chat_body(user: &str, stream: bool, tokens: u64, prompt: &str) -> Value {
    json!({
        "model": "m",
        "user": user,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// Returns the text that an engine generates for the request of `user`.
pub fn expected_text(user: &str, tokens: u64) -> String {
    (1..=tokens).map(|i| format!("{user}:{i} ")).collect()
}

/// Returns the text of a streamed answer.
pub fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| {
            let text = &event["choices"][0]["delta"]["content"];
            text.as_str().map(str::to_owned)
        })
        .collect()
}

pub async fn read_reply(mut res: ClientResponse) -> Reply {
    let retry_after = res.headers().get("retry-after");
    let retry_after = retry_after.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let status = res.status().as_u16();
    let body = res.body().limit(64 << 20).await;
    Reply {
        status,
        retry_after,
        complete: body.is_ok(),
        body: String::from_utf8_lossy(&body.unwrap_or_default()).into_owned(),
    }
}
