//! An open-loop load generator: requests are sent at seeded random times that
//! don't depend on when earlier requests are answered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use almondramp::entry::TIER_HEADER;
use almondramp::http_client::new_client;
use almondramp::name::Name;
use awc::Client;
use futures::StreamExt;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

/// Time to wait for outstanding answers after the last request was sent.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The kind of request that a class sends.
#[derive(Clone, Debug)]
pub enum LoadWork {
    /// A streamed chat request to a model engine.
    Chat {
        /// The model.
        model: &'static str,
        /// Range of the number of prompt bytes unique to the request.
        unique_bytes: Range<usize>,
        /// Number of bytes at the start of the prompt shared by a group.
        shared_bytes: usize,
        /// Number of groups with a shared prefix.
        groups: usize,
        /// Range of the number of tokens to generate.
        output: Range<u64>,
    },
    /// A request to a plain service that must not be repeated.
    Save,
    /// A request to a plain service with an idempotency key.
    KeyedSave,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// The name of the class.
    pub name: &'static str,
    /// The requested tier; the settings must allow it.
    pub tier: &'static str,
    /// The organisation that sends the requests.
    pub organisation: &'static str,
    /// The API key.
    pub key: String,
    /// The request path.
    pub path: &'static str,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time within which an answer counts as good.
    pub deadline: Duration,
    /// The kind of request.
    pub work: LoadWork,
}

/// Result of a request as its caller sees it.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// The class.
    pub class: &'static str,
    /// The tier.
    pub tier: &'static str,
    /// The organisation.
    pub organisation: &'static str,
    /// The id under which stand-ins count runs of the request.
    pub id: String,
    /// Time from the start of the load to the sending of the request.
    pub sent: Duration,
    /// Time from sending the request to the end of the answer.
    pub duration: Duration,
    /// The HTTP status, or 0 without an answer.
    pub status: u16,
    /// The error code of a refusal, or the reason for a missing answer.
    pub code: String,
    /// The `run` field of a refusal.
    pub run: String,
    /// Whether the HTTP body ended without an error.
    pub complete: bool,
    /// Whether the answer is complete and belongs to this request.
    pub valid: bool,
    /// Whether the answer was valid and within the deadline.
    pub good: bool,
}

struct PlannedRequest {
    at: Duration,
    class: usize,
    id: String,
    body: Value,
}

/// Sends the load to the given entries in turn and waits for all answers.
/// Calls `progress` about once a second with the number of requests sent and
/// the number ended.
pub async fn run_load<P>(
    classes: Vec<LoadClass>,
    length: Duration,
    seed: u64,
    entries: Vec<SocketAddr>,
    mut progress: P,
) -> Vec<LoadRecord>
where
    P: FnMut(usize, usize),
{
    let plan = plan(&classes, length, seed);
    let total = plan.len();
    let classes = Rc::new(classes);
    let client = new_client();
    let records: Rc<RefCell<Vec<LoadRecord>>> = Rc::default();
    let mut unanswered: BTreeMap<String, (usize, Duration)> = BTreeMap::new();
    let started = Instant::now();
    let mut last_progress = started;
    for (i, planned) in plan.into_iter().enumerate() {
        let at = started + planned.at;
        actix_rt::time::sleep_until(at.into()).await;
        if last_progress.elapsed() >= Duration::from_secs(1) {
            last_progress = Instant::now();
            progress(i, records.borrow().len());
        }
        let entry = entries[i % entries.len()];
        unanswered.insert(planned.id.clone(), (planned.class, planned.at));
        let (classes, records) = (Rc::clone(&classes), Rc::clone(&records));
        let client = client.clone();
        actix_rt::spawn(async move {
            let record = send(&client, entry, &classes[planned.class], planned).await;
            records.borrow_mut().push(record);
        });
    }
    let sent = Instant::now();
    while records.borrow().len() < total && sent.elapsed() < FINAL_ANSWER_TIMEOUT {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    progress(total, records.borrow().len());
    let mut records = records.take();
    for record in &records {
        unanswered.remove(&record.id);
    }
    let unanswered = unanswered.into_iter();
    records.extend(unanswered.map(|(id, (class, at))| hung_record(&classes[class], id, at)));
    records
}

/// Returns the record of a request without an answer within
/// `FINAL_ANSWER_TIMEOUT`.
fn hung_record(class: &LoadClass, id: String, sent: Duration) -> LoadRecord {
    LoadRecord {
        class: class.name,
        tier: class.tier,
        organisation: class.organisation,
        id,
        sent,
        duration: FINAL_ANSWER_TIMEOUT,
        status: 0,
        code: "hung".to_owned(),
        run: String::new(),
        complete: false,
        valid: false,
        good: false,
    }
}

fn plan(classes: &[LoadClass], length: Duration, seed: u64) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for (class, load) in classes.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(class as u64));
        let mut at = Duration::ZERO;
        for number in 0.. {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / load.rate);
            if at >= length {
                break;
            }
            let id = format!("{}-{}-{seed}-{number}", load.organisation, load.name);
            let body = body(load, &id, &mut rng);
            planned.push(PlannedRequest {
                at,
                class,
                id,
                body,
            });
        }
    }
    planned.sort_by_key(|p| p.at);
    planned
}

