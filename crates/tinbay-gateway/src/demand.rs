//! Which adapters are wanted and used where, by this box and by others.

use std::collections::HashMap;

use tinbay_core::serving::contents::{AdapterKey, Want, adapter_key};
use tinbay_core::serving::fading::faded;
use tinbay_core::units::Millis;

use crate::servers::ServerKey;

/// How long an adapter stays wanted after a caller waited for it: others will ask again.
const LINGER_MS: Millis = 12_000;

/// How long another box's wants count after its last message.
const PEER_LIFE_MS: Millis = 1_000;

/// Wants of one adapter at one server.
#[derive(Debug)]
struct OwnWant {
    adapter: String,
    version: Option<u64>,
    waiting: f64,
    spread_until_ms: Millis,
    linger_until_ms: Millis,
}

/// Another box's wants, as it last told them.
#[derive(Debug)]
struct PeerWants {
    told_ms: Millis,
    by_server: HashMap<ServerKey, Vec<Want>>,
}

/// Half-life of the memory of how often an adapter was waited for.
const ASKED_HALF_LIFE_MS: f64 = 30_000.0;

/// How long an adapter stays wanted that is crowded elsewhere.
const SPREAD_MS: Millis = 1_000;

/// Weight of an adapter that is crowded elsewhere: as many requests of it run late.
const SPREAD_WEIGHT: f64 = 4.0;

/// Weight of a request that waits, against one remembered: what an adapter was asked for
/// tells what it will be asked for.
const WAITING_WEIGHT: f64 = 0.5;

/// Adapters whose askers are remembered.
const MOST_ASKED: usize = 20_000;

/// How often an adapter was waited for, fading.
#[derive(Debug, Default, Clone, Copy)]
struct Asked {
    count: f64,
    noted_ms: Millis,
}

impl Asked {
    fn at(&self, now_ms: Millis) -> f64 {
        faded(self.count, self.noted_ms, ASKED_HALF_LIFE_MS, now_ms)
    }
}

/// Which adapters are wanted and used where.
#[derive(Debug, Default)]
pub struct Demand {
    asked: HashMap<AdapterKey, Asked>,
    peer_asked: HashMap<AdapterKey, HashMap<String, Asked>>,
    own: HashMap<ServerKey, HashMap<AdapterKey, OwnWant>>,
    uses: HashMap<ServerKey, HashMap<AdapterKey, u32>>,
    peers: HashMap<String, PeerWants>,
}

impl Demand {
    /// A request begins to wait for an adapter at a server; true if nobody waited before.
    pub fn begin(&mut self, server: ServerKey, want: &Want) -> bool {
        let own = self.own_want(server, want);
        own.waiting += want.weight;
        own.waiting <= want.weight
    }

    /// Asks for an adapter that is crowded elsewhere; nobody waits for it here.
    pub fn ask_for_spread(&mut self, server: ServerKey, want: &Want, now_ms: Millis) {
        let own = self.own_want(server, want);
        own.spread_until_ms = now_ms + SPREAD_MS;
        own.linger_until_ms = own.linger_until_ms.max(now_ms + SPREAD_MS);
    }

    fn own_want(&mut self, server: ServerKey, want: &Want) -> &mut OwnWant {
        let wants = self.own.entry(server).or_default();
        let own = wants
            .entry(adapter_key(&want.adapter))
            .or_insert_with(|| OwnWant {
                adapter: want.adapter.clone(),
                version: None,
                waiting: 0.0,
                spread_until_ms: 0,
                linger_until_ms: 0,
            });
        own.version = own.version.max(want.version);
        own
    }

    /// Remembers that a request had to wait for an adapter.
    pub fn note_asked(&mut self, key: AdapterKey, now_ms: Millis) {
        if self.asked.len() >= MOST_ASKED {
            self.asked.retain(|_, asked| asked.at(now_ms) >= 0.5);
        }
        let asked = self.asked.entry(key).or_default();
        asked.count = asked.at(now_ms) + 1.0;
        asked.noted_ms = now_ms;
    }

    /// Forgets who had to wait for an adapter, as it is there now.
    pub fn forget_asked(&mut self, key: AdapterKey) {
        self.asked.remove(&key);
    }

    /// A request stops waiting; the adapter stays wanted for a while.
    pub fn end(&mut self, server: ServerKey, want: &Want, now_ms: Millis) {
        let Some(wants) = self.own.get_mut(&server) else {
            return;
        };
        let key = adapter_key(&want.adapter);
        let Some(own) = wants.get_mut(&key) else {
            return;
        };
        own.waiting = (own.waiting - want.weight).max(0.0);
        own.linger_until_ms = now_ms + LINGER_MS;
    }

