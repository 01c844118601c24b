//! Answers that upstreams break off, in the formats of the product's own dialect.

use std::net::SocketAddr;
use std::time::Duration;

use almondramp::name::Name;
use almondramp::settings::File;
use almondramp_standins::ConnectionEnd;
use almondramp_standins::Platform;
use almondramp_standins::start_raw_upstream;
use serde_json::json;

use crate::support::Env;
use crate::support::KEY;
use crate::support::Reply;
use crate::support::chat_body;
use crate::support::read_reply;
use crate::support::settings;
use crate::support::spec;

const JSON: &str = "content-type: application/json\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\n";

const DOCUMENT: &str = r#"{"id": "log-1", "saved": ["}", {"at": 7}]}"#;
const STREAM: &str = "data: {\"choices\": []}\n\ndata: {\"choices\": []}\n\ndata: [DONE]\n\n";

/// Starts a site in which both engines and the service are at `address`.
async fn env_at(address: SocketAddr, platform: &Platform) -> Env {
    let mut document = settings("");
    let upstreams = ["engine-a", "engine-b", "portal"];
    let text = upstreams.map(|u| format!("[upstreams.{u}]\naddress = \"{address}\"\n"));
    document.files.push(File {
        name: Name::new("95-raw.toml"),
        text: text.concat(),
    });
    Env::start(&spec(document).with_platform(platform)).await
}

async fn save(env: &Env, key: &str) -> Reply {
    let url = format!("http://{}/portal/logs", env.site.entry_addresses[0]);
    let sent = env.client.post(url).bearer_auth(KEY);
    let sent = sent.insert_header(("idempotency-key", key));
    read_reply(sent.send_body("log").await.expect("an answer arrives")).await
}

// Issue 28: the beginning of a document whose upstream crashed was forwarded as
// complete, saved, and replayed with a length.
#[actix_rt::test]
async fn document_that_is_cut_by_its_connection_is_neither_complete_nor_replayed() {
    for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
        let platform = Platform::start();
        let sent = &DOCUMENT[..DOCUMENT.len() - 1];
        let address = start_raw_upstream(JSON, sent.as_bytes(), end).await;
        let env = env_at(address, &platform).await;
        let first = save(&env, "k1").await;
        assert!(!first.complete, "{end:?} {first:?}");
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let repeat = save(&env, "k1").await;
        assert!(repeat.complete, "{end:?} {repeat:?}");
        assert_ne!(repeat.status, 200, "{end:?} {repeat:?}");
        assert_ne!(repeat.run(), "not-run", "{end:?} {repeat:?}");
    }
}

#[actix_rt::test]
async fn whole_document_that_ends_with_its_connection_is_complete_and_replayed() {
    let platform = Platform::start();
    let address = start_raw_upstream(JSON, DOCUMENT.as_bytes(), ConnectionEnd::Close).await;
    let env = env_at(address, &platform).await;
    let first = save(&env, "k1").await;
    assert_eq!((first.status, first.complete), (200, true), "{first:?}");
    assert_eq!(first.body, DOCUMENT);
    env.wait_until(|| async { save(&env, "k1").await.body == DOCUMENT })
        .await;
}

#[actix_rt::test]
async fn generated_document_that_is_cut_by_its_connection_is_incomplete() {
    let platform = Platform::start();
    let sent = json!({"choices": [], "usage": {"prompt_tokens": 7}}).to_string();
    let address = start_raw_upstream(JSON, &sent.as_bytes()[..20], ConnectionEnd::Close).await;
    let env = env_at(address, &platform).await;
    let reply = env.chat("cut", false, 5).await;
    assert!(!reply.complete, "{reply:?}");
}

#[actix_rt::test]
async fn generated_stream_without_its_end_is_incomplete_however_it_is_framed() {
    let cuts = [
        0,
        10,
        STREAM.len() / 2,
        STREAM.find("[DONE]").expect("an end"),
    ];
    for sent in cuts.map(|cut| &STREAM[..cut]) {
        let chunk = match sent.len() {
            0 => String::new(),
            length => format!("{length:x}\r\n{sent}\r\n"),
        };
        let ends = [
            (String::new(), sent.to_owned()),
            (
                format!("content-length: {}\r\n", sent.len()),
                sent.to_owned(),
            ),
            (
                "transfer-encoding: chunked\r\n".to_owned(),
                chunk + "0\r\n\r\n",
            ),
        ];
        for (framing, body) in ends {
            let platform = Platform::start();
            let headers = format!("{EVENTS}{framing}");
            let end = ConnectionEnd::Close;
            let address = start_raw_upstream(&headers, body.as_bytes(), end).await;
            let env = env_at(address, &platform).await;
            let url = format!("http://{}/v1/chat/completions", env.entry_address());
            let body = chat_body("cut", true, 5, "is this tolerance right?");
            let res = env.client.post(url).bearer_auth(KEY).send_json(&body).await;
            let reply = read_reply(res.expect("an answer head")).await;
            assert!(!reply.complete, "{framing:?} {sent:?} {reply:?}");
        }
    }
}

#[actix_rt::test]
async fn generated_stream_with_its_end_is_complete_without_a_length() {
    let platform = Platform::start();
    let address = start_raw_upstream(EVENTS, STREAM.as_bytes(), ConnectionEnd::Close).await;
    let env = env_at(address, &platform).await;
    let reply = env.chat("whole", true, 5).await;
    assert_eq!((reply.status, reply.complete), (200, true), "{reply:?}");
    assert_eq!(reply.body, STREAM);
}