fn body(load: &LoadClass, id: &str, rng: &mut StdRng) -> Value {
    match &load.work {
        LoadWork::Save | LoadWork::KeyedSave => json!({ "id": id }),
        LoadWork::Chat {
            model,
            unique_bytes,
            shared_bytes,
            groups,
            output,
        } => {
            let group = rng.random_range(0..*groups);
            let shared = format!("{}-{group} ", load.organisation).repeat(shared_bytes / 8 + 1);
            let own = rng.random_range(unique_bytes.clone());
            let prompt = format!("{}{}", &shared[..*shared_bytes], filler_text(id, own));
            json!({
                "model": model,
                "user": id,
                "stream": true,
                "max_tokens": rng.random_range(output.clone()),
                "messages": [{ "role": "user", "content": prompt }],
            })
        }
    }
}

fn filler_text(id: &str, bytes: usize) -> String {
    let mut text = id.repeat(bytes / id.len() + 1);
    text.truncate(bytes);
    text
}

async fn send(
    client: &Client,
    entry: SocketAddr,
    class: &LoadClass,
    planned: PlannedRequest,
) -> LoadRecord {
    let started = Instant::now();
    let url = format!("http://{entry}{}", class.path);
    let mut req = client
        .post(url)
        .bearer_auth(&class.key)
        .insert_header((TIER_HEADER, class.tier));
    if matches!(class.work, LoadWork::KeyedSave) {
        req = req.insert_header(("idempotency-key", planned.id.as_str()));
    }
    let sent = req.send_json(&planned.body);
    let mut text = Vec::new();
    let mut complete = false;
    let mut status = 0;
    let mut unanswered = None;
    match sent.await {
        Ok(mut res) => {
            status = res.status().as_u16();
            complete = true;
            while let Some(part) = res.next().await {
                match part {
                    Ok(bytes) => text.extend_from_slice(&bytes),
                    // A failed stream doesn't necessarily end.
                    Err(_) => {
                        complete = false;
                        break;
                    }
                }
            }
        }
        Err(e) => unanswered = Some(e.to_string()),
    }
    let duration = started.elapsed();
    let error = serde_json::from_slice::<Value>(&text).unwrap_or_default();
    let error_text = |key: &str| error["error"][key].as_str().unwrap_or_default().to_owned();
    let valid = complete && status == 200 && is_expected_answer(class, &planned, &text);
    LoadRecord {
        class: class.name,
        tier: class.tier,
        organisation: class.organisation,
        sent: planned.at,
        duration,
        status,
        code: unanswered.unwrap_or_else(|| error_text("code")),
        run: error_text("run"),
        complete,
        valid,
        good: valid && duration <= class.deadline,
        id: planned.id,
    }
}

/// Returns whether an answer is complete and belongs to the request.
fn is_expected_answer(class: &LoadClass, planned: &PlannedRequest, text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    match class.work {
        LoadWork::Save | LoadWork::KeyedSave => {
            let answer: Value = serde_json::from_str(&text).unwrap_or_default();
            answer["id"] == planned.id.as_str()
        }
        LoadWork::Chat { .. } => {
            let tokens = planned.body["max_tokens"].as_u64().unwrap_or_default();
            let expected = (1..=tokens).map(|i| format!("\"{}:{i} \"", planned.id));
            let mut rest = &*text;
            let mut in_order = expected.into_iter().all(|token| match rest.find(&token) {
                Some(i) => {
                    rest = &rest[i + token.len()..];
                    true
                }
                None => false,
            });
            in_order &= text.trim_end().ends_with("data: [DONE]");
            in_order
        }
    }
}

/// Counts of results of a group of requests.
#[derive(Clone, Debug, Default)]
pub struct LoadSummary {
    /// Requests sent.
    pub sent: usize,
    /// Valid answers within the deadline.
    pub good: usize,
    /// Valid answers after the deadline.
    pub late: usize,
    /// All other results by error code; `broken` without a code.
    pub failed: BTreeMap<String, usize>,
}

/// Counts results grouped by the name that `key` returns.
pub fn summarise<F>(records: &[LoadRecord], key: F) -> BTreeMap<Name, LoadSummary>
where
    F: Fn(&LoadRecord) -> &str,
{
    let mut summaries: BTreeMap<Name, LoadSummary> = BTreeMap::new();
    for record in records {
        let summary = summaries.entry(Name::new(key(record))).or_default();
        summary.sent += 1;
        match (record.good, record.valid) {
            (true, _) => summary.good += 1,
            (false, true) => summary.late += 1,
            (false, false) => {
                let code = match record.code.as_str() {
                    "" => "broken".to_owned(),
                    code => code.to_owned(),
                };
                *summary.failed.entry(code).or_default() += 1;
            }
        }
    }
    summaries
}
