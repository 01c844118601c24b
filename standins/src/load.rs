//! An open-loop load: requests are sent at seeded times, however slowly the
//! earlier ones are answered.

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

/// The time that the last answers get after the last request was sent.
const TAIL: Duration = Duration::from_secs(60);

/// What the requests of a class are.
#[derive(Clone, Debug)]
pub enum LoadWork {
    /// A chat with a model engine.
    Chat {
        /// The model.
        model: &'static str,
        /// Bytes of the prompt that no other request shares.
        own_bytes: Range<usize>,
        /// Bytes at the start of the prompt that a group shares.
        shared_bytes: usize,
        /// The number of groups.
        groups: usize,
        /// Tokens to generate.
        output: Range<u64>,
    },
    /// A call to a plain service that may not be repeated.
    Save,
    /// The same with an idempotency key.
    KeyedSave,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// The name of the class.
    pub name: &'static str,
    /// The tier that it asks for; the settings must allow it.
    pub tier: &'static str,
    /// The organisation that sends it.
    pub organisation: &'static str,
    /// The API key.
    pub key: String,
    /// The path.
    pub path: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// The time within which an answer is useful.
    pub deadline: Duration,
    /// What the requests are.
    pub work: LoadWork,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// The class.
    pub class: &'static str,
    /// The tier.
    pub tier: &'static str,
    /// The organisation.
    pub organisation: &'static str,
    /// The id by which stand-ins count its runs.
    pub id: String,
    /// When it was sent, from the start of the load.
    pub sent: Duration,
    /// How long its answer took.
    pub took: Duration,
    /// The HTTP status; 0 without an answer.
    pub status: u16,
    /// The code of a refusal, or why there was no answer.
    pub code: String,
    /// What a refusal says of the run.
    pub run: String,
    /// Whether the answer was ended as whole.
    pub whole: bool,
    /// Whether the answer was whole and its own.
    pub valid: bool,
    /// Whether it was valid in time.
    pub good: bool,
}

struct Planned {
    at: Duration,
    class: usize,
    id: String,
    body: Value,
}

/// Sends the load to the callers' addresses in turn and waits for all answers.
/// `progress` is told the numbers sent and ended about once a second.
pub async fn run_load<P>(
    classes: Vec<LoadClass>,
    length: Duration,
    seed: u64,
    callers: Vec<SocketAddr>,
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
    let mut told = started;
    for (i, planned) in plan.into_iter().enumerate() {
        let at = started + planned.at;
        actix_rt::time::sleep_until(at.into()).await;
        if told.elapsed() >= Duration::from_secs(1) {
            told = Instant::now();
            progress(i, records.borrow().len());
        }
        let caller = callers[i % callers.len()];
        unanswered.insert(planned.id.clone(), (planned.class, planned.at));
        let (classes, records) = (Rc::clone(&classes), Rc::clone(&records));
        let client = client.clone();
        actix_rt::spawn(async move {
            let record = send(&client, caller, &classes[planned.class], planned).await;
            records.borrow_mut().push(record);
        });
    }
    let sent = Instant::now();
    while records.borrow().len() < total && sent.elapsed() < TAIL {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    progress(total, records.borrow().len());
    let mut records = records.take();
    for record in &records {
        unanswered.remove(&record.id);
    }
    let unanswered = unanswered.into_iter();
    records.extend(unanswered.map(|(id, (class, at))| hung(&classes[class], id, at)));
    records
}

/// The record of a request that got no answer in the time of the tail.
fn hung(class: &LoadClass, id: String, sent: Duration) -> LoadRecord {
    LoadRecord {
        class: class.name,
        tier: class.tier,
        organisation: class.organisation,
        id,
        sent,
        took: TAIL,
        status: 0,
        code: "hung".to_owned(),
        run: String::new(),
        whole: false,
        valid: false,
        good: false,
    }
}

fn plan(classes: &[LoadClass], length: Duration, seed: u64) -> Vec<Planned> {
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
            planned.push(Planned {
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
            own_bytes,
            shared_bytes,
            groups,
            output,
        } => {
            let group = rng.random_range(0..*groups);
            let shared = format!("{}-{group} ", load.organisation).repeat(shared_bytes / 8 + 1);
            let own = rng.random_range(own_bytes.clone());
            let prompt = format!("{}{}", &shared[..*shared_bytes], filler(id, own));
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

fn filler(id: &str, bytes: usize) -> String {
    let mut text = id.repeat(bytes / id.len() + 1);
    text.truncate(bytes);
    text
}

async fn send(
    client: &Client,
    caller: SocketAddr,
    class: &LoadClass,
    planned: Planned,
) -> LoadRecord {
    let started = Instant::now();
    let url = format!("http://{caller}{}", class.path);
    let mut req = client
        .post(url)
        .bearer_auth(&class.key)
        .insert_header((TIER_HEADER, class.tier));
    if matches!(class.work, LoadWork::KeyedSave) {
        req = req.insert_header(("idempotency-key", planned.id.as_str()));
    }
    let sent = req.send_json(&planned.body);
    let mut text = Vec::new();
    let mut whole = false;
    let mut status = 0;
    let mut unanswered = None;
    match sent.await {
        Ok(mut res) => {
            status = res.status().as_u16();
            whole = true;
            while let Some(part) = res.next().await {
                match part {
                    Ok(bytes) => text.extend_from_slice(&bytes),
                    // A stream that has failed may never end.
                    Err(_) => {
                        whole = false;
                        break;
                    }
                }
            }
        }
        Err(e) => unanswered = Some(e.to_string()),
    }
    let took = started.elapsed();
    let error = serde_json::from_slice::<Value>(&text).unwrap_or_default();
    let error_text = |key: &str| error["error"][key].as_str().unwrap_or_default().to_owned();
    let valid = whole && status == 200 && is_own(class, &planned, &text);
    LoadRecord {
        class: class.name,
        tier: class.tier,
        organisation: class.organisation,
        sent: planned.at,
        took,
        status,
        code: unanswered.unwrap_or_else(|| error_text("code")),
        run: error_text("run"),
        whole,
        valid,
        good: valid && took <= class.deadline,
        id: planned.id,
    }
}

/// Whether an answer is whole and belongs to the request.
fn is_own(class: &LoadClass, planned: &Planned, text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    match class.work {
        LoadWork::Save | LoadWork::KeyedSave => {
            let answer: Value = serde_json::from_str(&text).unwrap_or_default();
            answer["id"] == planned.id.as_str()
        }
        LoadWork::Chat { .. } => {
            let tokens = planned.body["max_tokens"].as_u64().unwrap_or_default();
            let wanted = (1..=tokens).map(|i| format!("\"{}:{i} \"", planned.id));
            let mut rest = &*text;
            let mut in_order = wanted.into_iter().all(|token| match rest.find(&token) {
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

/// What became of the requests of one tier.
#[derive(Clone, Debug, Default)]
pub struct TierSummary {
    /// Requests sent.
    pub sent: usize,
    /// Whole answers in time.
    pub good: usize,
    /// Whole answers that came late.
    pub late: usize,
    /// Everything else, by the code of the refusal.
    pub refused: BTreeMap<String, usize>,
}

/// Sums records by a name that is taken from each.
pub fn summarise<F>(records: &[LoadRecord], key: F) -> BTreeMap<Name, TierSummary>
where
    F: Fn(&LoadRecord) -> &str,
{
    let mut summaries: BTreeMap<Name, TierSummary> = BTreeMap::new();
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
                *summary.refused.entry(code).or_default() += 1;
            }
        }
    }
    summaries
}
