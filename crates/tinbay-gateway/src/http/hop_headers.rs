//! Headers that concern one connection and are not forwarded.
//!
//! Source: RFC 9110, section 7.6.1.

use std::time::Duration;

use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop header of HTTP/1.0, missing from the header constants of hyper.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop header that some clients send although no standard defines it.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = connection_options(headers)
        .filter_map(|name| name.parse().ok())
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
    !connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
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

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value: &HeaderValue| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
