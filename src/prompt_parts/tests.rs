use super::*;

fn parts(ids: &[u64]) -> Vec<PartId> {
    ids.iter().copied().map(PartId).collect()
}

#[test]
fn last_part_of_a_prompt_is_not_shared() {
    assert_eq!(shared_parts(parts(&[1, 2, 3]).into_iter()), parts(&[1, 2]));
    assert_eq!(shared_parts(parts(&[1]).into_iter()), []);
    assert_eq!(shared_parts(parts(&[]).into_iter()), []);
}

#[test]
fn prompt_with_many_parts_keeps_the_allowed_number() {
    let ids: Vec<u64> = (0..1000).collect();
    let shared = shared_parts(parts(&ids).into_iter());
    assert_eq!(shared.len(), MAX_PARTS);
    assert_eq!(shared.last(), Some(&PartId(998)));
}

#[test]
fn long_prefix_has_few_parts() {
    let hashes: Vec<u64> = (1..=512).collect();
    let expected = parts(&[1, 2, 4, 8, 16, 32, 64, 128, 256, 512]);
    assert_eq!(prefix_parts(&hashes), expected);
    assert_eq!(prefix_parts(&hashes[..3]), parts(&[1, 2]));
}

#[test]
fn log_names_the_first_parts_and_the_number_of_all() {
    assert_eq!(LoggedParts(&[]).to_string(), "(0)");
    let five = parts(&[0x1a, 2, 3, 4, 5]);
    assert_eq!(LoggedParts(&five).to_string(), "1a 2 3 4 (5)");
}
