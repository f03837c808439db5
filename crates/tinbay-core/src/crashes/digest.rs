//! What makes two requests the same one: who asks, where, and with which body.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest: nobody finds a second request with the digest of a given one.
const DIGEST_BYTES: usize = 16;

/// The digest of a request's client account, path and body, alike for each time that it is sent.
///
/// The account is part of it so that nobody can have another's request refused. Where requests need
/// no key nobody is told apart: one caller comes from many addresses, and with these a request that
/// came back through three of them was taken for three. The id of a try, its deadline and other
/// headers differ from one time to the next.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of a request under a client account, with a path and query, and a body or the first
    /// part of a long one.
    pub fn of(account: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        if let Some(account) = account {
            add(&mut hasher, b"account", account.as_bytes());
        }
        add(&mut hasher, b"path", path.as_bytes());
        add(&mut hasher, b"body", body);
        let whole = hasher.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Its first part, where it need only tell some hundred requests apart.
    pub fn short(&self) -> u64 {
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_le_bytes(first)
    }
}

/// A text that is no digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a digest of {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct NoDigest;

impl FromStr for RequestDigest {
    type Err = NoDigest;

    fn from_str(text: &str) -> Result<Self, NoDigest> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hex {
            return Err(NoDigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| NoDigest)?;
        }
        Ok(Self(digest))
    }
}

/// Adds one part with its length, so that no two lists of parts give the same bytes.
fn add(hasher: &mut Sha256, name: &[u8], part: &[u8]) {
    hasher.update(name);
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestDigest({self})")
    }
}
