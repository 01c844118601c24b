//! The key that every process of a site holds, and the proofs made with it.
//!
//! Each side of a connection sends a nonce and proves that it holds the key
//! with an HMAC-SHA256 over its role and both nonces, so that a recorded
//! proof is worthless on another connection and in the other direction.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::Rng;
use sha2::Sha256;
use thiserror::Error;

use crate::units::parse_hex;

/// The shortest key that is accepted, in bytes.
const MIN_KEY_BYTES: usize = 16;

const NONCE_BYTES: usize = 16;

/// A key that can't be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SiteKeyError {
    /// Not pairs of hexadecimal digits.
    #[error("the site key is not hexadecimal")]
    NotHex,
    /// Too short to be a secret.
    #[error("the site key has fewer than {MIN_KEY_BYTES} bytes")]
    TooShort,
}

/// The side of a connection that a proof speaks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The side that connected.
    Entry,
    /// The side that listens.
    Agent,
}

/// A value that is used for one connection only.
pub type Nonce = [u8; NONCE_BYTES];

/// The shared key of a site. It is never shown.
#[derive(Clone)]
pub struct SiteKey(Vec<u8>);

impl SiteKey {
    /// Reads a key from hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, SiteKeyError> {
        let key = parse_hex(text.trim()).ok_or(SiteKeyError::NotHex)?;
        if key.len() < MIN_KEY_BYTES {
            return Err(SiteKeyError::TooShort);
        }
        Ok(Self(key))
    }

    /// The proof that `role` holds the key, on the connection of these nonces.
    pub fn prove(&self, role: Role, entry: &[u8], agent: &[u8]) -> Vec<u8> {
        self.mac(role, entry, agent)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Whether `proof` is right. Takes the same time wherever it differs.
    pub fn verify(&self, role: Role, entry: &[u8], agent: &[u8], proof: &[u8]) -> bool {
        let sized = entry.len() == NONCE_BYTES && agent.len() == NONCE_BYTES;
        sized && self.mac(role, entry, agent).verify_slice(proof).is_ok()
    }

    fn mac(&self, role: Role, entry: &[u8], agent: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any size");
        mac.update(match role {
            Role::Entry => b"entry",
            Role::Agent => b"agent",
        });
        mac.update(entry);
        mac.update(agent);
        mac
    }
}

impl fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SiteKey(..)")
    }
}

/// Draws a nonce.
pub fn nonce<R>(rng: &mut R) -> Nonce
where
    R: Rng,
{
    let mut nonce = Nonce::default();
    rng.fill_bytes(&mut nonce);
    nonce
}