    /// Notes a use of an adapter at a server.
    pub fn note_use(&mut self, server: ServerKey, key: AdapterKey) {
        *self.uses.entry(server).or_default().entry(key).or_default() += 1;
    }

    /// Takes the uses noted for one server.
    pub fn take_uses(&mut self, server: ServerKey) -> Vec<(AdapterKey, u32)> {
        self.uses
            .remove(&server)
            .map(|uses| uses.into_iter().collect())
            .unwrap_or_default()
    }

    /// What this box wants at a server.
    pub fn own_wants(&mut self, server: ServerKey, now_ms: Millis) -> Vec<Want> {
        let Some(wants) = self.own.get_mut(&server) else {
            return Vec::new();
        };
        wants.retain(|_, own| own.waiting > 0.0 || now_ms < own.linger_until_ms);
        let asked = &self.asked;
        let remembered = |key| asked.get(key).map_or(0.0, |asked: &Asked| asked.at(now_ms));
        wants
            .iter()
            .map(|(key, own)| {
                let is_spread = now_ms < own.spread_until_ms;
                let spread = if is_spread { SPREAD_WEIGHT } else { 0.0 };
                let asked = remembered(key);
                Want {
                    adapter: own.adapter.clone(),
                    version: own.version,
                    weight: WAITING_WEIGHT * own.waiting + spread + asked,
                    asked,
                    is_awaited: own.waiting > 0.0 || is_spread,
                }
            })
            .collect()
    }

    /// Notes all that another box wants at the servers held here.
    pub fn note_peer(&mut self, box_id: &str, wants: Vec<(ServerKey, Want)>, now_ms: Millis) {
        let mut by_server: HashMap<ServerKey, Vec<Want>> = HashMap::new();
        for (server, want) in wants {
            self.remember_peer(box_id, &want, now_ms);
            by_server.entry(server).or_default().push(want);
        }
        let peer = PeerWants {
            told_ms: now_ms,
            by_server,
        };
        self.peers.insert(box_id.to_string(), peer);
    }

    /// Callers choose boxes at random, so that each box sees a part of who asks; the holder
    /// remembers what each told, also when it does not name the adapter in its next message.
    fn remember_peer(&mut self, box_id: &str, want: &Want, now_ms: Millis) {
        if self.peer_asked.len() >= MOST_ASKED {
            self.peer_asked.retain(|_, boxes| {
                boxes.retain(|_, asked| asked.at(now_ms) >= 0.5);
                !boxes.is_empty()
            });
        }
        let asked = Asked {
            count: want.asked,
            noted_ms: now_ms,
        };
        let boxes = self
            .peer_asked
            .entry(adapter_key(&want.adapter))
            .or_default();
        boxes.insert(box_id.to_string(), asked);
    }

    /// Forgets what other boxes told of an adapter, as it is there now.
    pub fn forget_peers_asked(&mut self, key: AdapterKey) {
        self.peer_asked.remove(&key);
    }

    fn peers_asked(&self, key: AdapterKey, now_ms: Millis) -> f64 {
        let boxes = self.peer_asked.get(&key);
        boxes.map_or(0.0, |boxes| {
            boxes.values().map(|asked| asked.at(now_ms)).sum()
        })
    }

    /// What all boxes want at a server, most wanted first.
    pub fn wants(&mut self, server: ServerKey, now_ms: Millis) -> Vec<Want> {
        let mut sums: HashMap<AdapterKey, Want> = HashMap::new();
        let peers = self
            .peers
            .values()
            .filter(|peer| now_ms < peer.told_ms + PEER_LIFE_MS)
            .filter_map(|peer| peer.by_server.get(&server))
            .flatten()
            .map(|want| Want {
                weight: want.weight - want.asked,
                ..want.clone()
            })
            .collect::<Vec<Want>>();
        for want in self.own_wants(server, now_ms).into_iter().chain(peers) {
            let key = adapter_key(&want.adapter);
            match sums.get_mut(&key) {
                Some(sum) => {
                    sum.weight += want.weight;
                    sum.is_awaited |= want.is_awaited;
                    sum.version = sum.version.max(want.version);
                }
                None => {
                    sums.insert(key, want);
                }
            }
        }
        let mut wants: Vec<Want> = sums.into_values().collect();
        for want in &mut wants {
            want.weight += self.peers_asked(adapter_key(&want.adapter), now_ms);
        }
        wants.sort_by(|left, right| right.urgency().total_cmp(&left.urgency()));
        wants
    }
}
