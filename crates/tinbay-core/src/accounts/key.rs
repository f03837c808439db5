//! Digests of API keys. The keys themselves are secrets and are not stored.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a digest in bytes; long enough that a million keys do not collide and that no key can
/// be found for a given digest.
const DIGEST_BYTES: usize = 16;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Truncated SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl KeyDigest {
    /// Computes the digest of a key. `None` if the key is empty, too long, or contains anything but
    /// visible ASCII characters.
    pub fn of(key: &[u8]) -> Option<Self> {
        let is_key = !key.is_empty()
            && key.len() <= MAX_KEY_BYTES
            && key.iter().all(|byte| byte.is_ascii_graphic());
        if !is_key {
            return None;
        }
        let whole = Sha256::digest(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Some(Self(digest))
    }

    /// The digest in hexadecimal, its form in messages.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses the hexadecimal form; `None` if it is not a digest.
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
