//! Targets of requests: a path and the parameters of its query.
//!
//! Names and values may be chosen by others, so that each is encoded where the target is built.

use hyper::Uri;
use hyper::http::uri::{InvalidUri, PathAndQuery};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Bytes that are encoded in a segment of a path: all but the unreserved ones of RFC 3986 and colons.
const IN_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b':');

/// Bytes that are encoded in the value of a parameter, where a slash separates nothing.
const IN_PARAMETER: &AsciiSet = &IN_SEGMENT.remove(b'/');

/// Target of a request, valid as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget(PathAndQuery);

/// Why a text is no target of a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTarget {
    /// The path is empty or relative.
    #[error("the path of a request target has to begin with a slash")]
    RelativePath,
    /// A fragment is not sent to servers.
    #[error("a request target can't hold a fragment")]
    Fragment,
    /// The target is too long, or holds a character that has to be encoded.
    #[error("a request target of {length_bytes} bytes is invalid: {reason}")]
    Invalid {
        /// Length of the target.
        length_bytes: usize,
        /// What is wrong with it, without its text.
        reason: String,
    },
}

impl RequestTarget {
    /// A target that is known when the program is built.
    ///
    /// # Panics
    /// When the target is invalid.
    pub fn from_static(target: &'static str) -> Self {
        Self(PathAndQuery::from_static(target))
    }

    /// Takes over a target that is encoded already.
    ///
    /// # Errors
    /// When the text is no target.
    pub fn parse(target: &str) -> Result<Self, InvalidTarget> {
        if !target.starts_with('/') {
            return Err(InvalidTarget::RelativePath);
        }
        if target.contains('#') {
            return Err(InvalidTarget::Fragment);
        }
        let parsed: Result<PathAndQuery, InvalidUri> = target.parse();
        parsed.map(Self).map_err(|error| InvalidTarget::Invalid {
            length_bytes: target.len(),
            reason: error.to_string(),
        })
    }

    /// Begins a target with an encoded path.
    pub fn build(path: &str) -> TargetBuilder {
        TargetBuilder {
            target: path.to_string(),
            separator: '?',
        }
    }

    /// The target as the URI of a request.
    pub fn to_uri(&self) -> Uri {
        Uri::from(self.0.clone())
    }
}

/// Builds a target from a path and texts, which it encodes.
#[derive(Debug, Clone)]
pub struct TargetBuilder {
    target: String,
    /// Character before the next parameter.
    separator: char,
}

impl TargetBuilder {
    /// Appends a segment to the path.
    #[must_use]
    pub fn segment(mut self, text: &str) -> Self {
        self.target.push('/');
        self.target.extend(utf8_percent_encode(text, IN_SEGMENT));
        self
    }

    /// Appends a parameter to the query. The name is sent as it is.
    #[must_use]
    pub fn parameter(mut self, name: &'static str, value: &str) -> Self {
        self.target.push(self.separator);
        self.target.push_str(name);
        self.target.push('=');
        self.target.extend(utf8_percent_encode(value, IN_PARAMETER));
        self.separator = '&';
        self
    }

    /// Returns the target.
    ///
    /// # Errors
    /// When it is too long, or the path that it began with is invalid.
    pub fn finish(self) -> Result<RequestTarget, InvalidTarget> {
        RequestTarget::parse(&self.target)
    }
}
