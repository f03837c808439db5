//! Which headers go on to servers and back to callers.

use std::time::Duration;

use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::port::dialect::HeaderNames;

/// Concerns one connection, like those the HTTP standard names.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Concerns one connection, though no standard names it.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// What is set on a request to a server besides the caller's headers.
#[derive(Debug)]
pub struct ServerHeaders<'a> {
    /// Time that is left.
    pub deadline_ms: u64,
    /// Incarnation that is meant.
    pub server_id: &'a str,
    /// Rank at the server.
    pub priority: u8,
    /// Version of the adapter that is meant.
    pub version: Option<u64>,
    /// Client account on whose behalf it runs.
    pub account: Option<&'a str>,
    /// Where it goes on, if it was begun by another server.
    pub resumption: Option<Resumption<'a>>,
}

/// Where a run goes on that was handed over.
#[derive(Debug, Clone, Copy)]
pub struct Resumption<'a> {
    /// Names the copy and the server that made it.
    pub copy_source: &'a str,
    /// The last event that the caller has.
    pub last_event_id: u64,
}

/// The headers of a request to a server.
pub fn for_server(caller: &HeaderMap, names: &HeaderNames, set: &ServerHeaders<'_>) -> HeaderMap {
    let mut headers = caller.clone();
    drop_hop_headers(&mut headers);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers.remove(&names.key);
    headers.remove(&names.account);
    headers.remove(&names.priority);
    headers.remove(&names.expect_version);
    headers.insert(names.deadline_ms.clone(), set.deadline_ms.into());
    insert_text(&mut headers, &names.expect_server, set.server_id);
    if let Some(account) = set.account {
        insert_text(&mut headers, &names.account, account);
    }
    headers.insert(names.priority.clone(), u64::from(set.priority).into());
    if let Some(version) = set.version {
        headers.insert(names.expect_version.clone(), version.into());
    }
    if let Some(resumption) = &set.resumption {
        insert_text(&mut headers, &names.copy_source, resumption.copy_source);
        headers.insert(names.last_event_id.clone(), resumption.last_event_id.into());
    }
    headers
}

/// Takes off what concerns one connection only.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Whether the server keeps the connection after this answer.
pub fn keeps_connection(headers: &HeaderMap) -> bool {
    !headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// The rest that the server allows the connection.
pub fn allowed_rest(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix("timeout="))
        .unwrap_or(value);
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn insert_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    }
}
