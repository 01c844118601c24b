//! A model engine: continuous batching without priorities, a prefix cache of
//! limited size, a pace, and a load report that lags.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header;
use almondramp::prefix::CHUNK_TOKENS;
use almondramp::prefix::PrefixIndex;
use almondramp::prefix::chunk_hashes;
use almondramp::prefix::estimate_tokens;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::server::ServerThread;
use crate::server::cut;
use crate::server::read_body;

/// Tokens of an answer whose request sets no bound.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Requests in the batch at most; more wait in arrival order.
    pub batch: usize,
    /// The time of one step for its generated tokens.
    pub step: Duration,
    /// The time to process one prompt token.
    pub prefill_token: Duration,
    /// Prompt tokens processed in one step at most.
    pub prefill_budget: u64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// How far the load report lags.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            batch: 8,
            step: Duration::from_millis(2),
            prefill_token: Duration::from_micros(20),
            prefill_budget: 512,
            cache_tokens: 64 << 10,
            load_lag: Duration::from_secs(2),
            checks_fencing: true,
        }
    }
}

/// Chunks that any engine of a group has processed, to count recomputation.
pub type SeenPrefixes = Arc<Mutex<HashSet<u64>>>;

/// What an engine has done.
#[derive(Clone, Debug, Default)]
pub struct EngineLedger {
    /// How often each request ran, by the `user` field of its body.
    pub runs: HashMap<String, u32>,
    /// Prompt tokens processed, cached ones not counted.
    pub prefill: u64,
    /// Prompt tokens processed for requests that were cut off.
    pub wasted: u64,
    /// Prompt tokens processed again that some engine had processed before.
    pub recomputed: u64,
    /// Tokens generated.
    pub output: u64,
    /// Requests that ended whole.
    pub whole: u64,
    /// Requests that were cut off.
    pub cancelled: u64,
    /// Orders, in the order in which they came.
    pub orders: Vec<EngineOrder>,
}

/// An order to load a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// The model.
    pub model: String,
    /// The fencing number that it carried.
    pub fencing: u64,
    /// Whether it was obeyed.
    pub obeyed: bool,
}

#[derive(Default)]
struct Controls {
    ledger: EngineLedger,
    /// Multiplies all times; 1 if not set.
    slowdown: Option<f64>,
    /// Cuts the connection of each running request at its next token.
    dying: bool,
}

/// A running engine.
pub struct Engine {
    server: ServerThread,
    controls: Arc<Mutex<Controls>>,
}

impl Engine {
    /// Starts an engine; engines that share `seen` count as one group.
    pub fn start(config: EngineConfig, seen: SeenPrefixes) -> Self {
        let controls = Arc::<Mutex<Controls>>::default();
        let shared = Arc::clone(&controls);
        let server = ServerThread::start(move || {
            let batch = Rc::new(Batch::new(config, shared, seen));
            actix_rt::spawn(Rc::clone(&batch).run());
            move |req| handle(Rc::clone(&batch), req)
        });
        Self { server, controls }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it has done so far.
    pub fn ledger(&self) -> EngineLedger {
        lock(&self.controls).ledger.clone()
    }

    /// Makes it a straggler: all times are multiplied by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        lock(&self.controls).slowdown = Some(factor);
    }

    /// Has it cut every running and later request, or stop doing so.
    pub fn set_dying(&self, dying: bool) {
        lock(&self.controls).dying = dying;
    }
}

#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    model: String,
    #[serde(default)]
    user: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    messages: Option<Box<serde_json::value::RawValue>>,
    prompt: Option<Box<serde_json::value::RawValue>>,
}

#[derive(Deserialize)]
struct OrderBody {
    load: String,
    fencing: u64,
}

struct Sequence {
    hashes: Vec<u64>,
    prefill_left: u64,
    prefilled: u64,
    output_left: u64,
    emitted: u64,
    tokens: mpsc::UnboundedSender<Token>,
}

enum Token {
    Next(u64),
    Last,
    Cut,
}

struct Batch {
    config: EngineConfig,
    controls: Arc<Mutex<Controls>>,
    seen: SeenPrefixes,
    sequences: RefCell<Vec<Sequence>>,
    cache: RefCell<PrefixIndex>,
    reported: RefCell<Vec<(Instant, usize)>>,
    arrived: Notify,
}

impl Batch {
    fn new(config: EngineConfig, controls: Arc<Mutex<Controls>>, seen: SeenPrefixes) -> Self {
        let chunks = usize::try_from(config.cache_tokens / CHUNK_TOKENS).unwrap_or(usize::MAX);
        Self {
            config,
            controls,
            seen,
            sequences: RefCell::default(),
            cache: RefCell::new(PrefixIndex::new(chunks)),
            reported: RefCell::default(),
            arrived: Notify::new(),
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            let arrived = self.arrived.notified();
            if self.sequences.borrow().is_empty() {
                arrived.await;
                continue;
            }
            let prefill = self.prefill_step();
            let slowdown = lock(&self.controls).slowdown.unwrap_or(1.0);
            let took = self.config.step + self.config.prefill_token.mul_f64(prefill as f64);
            actix_rt::time::sleep(took.mul_f64(slowdown)).await;
            self.decode_step();
            self.report();
        }
    }

