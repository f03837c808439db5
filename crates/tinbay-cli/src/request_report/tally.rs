//! Counts of requests by result, for a bounded number of keys.

use std::collections::BTreeMap;

use serde::{Serialize, Serializer};
use tinbay_core::serving::lateness::Lateness;
use tinbay_core::units::Millis;

use super::class::RequestClass;
use super::entry::RequestEntry;

/// Maximum number of keys that a tally distinguishes; further keys are counted together.
pub const MAX_KEYS: usize = 10_000;

/// Name of the row that sums up all further keys.
pub const OTHERS: &str = "(others)";

/// Maximum length of a key's name; longer names are cut off.
const MAX_NAME_CHARS: usize = 100;

/// Counts of requests by result, with mean times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All requests.
    pub requests: u64,
    /// Answered on time.
    pub in_time: u64,
    /// Answered with a late first piece.
    pub late_first_piece: u64,
    /// Answered with a pause that was too long.
    pub late_pause: u64,
    /// Answered with a late first piece and a pause that was too long.
    pub late_first_piece_and_pause: u64,
    /// Answered with a late end.
    pub late_end: u64,
    /// Answered, unknown whether late.
    pub unjudged: u64,
    /// Failed.
    pub failed: u64,
    /// Refused.
    pub refused: u64,
    /// Mean time before the last send.
    #[serde(rename = "before_send_mean_ms")]
    pub before_send: MeanTime,
    /// Mean time from the last send to the first piece.
    #[serde(rename = "at_server_mean_ms")]
    pub at_server: MeanTime,
}

impl Counts {
    /// Counts a request.
    pub fn add(&mut self, request: &RequestEntry<'_>, class: RequestClass) {
        self.requests += 1;
        *self.class_count(class) += 1;
        self.before_send.add(request.before_send_ms());
        if let Some(at_server_ms) = request.at_server_ms() {
            self.at_server.add(at_server_ms);
        }
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late_first_piece += other.late_first_piece;
        self.late_pause += other.late_pause;
        self.late_first_piece_and_pause += other.late_first_piece_and_pause;
        self.late_end += other.late_end;
        self.unjudged += other.unjudged;
        self.failed += other.failed;
        self.refused += other.refused;
        self.before_send.merge(&other.before_send);
        self.at_server.merge(&other.at_server);
    }

    /// Number of requests that were not answered on time; unjudged ones do not count.
    pub fn not_in_time(&self) -> u64 {
        self.requests - self.in_time - self.unjudged
    }

    fn class_count(&mut self, class: RequestClass) -> &mut u64 {
        match class {
            RequestClass::Answered(Lateness::InTime) => &mut self.in_time,
            RequestClass::Answered(Lateness::FirstPiece) => &mut self.late_first_piece,
            RequestClass::Answered(Lateness::Pause) => &mut self.late_pause,
            RequestClass::Answered(Lateness::FirstPieceAndPause) => {
                &mut self.late_first_piece_and_pause
            }
            RequestClass::Answered(Lateness::End) => &mut self.late_end,
            RequestClass::Unjudged => &mut self.unjudged,
            RequestClass::Failed => &mut self.failed,
            RequestClass::Refused => &mut self.refused,
        }
    }
}

/// Mean of a set of times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MeanTime {
    sum_ms: u128,
    count: u64,
}

impl MeanTime {
    fn add(&mut self, time_ms: Millis) {
        self.sum_ms += u128::from(time_ms);
        self.count += 1;
    }

    fn merge(&mut self, other: &Self) {
        self.sum_ms += other.sum_ms;
        self.count += other.count;
    }

    /// The mean, rounded down; `None` without any time.
    pub fn mean_ms(&self) -> Option<u128> {
        self.sum_ms.checked_div(u128::from(self.count))
    }
}

impl Serialize for MeanTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mean_ms = self.mean_ms();
        let mean_ms = mean_ms.map(|mean_ms| u64::try_from(mean_ms).unwrap_or(u64::MAX));
        mean_ms.serialize(serializer)
    }
}

/// Counts by key.
#[derive(Debug, Clone)]
pub struct KeyedTally<K> {
    counts: BTreeMap<K, Counts>,
    others: K,
}

impl<K: Ord + Clone> KeyedTally<K> {
    /// Creates an empty tally; keys beyond [`MAX_KEYS`] are counted as `others`.
    pub fn new(others: K) -> Self {
        Self {
            counts: BTreeMap::new(),
            others,
        }
    }

    /// Counts a request of `key`.
    pub fn add(&mut self, key: K, request: &RequestEntry<'_>, class: RequestClass) {
        let is_distinguished = self.counts.len() < MAX_KEYS || self.counts.contains_key(&key);
        let key = if is_distinguished {
            key
        } else {
            self.others.clone()
        };
        self.counts.entry(key).or_default().add(request, class);
    }

    /// The counts in key order.
    pub fn rows(&self) -> Vec<Row<K>> {
        let rows = self.counts.iter().map(|(key, counts)| Row {
            key: key.clone(),
            counts: counts.clone(),
        });
        rows.collect()
    }

    /// The counts by descending number of requests not on time, then in key order.
    pub fn worst_first(&self) -> Vec<Row<K>> {
        let mut rows = self.rows();
        rows.sort_by_key(|row| std::cmp::Reverse(row.counts.not_in_time()));
        rows
    }

    /// The counts by descending number of requests, then in key order.
    pub fn largest_first(&self) -> Vec<Row<K>> {
        let mut rows = self.rows();
        rows.sort_by_key(|row| std::cmp::Reverse(row.counts.requests));
        rows
    }
}

/// The counts of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row<K> {
    /// The key.
    #[serde(flatten)]
    pub key: K,
    /// Its counts.
    #[serde(flatten)]
    pub counts: Counts,
}

/// A key of a single name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Name {
    /// The name.
    pub name: String,
}

impl Name {
    /// Creates the key for a name, cut off if too long.
    pub fn new(name: &str) -> Self {
        Self {
            name: printable_name(name),
        }
    }
}

/// A key of a service and one of its routes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ServiceRoute {
    /// The service.
    pub service: String,
    /// The route.
    pub route: String,
}

impl ServiceRoute {
    /// Creates the key for two names, cut off if too long.
    pub fn new(service: &str, route: &str) -> Self {
        Self {
            service: printable_name(service),
            route: printable_name(route),
        }
    }
}

fn printable_name(name: &str) -> String {
    printable(name, MAX_NAME_CHARS)
}

/// Returns the first `max_chars` characters of a text from a log, with control characters, which a
/// terminal would interpret, replaced by `?`.
pub fn printable(text: &str, max_chars: usize) -> String {
    let chars = text.chars().take(max_chars);
    chars
        .map(|char| if char.is_control() { '?' } else { char })
        .collect()
}
