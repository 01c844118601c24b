//! Units: conversions, and `serde_with` adapters for sizes and key digests.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error as _;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;
use thiserror::Error;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const GIB: u64 = 1024 * MIB;

/// Returns a duration in whole milliseconds, at most `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of day, as the time since the Unix epoch.
pub fn since_epoch() -> Duration {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.unwrap_or_default()
}

/// Error in the text of a size or of a key digest.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UnitError {
    /// The text is not a size in bytes.
    #[error("expected a size such as \"4MiB\"")]
    Size,
    /// The text is not a key digest.
    #[error("expected \"sha256:\" and 64 hexadecimal digits")]
    Digest,
}

/// `serde_with` adapter for durations written as text, such as `"1s 300ms"`.
pub struct DurationText;

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&humantime::format_duration(*source))
    }
}

/// `serde_with` adapter for sizes in bytes written as text, such as `"4MiB"`.
/// The units are B, KiB, MiB and GiB; a number without a unit is in bytes.
pub struct BytesText;

impl BytesText {
    fn parse(text: &str) -> Result<u64, UnitError> {
        let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
        let count: u64 = digits.parse().map_err(|_| UnitError::Size)?;
        let unit = match text[digits.len()..].trim() {
            "" | "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(UnitError::Size),
        };
        count.checked_mul(unit).ok_or(UnitError::Size)
    }
}

impl<'de> DeserializeAs<'de, u64> for BytesText {
    fn deserialize_as<D>(deserializer: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}

/// SHA-256 digest of an API key, written as `sha256:` and 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    const PREFIX: &str = "sha256:";

    /// Parses a digest from its text.
    pub fn parse(text: &str) -> Result<Self, UnitError> {
        let hex = text.strip_prefix(Self::PREFIX).ok_or(UnitError::Digest)?;
        let bytes = parse_hex(hex).ok_or(UnitError::Digest)?;
        let digest = bytes.try_into().map_err(|_| UnitError::Digest)?;
        Ok(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(Self::PREFIX)?;
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{:02x}{:02x}..", Self::PREFIX, self.0[0], self.0[1])
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}

/// `serde_with` adapter for ids of 64 bits, written as 16 hexadecimal digits each without
/// separators.
pub struct HexIds;

impl<'de> DeserializeAs<'de, Vec<u64>> for HexIds {
    fn deserialize_as<D>(deserializer: D) -> Result<Vec<u64>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        let bytes = parse_hex(&text).filter(|b| b.len().is_multiple_of(8));
        let bytes =
            bytes.ok_or_else(|| D::Error::custom("expected 16 hexadecimal digits an id"))?;
        let ids = bytes.as_chunks().0.iter();
        Ok(ids.map(|id| u64::from_be_bytes(*id)).collect())
    }
}

impl SerializeAs<Vec<u64>> for HexIds {
    fn serialize_as<S>(source: &Vec<u64>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut text = String::with_capacity(source.len() * 16);
        for id in source {
            text.push_str(&format!("{id:016x}"));
        }
        serializer.serialize_str(&text)
    }
}

/// Decodes pairs of hexadecimal digits. Returns `None` if the text has an odd
/// length or another character.
pub fn parse_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}
