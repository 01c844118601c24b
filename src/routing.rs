//! The order in which an entry asks agents for room.

use std::cmp::Reverse;

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::dispatch::Choice;
use crate::name::Name;
use crate::settings::Policy;

#[cfg(test)]
mod tests;

/// An upstream that could run a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Name,
    /// Whether it is in the entry's own availability zone.
    pub near: bool,
    /// Leading chunks of the prompt that it is believed to hold.
    pub matched: usize,
    /// Requests that this entry has waiting or running there.
    pub outstanding: usize,
}

/// Orders the candidates of one request, those to be asked first in front.
///
/// With late binding the upstream that holds the longest part of the prompt
/// comes first, then those in the entry's own zone, then the others at random.
/// The other policies are baselines for measurements.
pub fn order<R>(
    policy: Policy,
    mut candidates: Vec<Candidate>,
    turn: u64,
    rng: &mut R,
) -> Vec<Choice>
where
    R: Rng,
{
    match policy {
        Policy::LateBinding => order_late(&mut candidates, rng),
        Policy::RoundRobin => {
            let count = candidates.len().max(1) as u64;
            let first = usize::try_from(turn % count).unwrap_or_default();
            candidates.rotate_left(first);
        }
        Policy::TwoChoices => order_two_choices(&mut candidates, rng),
    }
    candidates
        .into_iter()
        .map(|c| Choice {
            upstream: c.upstream,
            near: c.near,
        })
        .collect()
}

fn order_late<R>(candidates: &mut [Candidate], rng: &mut R)
where
    R: Rng,
{
    candidates.shuffle(rng);
    // The sort is stable, so those that are alike stay in random order.
    candidates.sort_by_key(|c| !c.near);
    let best = candidates.iter().map(|c| c.matched).max();
    let holder = best
        .filter(|matched| *matched > 0)
        .and_then(|matched| candidates.iter().position(|c| c.matched == matched));
    if let Some(i) = holder {
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
        let better = (Reverse(second.outstanding), tie) > (Reverse(first.outstanding), !tie);
        if better {
            candidates.swap(0, 1);
        }
    }
}
