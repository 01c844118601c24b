//! Pattern: load that fits. Nobody is refused for want of room.

use crate::CHAT;
use crate::CHECK;
use crate::REVIEW;
use crate::SEEDS;
use crate::model::Model;
use crate::setup;

#[test]
fn load_that_fits_is_served_in_time() {
    for seed in SEEDS {
        let mut model = Model::new(setup(seed));
        model.add_callers(REVIEW, "large", 20.0, 0.0, 20.0);
        model.add_callers(CHECK, "large", 20.0, 0.0, 20.0);
        model.add_callers(CHAT, "small", 6.0, 0.0, 20.0);
        let report = model.run(40);
        println!("seed {seed}: {:?}", report.all());
        assert!(report.rank(0).goodput() >= 0.98, "seed {seed}");
        assert!(report.all().served() >= 0.98, "seed {seed}");
    }
}
