//! Which availability zones the tickets of a request are offered to.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Action;
use super::COLLECTION_TIMEOUT;
use super::Choice;
use super::Dispatch;
use super::Fallback;
use super::State;
use super::TicketState;
use crate::name::Name;

/// The fraction added to the expected time of an upstream in another
/// availability zone when grants are compared.
const CROSS_ZONE_PENALTY: f64 = 0.4;

/// Fewest tickets at which a request is placed in two zones. The baseline policies offer one.
const MIN_TICKETS: usize = 2;

/// The zones of the upstreams of a request, and its placement.
#[derive(Debug, Default)]
pub(super) struct Zones {
    /// The zone of each upstream, and whether it is the entry's.
    upstreams: BTreeMap<Name, (Name, bool)>,
    /// The other zone to which the request spills over.
    away: Option<Name>,
    /// The caller's time that an upstream of the zone `away` must save.
    cost: Duration,
    /// Whether another zone may take the request before it is refused.
    has_fallback: bool,
    /// Expected wait above which another zone is asked although the request could wait.
    ask_above: Option<Duration>,
}

impl Zones {
    pub(super) fn new(choices: &[Choice]) -> Self {
        let mut zones = Self::default();
        zones.set_choices(choices);
        zones
    }

    pub(super) fn set_choices(&mut self, choices: &[Choice]) {
        let zone = |c: &Choice| (c.upstream.clone(), (c.zone.clone(), c.same_zone));
        self.upstreams = choices.iter().map(zone).collect();
    }

    pub(super) fn choice(&self, upstream: &Name) -> Choice {
        // Every upstream with a ticket is known, so the default is not used.
        let unknown = || (Name::new(""), false);
        let (zone, same_zone) = self
            .upstreams
            .get(upstream)
            .cloned()
            .unwrap_or_else(unknown);
        Choice {
            upstream: upstream.clone(),
            zone,
            same_zone,
        }
    }

    pub(super) fn is_home(&self, upstream: &Name) -> bool {
        self.upstreams.get(upstream).is_some_and(|(_, home)| *home)
    }

    /// Returns the end of an answer as it is compared with others. An upstream of another zone
    /// must end earlier by a part of the time, or by the cost where the request spills over
    /// to that zone.
    pub(super) fn compared_end(&self, upstream: &Name, end: Duration) -> Duration {
        match self.upstreams.get(upstream) {
            Some((_, true)) => end,
            Some((zone, false)) if self.away.as_ref() == Some(zone) => end + self.cost,
            _ => end.mul_f64(1.0 + CROSS_ZONE_PENALTY),
        }
    }

    /// Orders choices, the best first, by the placement: half of the tickets, rounded up, go to
    /// the other zone, the rest are offered in the given order.
    pub(super) fn placed(&self, choices: Vec<Choice>, max_tickets: usize) -> Vec<Choice> {
        let Some(away) = self.away.as_ref().filter(|_| max_tickets >= MIN_TICKETS) else {
            return choices;
        };
        let (others, kept): (Vec<Choice>, Vec<Choice>) =
            choices.into_iter().partition(|c| c.zone == *away);
        let mut others = others.into_iter();
        let mut placed: Vec<Choice> = others.by_ref().take(max_tickets.div_ceil(2)).collect();
        placed.extend(kept);
        placed.extend(others);
        placed
    }
}

impl Dispatch {
    /// Lets the request spill over to the zone `away`, whose upstreams must save `cost` of
    /// the caller's time. Half of its tickets are offered there.
    #[must_use]
    pub fn with_zone(mut self, away: Name, cost: Duration) -> Self {
        self.zones.away = Some(away);
        self.zones.cost = cost;
        let mut choices = std::mem::take(&mut self.remaining);
        choices.reverse();
        self.remaining = self.zones.placed(choices, self.max_tickets);
        self.remaining.reverse();
        self
    }

    /// Lets the dispatch ask for a zone that may take the request before it is refused because
    /// of its expected wait. The upstreams there must save `cost` of the caller's time.
    #[must_use]
    pub fn with_fallback(mut self, cost: Duration) -> Self {
        self.zones.has_fallback = self.max_tickets >= MIN_TICKETS;
        self.zones.cost = cost;
        self
    }

    /// Lets the dispatch ask for such a zone also where the request is expected to wait for
    /// longer than `wait`, since its own zone lacks room.
    #[must_use]
    pub fn with_overflow(mut self, wait: Duration) -> Self {
        self.zones.ask_above = Some(wait);
        self
    }

    /// Returns whether another zone is to be asked, given the expected wait: once for each
    /// request, if there is an upstream of another zone that has no ticket.
    pub(super) fn may_seek_fallback(&self, wait: Duration) -> bool {
        let is_too_long =
            wait > self.max_expected_wait || self.zones.ask_above.is_some_and(|limit| wait > limit);
        is_too_long && self.zones.has_fallback && self.remaining.iter().any(|c| !c.same_zone)
    }

    pub(super) fn seek_fallback(&mut self, wait: Duration) -> Vec<Action> {
        self.zones.has_fallback = false;
        self.state = State::SeekingFallback(wait);
        vec![Action::SeekFallback(wait)]
    }

    /// Offers tickets in the zone that may take the request, beside those that wait. Without
    /// one, the request is refused if its wait is too long, and waits otherwise.
    pub(super) fn take_fallback(
        &mut self,
        wait: Duration,
        fallback: Option<Fallback>,
    ) -> Vec<Action> {
        self.state = State::AskingElsewhere(wait);
        let is_there = |c: &Choice| fallback.as_ref().is_some_and(|r| r.zone == c.zone);
        let mut offers = Vec::new();
        // The best are last.
        for i in (0..self.remaining.len()).rev() {
            if offers.len() < self.max_tickets.div_ceil(2) && is_there(&self.remaining[i]) {
                offers.push(self.remaining.remove(i).upstream);
            }
        }
        let Some(Fallback { zone, time }) = fallback.filter(|_| !offers.is_empty()) else {
            return self.finish_asking(wait);
        };
        self.zones.away = Some(zone);
        let offered = |upstream: &Name| (upstream.clone(), TicketState::Offered);
        self.tickets.extend(offers.iter().map(offered));
        let mut actions: Vec<Action> = offers.into_iter().map(Action::Offer).collect();
        actions.push(Action::CollectFor(time.min(COLLECTION_TIMEOUT)));
        actions
    }

    /// Decides on a request whose upstreams at home expect this wait, after another zone was
    /// asked. Without a grant, the request is refused if the wait is too long, since it would be
    /// refused late if the other zone expected too short a wait. Otherwise it waits.
    pub(super) fn finish_asking(&mut self, wait: Duration) -> Vec<Action> {
        self.state = State::WaitingForGrant;
        let actions = self.accept_best_grant();
        if !actions.is_empty() {
            return actions;
        }
        if wait <= self.max_expected_wait {
            return vec![Action::RecordQueued];
        }
        // A short wait in the other zone says nothing of later requests, which are offered at home.
        let is_too_long = |shortest: &Duration| *shortest > self.max_expected_wait;
        let wait = self.shortest_wait().filter(is_too_long).unwrap_or(wait);
        let mut actions = vec![Action::RecordWait(wait)];
        actions.extend(self.refuse_overloaded(wait));
        actions
    }
}
