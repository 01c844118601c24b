//! A model engine with continuous batching without priorities, a prefix cache
//! of limited size, configurable speed and a delayed load report.

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

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use almondramp::prefix::CHUNK_TOKENS;
use almondramp::prefix::PrefixIndex;
use almondramp::prefix::chunk_hashes;
use almondramp::prefix::estimate_tokens;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::engine::answers::handle;
use crate::server::ServerThread;

mod answers;

/// Header of answers that names the rate limit.
const RATE_LIMIT_HEADER: &str = "x-almondramp-rate-limit";

/// Tokens generated when the request sets no `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// Speed, capacity and behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Maximum number of requests in the batch; others wait in arrival order.
    pub batch_size: usize,
    /// Duration of one decode step without prefill.
    pub step_time: Duration,
    /// Time to process one prompt token.
    pub prefill_token_time: Duration,
    /// Maximum number of prompt tokens processed in one step.
    pub prefill_budget: u64,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: u64,
    /// Delay of the load report.
    pub load_lag: Duration,
    /// Whether load orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            batch_size: 8,
            step_time: Duration::from_millis(2),
            prefill_token_time: Duration::from_micros(20),
            prefill_budget: 512,
            cache_tokens: 64 << 10,
            load_lag: Duration::from_secs(2),
            checks_fencing: true,
        }
    }
}

/// Hashes of the prompt chunks processed by any engine of a group, used to
/// count recomputation.
pub type SeenPrefixes = Arc<Mutex<HashSet<u64>>>;

/// Counters of an engine and the load orders it received.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// Number of runs of each request, by the `user` field of its body.
    pub runs: HashMap<String, u32>,
    /// Prompt tokens processed, excluding cached ones.
    pub prefill_tokens: u64,
    /// Prompt tokens processed for requests that were aborted.
    pub wasted_tokens: u64,
    /// Prompt tokens processed again after an engine of the group had
    /// processed them.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Requests that were aborted, by a fault or by a closed connection.
    pub cancelled: u64,
    /// Load orders in order of arrival.
    pub orders: Vec<EngineOrder>,
    /// When requests arrived, in order.
    pub arrivals: Vec<Instant>,
}

/// An order to load a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// The model.
    pub model: String,
    /// The fencing number of the order.
    pub fencing: u64,
    /// Whether the engine accepted the order.
    pub accepted: bool,
}

#[derive(Default)]
struct SharedState {
    stats: EngineStats,
    /// Factor for all durations; 1 if not set.
    slowdown: Option<f64>,
    /// Whether all requests, waiting ones included, are aborted at the next step.
    failing: bool,
    /// The requests a second that the engine names in its answers.
    rate_limit: Option<f64>,
}

/// A running engine.
pub struct Engine {
    server: ServerThread,
    shared_state: Arc<Mutex<SharedState>>,
}

impl Engine {
    /// Starts an engine. Engines that share `seen` form one group.
    pub fn start(config: EngineConfig, seen: SeenPrefixes) -> Self {
        let shared_state = Arc::<Mutex<SharedState>>::default();
        let shared = Arc::clone(&shared_state);
        let server = ServerThread::start(move || {
            let batch = Rc::new(Batch::new(config, shared, seen));
            actix_rt::spawn(Rc::clone(&batch).run());
            move |req| handle(Rc::clone(&batch), req)
        });
        Self {
            server,
            shared_state,
        }
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns a copy of the current counters.
    pub fn stats(&self) -> EngineStats {
        lock(&self.shared_state).stats.clone()
    }

    /// Slows the engine down: multiplies all durations by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        lock(&self.shared_state).slowdown = Some(factor);
    }

    /// Sets the requests a second that the engine names in its answers.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        lock(&self.shared_state).rate_limit = per_second;
    }

    /// Sets whether every running and later request is aborted.
    pub fn set_failing(&self, failing: bool) {
        lock(&self.shared_state).failing = failing;
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
    Aborted,
}

struct Batch {
    config: EngineConfig,
    shared_state: Arc<Mutex<SharedState>>,
    seen: SeenPrefixes,
    sequences: RefCell<Vec<Sequence>>,
    cache: RefCell<PrefixIndex>,
    reported: RefCell<Vec<(Instant, usize)>>,
    arrived: Notify,
}

