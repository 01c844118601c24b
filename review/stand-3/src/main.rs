//! The cases 11 to 15 of the third review: `stand-3 CASE RECORD`. Exits with 1 if the rule was
//! broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` the
//! disruption is left out.

mod crash_and_upgrade;
mod fleet;
mod http;
mod kill_all;
mod moved_weights;
mod planned_stop;
mod prefix;
mod raised_limit;
mod replica;
mod requester;
mod restored_entries;
mod restored_versions;
mod spoilt_answers;
mod store;

use std::fs::File;
use std::io::Write;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

/// A case may take 120 s.
const LIMIT: Duration = Duration::from_secs(110);

/// What was sent, answered and run.
pub struct Record(File);

impl Record {
    pub fn line(&mut self, text: &str) {
        println!("{text}");
        let _ = writeln!(self.0, "{text}");
    }

    /// A line that is not shown.
    pub fn detail(&mut self, text: &str) {
        let _ = writeln!(self.0, "{text}");
    }
}

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What a case is given.
pub struct Case {
    pub has_trouble: bool,
    pub record: Record,
}

/// The limits and the tenant of all configurations.
pub fn configuration(version: u64, routes: Value, services: Value) -> Value {
    json!({
        "version": version, "routes": routes, "backends": services,
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "t", "apiKeys": ["key"], "unit": "token", "plainTokens": 200,
                     "ratePerS": 0}],
    })
}

/// A route for streams that may be resumed.
pub fn stream_route(target: Value) -> Value {
    let mut route = json!({
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "stream",
        "timeoutMs": 15_000, "goalMs": 1000, "priority": 0, "attempts": 2, "public": false,
        "resumable": true, "gapGoalMs": 500,
    });
    for (name, value) in target.as_object().into_iter().flatten() {
        route[name] = value.clone();
    }
    route
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("stand-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(file) = File::create(&path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let mut case = Case {
        has_trouble: !std::env::var("TROUBLE").is_ok_and(|t| t == "0"),
        record: Record(file),
    };
    fleet::end_after(LIMIT);
    let run = AssertUnwindSafe(|| run_case(&name, &mut case));
    // What the case has started is ended while the panic unwinds.
    let verdict = catch_unwind(run).unwrap_or(Verdict::NotRun);
    match verdict {
        Verdict::Held => {
            case.record.line("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            case.record.line("BROKEN");
            ExitCode::from(1)
        }
        Verdict::NotRun => {
            case.record.line("not run");
            ExitCode::from(2)
        }
    }
}

fn run_case(name: &str, case: &mut Case) -> Verdict {
    match name {
        "crash-and-upgrade" => crash_and_upgrade::run(case),
        "planned-stop" => planned_stop::run(case),
        "kill-all" => kill_all::run(case),
        "moved-weights" => moved_weights::run(case),
        "spoilt-answers" => spoilt_answers::run(case),
        "prefix" => prefix::run(case),
        "restored-entries" => restored_entries::run(case),
        "restored-versions" => restored_versions::run(case),
        "raised-limit" => raised_limit::run(case),
        _ => Verdict::NotRun,
    }
}
