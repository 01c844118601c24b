//! Selection of the upstreams of a new version that may get canary requests.

use crate::claims::Digest;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Returns the upstreams of the target that may get its share of the requests: as few as give
/// each the load that an upstream of the other versions has, so that faults that appear under
/// load show. All entries select the same.
pub fn canary_upstreams(share: f64, targets: &[Name], others: usize) -> Vec<Name> {
    let mut ordered: Vec<&Name> = targets.iter().collect();
    ordered.sort_by_cached_key(|name| Digest::new(&[b"canary", name.as_bytes()]));
    ordered.truncate(count(share, targets.len(), others));
    ordered.into_iter().cloned().collect()
}

/// Returns `n` so that `share / n` is closest to `(1 - share) / others` from above.
fn count(share: f64, targets: usize, others: usize) -> usize {
    if share >= 1.0 || others == 0 {
        return targets;
    }
    let needed = share.max(0.0) * others as f64 / (1.0 - share);
    (needed as usize).max(1).min(targets)
}
