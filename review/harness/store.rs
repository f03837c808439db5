//! Stand-in of the platform's store, as PROTOCOL.md describes it.
//!
//! Linearizable calls are answered after `ANSWER_MS`. Reads with `stale=1` are answered at once by
//! followers: pages before the first `after` by one that is up to date, pages behind it by one whose
//! copy may be older, as `set_follower_lag` says.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Conn, Message};
use super::json::Json;
use super::record::Record;

/// Time of an answer, as the sheets of the small deployments name it.
const ANSWER_MS: u64 = 4;

/// `historyS` of the sheet.
const HISTORY: Duration = Duration::from_secs(20);

/// Items of a page: "about 500 or 1 MB at most".
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

/// A state of a key: since when, and the item, or none if it is gone.
#[derive(Debug, Clone)]
struct State {
    since: Instant,
    revision: u64,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    keys: BTreeMap<String, Vec<State>>,
    /// Revision and time of each change, in order.
    log: Vec<(u64, Instant, String)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    follower_lag: Duration,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: Arc<Record>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Store {
            inner: Mutex::default(),
            changed: Condvar::new(),
            address: listener.local_addr().expect("an address"),
            record,
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
                expiring.lock().forget();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the store's lock")
    }

    /// Sets how far the follower that serves stale reads of later pages is behind.
    pub fn set_follower_lag(&self, lag: Duration) {
        self.lock().follower_lag = lag;
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut inner = self.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.set(key, Some((encode(value), 0)), revision);
        drop(inner);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut inner = self.lock();
        if inner.current(key).is_none() {
            return;
        }
        inner.revision += 1;
        let revision = inner.revision;
        inner.set(key, None, revision);
        drop(inner);
        self.changed.notify_all();
    }

