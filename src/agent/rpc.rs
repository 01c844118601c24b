//! The agent's side of the protocol with entries.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use slog::warn;

use crate::active_settings::AdoptError;
use crate::active_settings::Revision;
use crate::active_settings::SettingsOrigin;
use crate::active_settings::SettingsUpdate;
use crate::active_settings::log_adoption;
use crate::agent::state::AgentState;
use crate::agent::state::SessionId;
use crate::almondramp_capnp as schema;
use crate::almondramp_capnp::desk;
use crate::almondramp_capnp::gate;
use crate::ids::GrantId;
use crate::site_key::Nonce;
use crate::site_key::Role;
use crate::site_key::SiteKey;
use crate::site_key::new_nonce;
use crate::ticket::WithdrawReason;
use crate::wire;
use crate::wire::PROTOCOL_VERSION;

/// The longest time by which the answer to a heartbeat is delayed.
const MAX_HEARTBEAT_HOLD: Duration = Duration::from_secs(30);

/// The bootstrap interface of a connection. It gives access to the scheduler
/// only to a peer that proves that it holds the site key.
pub struct Gate {
    state: Rc<AgentState>,
    session: SessionId,
    nonce: Nonce,
    authenticated: Rc<Cell<bool>>,
}

impl Gate {
    /// Creates the gate of one connection. Sets `authenticated` once the peer
    /// has proved that it holds the site key.
    pub fn new(state: Rc<AgentState>, session: SessionId, authenticated: Rc<Cell<bool>>) -> Self {
        Self {
            state,
            session,
            nonce: new_nonce(&mut rand::rng()),
            authenticated,
        }
    }

    /// Returns the site key that the peer has proved to hold.
    fn verify_hello(&self, hello: schema::hello::Reader<'_>) -> Result<SiteKey, Error> {
        if hello.get_version() != PROTOCOL_VERSION {
            let text = format!("protocol version {PROTOCOL_VERSION} is needed");
            return Err(Error::unimplemented(text));
        }
        let holder = &self.state.config.site_key;
        if holder.get().is_none() {
            let text = "the site key is not known yet";
            return Err(Error::overloaded(text.to_owned()));
        }
        let (nonce, proof) = (hello.get_nonce()?, hello.get_proof()?);
        let accepted = holder.find(|key| key.verify(Role::Entry, nonce, &self.nonce, proof));
        accepted.ok_or_else(|| {
            warn!(self.state.log, "peer refused: site key does not match");
            Error::failed("the site key does not match".to_owned())
        })
    }
}

