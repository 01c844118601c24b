//! Streams beside two software versions, in the product's own dialect.

use almondramp::name::Name;
use almondramp::settings::File;
use almondramp_standins::ConnectionEnd;
use almondramp_standins::start_raw_upstream;

use crate::support::Env;
use crate::support::KEY;
use crate::support::chat_body;
use crate::support::settings;

const HEADERS: &str = "content-type: text/event-stream\r\n";

fn stream_of(version: &str) -> String {
    format!("id: 1\ndata: {version}\n\nid: 2\ndata: {version}\n\ndata: [DONE]\n\n")
}

/// Starts a site with an engine of each of two versions, whose streams can be resumed.
async fn env() -> Env {
    let more = "[routes.chat]\nresumable = true\n";
    let mut document = settings(more);
    let mut text = String::new();
    for (engine, version) in [("engine-a", "v1"), ("engine-b", "v2")] {
        let stream = stream_of(version);
        let end = ConnectionEnd::Close;
        let address = start_raw_upstream(HEADERS, stream.as_bytes(), end).await;
        text +=
            &format!("[upstreams.{engine}]\naddress = \"{address}\"\nversion = \"{version}\"\n");
    }
    let name = Name::new("95-engines.toml");
    document.files.push(File { name, text });
    Env::with_settings(document).await
}

/// Asks for a stream, or resumes the one that the request `began` brought. Returns the id
/// of the request and the body, or the code of the error.
async fn chat(env: &Env, began: Option<&str>) -> (String, String) {
    let url = format!("http://{}/v1/chat/completions", env.entry_address());
    let mut req = env.client.post(url).bearer_auth(KEY);
    if let Some(began) = began {
        // The engines send their whole stream, which is the rest after this event.
        req = req.insert_header(("last-event-id", "0"));
        req = req.insert_header(("x-almondramp-resumes", began));
    }
    let body = chat_body("versions", true, 2, "is this tolerance right?");
    let mut res = req.send_json(&body).await.expect("an answer");
    let id = res.headers().get("x-almondramp-request-id");
    let id = id.map(|v| v.to_str().expect("text").to_owned());
    let body = res.body().await.expect("a whole body");
    let body = String::from_utf8(body.to_vec()).expect("text");
    (id.unwrap_or_default(), body)
}

// Issue 28, ORDER: streams were resumed at any software version.
#[actix_rt::test]
async fn resumed_stream_goes_on_at_the_version_that_began_it() {
    let env = env().await;
    for _ in 0..8 {
        let (began, stream) = chat(&env, None).await;
        let (_, resumed) = chat(&env, Some(&began)).await;
        assert_eq!(resumed, stream);
    }
    let (_, refused) = chat(&env, Some("unknown")).await;
    assert!(refused.contains("version-unavailable"), "{refused}");
    assert!(refused.contains("not-run"), "{refused}");
}
