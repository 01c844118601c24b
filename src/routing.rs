//! Routing policies: the order in which an entry offers tickets to upstreams.

use std::cmp::Reverse;

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::dispatch::Choice;
use crate::name::Name;
use crate::settings::Policy;

#[cfg(test)]
mod tests;

/// An upstream that can run a request, with the data for ordering it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether that is the entry's.
    pub same_zone: bool,
    /// The number of leading chunks of the prompt expected to be in its cache.
    pub matching_chunks: usize,
    /// The number of requests of this entry that are waiting or running there.
    pub outstanding: usize,
}

/// Orders the candidates of one request from the most to the least preferred.
///
/// With late binding, the upstream with the longest cached prefix of the prompt
/// comes first, then those in the entry's zone, then the others; ties are in
/// random order. The request is bound to an upstream late: only when one of
/// them grants its ticket. Round robin starts at the candidate given by
/// `request_number`. Two choices takes two random candidates and puts the one
/// with fewer outstanding requests first. The policies other than late binding
/// are baselines for measurements.
pub fn order_candidates<R>(
    policy: Policy,
    mut candidates: Vec<Candidate>,
    request_number: u64,
    rng: &mut R,
) -> Vec<Choice>
where
    R: Rng,
{
    match policy {
        Policy::LateBinding => order_late_binding(&mut candidates, rng),
        Policy::RoundRobin => {
            let count = candidates.len().max(1) as u64;
            let first = usize::try_from(request_number % count).unwrap_or_default();
            candidates.rotate_left(first);
        }
        Policy::TwoChoices => order_two_choices(&mut candidates, rng),
    }
    candidates
        .into_iter()
        .map(|c| Choice {
            upstream: c.upstream,
            zone: c.zone,
            same_zone: c.same_zone,
        })
        .collect()
}

fn order_late_binding<R>(candidates: &mut [Candidate], rng: &mut R)
where
    R: Rng,
{
    candidates.shuffle(rng);
    // The sort is stable, so candidates with equal keys stay in random order.
    candidates.sort_by_key(|c| !c.same_zone);
    let longest = candidates.iter().map(|c| c.matching_chunks).max();
    let best_match = longest
        .filter(|count| *count > 0)
        .and_then(|count| candidates.iter().position(|c| c.matching_chunks == count));
    if let Some(i) = best_match {
        candidates[..=i].rotate_right(1);
    }
}

fn order_two_choices<R>(candidates: &mut [Candidate], rng: &mut R)
where
    R: Rng,
{
    candidates.shuffle(rng);
    if let [first, second, ..] = candidates {
        let tie = rng.random::<bool>();
        let swap = (Reverse(second.outstanding), tie) > (Reverse(first.outstanding), !tie);
        if swap {
            candidates.swap(0, 1);
        }
    }
}