    /// Number of keys under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let inner = self.lock();
        let keys = inner.keys.keys().filter(|key| key.starts_with(prefix));
        keys.filter(|key| inner.current(key).is_some()).count()
    }

    /// Present value of a key, decoded.
    pub fn value(&self, key: &str) -> Option<String> {
        let inner = self.lock();
        inner.current(key).map(|item| decode(&item.value))
    }

    fn expire(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        let over: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            inner.end_lease(lease);
        }
        drop(inner);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Some(request) = conn.read() {
            let began = Instant::now();
            let is_stale = request.query("stale") == Some("1");
            let (status, body) = self.handle(&request);
            let answered = Duration::from_millis(if is_stale { 0 } else { ANSWER_MS });
            if request.path() == "/kv-watch" {
                thread::sleep(answered);
            } else {
                thread::sleep(answered.saturating_sub(began.elapsed()));
            }
            if !conn.answer(status, &[("Content-Type", "application/json")], &body) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let path = request.path();
        match (request.method(), path) {
            ("GET", "/kv-key") => self.read(request.query("tlsKey").unwrap_or("")),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&Json::parse(&request.text())),
            ("POST", "/kv-lease") => self.grant(&Json::parse(&request.text())),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(last_number(path)),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(last_number(path));
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let inner = self.lock();
        match inner.current(key) {
            None => (404, "{}".into()),
            Some(item) => {
                let text = item_text(key, item);
                let open = text.trim_end_matches('}');
                (200, format!("{open},\"at\":{}}}", inner.revision))
            }
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let inner = self.lock();
        let prefix = request.query("pathPrefix").unwrap_or("");
        let after = request.query("after");
        let is_stale = request.query("stale") == Some("1");
        let lag = if is_stale && after.is_some() { inner.follower_lag } else { Duration::ZERO };
        let as_of = Instant::now() - lag;
        let at = if lag.is_zero() {
            inner.revision
        } else {
            let seen = inner.log.iter().rev().find(|(_, since, _)| *since <= as_of);
            seen.map_or(0, |(revision, _, _)| *revision)
        };
        let mut items = Vec::new();
        let mut more = false;
        for (key, states) in inner.keys.range(prefix.to_string()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if after.is_some_and(|after| key.as_str() <= after) {
                continue;
            }
            let state = states.iter().rev().find(|state| state.revision <= at);
            let Some(item) = state.and_then(|state| state.item.as_ref()) else {
                continue;
            };
            if items.len() == PAGE_ITEMS {
                more = true;
                break;
            }
            items.push(item_text(key, item));
        }
        if prefix == "tinbay/" {
            let now = inner.revision;
            let page = if after.is_some() { "later" } else { "first" };
            self.record.line(&format!(
                "store: {page} page of {prefix}, stale={is_stale}, {} items, as of revision {at}, the store is at {now}",
                items.len()
            ));
        }
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"more\":{more},\"at\":{at}}}"))
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.query("pathPrefix").unwrap_or("").to_string();
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut inner = self.lock();
        loop {
            if after < inner.forgotten {
                return (410, "{}".into());
            }
            let events = inner.events(&prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = inner.revision;
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            inner = self.changed.wait_timeout(inner, left).expect("the store's lock").0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut inner = self.lock();
        let expected = body.get("expected").list();
        let holds = |inner: &Inner, row: &Json| {
            let revision = inner.current(row.get("tlsKey").text()).map_or(0, |item| item.revision);
            Some(revision) == row.get("revision").number()
        };
        if !expected.iter().all(|row| holds(&inner, row)) {
            let keys = expected.iter().map(|row| row.get("tlsKey").text());
            let items: Vec<String> = keys
                .filter_map(|key| inner.current(key).map(|item| item_text(key, item)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("put").list();
        let is_known = |lease: u64| lease == 0 || inner.leases.contains_key(&lease);
        let mut leases = puts.iter().map(|put| put.get("lease").number().unwrap_or(0));
        if !leases.all(is_known) {
            return (404, "{}".into());
        }
        inner.revision += 1;
        let revision = inner.revision;
        for put in puts {
            let key = put.get("tlsKey").text();
            let lease = put.get("lease").number().unwrap_or(0);
            let value = put.get("value").text().to_string();
            if key.starts_with("tinbay/claims/") {
                self.record.line(&format!("store: revision {revision}: {key} = {}", decode(&value)));
            }
            inner.set(key, Some((value, lease)), revision);
        }
        for key in body.get("remove").list() {
            inner.set(key.text(), None, revision);
        }
        drop(inner);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let ttl_ms = body.get("ttl_ms").number().unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut inner = self.lock();
        inner.last_lease += 1;
        let id = inner.last_lease;
        let ends = Instant::now() + ttl;
        inner.leases.insert(id, Lease { ttl, ends });
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut inner = self.lock();
        match inner.leases.get_mut(&id) {
            None => (404, "{}".into()),
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
        }
    }
}

impl Inner {
    fn current(&self, key: &str) -> Option<&Item> {
        self.keys.get(key)?.last()?.item.as_ref()
    }

    fn set(&mut self, key: &str, value: Option<(String, u64)>, revision: u64) {
        let made = self.current(key).map_or(revision, |item| item.made);
        let item = value.map(|(value, lease)| Item { value, revision, made, lease });
        let since = Instant::now();
        let state = State { since, revision, item };
        self.keys.entry(key.to_string()).or_default().push(state);
        self.log.push((revision, since, key.to_string()));
    }

    /// Forgets what is older than the history that the store keeps.
    fn forget(&mut self) {
        let Some(oldest) = Instant::now().checked_sub(HISTORY) else {
            return;
        };
        let count = self.log.partition_point(|(_, since, _)| *since < oldest);
        let old: Vec<(u64, Instant, String)> = self.log.drain(..count).collect();
        for (revision, _, key) in old {
            self.forgotten = self.forgotten.max(revision);
            if let Some(states) = self.keys.get_mut(&key) {
                let last = states.len().saturating_sub(1);
                let count = states.iter().take(last).filter(|state| state.since < oldest).count();
                // The newest of the old states is what a stale read may still show.
                states.drain(..count.saturating_sub(1));
                if states.len() == 1 && states[0].item.is_none() {
                    self.keys.remove(&key);
                }
            }
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let bound: Vec<String> = self
            .keys
            .keys()
            .filter(|key| self.current(key).is_some_and(|item| item.lease == id))
            .cloned()
            .collect();
        for key in bound {
            self.revision += 1;
            let revision = self.revision;
            self.set(&key, None, revision);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let begin = self.log.partition_point(|(revision, _, _)| *revision <= after);
        let later = self.log[begin..].iter().filter(|(_, _, key)| key.starts_with(prefix));
        later
            .filter_map(|(revision, _, key)| {
                let states = self.keys.get(key)?;
                let state = states.iter().rfind(|state| state.revision == *revision)?;
                Some(match &state.item {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"tlsKey\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
                })
            })
            .collect()
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { value, revision, made, lease } = item;
    format!(
        "{{\"tlsKey\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}"
    )
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode(text: &str) -> String {
    let mut out = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(LETTERS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for letter in text.bytes().filter(|letter| *letter != b'=') {
        let value = LETTERS.iter().position(|known| *known == letter).unwrap_or(0);
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
