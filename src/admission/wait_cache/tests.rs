use super::*;
use crate::name::Name;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn request_class(organisation: &str, rank: u8) -> RequestClass {
    RequestClass {
        service: Name::new("pool"),
        rank,
        overdue: false,
        organisation: Name::new(organisation),
    }
}

#[test]
fn a_wait_is_returned_for_its_own_class_until_it_expires() {
    let mut wait_cache = WaitCache::new();
    let wait = Duration::from_secs(2);
    wait_cache.insert(at(0), request_class("large", 1), wait);
    assert_eq!(
        wait_cache.get(at(99), &request_class("large", 1)),
        Some(wait)
    );
    assert_eq!(wait_cache.get(at(99), &request_class("large", 0)), None);
    assert_eq!(wait_cache.get(at(99), &request_class("small", 1)), None);
    assert_eq!(wait_cache.get(at(100), &request_class("large", 1)), None);
}
