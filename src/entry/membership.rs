//! Follows the list of hosts: chooses the watchers and tells the agents of
//! leaving hosts to drain.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::info;
use slog::warn;

use crate::entry::state::EntryState;
use crate::host_list::Host;
use crate::host_list::HostList;
use crate::membership::Membership;
use crate::name::Name;

/// The time between two looks of a watcher.
const WATCHER_POLL: Duration = Duration::from_secs(1);

/// The time between two looks of an entry that does not watch.
const OTHER_POLL: Duration = Duration::from_secs(30);

/// Follows the list until the task ends.
pub async fn follow<L>(state: Rc<EntryState>, hosts: L)
where
    L: HostList,
{
    let mut drained: BTreeSet<Name> = BTreeSet::new();
    loop {
        match hosts.list().await {
            Ok(list) => {
                let membership = conclude(&state, &list);
                drained.retain(|name| membership.leaving.contains(name));
                drain(&state, &membership, &mut drained);
                state.watches.send_if_modified(|watches| {
                    let changed = *watches != membership.is_watcher;
                    *watches = membership.is_watcher;
                    changed
                });
                state.set_leaving(membership.leaving);
            }
            // The last list stays in force while the platform is away.
            Err(e) => warn!(state.log, "host list not read"; "error" => %e),
        }
        let pause = match *state.watches.borrow() {
            true => WATCHER_POLL,
            false => OTHER_POLL,
        };
        let spread = rand::rng().random_range(0.75..1.0);
        actix_rt::time::sleep(pause.mul_f64(spread)).await;
    }
}

fn conclude(state: &EntryState, list: &[Host]) -> Membership {
    let settings = state.active_settings.settings();
    let is_entry = |host: &Host| !settings.upstreams.contains_key(&host.name);
    Membership::new(&state.config.name, &state.config.zone, list, is_entry)
}

/// Tells the agents beside leaving upstreams once that they are to drain.
fn drain(state: &EntryState, membership: &Membership, drained: &mut BTreeSet<Name>) {
    for name in &membership.leaving {
        let Some(link) = state.links.get(name).filter(|_| !drained.contains(name)) else {
            continue;
        };
        info!(state.log, "upstream is leaving"; "upstream" => %name);
        drained.insert(name.clone());
        let sent = link.scheduler.drain_request().send();
        // An agent that can't be told gets no tickets from this entry either.
        actix_rt::spawn(async move { sent.promise.await.map(drop) });
    }
}