impl Batch {
    fn new(
        config: EngineConfig,
        shared_state: Arc<Mutex<SharedState>>,
        seen: SeenPrefixes,
    ) -> Self {
        let chunks = usize::try_from(config.cache_tokens / CHUNK_TOKENS).unwrap_or(usize::MAX);
        Self {
            config,
            shared_state,
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
            let slowdown = lock(&self.shared_state).slowdown.unwrap_or(1.0);
            let duration =
                self.config.step_time + self.config.prefill_token_time.mul_f64(prefill as f64);
            actix_rt::time::sleep(duration.mul_f64(slowdown)).await;
            self.decode_step();
            self.report();
        }
    }

    /// Processes prompt tokens of the batch in arrival order.
    fn prefill_step(&self) -> u64 {
        let mut budget = self.config.prefill_budget;
        let mut sequences = self.sequences.borrow_mut();
        for sequence in sequences.iter_mut().take(self.config.batch_size) {
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

    /// Generates a token for each sequence with a fully processed prompt.
    fn decode_step(&self) {
        let mut shared_state = lock(&self.shared_state);
        let failing = shared_state.failing;
        let mut sequences = self.sequences.borrow_mut();
        let mut position = 0;
        sequences.retain_mut(|sequence| {
            position += 1;
            let cancelled = sequence.tokens.is_closed();
            if failing || cancelled {
                let _ = sequence.tokens.send(Token::Aborted);
                shared_state.stats.wasted_tokens += sequence.prefilled;
                shared_state.stats.prefill_tokens += sequence.prefilled;
                shared_state.stats.cancelled += 1;
                return false;
            }
            if position > self.config.batch_size || sequence.prefill_left > 0 {
                return true;
            }
            sequence.emitted += 1;
            sequence.output_left -= 1;
            shared_state.stats.output_tokens += 1;
            let _ = sequence.tokens.send(Token::Next(sequence.emitted));
            if sequence.output_left > 0 {
                return true;
            }
            let _ = sequence.tokens.send(Token::Last);
            shared_state.stats.prefill_tokens += sequence.prefilled;
            shared_state.stats.completed += 1;
            false
        });
    }

    fn report(&self) {
        let mut reported = self.reported.borrow_mut();
        reported.push((Instant::now(), self.sequences.borrow().len()));
        let lag = self.config.load_lag;
        let visible = reported.iter().rposition(|(at, _)| at.elapsed() >= lag);
        reported.drain(..visible.unwrap_or(0));
    }

    fn load(&self) -> usize {
        let reported = self.reported.borrow();
        let visible = reported
            .first()
            .filter(|(at, _)| at.elapsed() >= self.config.load_lag);
        visible.map_or(0, |(_, count)| *count)
    }

    fn models(&self) -> Value {
        let shared_state = lock(&self.shared_state);
        let loaded = shared_state.stats.orders.iter().filter(|o| o.accepted);
        let data: Vec<Value> = loaded.map(|o| json!({ "id": o.model })).collect();
        json!({ "object": "list", "data": data })
    }

    fn order(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(order) = serde_json::from_slice::<OrderBody>(body) else {
            return Response::bad_request().map_into_boxed_body();
        };
        let mut shared_state = lock(&self.shared_state);
        let highest = shared_state.stats.orders.iter().map(|o| o.fencing).max();
        let outdated = highest.is_some_and(|highest| order.fencing < highest);
        let accepted = !(outdated && self.config.checks_fencing);
        shared_state.stats.orders.push(EngineOrder {
            model: order.load,
            fencing: order.fencing,
            accepted,
        });
        let status = if accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Response::build(status).finish().map_into_boxed_body()
    }

    /// Adds a request to the batch and returns the number of prompt tokens, how
    /// many of them are cached, and the channel of generated tokens.
    fn add(&self, body: &Body) -> (u64, u64, mpsc::UnboundedReceiver<Token>) {
        let prompt = body.messages.as_ref().or(body.prompt.as_ref());
        let text = prompt.map_or("", |p| p.get());
        let hashes = chunk_hashes(&body.model, text.as_bytes());
        let total = estimate_tokens(text.len());
        let matched = self.cache.borrow().matching_chunks(&hashes);
        let cached = total.min(matched as u64 * CHUNK_TOKENS);
        let (tokens, received) = mpsc::unbounded_channel();
        let mut shared_state = lock(&self.shared_state);
        shared_state.stats.arrivals.push(Instant::now());
        *shared_state
            .stats
            .runs
            .entry(body.user.clone())
            .or_default() += 1;
        let mut seen = lock(&self.seen);
        let repeated = hashes[matched..].iter().filter(|h| !seen.insert(**h));
        shared_state.stats.recomputed_tokens += repeated.count() as u64 * CHUNK_TOKENS;
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
