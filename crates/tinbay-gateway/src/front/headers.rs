//! Rewrites headers between callers and servers.

use hyper::header::HeaderMap;

use crate::http::field::{InvalidField, insert_text};
use crate::http::hop_headers::drop_hop_headers;
use crate::port::dialect::HeaderNames;

/// Values set on a request to a server in addition to the caller's headers.
#[derive(Debug)]
pub struct ServerHeaders<'a> {
    /// Time left until the request's deadline.
    pub deadline_ms: u64,
    /// Id of the intended incarnation of the server: another one at its address declines.
    pub server_id: &'a str,
    /// Rank in the server's queue, 0 first.
    pub priority: u8,
    /// Adapter version that the server must hold; any if absent.
    pub version: Option<u64>,
    /// Client account on whose behalf the request runs.
    pub account: Option<&'a str>,
    /// Where to resume a run that another server began.
    pub resumption: Option<Resumption<'a>>,
}

/// The point at which a server resumes a run that was handed over.
#[derive(Debug, Clone, Copy)]
pub struct Resumption<'a> {
    /// Identifies the copy of the run's state and the server that made it.
    pub copy_source: &'a str,
    /// Id of the last event that was sent to the caller.
    pub last_event_id: u64,
}

/// Builds the headers of a request to a server from those of the caller.
///
/// # Errors
/// When a value can't be sent. Without it, the request would be another one.
pub fn for_server(
    caller: &HeaderMap,
    names: &HeaderNames,
    values: &ServerHeaders<'_>,
) -> Result<HeaderMap, InvalidField> {
    let mut headers = caller.clone();
    drop_hop_headers(&mut headers);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers.remove(&names.key);
    headers.remove(&names.account);
    headers.remove(&names.priority);
    headers.remove(&names.expect_version);
    headers.insert(names.deadline_ms.clone(), values.deadline_ms.into());
    insert_text(&mut headers, &names.expect_server, values.server_id)?;
    if let Some(account) = values.account {
        insert_text(&mut headers, &names.account, account)?;
    }
    headers.insert(names.priority.clone(), u64::from(values.priority).into());
    if let Some(version) = values.version {
        headers.insert(names.expect_version.clone(), version.into());
    }
    if let Some(resumption) = &values.resumption {
        insert_text(&mut headers, &names.copy_source, resumption.copy_source)?;
        headers.insert(names.last_event_id.clone(), resumption.last_event_id.into());
    }
    Ok(headers)
}
