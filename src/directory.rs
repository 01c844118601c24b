//! The currently known upstreams, from the settings or from a platform's
//! discovery.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::clock::Timestamp;
use crate::departures::DepartureReport;
use crate::departures::Departures;
use crate::departures::UpstreamRun;
use crate::name::Name;
use crate::settings::Upstream;

/// A version of an upstream's software; `None` if the upstream reports none.
pub type SoftwareVersion = Option<Name>;

/// Upstreams by name.
pub type Upstreams = BTreeMap<Name, Upstream>;

/// Holds the currently known upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    /// Invariant: those in `departures` are marked as leaving.
    upstreams: RefCell<Rc<Upstreams>>,
    /// The upstreams that say in their answers that they are leaving.
    departures: RefCell<Departures>,
    /// The number of changes so far.
    changes: watch::Sender<u64>,
    /// When a platform last confirmed the upstreams; `None` if they come from the
    /// settings.
    confirmed_at: Cell<Option<Instant>>,
    /// The number of upstreams that are kept without a registration.
    kept: Cell<usize>,
    /// The time after its start within which an upstream has registered; `None` if upstreams
    /// come from the settings.
    registration_time: Cell<Option<Duration>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current upstreams.
    pub fn upstreams(&self) -> Rc<Upstreams> {
        Rc::clone(&self.upstreams.borrow())
    }

    /// Returns the upstream `name`, or `None` if it is not known.
    pub fn get(&self, name: &Name) -> Option<Upstream> {
        self.upstreams.borrow().get(name).cloned()
    }

    /// Replaces all upstreams. Those that have said that they are leaving stay so,
    /// whatever their registrations say.
    pub fn set(&self, mut upstreams: Upstreams) {
        let departures = self.departures.borrow();
        for (name, upstream) in &mut upstreams {
            upstream.leaving |= departures.contains(&run_of(name, upstream));
        }
        self.upstreams.replace(Rc::new(upstreams));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records the answer of an upstream that it is leaving. Returns the run that leaves,
    /// if this is news.
    pub fn record_departure(&self, now: Timestamp, name: &Name) -> Option<UpstreamRun> {
        let run = run_of(name, self.upstreams.borrow().get(name)?);
        let is_new = self.departures.borrow_mut().record(now, &run);
        is_new.then(|| {
            self.mark_leaving(&run);
            run
        })
    }

    /// Merges the report of another entry on an upstream that is leaving. Returns whether
    /// it is news.
    pub fn merge_departure(&self, now: Timestamp, report: &DepartureReport) -> bool {
        let is_new = self.departures.borrow_mut().merge(now, report);
        if is_new {
            self.mark_leaving(&report.run);
        }
        is_new
    }

    /// Returns the departures that are remembered, without those that are too old.
    pub fn departures(&self, now: Timestamp) -> Ref<'_, Departures> {
        self.departures.borrow_mut().expire(now);
        self.departures.borrow()
    }

    fn mark_leaving(&self, run: &UpstreamRun) {
        let mut upstreams = self.upstreams.borrow_mut();
        let listed = upstreams.get(&run.upstream);
        if listed.is_none_or(|u| u.leaving || u.started != run.started) {
            return;
        }
        if let Some(upstream) = Rc::make_mut(&mut upstreams).get_mut(&run.upstream) {
            upstream.leaving = true;
        }
        drop(upstreams);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that the platform has just confirmed the current upstreams.
    pub fn confirm(&self) {
        self.confirmed_at.set(Some(Instant::now()));
    }

    /// Returns the time since the platform last confirmed the upstreams; `None` if
    /// they come from the settings.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    /// Sets the time after its start within which an upstream has registered.
    pub fn set_registration_time(&self, time: Option<Duration>) {
        self.registration_time.set(time);
    }

    /// Returns the time after its start within which an upstream has registered; `None` if that
    /// is not known.
    pub fn registration_time(&self) -> Option<Duration> {
        self.registration_time.get()
    }

    /// Sets the number of upstreams that are kept without a registration.
    pub fn set_kept(&self, count: usize) {
        self.kept.set(count);
    }

    /// Returns the number of upstreams that are kept without a registration.
    pub fn kept(&self) -> usize {
        self.kept.get()
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Keeps the directory equal to the upstreams of the active settings.
    /// Returns when no further settings can arrive.
    pub async fn follow_settings(self: Rc<Self>, active_settings: Rc<ActiveSettings>) {
        let mut revisions = active_settings.subscribe();
        loop {
            revisions.mark_unchanged();
            self.set((*active_settings.settings().upstreams).clone());
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }
}

fn run_of(name: &Name, upstream: &Upstream) -> UpstreamRun {
    UpstreamRun {
        upstream: name.clone(),
        started: upstream.started,
    }
}
