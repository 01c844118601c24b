//! Polls the host list, decides whether this entry is a watcher, which watches
//! the object store on behalf of other entries, and asks the agents of leaving
//! hosts to drain.

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

/// The poll interval of an entry that is a watcher.
const WATCHER_POLL: Duration = Duration::from_secs(1);

/// The poll interval of an entry that is not a watcher.
const NON_WATCHER_POLL: Duration = Duration::from_secs(30);

/// Polls the host list and applies it to `state`, until the task is aborted.
pub async fn follow_host_list<L>(state: Rc<EntryState>, hosts: L)
where
    L: HostList,
{
    let mut asked_to_drain: BTreeSet<Name> = BTreeSet::new();
    loop {
        match hosts.list().await {
            Ok(list) => {
                let membership = derive_membership(&state, &list);
                asked_to_drain.retain(|name| membership.leaving.contains(name));
                drain_leaving(&state, &membership, &mut asked_to_drain);
                state.is_watcher.send_if_modified(|is_watcher| {
                    let changed = *is_watcher != membership.is_watcher;
                    *is_watcher = membership.is_watcher;
                    changed
                });
                state.set_leaving(membership.leaving);
            }
            // The previous list stays in effect while the host list is unavailable.
            Err(e) => warn!(state.log, "could not read the host list"; "error" => %e),
        }
        let interval = match *state.is_watcher.borrow() {
            true => WATCHER_POLL,
            false => NON_WATCHER_POLL,
        };
        let jitter = rand::rng().random_range(0.75..1.0);
        actix_rt::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Derives this entry's membership from the host list. Hosts that are not
/// upstreams are entries.
fn derive_membership(state: &EntryState, list: &[Host]) -> Membership {
    let settings = state.active_settings.settings();
    let is_entry = |host: &Host| !settings.upstreams.contains_key(&host.name);
    Membership::new(&state.config.name, &state.config.zone, list, is_entry)
}

/// Asks the agent of each leaving upstream to drain, once per upstream.
fn drain_leaving(state: &EntryState, membership: &Membership, asked_to_drain: &mut BTreeSet<Name>) {
    for name in &membership.leaving {
        let Some(link) = state
            .links
            .get(name)
            .filter(|_| !asked_to_drain.contains(name))
        else {
            continue;
        };
        info!(state.log, "upstream is leaving"; "upstream" => %name);
        asked_to_drain.insert(name.clone());
        let sent = link.scheduler.drain_request().send();
        // A failure is ignored: without a connection, this entry sends the agent no
        // tickets either.
        actix_rt::spawn(async move { sent.promise.await.map(drop) });
    }
}
