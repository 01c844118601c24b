//! Pattern: one organisation sends many times its usual.

use crate::CHECK;
use crate::REVIEW;
use crate::SEEDS;
use crate::model::Model;
use crate::setup;

#[test]
fn small_organisations_are_served_beside_a_hot_one() {
    for seed in SEEDS {
        let mut model = Model::new(setup(seed));
        model.add_callers(CHECK, "large", 300.0, 3.0, 13.0);
        for small in ["a", "b", "c", "d"] {
            model.add_callers(REVIEW, small, 3.0, 0.0, 16.0);
            model.add_callers(CHECK, small, 4.0, 0.0, 16.0);
        }
        let report = model.run(40);
        println!("seed {seed}: large {:?}", report.organisation("large"));
        for small in ["a", "b", "c", "d"] {
            let tally = report.organisation(small);
            println!("seed {seed}: {small} {tally:?}");
            assert!(tally.goodput() >= 0.9, "seed {seed}, {small}");
        }
    }
}
