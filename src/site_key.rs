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
use tokio::sync::watch;

use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
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

/// The name of the object that holds a site's key.
const KEY_OBJECT: &str = "site-key";

/// The length of a new key, in bytes: that of the tags made with it.
const NEW_KEY_BYTES: usize = 32;

/// Reads the site's key from a store. The first process of a site draws it;
/// whose write comes first decides, and a lost reply is settled by reading.
pub async fn load_or_create(store: &dyn ObjectStore) -> Result<SiteKey, StoreError> {
    let name = Name::new(KEY_OBJECT);
    if let Some(key) = stored(store.get(name.clone()).await?) {
        return Ok(key);
    }
    let mut drawn = [0; NEW_KEY_BYTES];
    rand::rng().fill_bytes(&mut drawn);
    let text: String = drawn.iter().map(|byte| format!("{byte:02x}")).collect();
    match store.put(name.clone(), text.into(), Expected::Absent).await {
        Ok(_) => Ok(SiteKey(drawn.to_vec())),
        Err(StoreError::Conflict | StoreError::Unclear) => {
            let key = stored(store.get(name).await?);
            key.ok_or(StoreError::Unclear)
        }
        Err(e) => Err(e),
    }
}

fn stored(object: Option<Object>) -> Option<SiteKey> {
    let text = object?.value;
    SiteKey::parse(std::str::from_utf8(&text).ok()?).ok()
}

/// A key that may become known only after the process has started.
#[derive(Clone)]
pub struct KeyHolder(watch::Sender<Option<SiteKey>>);

impl KeyHolder {
    /// A holder whose key is to come.
    pub fn pending() -> Self {
        Self(watch::Sender::new(None))
    }

    /// Makes the key known.
    pub fn set(&self, key: SiteKey) {
        self.0.send_replace(Some(key));
    }

    /// The key, if it is known.
    pub fn get(&self) -> Option<SiteKey> {
        self.0.borrow().clone()
    }

    /// Waits until the key is known.
    pub async fn wait(&self) -> SiteKey {
        let mut known = self.0.subscribe();
        loop {
            if let Some(key) = self.get() {
                return key;
            }
            if known.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

impl From<SiteKey> for KeyHolder {
    fn from(key: SiteKey) -> Self {
        Self(watch::Sender::new(Some(key)))
    }
}

impl fmt::Debug for KeyHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHolder(..)")
    }
}

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

    /// A tag by which a holder of the key recognises `message`.
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        self.message_mac(message).finalize().into_bytes().to_vec()
    }

    /// Whether `tag` was made for `message` by a holder of the key.
    pub fn is_signed(&self, message: &[u8], tag: &[u8]) -> bool {
        self.message_mac(message).verify_slice(tag).is_ok()
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

    fn message_mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.new_mac();
        mac.update(b"message");
        mac.update(message);
        mac
    }

    fn new_mac(&self) -> Hmac<Sha256> {
        Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any size")
    }

    fn mac(&self, role: Role, entry: &[u8], agent: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.new_mac();
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
