//! Identity of a request across retries: client account, path and body.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a digest in bytes; long enough that nobody can construct a second request with the
/// digest of a given one.
const DIGEST_BYTES: usize = 16;

/// The digest of a request's client account, path and body, which is the same for each attempt.
///
/// The account is included so that no caller can have the requests of another account refused.
/// Where requests need no key, callers are not distinguished: their addresses would not serve, as
/// one caller's retries may come from several of them and would count as different requests.
/// Headers such as the attempt's id and deadline differ between attempts and are left out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request whose whole body is at hand. `path` includes the query.
    pub fn of(account: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = head_hasher(account, path);
        add(&mut hasher, b"body", body);
        Self::from_hash(hasher)
    }

    fn from_hash(hasher: Sha256) -> Self {
        let hash = hasher.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(digest)
    }

    /// The first 64 bits, for use among some hundred requests.
    pub fn short(&self) -> u64 {
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_le_bytes(first)
    }
}

/// Computes the digests of a request whose body is too long to be at hand as a whole. They don't
/// depend on the pieces in which the body arrives.
#[derive(Debug, Clone)]
pub struct LongBodyHasher {
    hasher: Sha256,
    body_bytes: u64,
}

impl LongBodyHasher {
    /// Begins a body. `path` includes the query.
    pub fn new(account: Option<&str>, path: &str) -> Self {
        Self {
            hasher: head_hasher(account, path),
            body_bytes: 0,
        }
    }

    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
        self.body_bytes += piece.len() as u64;
    }

    /// The digest of all requests whose bodies start with the pieces so far.
    pub fn digest_of_start(&self) -> RequestDigest {
        self.clone().finish(b"start of body")
    }

    /// The digest of the request, whose body is complete.
    pub fn digest_of_whole(self) -> RequestDigest {
        self.finish(b"long body")
    }

    fn finish(mut self, name: &[u8]) -> RequestDigest {
        self.hasher.update(self.body_bytes.to_le_bytes());
        self.hasher.update(name);
        RequestDigest::from_hash(self.hasher)
    }
}

/// The text is not a valid digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a digest of {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct InvalidDigest;

impl FromStr for RequestDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hex {
            return Err(InvalidDigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(digest))
    }
}

/// Hashes what identifies a request beside its body.
fn head_hasher(account: Option<&str>, path: &str) -> Sha256 {
    let mut hasher = Sha256::new();
    if let Some(account) = account {
        add(&mut hasher, b"account", account.as_bytes());
    }
    add(&mut hasher, b"path", path.as_bytes());
    hasher
}

/// Hashes a part with its name and length, so that different parts can't give the same byte
/// sequence.
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
