//! The answers of the engine.

use std::rc::Rc;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::Batch;
use super::Body;
use super::RATE_LIMIT_HEADER;
use super::Token;
use super::lock;
use crate::server::aborted_response;
use crate::server::read_body;

pub(super) async fn handle(batch: Rc<Batch>, mut req: Request) -> Response<BoxBody> {
    match req.path() {
        "/v1/chat/completions" | "/v1/completions" => {}
        "/v1/models" => return json_answer(&batch.models()),
        "/orders" => {
            let body = read_body(&mut req).await;
            return batch.order(&body);
        }
        "/load" => return json_answer(&json!({ "running": batch.load() })),
        _ => return Response::not_found().map_into_boxed_body(),
    }
    let body = read_body(&mut req).await;
    let Ok(body) = serde_json::from_slice::<Body>(&body) else {
        return Response::bad_request().map_into_boxed_body();
    };
    let (total, cached, tokens) = batch.add(&body);
    let user = body.user.clone();
    let usage = move |output: u64| {
        json!({
            "prompt_tokens": total,
            "completion_tokens": output,
            "prompt_tokens_details": { "cached_tokens": cached },
        })
    };
    let mut response = match body.stream {
        true => streamed_answer(user, tokens, usage),
        false => unstreamed_answer(user, tokens, usage).await,
    };
    if let Some(limit) = lock(&batch.shared_state).rate_limit {
        let value = HeaderValue::from_str(&limit.to_string()).expect("a number is a header value");
        let name = HeaderName::from_static(RATE_LIMIT_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

/// Returns the text of a token. It contains the id of the request, so that an
/// answer to another request is detected.
fn token_text(user: &str, number: u64) -> String {
    format!("{user}:{number} ")
}

async fn unstreamed_answer<U>(
    user: String,
    mut tokens: mpsc::UnboundedReceiver<Token>,
    usage: U,
) -> Response<BoxBody>
where
    U: Fn(u64) -> Value,
{
    let mut text = String::new();
    let mut count = 0;
    loop {
        match tokens.recv().await {
            Some(Token::Next(number)) => {
                count = number;
                text.push_str(&token_text(&user, number));
            }
            Some(Token::Last) => break,
            Some(Token::Aborted) | None => return aborted_response(),
        }
    }
    json_answer(&json!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
        "usage": usage(count),
    }))
}

fn streamed_answer<U>(
    user: String,
    tokens: mpsc::UnboundedReceiver<Token>,
    usage: U,
) -> Response<BoxBody>
where
    U: Fn(u64) -> Value + 'static,
{
    let state = Some((tokens, 0));
    let events = stream::unfold(state, move |state| {
        let user = user.clone();
        let last = |count| {
            format!(
                "data: {}\n\ndata: [DONE]\n\n",
                json!({ "usage": usage(count) })
            )
        };
        let ending = state.as_ref().map(|(_, count)| last(*count));
        async move {
            let (mut tokens, _) = state?;
            match tokens.recv().await {
                Some(Token::Next(number)) => {
                    let text = token_text(&user, number);
                    let event =
                        json!({ "choices": [{ "index": 0, "delta": { "content": text } }] });
                    let bytes = Bytes::from(format!("data: {event}\n\n"));
                    Some((Ok(bytes), Some((tokens, number))))
                }
                Some(Token::Last) => Some((Ok(Bytes::from(ending?)), None)),
                Some(Token::Aborted) | None => {
                    Some((Err(std::io::Error::other("response aborted")), None))
                }
            }
        }
    });
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .body(BodyStream::new(events.boxed_local()))
        .map_into_boxed_body()
}

fn json_answer(value: &Value) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(value.to_string())
        .map_into_boxed_body()
}
