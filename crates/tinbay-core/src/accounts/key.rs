//! Keys of client accounts, as their digests alone: a key itself is a secret and is not kept.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a digest: no two of a million keys share one, and none can be found for a digest.
const DIGEST_BYTES: usize = 16;

/// Longest text that is taken for a key.
const MOST_KEY_BYTES: usize = 256;

/// The digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl KeyDigest {
    /// The digest of a key; none where the text can't be one: empty, too long, or with anything
    /// but visible ASCII.
    pub fn of(key: &[u8]) -> Option<Self> {
        let is_key = !key.is_empty()
            && key.len() <= MOST_KEY_BYTES
            && key.iter().all(|byte| byte.is_ascii_graphic());
        if !is_key {
            return None;
        }
        let whole = Sha256::digest(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Some(Self(digest))
    }

    /// The digest as hexadecimal digits, in which it is passed on.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads hexadecimal digits; none where they are not a digest.
    pub fn from_hex(hex: &str) -> Option<Self> {
        if hex.len() != 2 * DIGEST_BYTES || !hex.is_ascii() {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * position..2 * position + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}
