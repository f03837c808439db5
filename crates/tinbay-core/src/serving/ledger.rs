//! What all boxes ask of the servers that one box holds.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::asking::ASKED_HALF_LIFE_MS;
use super::contents::{AdapterKey, Want, adapter_key};
use super::fading::{Fading, faded};
use super::placing::Placed;
use super::servers::ServerKey;
use crate::units::Millis;

/// How long a box's waiting requests count after its last word on them.
const WAITING_LIFE_MS: Millis = 1_000;

/// How long a box's word counts at all; boxes repeat it several times in between.
const WORD_LIFE_MS: Millis = 15_000;

/// Sum below which an adapter is not wanted.
const LEAST_ASKED: f64 = 0.25;

/// Adapters a server that are remembered for its next holder.
const MOST_REMEMBERED: usize = 96;

/// How often an adapter was asked for at a server, for whoever holds it next.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AskedAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// How often, faded to when it was written.
    pub count: f32,
}

/// One box's word on an adapter.
#[derive(Debug, Clone, Copy)]
struct Word {
    asked: f64,
    waiting: f64,
    told_ms: Millis,
}

/// An adapter that boxes ask for.
#[derive(Debug)]
struct Entry {
    adapter: String,
    version: Option<u64>,
    count: Fading,
    by_box: HashMap<String, Word>,
}

/// What all boxes ask of the servers that one box holds.
#[derive(Debug, Default)]
pub struct Ledger {
    servers: HashMap<ServerKey, HashMap<Placed, Entry>>,
    remembered: HashMap<ServerKey, HashMap<AdapterKey, Fading>>,
}

impl Ledger {
    /// Notes a box's word on an adapter at a server; it replaces the word before.
    pub fn note(&mut self, box_id: &str, server: ServerKey, want: &Want, now_ms: Millis) {
        let entries = self.servers.entry(server).or_default();
        let entry = entries
            .entry((adapter_key(&want.adapter), want.is_copy))
            .or_insert_with(|| Entry {
                adapter: want.adapter.clone(),
                version: None,
                count: Fading::default(),
                by_box: HashMap::new(),
            });
        entry.version = entry.version.max(want.version);
        entry.take_word(box_id, want, now_ms);
    }

    /// Takes over what an earlier holder of the server remembered.
    pub fn remember(&mut self, server: ServerKey, asked: &[AskedAdapter], now_ms: Millis) {
        let counts = asked
            .iter()
            .map(|asked| (asked.key, Fading::new(f64::from(asked.count), now_ms)))
            .collect();
        self.remembered.insert(server, counts);
    }

    /// An adapter serves at a server: who asked for it no longer counts.
    pub fn forget(&mut self, server: ServerKey, key: AdapterKey) {
        if let Some(entries) = self.servers.get_mut(&server) {
            entries.remove(&(key, false));
            entries.remove(&(key, true));
        }
        if let Some(counts) = self.remembered.get_mut(&server) {
            counts.remove(&key);
        }
    }

    /// Forgets servers that are no longer held.
    pub fn keep_servers(&mut self, is_held: &dyn Fn(ServerKey) -> bool) {
        self.servers.retain(|server, _| is_held(*server));
        self.remembered.retain(|server, _| is_held(*server));
    }

    /// What is wanted at some servers together, most wanted first.
    pub fn wants(&mut self, servers: &[ServerKey], now_ms: Millis) -> Vec<Want> {
        let mut sums: HashMap<Placed, Want> = HashMap::new();
        for server in servers {
            self.drop_old(*server, now_ms);
            for (placed, want) in self.wants_at(*server, now_ms) {
                match sums.get_mut(&placed) {
                    Some(sum) => sum.add(&want),
                    None => {
                        sums.insert(placed, want);
                    }
                }
            }
        }
        let mut wants: Vec<Want> = sums.into_values().collect();
        wants.retain(|want| want.weight() >= LEAST_ASKED);
        wants.sort_by(|left, right| right.weight().total_cmp(&left.weight()));
        wants
    }

    /// Whether anybody asks for an adapter.
    pub fn asks_for(&self, placed: Placed) -> bool {
        self.servers
            .values()
            .any(|entries| entries.contains_key(&placed))
    }

