//! The kinds of datagrams between processes, and their signatures.

use std::cell::Cell;

use thiserror::Error;

use crate::site_key::KeyHolder;
use crate::site_key::SiteKey;

/// The length of a tag, in bytes.
const TAG_SIZE: usize = 32;

/// What a datagram is about, which its tag shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DatagramKind {
    /// The use of quotas.
    Quotas,
    /// Where streams began.
    Streams,
    /// Parts of prompts that crash upstreams.
    Suspects,
    /// Rate limits of upstreams, and permits under them.
    Limits,
    /// Upstreams that are leaving.
    Departures,
    /// Loans of quota.
    Loans,
    /// Rows and reports.
    Gossip,
}

impl DatagramKind {
    const ALL: [Self; 7] = [
        Self::Quotas,
        Self::Streams,
        Self::Suspects,
        Self::Limits,
        Self::Departures,
        Self::Loans,
        Self::Gossip,
    ];

    /// Returns the bytes that precede the signed text, so that the tag of one kind does
    /// not fit another.
    fn context(self) -> &'static [u8] {
        match self {
            Self::Quotas => b"",
            Self::Streams => b"almondramp streams",
            Self::Suspects => b"almondramp suspects",
            Self::Limits => b"almondramp limits",
            Self::Departures => b"almondramp departures",
            Self::Loans => b"almondramp loans",
            Self::Gossip => b"almondramp gossip",
        }
    }

    fn signed_text(self, message: &[u8]) -> Vec<u8> {
        [self.context(), message].concat()
    }

    /// Returns a datagram: the message, followed by its tag.
    pub fn sign(self, key: &SiteKey, message: &[u8]) -> Vec<u8> {
        let tag = key.sign(&self.signed_text(message));
        [message, &tag].concat()
    }

    /// Returns the kind of a message with this tag; `None` if `key` has not made the tag.
    fn signed_by(key: &SiteKey, message: &[u8], tag: &[u8]) -> Option<Self> {
        let mut kinds = Self::ALL.into_iter();
        kinds.find(|kind| key.is_signed(&kind.signed_text(message), tag))
    }

    /// Returns the kind and the message of a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the key is not known yet, or if the datagram is not signed with it.
    pub fn open<'a>(keys: &KeyHolder, datagram: &'a [u8]) -> Result<(Self, &'a [u8]), OpenError> {
        if keys.get().is_none() {
            return Err(OpenError::NoKey);
        }
        let split = datagram.split_last_chunk::<TAG_SIZE>();
        let (message, tag) = split.ok_or(OpenError::Unsigned)?;
        let kind = Cell::new(None);
        let accepted = keys.find(|key| {
            kind.set(Self::signed_by(key, message, tag));
            kind.get().is_some()
        });
        let kind = kind.get().filter(|_| accepted.is_some());
        Ok((kind.ok_or(OpenError::Unsigned)?, message))
    }
}

/// Reason for which a datagram is not read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum OpenError {
    /// This process does not know the site key yet.
    #[error("the site key is not known yet")]
    NoKey,
    /// The sender does not hold the site key.
    #[error("not signed with the site key")]
    Unsigned,
}
