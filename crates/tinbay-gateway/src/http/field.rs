//! Values of header fields from texts that others chose.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// A text that no header field can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a header field of the request would hold a character that can't be sent")]
pub struct InvalidField;

/// Sets a field to a text.
///
/// # Errors
/// When no field can hold the text; the field is not set.
pub fn insert_text(
    headers: &mut HeaderMap,
    name: &HeaderName,
    text: &str,
) -> Result<(), InvalidField> {
    let value = HeaderValue::from_str(text).map_err(|_| InvalidField)?;
    headers.insert(name.clone(), value);
    Ok(())
}
