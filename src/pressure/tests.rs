use super::*;

fn at(millis: u64) -> Moment {
    Moment::new(Duration::from_millis(millis))
}

fn line(organisation: &str, order: u8) -> Line {
    Line {
        service: Name::new("pool"),
        order,
        organisation: Name::new(organisation),
    }
}

#[test]
fn what_was_learnt_holds_for_its_own_line_and_a_short_time() {
    let mut pressure = Pressure::new();
    let wait = Duration::from_secs(2);
    pressure.note(at(0), line("large", 1), wait);
    assert_eq!(pressure.wait(at(99), &line("large", 1)), Some(wait));
    assert_eq!(pressure.wait(at(99), &line("large", 0)), None);
    assert_eq!(pressure.wait(at(99), &line("small", 1)), None);
    assert_eq!(pressure.wait(at(100), &line("large", 1)), None);
}
