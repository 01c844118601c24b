//! Pattern: callers that were refused in a burst come back while it lasts.

use crate::CHAT;
use crate::CHECK;
use crate::SEEDS;
use crate::model::Model;
use crate::setup;

/// Callers that come back don't push fresh ones of their tier past their objective, and
/// most of them are served at their second try once the burst is over.
#[test]
fn returning_callers_take_the_room_that_fresh_ones_leave() {
    for seed in SEEDS {
        let mut model = Model::new(setup(seed));
        model.add_callers(CHECK, "large", 60.0, 0.0, 20.0);
        model.add_callers(CHECK, "large", 300.0, 5.0, 8.0);
        model.add_callers(CHAT, "small", 5.0, 0.0, 20.0);
        let report = model.run(50);
        let check = report.rank(1);
        println!("seed {seed}: {check:?}, {:?}", report.rank(2));
        assert!(check.goodput() >= 0.6, "seed {seed}");
        assert!(check.served() >= 0.75, "seed {seed}");
        assert!(check.given_up * 20 <= check.asked, "seed {seed}");
        assert!(
            report.rank(2).served() >= 0.25 * report.all().served(),
            "seed {seed}"
        );
    }
}
