//! The first exchange on a connection to an agent.

use capnp::Error;
use thiserror::Error as ThisError;

use crate::active_settings::Revision;
use crate::almondramp_capnp::desk;
use crate::almondramp_capnp::gate;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::site_key::Role;
use crate::site_key::SiteKey;
use crate::site_key::new_nonce;
use crate::wire::PROTOCOL_VERSION;

/// Why a connection to an agent was not set up.
#[derive(Debug, ThisError)]
pub enum HandshakeError {
    /// The connection failed, or the agent refused it.
    #[error("the agent cannot be reached or refused the connection")]
    Rpc(#[from] Error),
    /// The agent speaks another version of the protocol.
    #[error("the agent speaks protocol version {0}, not {PROTOCOL_VERSION}")]
    Version(u32),
    /// The agent does not hold the site's key.
    #[error("the agent does not hold the site's key")]
    Proof,
}

/// A connection on which both sides have proved that they hold the key.
pub struct Admitted {
    /// The agent's scheduler.
    pub scheduler: desk::Client,
    /// The agent's present life.
    pub incarnation: Incarnation,
    /// The settings in force at the agent.
    pub revision: Revision,
}

/// Proves that this process holds `key` and checks that the agent does too.
pub async fn authenticate(
    gate: &gate::Client,
    key: &SiteKey,
    name: &Name,
    incarnation: Incarnation,
) -> Result<Admitted, HandshakeError> {
    let challenge = gate.challenge_request().send().promise.await?;
    let challenge = challenge.get()?;
    let version = challenge.get_version();
    if version != PROTOCOL_VERSION {
        return Err(HandshakeError::Version(version));
    }
    let theirs = challenge.get_nonce()?;
    let ours = new_nonce(&mut rand::rng());
    let mut req = gate.hello_request();
    let mut hello = req.get().init_hello();
    hello.set_version(PROTOCOL_VERSION);
    hello.set_name(name.as_str());
    hello.set_incarnation(incarnation.0);
    hello.set_nonce(&ours);
    hello.set_proof(&key.prove(Role::Entry, &ours, theirs));
    let reply = req.send().promise.await?;
    let reply = reply.get()?;
    let welcome = reply.get_welcome()?;
    if !key.verify(Role::Agent, &ours, theirs, welcome.get_proof()?) {
        return Err(HandshakeError::Proof);
    }
    Ok(Admitted {
        scheduler: reply.get_desk()?,
        incarnation: Incarnation(welcome.get_incarnation()),
        revision: Revision(welcome.get_revision()),
    })
}
