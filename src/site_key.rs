//! Shared key of the processes of a site, and the proofs made with it.
//!
//! Each side of a connection sends a nonce and proves that it holds the key with an
//! HMAC-SHA256 over its role and both nonces. A recorded proof is therefore not
//! valid on another connection or in the other direction.

use std::fmt;
use std::rc::Rc;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::Rng;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::units::parse_hex;

/// Minimum length of a key, in bytes; a shorter one is too short to be a secret.
const MIN_KEY_BYTES: usize = 16;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;

/// Error in the text of a site key.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SiteKeyError {
    /// The text is not pairs of hexadecimal digits.
    #[error("the site key is not hexadecimal")]
    NotHex,
    /// The key is shorter than `MIN_KEY_BYTES`.
    #[error("the site key has fewer than {MIN_KEY_BYTES} bytes")]
    TooShort,
}

/// Side of a connection that makes a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The side that connected.
    Entry,
    /// The side that listens.
    Agent,
}

/// Random value that is used for one connection only.
pub type Nonce = [u8; NONCE_BYTES];

/// Name of the object that holds the site's key.
const KEY_OBJECT: &str = "site-key";

/// Length of a generated key, in bytes; equal to the length of the HMAC tags.
const NEW_KEY_BYTES: usize = 32;

/// Returns the site's key from a store, or generates and stores it if there is
/// none, see [`agree`].
pub async fn load_or_create(store: &dyn ObjectStore) -> Result<SiteKey, StoreError> {
    let mut key = [0; NEW_KEY_BYTES];
    rand::rng().fill_bytes(&mut key);
    agree(store, SiteKey(key.to_vec())).await
}

/// Returns the site's key from a store, or stores `proposed` if there is none or
/// the stored one can't be read. If several processes store a key at the same
/// time, the first write wins. A process whose write came later or whose reply was
/// lost reads the stored key.
pub async fn agree(store: &dyn ObjectStore, proposed: SiteKey) -> Result<SiteKey, StoreError> {
    let name = Name::new(KEY_OBJECT);
    let expected = match store.get(name.clone()).await? {
        None => Expected::Absent,
        Some(object) => match parse_stored_key(&object) {
            Some(key) => return Ok(key),
            None => Expected::Version(object.version),
        },
    };
    let text: String = proposed
        .0
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    match store.put(name.clone(), text.into(), expected).await {
        Ok(_) => Ok(proposed),
        Err(StoreError::Conflict | StoreError::OutcomeUnknown | StoreError::Restored) => {
            let object = store.get(name).await?;
            let key = object.as_ref().and_then(parse_stored_key);
            key.ok_or(StoreError::OutcomeUnknown)
        }
        Err(e) => Err(e),
    }
}

fn parse_stored_key(object: &Object) -> Option<SiteKey> {
    SiteKey::parse(std::str::from_utf8(&object.value).ok()?).ok()
}

/// Holder of a site key that may be set after the process has started, and
/// replaced after the store that keeps it was restored from an older copy.
///
/// The replaced key is still accepted from peers: they replace theirs a little
/// earlier or later.
#[derive(Clone)]
pub struct KeyHolder {
    keys: watch::Sender<HeldKeys>,
    /// Notified when a peer has proved another key than the held ones.
    mismatch: Rc<Notify>,
}

#[derive(Clone, Default)]
struct HeldKeys {
    current: Option<SiteKey>,
    /// The key before `current`; `None` if `current` is the first one.
    previous: Option<SiteKey>,
}

impl KeyHolder {
    /// Creates a holder without a key.
    pub fn pending() -> Self {
        Self {
            keys: watch::Sender::default(),
            mismatch: Rc::default(),
        }
    }

    /// Sets the key and wakes all waiting tasks. Returns whether another key was
    /// replaced.
    pub fn set(&self, key: SiteKey) -> bool {
        let mut is_replaced = false;
        self.keys.send_modify(|keys| {
            if keys.current.as_ref() != Some(&key) {
                is_replaced = keys.current.is_some();
                keys.previous = keys.current.replace(key);
            }
        });
        is_replaced
    }

    /// Returns the key, if it is set.
    pub fn get(&self) -> Option<SiteKey> {
        self.keys.borrow().current.clone()
    }

    /// Returns the first of the current and the previous key for which `accepts`
    /// returns true. If both are refused, the current key is due to be checked,
    /// see [`KeyHolder::mismatch`].
    pub fn find<F>(&self, accepts: F) -> Option<SiteKey>
    where
        F: Fn(&SiteKey) -> bool,
    {
        let HeldKeys { current, previous } = self.keys.borrow().clone();
        let accepted = current.into_iter().chain(previous).find(accepts);
        if accepted.is_none() {
            self.report_mismatch();
        }
        accepted
    }

    /// Records that a peer holds another key.
    pub fn report_mismatch(&self) {
        self.mismatch.notify_one();
    }

    /// Waits until a peer has held another key since the last call.
    pub async fn mismatch(&self) {
        self.mismatch.notified().await;
    }

    /// Waits until the key is set and returns it.
    pub async fn wait(&self) -> SiteKey {
        let mut key_changes = self.keys.subscribe();
        loop {
            if let Some(key) = self.get() {
                return key;
            }
            if key_changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

impl From<SiteKey> for KeyHolder {
    fn from(key: SiteKey) -> Self {
        let holder = Self::pending();
        holder.set(key);
        holder
    }
}

impl fmt::Debug for KeyHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHolder(..)")
    }
}

/// Shared key of a site. Its `Debug` output does not show it.
#[derive(Clone)]
pub struct SiteKey(Vec<u8>);

impl SiteKey {
    /// Parses a key from hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, SiteKeyError> {
        let key = parse_hex(text.trim()).ok_or(SiteKeyError::NotHex)?;
        if key.len() < MIN_KEY_BYTES {
            return Err(SiteKeyError::TooShort);
        }
        Ok(Self(key))
    }

    /// Returns the HMAC-SHA256 tag of `message`.
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        self.message_mac(message).finalize().into_bytes().to_vec()
    }

    /// Returns whether `tag` is the tag of `message` under this key.
    pub fn is_signed(&self, message: &[u8], tag: &[u8]) -> bool {
        self.message_mac(message).verify_slice(tag).is_ok()
    }

    /// Returns the proof that `role` holds the key, for the connection with these
    /// nonces.
    pub fn prove(&self, role: Role, entry_nonce: &[u8], agent_nonce: &[u8]) -> Vec<u8> {
        self.proof_mac(role, entry_nonce, agent_nonce)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Returns whether `proof` is valid for `role` and these nonces. The
    /// comparison takes constant time.
    pub fn verify(&self, role: Role, entry_nonce: &[u8], agent_nonce: &[u8], proof: &[u8]) -> bool {
        let valid_lengths = entry_nonce.len() == NONCE_BYTES && agent_nonce.len() == NONCE_BYTES;
        valid_lengths
            && self
                .proof_mac(role, entry_nonce, agent_nonce)
                .verify_slice(proof)
                .is_ok()
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

    fn proof_mac(&self, role: Role, entry_nonce: &[u8], agent_nonce: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.new_mac();
        mac.update(match role {
            Role::Entry => b"entry",
            Role::Agent => b"agent",
        });
        mac.update(entry_nonce);
        mac.update(agent_nonce);
        mac
    }
}

impl PartialEq for SiteKey {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SiteKey(..)")
    }
}

/// Generates a random nonce.
pub fn new_nonce<R>(rng: &mut R) -> Nonce
where
    R: Rng,
{
    let mut nonce = Nonce::default();
    rng.fill_bytes(&mut nonce);
    nonce
}
