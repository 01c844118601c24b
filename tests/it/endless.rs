//! Upstreams that write bytes without end, in the formats of the product's own dialect.

use std::net::SocketAddr;

use almondramp::name::Name;
use almondramp::settings::File;
use almondramp_standins::EndlessUpstream;
use almondramp_standins::Platform;
use awc::SendClientRequest;
use futures::StreamExt;

use crate::support::Env;
use crate::support::KEY;
use crate::support::chat_body;
use crate::support::settings;
use crate::support::spec;

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// Starts a site in which both engines and the service are at `address`. The routes give
/// up after a second.
async fn env_at(address: SocketAddr, platform: &Platform) -> Env {
    let mut document = settings("");
    let upstreams = ["engine-a", "engine-b", "portal"];
    let text = upstreams.map(|u| format!("[upstreams.{u}]\naddress = \"{address}\"\n"));
    let routes = ["chat", "portal"].map(|r| format!("[routes.{r}]\ntimeout = \"1s\"\n"));
    document.files.push(File {
        name: Name::new("95-raw.toml"),
        text: text.concat() + &routes.concat(),
    });
    Env::start(&spec(document).with_platform(platform)).await
}

/// Reads an answer without keeping it, and returns whether it looks complete.
async fn looks_complete(sent: SendClientRequest) -> bool {
    let Ok(mut res) = sent.await else {
        return false;
    };
    let is_ok = res.status().is_success();
    while let Some(part) = res.next().await {
        if part.is_err() {
            return false;
        }
    }
    is_ok
}

// Issue 31: bytes that are no answer may come without end, until the caller closes.
#[actix_rt::test]
async fn answers_without_end_are_cut_off_and_never_replayed() {
    let answers = [
        (
            format!("{HEAD}content-type: application/json\r\n\r\n["),
            "1, ",
        ),
        (
            format!("{HEAD}content-type: text/event-stream\r\n\r\ndata: "),
            "a",
        ),
        (
            format!("{HEAD}content-type: text/event-stream\r\n\r\n"),
            "data: {\"choices\": []}\n\n",
        ),
        (HEAD.to_owned(), "x-more: 1\r\n"),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    for (begin, repeated) in answers {
        let platform = Platform::start();
        let endless = EndlessUpstream::start(&begin, repeated).await;
        let env = env_at(endless.address, &platform).await;
        let chat = format!("http://{}/v1/chat/completions", env.entry_address());
        let body = chat_body("endless", true, 5, "is this tolerance right?");
        let chat = env.client.post(chat).bearer_auth(KEY).send_json(&body);
        assert!(!looks_complete(chat).await, "{begin:?}");
        for _ in 0..2 {
            let save = format!("http://{}/portal/logs", env.entry_address());
            let save = env.client.post(save).bearer_auth(KEY);
            let save = save.insert_header(("idempotency-key", "k1"));
            assert!(!looks_complete(save.send_body("log")).await, "{begin:?}");
        }
        assert!(endless.opened() > 0, "no request reached the upstream");
        endless.all_closed().await;
    }
}
