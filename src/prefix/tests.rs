use super::*;

#[test]
fn only_the_common_prefix_of_two_prompts_has_equal_hashes() {
    let common = "c".repeat(3 * CHUNK_BYTES);
    let first = chunk_hashes("m", format!("{common}{}", "x".repeat(600)).as_bytes());
    let second = chunk_hashes("m", format!("{common}{}", "y".repeat(600)).as_bytes());
    assert_eq!(first[..3], second[..3]);
    assert_ne!(first[3], second[3]);
    assert_ne!(first[0], chunk_hashes("other", common.as_bytes())[0]);
}

#[test]
fn full_index_evicts_the_last_chunks_of_the_oldest_prompt() {
    let mut index = PrefixIndex::new(4);
    index.touch(&[1, 2, 3]);
    index.touch(&[7, 8]);
    assert_eq!(index.len(), 4);
    assert_eq!(index.matching_chunks(&[1, 2, 3]), 2);
    assert_eq!(index.matching_chunks(&[7, 8]), 2);
}
