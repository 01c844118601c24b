//! LOST: machines are stopped with SIGTERM in turn while requesters read their answers
//! slowly.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::CaseError;
use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::GRACE;
use crate::deployment::Machine;
use crate::deployment::configuration;
use crate::record::Record;
use crate::replica;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::requester::Request;
use crate::requester::read_slowly;
use crate::requester::send;

/// The machines, and the time between the stops of two.
const MACHINES: usize = 5;
const GAP: Duration = Duration::from_secs(1);

/// How often each machine is stopped and started.
const ROUNDS: usize = 2;

/// The time from the answers to the stop at the first machine, and by how much it is longer
/// at each stop after that. Whether the last bytes are still in the process when it ends
/// depends on it, and on the buffers of the kernel.
const FIRST_DELAY: Duration = Duration::from_millis(100);
const DELAY_STEP: Duration = Duration::from_millis(150);

/// The requesters at each machine, and the size of their answers.
const REQUESTERS: usize = 4;
const ANSWER_BYTES: usize = 460_000;

/// What a requester reads at a time, and the pause after it: 80 KB a second, so that an
/// answer takes about six seconds.
const READ_BYTES: usize = 8_000;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The receive buffer of a requester.
const RECEIVE_BUFFER: u32 = 16 << 10;

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "idempotent",
        "timeoutMs": 15000, "goalMs": 300, "priority": 0, "backend": "api", "attempts": 2,
    }]);
    store.put(
        "config",
        "main",
        &configuration(1, routes, json!([{"name": "api"}])),
    );
    let answer = Answer::Body {
        bytes: ANSWER_BYTES,
        after: Duration::from_millis(20),
    };
    let mut replicas = Vec::new();
    for i in 0..2 {
        let id = format!("i-{i}");
        let ip = deployment.new_ip();
        let replica = Replica::start(ip, &id, "api", "v1", answer.clone(), record).await?;
        replica.register(store);
        replicas.push(replica);
    }
    let mut machines = Vec::new();
    for i in 0..MACHINES {
        let mut machine = deployment.edge(&format!("edge-a-{i}"));
        machine.start()?;
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;

    let cut = Rc::new(Cell::new(0));
    for round in 0..ROUNDS {
        let mut stops = Vec::new();
        for (i, machine) in machines.drain(..).enumerate() {
            let (record, cut) = (record.clone(), Rc::clone(&cut));
            stops.push(tokio::task::spawn_local(async move {
                let number = round * MACHINES + i;
                let result = stop_one(machine, number, &record, &cut, has_trouble).await;
                result.map_err(|e| e.to_string())
            }));
            tokio::time::sleep(GAP).await;
        }
        for stop in stops {
            machines.push(stop.await??);
        }
    }
    let all = ROUNDS * MACHINES * REQUESTERS;
    record.line(&format!("answers cut off: {} of {all}", cut.get()));
    Ok(match cut.get() > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Lets requesters read answers slowly at a machine, which is stopped shortly later, and
/// started again when it has ended. Counts the answers that are cut off.
async fn stop_one(
    mut machine: Machine,
    i: usize,
    record: &Record,
    cut: &Cell<usize>,
    has_trouble: bool,
) -> Result<Machine, CaseError> {
    let bytes = ANSWER_BYTES;
    let mut readers = Vec::new();
    for j in 0..REQUESTERS {
        let id = format!("r-{i}-{j}");
        let request = Request::new("GET", "/x/a", &id, Duration::from_secs(15));
        let mut channel = send(machine.front, &request, Some(RECEIVE_BUFFER)).await?;
        record.line(&format!("{id} is answered {}", channel.head.status()));
        if channel.head.status() != 200 {
            return Err("a request was not served".into());
        }
        let record = record.clone();
        readers.push(tokio::task::spawn_local(async move {
            let (body, is_complete) = read_slowly(&mut channel, READ_BYTES, READ_PAUSE).await;
            let is_whole = is_complete && body == replica::body(bytes);
            record.line(&format!(
                "the answer to {id} ends after {} of {bytes} bytes, {}",
                body.len(),
                if is_whole { "complete" } else { "incomplete" }
            ));
            is_whole
        }));
    }
    tokio::time::sleep(FIRST_DELAY + DELAY_STEP * u32::try_from(i)?).await;
    let stopped = record.now();
    if has_trouble {
        machine.signal(Signal::SIGTERM);
    }
    let mut has_ended = !has_trouble;
    for reader in readers {
        while !reader.is_finished() {
            if !has_ended && !machine.is_running() {
                has_ended = true;
                let after = (record.now() - stopped).as_secs_f64();
                record.line(&format!(
                    "{} ended {after:.3} s after SIGTERM",
                    machine.name
                ));
            }
            if has_trouble && record.now() > stopped + GRACE {
                return Err("an answer took longer than the grace time".into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        cut.set(cut.get() + usize::from(!reader.await?));
    }
    if has_trouble {
        while machine.is_running() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        machine.start()?;
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    Ok(machine)
}
