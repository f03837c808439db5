//! Rewrites headers between callers and servers.

use std::time::Duration;

use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::port::dialect::HeaderNames;

/// Hop-by-hop header of HTTP/1.0, missing from the header constants of hyper.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop header that some clients send although no standard defines it.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

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
pub fn for_server(
    caller: &HeaderMap,
    names: &HeaderNames,
    values: &ServerHeaders<'_>,
) -> HeaderMap {
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
    insert_text(&mut headers, &names.expect_server, values.server_id);
    if let Some(account) = values.account {
        insert_text(&mut headers, &names.account, account);
    }
    headers.insert(names.priority.clone(), u64::from(values.priority).into());
    if let Some(version) = values.version {
        headers.insert(names.expect_version.clone(), version.into());
    }
    if let Some(resumption) = &values.resumption {
        insert_text(&mut headers, &names.copy_source, resumption.copy_source);
        headers.insert(names.last_event_id.clone(), resumption.last_event_id.into());
    }
    headers
}

/// Removes the hop-by-hop headers, including those listed in `Connection`.
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

/// Whether the server keeps the connection open after this answer.
pub fn keeps_connection(headers: &HeaderMap) -> bool {
    !headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// The idle time-out of the connection, from the server's `Keep-Alive` header.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
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
