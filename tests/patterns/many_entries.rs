//! Pattern: an overload that falls on a hundred entries, each of which sees little of it.
//! Those that would wait in vain are refused early, and it ends with the load.

use std::time::Duration;

use crate::CHAT;
use crate::CHECK;
use crate::REVIEW;
use crate::model::Model;
use crate::parameters::Kind;
use crate::parameters::Setup;
use crate::setup;

const ENTRIES: usize = 100;

/// A few times as many engines as a request asks.
const ENGINES: [f64; 3] = [0.6, 1.0, 1.7];
const ENGINES_OF_EACH: usize = 8;

fn model(seed: u64) -> Model {
    Model::new(Setup {
        entries: ENTRIES,
        message: Duration::from_millis(5),
        engines: ENGINES.repeat(ENGINES_OF_EACH),
        ..setup(seed)
    })
}

/// Adds callers of all kinds at `load` times what nine engines serve with ease.
fn add_load(model: &mut Model, load: f64, name: &str, from: f64, until: f64) {
    let engines = (ENGINES.len() * ENGINES_OF_EACH) as f64 / 9.0;
    let kinds: [(Kind, f64); 3] = [(REVIEW, 20.0), (CHECK, 20.0), (CHAT, 6.0)];
    for organisation in 0..8 {
        for (kind, per_second) in kinds {
            let per_second = per_second * engines * load / 8.0;
            let name = format!("{name}-{organisation}");
            model.add_callers(kind, &name, per_second, from, until);
        }
    }
}

fn organisations(name: &str) -> Vec<String> {
    (0..8).map(|i| format!("{name}-{i}")).collect()
}

#[test]
fn many_entries_refuse_early_instead_of_letting_requests_wait_in_vain() {
    for seed in 0..2 {
        let mut model = model(seed);
        add_load(&mut model, 10.0, "o", 0.0, 12.0);
        let report = model.run(30);
        let all = report.all();
        println!("seed {seed}: {all:?}, first {:?}", report.rank(0));
        assert!(
            all.waited_in_vain * 5 <= all.in_time + all.late,
            "seed {seed}"
        );
    }
}

#[test]
fn load_that_fits_is_served_soon_after_an_overload() {
    for seed in 0..2 {
        let mut model = model(seed);
        add_load(&mut model, 10.0, "burst", 0.0, 10.0);
        add_load(&mut model, 3.0, "between", 10.0, 15.0);
        add_load(&mut model, 3.0, "after", 15.0, 25.0);
        let report = model.run(45);
        let after = organisations("after");
        let (mut asked, mut in_time) = (0, 0);
        for name in &after {
            asked += report.organisation(name).asked;
            in_time += report.organisation(name).in_time;
        }
        println!("seed {seed}: {in_time} of {asked}, {:?}", report.all());
        assert!(
            in_time * 100 >= asked * 95,
            "seed {seed}: {in_time} of {asked}"
        );
    }
}
