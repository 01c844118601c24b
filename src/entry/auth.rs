//! Finds the organisation that an API key names.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::name::Name;
use crate::settings::Settings;
use crate::units::KeyDigest;

const BUCKETS: usize = 256;

/// The digests of all API keys.
///
/// Digests are kept in buckets by their first byte and compared in constant
/// time within a bucket, so that the time taken tells no more of a digest
/// than that byte.
pub struct KeyTable {
    buckets: Vec<Vec<(KeyDigest, Name)>>,
}

impl KeyTable {
    /// The keys of all organisations of `settings`.
    pub fn new(settings: &Settings) -> Self {
        let mut buckets = vec![Vec::new(); BUCKETS];
        for (name, organisation) in &settings.organisations {
            for key in &organisation.keys {
                buckets[usize::from(key.0[0])].push((*key, name.clone()));
            }
        }
        Self { buckets }
    }

    /// The organisation that `key` names.
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