    /// Processes prompt tokens of the batch in arrival order.
    fn prefill_step(&self) -> u64 {
        let mut budget = self.config.prefill_budget;
        let mut sequences = self.sequences.borrow_mut();
        for sequence in sequences.iter_mut().take(self.config.batch) {
            let count = sequence.prefill_left.min(budget);
            sequence.prefill_left -= count;
            sequence.prefilled += count;
            budget -= count;
            if sequence.prefill_left == 0 && sequence.emitted == 0 {
                self.cache.borrow_mut().touch(&sequence.hashes);
            }
        }
        self.config.prefill_budget - budget
    }

    /// Generates a token for each sequence whose prompt is processed.
    fn decode_step(&self) {
        let mut controls = lock(&self.controls);
        let dying = controls.dying;
        let mut sequences = self.sequences.borrow_mut();
        let mut position = 0;
        sequences.retain_mut(|sequence| {
            position += 1;
            let gone = sequence.tokens.is_closed();
            if dying || gone {
                let _ = sequence.tokens.send(Token::Cut);
                controls.ledger.wasted += sequence.prefilled;
                controls.ledger.prefill += sequence.prefilled;
                controls.ledger.cancelled += 1;
                return false;
            }
            if position > self.config.batch || sequence.prefill_left > 0 {
                return true;
            }
            sequence.emitted += 1;
            sequence.output_left -= 1;
            controls.ledger.output += 1;
            let _ = sequence.tokens.send(Token::Next(sequence.emitted));
            if sequence.output_left > 0 {
                return true;
            }
            let _ = sequence.tokens.send(Token::Last);
            controls.ledger.prefill += sequence.prefilled;
            controls.ledger.whole += 1;
            false
        });
    }

    fn report(&self) {
        let mut reported = self.reported.borrow_mut();
        reported.push((Instant::now(), self.sequences.borrow().len()));
        let lag = self.config.load_lag;
        let due = reported.iter().rposition(|(at, _)| at.elapsed() >= lag);
        reported.drain(..due.unwrap_or(0));
    }

    fn load(&self) -> usize {
        let reported = self.reported.borrow();
        let due = reported
            .first()
            .filter(|(at, _)| at.elapsed() >= self.config.load_lag);
        due.map_or(0, |(_, count)| *count)
    }

    fn models(&self) -> Value {
        let controls = lock(&self.controls);
        let loaded = controls.ledger.orders.iter().filter(|o| o.obeyed);
        let data: Vec<Value> = loaded.map(|o| json!({ "id": o.model })).collect();
        json!({ "object": "list", "data": data })
    }

    fn order(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(order) = serde_json::from_slice::<OrderBody>(body) else {
            return Response::bad_request().map_into_boxed_body();
        };
        let mut controls = lock(&self.controls);
        let highest = controls.ledger.orders.iter().map(|o| o.fencing).max();
        let old = highest.is_some_and(|highest| order.fencing < highest);
        let obeyed = !(old && self.config.checks_fencing);
        controls.ledger.orders.push(EngineOrder {
            model: order.load,
            fencing: order.fencing,
            obeyed,
        });
        let status = if obeyed {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Response::build(status).finish().map_into_boxed_body()
    }

    /// Adds a request to the batch and returns its prompt tokens, how many of
    /// them are cached, and its tokens as they come.
    fn add(&self, body: &Body) -> (u64, u64, mpsc::UnboundedReceiver<Token>) {
        let prompt = body.messages.as_ref().or(body.prompt.as_ref());
        let text = prompt.map_or("", |p| p.get());
        let hashes = chunk_hashes(&body.model, text.as_bytes());
        let total = estimate_tokens(text.len());
        let matched = self.cache.borrow().matching_chunks(&hashes);
        let cached = total.min(matched as u64 * CHUNK_TOKENS);
        let (tokens, received) = mpsc::unbounded_channel();
        let mut controls = lock(&self.controls);
        *controls.ledger.runs.entry(body.user.clone()).or_default() += 1;
        let mut seen = lock(&self.seen);
        let repeated = hashes[matched..].iter().filter(|h| !seen.insert(**h));
        controls.ledger.recomputed += repeated.count() as u64 * CHUNK_TOKENS;
        self.sequences.borrow_mut().push(Sequence {
            hashes,
            prefill_left: total - cached,
            prefilled: 0,
            output_left: body.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1),
            emitted: 0,
            tokens,
        });
        self.arrived.notify_waiters();
        (total, cached, received)
    }
}

async fn handle(batch: Rc<Batch>, mut req: Request) -> Response<BoxBody> {
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
    match body.stream {
        true => stream_answer(user, tokens, usage),
        false => whole_answer(user, tokens, usage).await,
    }
}

/// The text of a token; it names the request, so that a mixed-up answer shows.
fn token_text(user: &str, number: u64) -> String {
    format!("{user}:{number} ")
}

async fn whole_answer<U>(
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
            Some(Token::Cut) | None => return cut(),
        }
    }
    json_answer(&json!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
        "usage": usage(count),
    }))
}

fn stream_answer<U>(
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
                Some(Token::Cut) | None => Some((Err(std::io::Error::other("cut")), None)),
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
