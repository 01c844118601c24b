use super::*;

fn parse(text: &str) -> Result<Duration, InvalidRetryAfter> {
    parse_retry_after(
        text,
        SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777),
    )
}

#[test]
fn seconds_are_parsed_also_with_fractions() {
    assert_eq!(parse("4"), Ok(Duration::from_secs(4)));
    assert_eq!(parse(" 0.25 "), Ok(Duration::from_millis(250)));
    assert_eq!(parse("0"), Ok(Duration::ZERO));
}

#[test]
fn date_is_taken_as_the_time_until_it() {
    let date = "Sun, 06 Nov 1994 08:49:47 GMT";
    assert_eq!(parse(date), Ok(Duration::from_secs(10)));
    let past = "Sun, 06 Nov 1994 08:49:00 GMT";
    assert_eq!(parse(past), Ok(Duration::ZERO));
}

#[test]
fn absurd_times_are_shortened() {
    assert_eq!(parse("86400"), Ok(MAX_HOLD_OFF));
    assert_eq!(parse("1e300"), Ok(MAX_HOLD_OFF));
    assert_eq!(parse("Fri, 31 Dec 2100 23:59:59 GMT"), Ok(MAX_HOLD_OFF));
}

#[test]
fn other_text_is_invalid() {
    for text in ["", "-1", "inf", "NaN", "soon", "4 s", "1,5"] {
        assert!(parse(text).is_err(), "{text}");
    }
}
