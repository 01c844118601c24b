//! Which upstreams an entry reaches, and connections to more agents on demand.

use slog::info;

use super::Links;
use crate::directory::Upstreams;
use crate::name::Name;
use crate::settings::Upstream;
use crate::spare_links::CONNECT_TIME;
use crate::spare_links::MIN_CHOICES;
use crate::spare_links::Reach;
use crate::spare_links::SpareCandidate;

impl Links {
    /// Returns whether this entry may send requests to `upstream`: the upstream
    /// has no agent, or the entry connects to its agent. Without this
    /// restriction, every entry that isn't connected to the agent would
    /// send the upstream requests that the agent does not know of. For the same
    /// reason, a spare connection has to be open, or to have failed.
    pub fn may_use(&self, name: &Name, upstream: &Upstream) -> bool {
        upstream.agent.is_none()
            || self.selected.borrow().contains(name)
            || (self.is_spare(name) && self.reach(name, upstream) != Reach::Connecting)
    }

    /// Returns whether the connection to the agent of `upstream` is a spare one.
    pub fn is_spare(&self, upstream: &Name) -> bool {
        self.spares.borrow().contains(upstream)
    }

    /// Returns how this entry reaches an upstream.
    pub fn reach(&self, name: &Name, upstream: &Upstream) -> Reach {
        if upstream.agent.is_none() {
            return Reach::Open;
        }
        if !self.selected.borrow().contains(name) && !self.is_spare(name) {
            return Reach::Unselected;
        }
        if let Some(link) = self.connected.borrow().get(name) {
            return match link.usage.is_silent() {
                true => Reach::Silent,
                false => Reach::Open,
            };
        }
        let since = self.disconnected_since.borrow().get(name).copied();
        let is_new = since.is_none_or(|at| self.clock.now().since(at) < CONNECT_TIME);
        match is_new {
            true => Reach::Connecting,
            false => Reach::Lost,
        }
    }

    /// Returns the number of upstreams that this entry should reach for a request.
    pub fn min_choices(&self) -> usize {
        MIN_CHOICES.min(self.active_settings.settings().limits.links as usize)
    }

    /// Returns those of `usable` upstreams that a request should go to. Where the entry
    /// reaches fewer than `needed` of them without spare connections, these are used, and
    /// opened to more of the upstreams that `sound` returns: all that could run the request
    /// if the entry were connected to their agents.
    pub fn choose<'a, F>(&self, needed: usize, mut usable: Vec<&'a Name>, sound: F) -> Vec<&'a Name>
    where
        F: FnOnce() -> Vec<&'a Name>,
    {
        if self.selects_all.get() {
            return usable;
        }
        let upstreams = self.directory.upstreams();
        let reached = self.spare_candidates(&upstreams, &usable);
        let reached = self.spares.borrow().reached(&reached);
        if reached >= needed {
            usable.retain(|name| !self.is_spare(name));
            return usable;
        }
        let sound = sound();
        let candidates = self.spare_candidates(&upstreams, &sound);
        let limit = self.active_settings.settings().limits.links as usize;
        let mut spares = self.spares.borrow_mut();
        let before = spares.len();
        if spares.extend(self.clock.now(), needed, limit, &candidates) {
            info!(self.log, "connecting to more agents";
                "reached" => reached,
                "needed" => needed,
                "sound" => candidates.len(),
                "added" => spares.len() - before,
                "spares" => spares.len());
            self.spares_changed.notify_one();
        }
        usable
    }

    fn spare_candidates<'a>(
        &self,
        upstreams: &'a Upstreams,
        names: &[&Name],
    ) -> Vec<SpareCandidate<'a>> {
        let listed = names
            .iter()
            .filter_map(|name| upstreams.get_key_value(*name));
        let candidates = listed.map(|(name, upstream)| SpareCandidate {
            name,
            same_zone: upstream.zone == self.config.zone,
            reach: self.reach(name, upstream),
        });
        candidates.collect()
    }

    /// Closes the spare connections that have been idle for long. `is_used` tells whether
    /// requests wait or run at an upstream.
    pub fn close_idle_spares<F>(&self, is_used: F)
    where
        F: Fn(&Name) -> bool,
    {
        let mut spares = self.spares.borrow_mut();
        if spares.remove_idle(self.clock.now(), is_used) {
            self.spares_changed.notify_one();
        }
    }

    /// Returns the number of spare connections.
    pub fn spare_count(&self) -> usize {
        self.spares.borrow().len()
    }
}