    fn drop_old(&mut self, server: ServerKey, now_ms: Millis) {
        let Some(entries) = self.servers.get_mut(&server) else {
            return;
        };
        entries.retain(|_, entry| {
            entry.drop_old(now_ms);
            !entry.by_box.is_empty() || entry.asked(now_ms) >= LEAST_ASKED
        });
    }

    fn wants_at(
        &self,
        server: ServerKey,
        now_ms: Millis,
    ) -> impl Iterator<Item = (Placed, Want)> + '_ {
        let remembered = self.remembered.get(&server);
        let entries = self.servers.get(&server).into_iter().flatten();
        entries.map(move |(placed, entry)| {
            let (key, is_copy) = *placed;
            let before = if is_copy {
                0.0
            } else {
                remembered_count(remembered, key, now_ms)
            };
            (*placed, entry.want(before, is_copy, now_ms))
        })
    }

    /// How often adapters were asked for at a server, for whoever holds it next: the most
    /// asked first.
    pub fn memory(&self, server: ServerKey, now_ms: Millis) -> Vec<AskedAdapter> {
        let remembered = self.remembered.get(&server);
        let mut counts: HashMap<AdapterKey, f64> = HashMap::new();
        for (key, count) in remembered.into_iter().flatten() {
            counts.insert(*key, count.at(ASKED_HALF_LIFE_MS, now_ms));
        }
        let entries = self.servers.get(&server).into_iter().flatten();
        for ((key, _), entry) in entries.filter(|((_, is_copy), _)| !is_copy) {
            *counts.entry(*key).or_default() += entry.asked(now_ms);
        }
        let mut memory: Vec<AskedAdapter> = counts
            .into_iter()
            .filter(|(_, count)| *count >= LEAST_ASKED)
            .map(|(key, count)| AskedAdapter {
                key,
                count: count as f32,
            })
            .collect();
        memory.sort_by(|left, right| {
            let by_count = right.count.total_cmp(&left.count);
            by_count.then(left.key.cmp(&right.key))
        });
        memory.truncate(MOST_REMEMBERED);
        memory
    }
}

impl Entry {
    fn drop_old(&mut self, now_ms: Millis) {
        self.by_box
            .retain(|_, word| now_ms < word.told_ms + WORD_LIFE_MS);
    }

    /// Takes a box's word in place of the one before. A box that starts anew counts from zero;
    /// what it told before stays.
    fn take_word(&mut self, box_id: &str, want: &Want, now_ms: Millis) {
        let before = self.by_box.get(box_id).map_or(0.0, |word| {
            faded(word.asked, word.told_ms, ASKED_HALF_LIFE_MS, now_ms)
        });
        let is_withdrawn = want.asked <= 0.0 && want.waiting <= 0.0;
        let has_restarted = want.asked + LEAST_ASKED < before && !is_withdrawn;
        let more = if has_restarted {
            want.asked
        } else {
            want.asked - before
        };
        let asked = (self.asked(now_ms) + more).max(0.0);
        self.count = Fading::new(asked, now_ms);
        if is_withdrawn {
            self.by_box.remove(box_id);
            return;
        }
        let word = Word {
            asked: want.asked,
            waiting: want.waiting,
            told_ms: now_ms,
        };
        self.by_box.insert(box_id.to_string(), word);
    }

    fn asked(&self, now_ms: Millis) -> f64 {
        self.count.at(ASKED_HALF_LIFE_MS, now_ms)
    }

    fn waiting(&self, now_ms: Millis) -> f64 {
        self.by_box
            .values()
            .filter(|word| now_ms < word.told_ms + WAITING_LIFE_MS)
            .map(|word| word.waiting)
            .sum()
    }

    fn want(&self, remembered: f64, is_copy: bool, now_ms: Millis) -> Want {
        Want {
            adapter: self.adapter.clone(),
            version: self.version,
            asked: self.asked(now_ms) + remembered,
            waiting: self.waiting(now_ms),
            is_copy,
        }
    }
}

fn remembered_count(
    remembered: Option<&HashMap<AdapterKey, Fading>>,
    key: AdapterKey,
    now_ms: Millis,
) -> f64 {
    remembered
        .and_then(|counts| counts.get(&key))
        .map_or(0.0, |count| count.at(ASKED_HALF_LIFE_MS, now_ms))
}
