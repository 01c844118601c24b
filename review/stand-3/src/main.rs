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
use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

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
    let verdict = match name.as_str() {
        "crash-and-upgrade" => crash_and_upgrade::run(&mut case),
        "planned-stop" => planned_stop::run(&mut case),
        "kill-all" => kill_all::run(&mut case),
        "moved-weights" => moved_weights::run(&mut case),
        "spoilt-answers" => spoilt_answers::run(&mut case),
        "prefix" => prefix::run(&mut case),
        "restored-entries" => restored_entries::run(&mut case),
        "restored-versions" => restored_versions::run(&mut case),
        "raised-limit" => raised_limit::run(&mut case),
        _ => Verdict::NotRun,
    };
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
