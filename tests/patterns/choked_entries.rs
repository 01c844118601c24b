//! Pattern: many entries short of processor time read the replies of agents late.

use std::time::Duration;

use crate::CHECK;
use crate::REVIEW;
use crate::SEEDS;
use crate::model::Model;
use crate::parameters::Setup;
use crate::setup;

#[test]
fn choked_entries_refuse_early_instead_of_waiting_in_vain() {
    for seed in SEEDS {
        let mut model = Model::new(Setup {
            entries: 12,
            message: Duration::from_millis(30),
            ..setup(seed)
        });
        for organisation in 0..16 {
            let name = format!("organisation-{organisation}");
            model.add_callers(REVIEW, &name, 6.0, 0.0, 15.0);
            model.add_callers(CHECK, &name, 18.0, 0.0, 15.0);
        }
        let report = model.run(40);
        let all = report.all();
        println!("seed {seed}: {all:?}, first {:?}", report.rank(0));
        assert!(
            all.waited_in_vain * 5 <= all.in_time + all.late,
            "seed {seed}"
        );
        assert!(
            report.rank(0).goodput() >= report.rank(1).goodput(),
            "seed {seed}"
        );
    }
}
