//! Pattern: many callers at once for a few seconds. Higher tiers are served first, and
//! refused callers are told at once.

use crate::CHAT;
use crate::CHECK;
use crate::REVIEW;
use crate::SEEDS;
use crate::model::Model;
use crate::report::Report;
use crate::setup;

/// Runs fifteen seconds of usual load with a burst of four times that in between.
fn run_burst(seed: u64) -> Report {
    let mut model = Model::new(setup(seed));
    for (from, until, factor) in [(0.0, 5.0, 1.0), (5.0, 10.0, 4.0), (10.0, 20.0, 1.0)] {
        model.add_callers(REVIEW, "large", 30.0 * factor, from, until);
        model.add_callers(CHECK, "large", 35.0 * factor, from, until);
        model.add_callers(CHAT, "small", 10.0 * factor, from, until);
    }
    model.run(50)
}

#[test]
fn urgent_work_stays_in_time_in_a_burst() {
    for seed in SEEDS {
        let report = run_burst(seed);
        for rank in 0..3 {
            println!("seed {seed}, rank {rank}: {:?}", report.rank(rank));
        }
        let [first, second, third] = [0, 1, 2].map(|rank| report.rank(rank));
        assert!(first.goodput() >= 0.8, "seed {seed}");
        assert!(first.goodput() >= second.goodput(), "seed {seed}");
        assert!(second.goodput() >= third.goodput(), "seed {seed}");
        let all = report.all();
        assert!(
            all.waited_in_vain * 5 <= all.in_time + all.late,
            "seed {seed}"
        );
    }
}

/// Callers of the lowest tier have time to come back once the burst is over.
#[test]
fn callers_with_time_left_are_served_after_the_burst() {
    for seed in SEEDS {
        let third = run_burst(seed).rank(2);
        println!("seed {seed}: {third:?}");
        assert!(third.refused * 10 <= third.asked, "seed {seed}");
    }
}
