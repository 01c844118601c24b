//! Stand-ins and cases of the review: `review-stand-2 CASE RECORD`, in the root of the
//! repository. `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run.

mod cases;
mod client;
mod http;
mod record;
mod server;
mod store;
mod system;

use std::process::exit;
use std::time::Duration;

/// The time after which a run ends in any case.
const LONGEST: Duration = Duration::from_secs(110);

/// How a run has ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-stand-2 CASE RECORD");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").is_ok_and(|v| v == "0");
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        system::end_all();
        eprintln!("the run takes too long");
        exit(2);
    });
    let (case, path) = (case.clone(), path.clone());
    let run = std::thread::spawn(move || cases::run(&case, &path, !is_troubled));
    let verdict = run.join().unwrap_or(Verdict::CouldNotRun);
    system::end_all();
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
