//! The software versions that began streams, by the caller's attempt.

use std::collections::{HashMap, HashSet, VecDeque};

use super::AttemptDigest;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// Upper bound on recorded streams, which limits the memory that they take.
pub const MAX_RECORDS: usize = 100_000;

/// Longest time for which a record is kept.
pub const MAX_RECORD_LIFE_MS: Millis = 600_000;

/// Which version began a stream, as one box knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recorded {
    /// Nothing is recorded.
    Nothing,
    /// This version began it.
    Version(Fingerprint),
    /// Two records name different versions.
    Conflicting,
}

/// The start of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamStart {
    /// The caller's attempt that brought its first event.
    pub attempt: AttemptDigest,
    /// The service.
    pub service: Fingerprint,
    /// The version that began it.
    pub version: Fingerprint,
    /// Time until which the caller may resume it.
    pub until_ms: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    recorded: Recorded,
    service: Fingerprint,
    recorded_ms: Millis,
    until_ms: Millis,
    /// Number of the record among those of which this box is a home.
    home_number: Option<u64>,
}

/// Starts of streams that this box relayed or keeps for other boxes. The oldest records are dropped
/// when it is full.
#[derive(Debug)]
pub struct OriginLedger {
    records: HashMap<AttemptDigest, Record>,
    /// Attempts in the order of their records, oldest first.
    order: VecDeque<AttemptDigest>,
    /// Attempts whose records are to be sent to their homes.
    unsent: VecDeque<AttemptDigest>,
    /// Number of records so far of which this box is a home.
    homed_count: u64,
    capacity: usize,
}

impl Default for OriginLedger {
    fn default() -> Self {
        Self::with_capacity(MAX_RECORDS)
    }
}

impl OriginLedger {
    /// An empty ledger of at most `capacity` records.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            records: HashMap::new(),
            order: VecDeque::new(),
            unsent: VecDeque::new(),
            homed_count: 0,
            capacity,
        }
    }

    /// Records the start of a stream. A second record of an attempt with another version makes both
    /// unusable.
    pub fn record(&mut self, start: StreamStart, now_ms: Millis) {
        let until_ms = start.until_ms.min(now_ms + MAX_RECORD_LIFE_MS);
        if let Some(known) = self.records.get_mut(&start.attempt) {
            if known.recorded != Recorded::Version(start.version) {
                known.recorded = Recorded::Conflicting;
            }
            known.until_ms = known.until_ms.max(until_ms);
            return;
        }
        if self.records.len() >= self.capacity {
            self.drop_oldest();
        }
        let record = Record {
            recorded: Recorded::Version(start.version),
            service: start.service,
            recorded_ms: now_ms,
            until_ms,
            home_number: None,
        };
        self.records.insert(start.attempt, record);
        self.order.push_back(start.attempt);
    }

    /// Marks this box as a home of the record of an attempt.
    pub fn mark_at_home(&mut self, attempt: AttemptDigest) {
        if let Some(record) = self.records.get_mut(&attempt)
            && record.home_number.is_none()
        {
            self.homed_count += 1;
            record.home_number = Some(self.homed_count);
        }
    }

    /// Number of records so far of which this box is a home, those that have expired included.
    pub fn homed_count(&self) -> u64 {
        self.homed_count
    }

    /// The latest records of some services of which this box is a home, up to `max_count`, without
    /// the first `skipped` of all.
    pub fn latest_at_home(
        &self,
        services: &[Fingerprint],
        skipped: u64,
        max_count: usize,
        now_ms: Millis,
    ) -> Vec<StreamStart> {
        let latest = self.order.iter().rev();
        let records = latest.filter_map(|attempt| Some((attempt, self.records.get(attempt)?)));
        let is_wanted = |record: &Record| {
            let is_counted = record.home_number.is_some_and(|number| number > skipped);
            is_counted && record.lasts(now_ms) && services.contains(&record.service)
        };
        let starts = records
            .filter(|(_, record)| is_wanted(record))
            .filter_map(|(attempt, record)| record.start(*attempt));
        starts.take(max_count).collect()
    }

    /// Marks the record of an attempt as to be sent to its homes.
    pub fn mark_unsent(&mut self, attempt: AttemptDigest) {
        if self.unsent.len() < self.capacity {
            self.unsent.push_back(attempt);
        }
    }

    /// Marks all records as to be sent to their homes, the latest first.
    pub fn mark_all_unsent(&mut self) {
        self.unsent = self.order.iter().rev().copied().collect();
    }

    /// The services of the unsent records.
    pub fn unsent_services(&self) -> HashSet<Fingerprint> {
        let records = self
            .unsent
            .iter()
            .filter_map(|attempt| self.records.get(attempt));
        records.map(|record| record.service).collect()
    }

    /// Takes up to `max_count` unsent records of the services for which `is_due`.
    pub fn take_unsent(
        &mut self,
        max_count: usize,
        is_due: impl Fn(Fingerprint) -> bool,
        now_ms: Millis,
    ) -> Vec<StreamStart> {
        let mut taken = Vec::new();
        let records = &self.records;
        self.unsent.retain(|attempt| {
            let Some(record) = records.get(attempt).filter(|record| record.lasts(now_ms)) else {
                return false;
            };
            let Some(start) = record.start(*attempt) else {
                return false;
            };
            if taken.len() >= max_count || !is_due(record.service) {
                return true;
            }
            taken.push(start);
            false
        });
        taken
    }

    /// What is recorded of an attempt, and for how long.
    pub fn find(&self, attempt: AttemptDigest, now_ms: Millis) -> (Recorded, Millis) {
        match self.records.get(&attempt) {
            Some(record) if record.lasts(now_ms) => {
                (record.recorded, now_ms.saturating_sub(record.recorded_ms))
            }
            _ => (Recorded::Nothing, 0),
        }
    }

    /// Drops expired records.
    pub fn tidy(&mut self, now_ms: Millis) {
        let records = &mut self.records;
        records.retain(|_, record| record.lasts(now_ms));
        self.order.retain(|attempt| records.contains_key(attempt));
        self.unsent.retain(|attempt| records.contains_key(attempt));
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.records.remove(&oldest);
        }
    }
}

impl Record {
    /// The start of a stream that it records; none if versions conflict.
    fn start(&self, attempt: AttemptDigest) -> Option<StreamStart> {
        let Recorded::Version(version) = self.recorded else {
            return None;
        };
        Some(StreamStart {
            attempt,
            service: self.service,
            version,
            until_ms: self.until_ms,
        })
    }

    fn lasts(&self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }
}
