//! The upstreams that a request can be sent to, and what the entry keeps about them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::directory::SoftwareVersion;
use crate::dispatch::Choice;
use crate::entry::request::Job;
use crate::entry::request::serves;
use crate::entry::rollouts::Serving;
use crate::entry::state::EntryState;
use crate::name::Name;
use crate::prefix::PrefixIndex;
use crate::routing;
use crate::routing::Candidate;
use crate::settings::Policy;
use crate::settings::Upstream;
use crate::spare_links::CONNECT_TIME;
use crate::spare_links::Reach;
use crate::upstream_load;

/// The interval at which a request looks for connections that are being opened.
const CONNECT_POLL: Duration = Duration::from_millis(10);

/// The number of prompt chunks in the prefix index of one upstream.
const PREFIX_INDEX_CHUNKS: usize = 4096;

impl EntryState {
    /// Returns the upstreams that can run `job`, the best first. With a `version`, only
    /// upstreams of this software version can. Otherwise a roll-out decides on the version
    /// by `draw`, a random number below 1 that the request keeps.
    pub fn candidates(
        &self,
        job: &Job,
        version: Option<&SoftwareVersion>,
        draw: f64,
    ) -> Vec<Choice> {
        let now = self.now();
        let settings = self.active_settings.settings();
        let upstreams = self.directory.upstreams();
        let prefix_indexes = self.prefix_indexes.borrow();
        let outstanding = self.outstanding.borrow();
        let leaving = self.leaving_hosts.borrow();
        let outliers = self.outliers.borrow();
        let kind = job.admission.route.kind;
        let candidate = |name: &Name, u: &Upstream| Candidate {
            upstream: name.clone(),
            zone: u.zone.clone(),
            same_zone: u.zone == self.config.zone,
            matching_chunks: prefix_indexes
                .get(name)
                .map_or(0, |a| a.matching_chunks(&job.prefix)),
            outstanding: outstanding.get(name).copied().unwrap_or_default(),
        };
        let is_sound = |name: &Name, _: &Upstream| {
            !leaving.contains(name)
                && !outliers.is_replaced(now, name)
                && self.notices.wait(name).is_none()
        };
        let is_usable =
            |name: &Name, u: &Upstream| self.links.may_use(name, u) && is_sound(name, u);
        let serving: Vec<(&Name, &Upstream)> = upstreams
            .iter()
            .filter(|(_, u)| serves(u, kind, &job.target) && !u.leaving)
            .filter(|(_, u)| version.is_none_or(|v| u.version == *v))
            .collect();
        let rule = match version {
            Some(_) => None,
            None => self.rollouts.rule(&job.target, draw),
        };
        let narrow = |is_usable: &dyn Fn(&Name, &Upstream) -> bool| -> Vec<&Name> {
            let Some(rule) = &rule else {
                let usable = serving.iter().filter(|(name, u)| is_usable(name, u));
                return usable.map(|(name, _)| *name).collect();
            };
            let serving = serving.iter().map(|(name, u)| Serving {
                name,
                version: &u.version,
                is_cold: u.cold_left.is_some_and(|left| !left.is_zero()),
                is_usable: is_usable(name, u),
                is_ejected: outliers.is_ejected(now, name),
            });
            rule.narrow(&serving.collect::<Vec<Serving<'_>>>())
        };
        let is_healthy = |name: &Name| {
            let reach = upstreams.get(name).map(|u| self.links.reach(name, u));
            !outliers.is_ejected(now, name) && reach != Some(Reach::Silent)
        };
        let (healthy, unhealthy): (Vec<&Name>, Vec<&Name>) = narrow(&is_usable)
            .into_iter()
            .partition(|name| is_healthy(name));
        // The few upstreams of a canary are meant to get little.
        let needed = match rule {
            Some(_) => 1,
            None => self.links.min_choices(),
        };
        let healthy = self.links.choose(needed, healthy, || {
            let mut sound = narrow(&is_sound);
            sound.retain(|name| is_healthy(name));
            sound
        });
        // An unhealthy upstream is better than none.
        let usable = if healthy.is_empty() {
            unhealthy
        } else {
            healthy
        };
        let candidates = usable.into_iter();
        let candidates: Vec<Candidate> = candidates
            .filter_map(|name| Some(candidate(name, upstreams.get(name)?)))
            .collect();
        // The policy `round-robin` starts at the candidate that this number gives.
        let sequence = self.last_sequence.get();
        let policy = settings.limits.policy;
        if policy == Policy::LateBinding
            && let Some(choices) = self.order_by_load(&candidates, &upstreams)
        {
            return choices;
        }
        routing::order_candidates(policy, candidates, sequence, &mut *self.rng.borrow_mut())
    }

    /// Orders the candidates by their load if none has an agent and any has reported one.
    fn order_by_load(
        &self,
        candidates: &[Candidate],
        upstreams: &BTreeMap<Name, Upstream>,
    ) -> Option<Vec<Choice>> {
        let has_agent = |c: &Candidate| upstreams[&c.upstream].agent.is_some();
        if candidates.iter().any(has_agent) {
            return None;
        }
        let choices = candidates.iter().map(|c| Choice {
            upstream: c.upstream.clone(),
            zone: c.zone.clone(),
            same_zone: c.same_zone,
        });
        let mut choices: Vec<Choice> = choices.collect();
        let mut rng = self.rng.borrow_mut();
        let is_ordered = self
            .reported_loads
            .order(self.now(), &mut choices, &mut *rng);
        is_ordered.then_some(choices)
    }

    /// Returns the maximum number of open tickets of a request that any of `choices` can
    /// run.
    pub fn max_tickets(&self, choices: &[Choice]) -> usize {
        let limits = &self.active_settings.settings().limits;
        match limits.policy {
            Policy::LateBinding if self.is_chosen_by_load(choices) => upstream_load::CHOICES,
            Policy::LateBinding => limits.probes as usize,
            Policy::RoundRobin | Policy::TwoChoices => 1,
        }
    }

    fn is_chosen_by_load(&self, choices: &[Choice]) -> bool {
        let loads = &self.reported_loads;
        choices.iter().any(|c| loads.is_reported(&c.upstream))
            && choices.iter().all(|c| self.has_no_agent(&c.upstream))
    }

    fn has_no_agent(&self, upstream: &Name) -> bool {
        let upstream = self.directory.get(upstream);
        upstream.is_none_or(|u| u.agent.is_none())
    }

    /// Returns whether `job` may be sent to an upstream of this version now, which a
    /// roll-out may have changed since the ticket was offered.
    pub fn may_send(&self, job: &Job, name: &Name, version: &SoftwareVersion, draw: f64) -> bool {
        let rule = self.rollouts.rule(&job.target, draw);
        rule.is_none_or(|rule| {
            rule.allows(version) || {
                let candidates = self.candidates(job, None, draw);
                candidates.iter().any(|choice| choice.upstream == *name)
            }
        })
    }

    /// Returns the time until the first upstream that could run `job` takes requests again.
    /// `None` if one does now, or if there are none.
    pub fn time_to_return(&self, job: &Job, version: Option<&SoftwareVersion>) -> Option<Duration> {
        let upstreams = self.directory.upstreams();
        let kind = job.admission.route.kind;
        let staying = upstreams.iter().filter(|(_, u)| {
            serves(u, kind, &job.target) && !u.leaving && version.is_none_or(|v| u.version == *v)
        });
        let waits = staying.map(|(name, _)| self.notices.wait(name).unwrap_or_default());
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// Returns whether an upstream that is not leaving can run `job` with this software
    /// version.
    pub fn has_version(&self, job: &Job, version: &SoftwareVersion) -> bool {
        let upstreams = self.directory.upstreams();
        let kind = job.admission.route.kind;
        let mut running = upstreams.values().filter(|u| !u.leaving);
        running.any(|u| serves(u, kind, &job.target) && u.version == *version)
    }

    /// Opens the connections that a request for this version needs, and waits for them for
    /// some time.
    pub async fn wait_for_connections(&self, job: &Job, version: &SoftwareVersion) {
        let connected = async {
            // The candidates are not needed yet.
            while self.candidates(job, Some(version), 0.0).len() < self.links.min_choices()
                && self.is_connecting(job, version)
            {
                actix_rt::time::sleep(CONNECT_POLL).await;
            }
        };
        // Without a connection, the request waits for one as for a grant.
        let _ = actix_rt::time::timeout(CONNECT_TIME, connected).await;
    }

    /// Returns whether connections to agents of this version are being opened.
    fn is_connecting(&self, job: &Job, version: &SoftwareVersion) -> bool {
        let upstreams = self.directory.upstreams();
        let kind = job.admission.route.kind;
        let mut running = upstreams
            .iter()
            .filter(|(_, u)| !u.leaving && u.version == *version);
        running.any(|(name, u)| {
            serves(u, kind, &job.target) && self.links.reach(name, u) == Reach::Connecting
        })
    }

    /// Waits until an upstream is listed that can run `job`, for the longest time that
    /// the job can wait.
    pub async fn wait_for_upstreams(&self, job: &Job) {
        let kind = job.admission.route.kind;
        let mut changes = self.directory.subscribe();
        let listed = async {
            loop {
                let upstreams = self.directory.upstreams();
                if upstreams.values().any(|u| serves(u, kind, &job.target)) {
                    return;
                }
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let max_wait = job.admission.urgency().max_wait();
        // Without an upstream, the request is refused later.
        let _ = actix_rt::time::timeout(max_wait, listed).await;
    }

    /// Removes the state kept for upstreams that are no longer listed, and the
    /// idle request classes of the admission control.
    pub fn purge_removed_upstreams(&self) {
        let upstreams = self.directory.upstreams();
        let is_listed = |name: &Name| upstreams.contains_key(name);
        self.local_schedulers.retain(is_listed);
        self.outliers.borrow_mut().retain(is_listed);
        self.upstream_limits.retain(is_listed);
        self.reported_loads.retain(is_listed);
        self.notices.retain(is_listed);
        self.prefix_indexes
            .borrow_mut()
            .retain(|name, _| is_listed(name));
        let mut outstanding = self.outstanding.borrow_mut();
        outstanding.retain(|name, count| *count > 0 || is_listed(name));
        self.admission.borrow_mut().remove_idle(self.now());
        let mut away = self.zones.away_admission.borrow_mut();
        away.remove_idle(self.now());
    }

    /// Closes the connections to further agents that are not needed any more.
    pub fn close_idle_spare_links(&self) {
        let outstanding = self.outstanding.borrow();
        let is_used = |name: &Name| outstanding.get(name).is_some_and(|count| *count > 0);
        self.links.close_idle_spares(is_used);
    }

    /// Sets the hosts that are about to be removed.
    pub fn set_leaving(&self, leaving: BTreeSet<Name>) {
        self.leaving_hosts.replace(leaving);
    }

    /// Records that the prompt with this prefix was sent to `upstream`.
    pub fn record_prefix(&self, upstream: &Name, prefix: &[u64]) {
        let mut prefix_indexes = self.prefix_indexes.borrow_mut();
        prefix_indexes
            .entry(upstream.clone())
            .or_insert_with(|| PrefixIndex::new(PREFIX_INDEX_CHUNKS))
            .touch(prefix);
    }

    /// Counts an outstanding ticket or request at `upstream`.
    pub fn add_outstanding(&self, upstream: &Name) {
        *self
            .outstanding
            .borrow_mut()
            .entry(upstream.clone())
            .or_default() += 1;
    }

    /// Reverses one `add_outstanding`.
    pub fn remove_outstanding(&self, upstream: &Name) {
        if let Some(count) = self.outstanding.borrow_mut().get_mut(upstream) {
            *count = count.saturating_sub(1);
        }
    }
}