impl gate::Server for Gate {
    async fn challenge(
        self: Rc<Self>,
        _params: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        results.get().set_nonce(&self.nonce);
        results.get().set_version(PROTOCOL_VERSION);
        Ok(())
    }

    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), Error> {
        let hello = params.get()?.get_hello()?;
        let key = self.verify_hello(hello)?;
        self.authenticated.set(true);
        let state = &self.state;
        let proof = key.prove(Role::Agent, hello.get_nonce()?, &self.nonce);
        let mut welcome = results.get().init_welcome();
        welcome.set_version(PROTOCOL_VERSION);
        welcome.set_incarnation(state.incarnation.0);
        welcome.set_proof(&proof);
        welcome.set_revision(state.active_settings.revision().0);
        let session = SchedulerSession {
            state: Rc::clone(state),
            session: self.session,
        };
        results.get().set_desk(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// The scheduler interface of one authenticated connection.
struct SchedulerSession {
    state: Rc<AgentState>,
    session: SessionId,
}

impl desk::Server for SchedulerSession {
    async fn offer(
        self: Rc<Self>,
        params: desk::OfferParams,
        mut results: desk::OfferResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let ticket = wire::read_ticket(params.get_ticket()?, self.state.now())?;
        let offered = self.state.offer(self.session, ticket, params.get_waiter()?);
        wire::write_offered(offered, results.get().init_offered());
        Ok(())
    }

    async fn begin(
        self: Rc<Self>,
        params: desk::BeginParams,
        _results: desk::BeginResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = wire::read_request(params.get_request()?);
        self.state.mark_sent(request, GrantId(params.get_grant()));
        Ok(())
    }

    async fn withdraw(
        self: Rc<Self>,
        params: desk::WithdrawParams,
        _results: desk::WithdrawResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = wire::read_request(params.get_request()?);
        let reason = match params.get_sent_elsewhere() {
            true => WithdrawReason::SentElsewhere,
            false => WithdrawReason::GivenUp,
        };
        self.state.withdraw(self.session, request, reason);
        Ok(())
    }

    async fn answering(
        self: Rc<Self>,
        params: desk::AnsweringParams,
        _results: desk::AnsweringResults,
    ) -> Result<(), Error> {
        let request = wire::read_request(params.get()?.get_request()?);
        self.state.mark_answering(request);
        Ok(())
    }

    async fn finish(
        self: Rc<Self>,
        params: desk::FinishParams,
        _results: desk::FinishResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = wire::read_request(params.get_request()?);
        let work = wire::read_usage(params.get_usage()?);
        let work = params.get_whole().then_some(work);
        self.state.finish(self.session, request, work);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: desk::StatusParams,
        mut results: desk::StatusResults,
    ) -> Result<(), Error> {
        let mut status = results.get().init_status();
        status.set_upstream(self.state.config.upstream.as_str());
        status.set_incarnation(self.state.incarnation.0);
        status.set_revision(self.state.active_settings.revision().0);
        self.state.read_scheduler(|scheduler| {
            status.set_waiting(scheduler.waiting() as u64);
            status.set_running(scheduler.running() as u64);
            status.set_slots(scheduler.slots() as u64);
            status.set_draining(scheduler.is_draining());
            status.set_seconds_per_token(scheduler.pace().seconds_per_token().1);
        });
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        _params: desk::DrainParams,
        _results: desk::DrainResults,
    ) -> Result<(), Error> {
        self.state.drain();
        Ok(())
    }

    async fn settings(
        self: Rc<Self>,
        params: desk::SettingsParams,
        mut results: desk::SettingsResults,
    ) -> Result<(), Error> {
        let known = Revision(params.get()?.get_have());
        let update = self.state.active_settings.encoded_update_since(known);
        let update = update.map_err(|e| Error::failed(e.to_string()))?;
        results.get().set_handover(&update);
        Ok(())
    }

    async fn adopt(
        self: Rc<Self>,
        params: desk::AdoptParams,
        mut results: desk::AdoptResults,
    ) -> Result<(), Error> {
        let update = serde_json::from_slice::<SettingsUpdate>(params.get()?.get_handover()?);
        let update = update.map_err(|e| Error::failed(e.to_string()))?;
        let active_settings = &self.state.active_settings;
        match active_settings.apply_update(&update).await {
            // The peer sees from the returned revision that the update did not
            // apply here, and sends a full one.
            Ok(None) | Err(AdoptError::BaseNotActive(_) | AdoptError::BaseDiffers(_)) => {}
            Ok(Some(adoption)) => {
                let origin = SettingsOrigin::Entry;
                log_adoption(&self.state.log, update.revision, &adoption, origin);
            }
            Err(AdoptError::Invalid(e)) => return Err(Error::failed(e.to_string())),
        }
        results.get().set_revision(active_settings.revision().0);
        Ok(())
    }

    async fn heartbeat(
        self: Rc<Self>,
        params: desk::HeartbeatParams,
        mut results: desk::HeartbeatResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let theirs = Revision(params.get_revision());
        let hold = Duration::from_millis(params.get_hold_millis()).min(MAX_HEARTBEAT_HOLD);
        let mut revisions = self.state.active_settings.subscribe();
        let changed = revisions.wait_for(|ours| *ours != theirs);
        // Without a change, the heartbeat is answered when the hold has elapsed.
        let _ = actix_rt::time::timeout(hold, changed).await;
        results
            .get()
            .set_revision(self.state.active_settings.revision().0);
        Ok(())
    }
}
