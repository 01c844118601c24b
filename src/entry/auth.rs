//! Maps API keys to organisations.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::name::Name;
use crate::settings::Settings;
use crate::units::KeyDigest;

/// Number of buckets: one for each value of the first byte.
const BUCKETS: usize = 256;

/// Digests of the API keys of all organisations.
///
/// Digests are stored in buckets by their first byte and compared in constant
/// time within a bucket, so that the duration of a lookup reveals at most the
/// first byte of a digest.
pub struct KeyTable {
    buckets: Vec<Vec<(KeyDigest, Name)>>,
}

impl KeyTable {
    /// Creates a table of the keys of all organisations in `settings`.
    pub fn new(settings: &Settings) -> Self {
        let mut buckets = vec![Vec::new(); BUCKETS];
        for (name, organisation) in settings.organisations.iter() {
            for key in &organisation.keys {
                buckets[usize::from(key.0[0])].push((*key, name.clone()));
            }
        }
        Self { buckets }
    }

    /// Returns the organisation that owns `key`.
    pub fn find(&self, key: &str) -> Option<Name> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let mut found = None;
        for (candidate, name) in &self.buckets[usize::from(digest[0])] {
            if bool::from(candidate.0.ct_eq(&digest)) {
                found = Some(name.clone());
            }
        }
        found
    }
}
