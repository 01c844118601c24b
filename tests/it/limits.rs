//! Engines that name in their answers how many requests a second they take.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use crate::support::Env;
use crate::support::KEY;
use crate::support::chat_body;
use crate::support::settings;
use crate::support::spec;

/// The requests a second that an engine in need takes.
const LIMIT: f64 = 3.0;

/// The time within which the entries and agents have to keep to a limit that is new.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// The time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

const ENTRIES: usize = 2;

/// Callers of each entry.
const CALLERS: usize = 4;

async fn start() -> Env {
    let spec = spec(settings("")).with_entries(&["a", "b"]).with_peers();
    let env = Env::start(&spec).await;
    env.site.engines["engine-a"].set_rate_limit(Some(LIMIT));
    env
}

/// Sends requests at all entries for a time. Returns the number of those that were served.
async fn load(env: &Env, numbers: &Cell<u64>, time: Duration) -> usize {
    let until = Instant::now() + time;
    let callers = (0..ENTRIES * CALLERS).map(|i| async move {
        let mut served = 0;
        while Instant::now() < until {
            numbers.set(numbers.get() + 1);
            let user = format!("caller-{}", numbers.get());
            let body = chat_body(&user, false, 4, "is this tolerance right?");
            let reply = env
                .post_as(i % ENTRIES, KEY, "/v1/chat/completions", &body)
                .await;
            served += usize::from(reply.status == 200);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        served
    });
    futures::future::join_all(callers).await.into_iter().sum()
}

/// Returns the most requests that reached the limited engine in a window since `from`.
fn most_arrivals(env: &Env, from: Instant) -> usize {
    let arrivals = env.site.engines["engine-a"].stats().arrivals;
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window = |begin: &Instant| {
        let inside = |at: &&Instant| **at >= *begin && **at - *begin < WINDOW;
        counted.iter().filter(inside).count()
    };
    counted.iter().map(in_window).max().unwrap_or_default()
}

fn assert_limit_held(env: &Env, from: Instant) {
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let most = most_arrivals(env, from);
    assert!(most as f64 <= allowed, "{most} arrived in a window");
    assert!(most > 0, "the engine got no request any more");
}

// Issue 34, LIMIT: agents granted every free slot of an engine in need.
#[actix_rt::test]
async fn limit_holds_for_grants_of_agents() {
    let env = start().await;
    let numbers = Cell::new(0);
    load(&env, &numbers, LEARNING_TIME).await;
    let from = Instant::now();
    load(&env, &numbers, WINDOW + Duration::from_secs(1)).await;
    assert_limit_held(&env, from);
}

// Issue 34, LIMIT: without its agent, each entry admits to an engine by itself.
#[actix_rt::test]
async fn limit_holds_while_the_agent_dies_and_starts_again() {
    let mut env = start().await;
    let numbers = Cell::new(0);
    load(&env, &numbers, LEARNING_TIME).await;
    let from = Instant::now();
    env.site
        .agents
        .values_mut()
        .for_each(almondramp_standins::Process::kill);
    load(&env, &numbers, WINDOW).await;
    env.site.restart_agent("engine-a");
    env.site.restart_agent("engine-b");
    load(&env, &numbers, WINDOW).await;
    assert_limit_held(&env, from);
}
