//! The handshake of an entry or of the operators' program with an agent: mutual
//! authentication with the site key.

use capnp::Error;
use capnp::ErrorKind;
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

/// Reasons why the handshake with an agent failed.
#[derive(Debug, ThisError)]
pub enum HandshakeError {
    /// The connection failed, or the agent refused it.
    #[error("the agent cannot be reached or refused the connection")]
    Rpc(#[from] Error),
    /// The agent implements another version of the protocol.
    #[error("the agent uses protocol version {0}, expected {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
    /// The agent's proof does not match the site key.
    #[error("the agent does not hold the site key")]
    InvalidProof,
}

impl HandshakeError {
    /// Returns whether the agent may hold another site key: it refused the proof, or
    /// its own does not match.
    pub fn is_key_mismatch(&self) -> bool {
        match self {
            Self::Rpc(e) => e.kind == ErrorKind::Failed,
            Self::UnsupportedVersion(_) => false,
            Self::InvalidProof => true,
        }
    }
}

/// An agent with which the handshake succeeded: both sides have proved that
/// they hold the site key.
pub struct AuthenticatedAgent {
    /// The agent's scheduler interface.
    pub scheduler: desk::Client,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The revision of the agent's active settings.
    pub revision: Revision,
}

/// Proves to the agent that this process holds `key`, and verifies the agent's
/// own proof.
pub async fn authenticate(
    gate: &gate::Client,
    key: &SiteKey,
    name: &Name,
    incarnation: Incarnation,
) -> Result<AuthenticatedAgent, HandshakeError> {
    let challenge = gate.challenge_request().send().promise.await?;
    let challenge = challenge.get()?;
    let version = challenge.get_version();
    if version != PROTOCOL_VERSION {
        return Err(HandshakeError::UnsupportedVersion(version));
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
        return Err(HandshakeError::InvalidProof);
    }
    Ok(AuthenticatedAgent {
        scheduler: reply.get_desk()?,
        incarnation: Incarnation(welcome.get_incarnation()),
        revision: Revision(welcome.get_revision()),
    })
}
