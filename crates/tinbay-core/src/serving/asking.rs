//! Which adapters the callers of one box wait or waited for, and what of it the holders of
//! their homes do not know yet.

use std::collections::HashMap;

use super::contents::{AdapterKey, Want, adapter_key};
use super::fading::Fading;
use super::servers::ServerKey;
use crate::units::Millis;

/// Half-life of the memory of how often an adapter was waited for.
pub const ASKED_HALF_LIFE_MS: f64 = 300_000.0;

/// Pause after which a holder is told again what has not changed, as messages may be lost.
const REFRESH_MS: Millis = 4_000;

/// Count below which an adapter is forgotten.
const LEAST_ASKED: f64 = 0.25;

/// Adapters remembered at most; beyond that no new ones are taken in until some fade.
const MOST_ADAPTERS: usize = 20_000;

/// How long a copy stays wanted that was asked for once.
const COPY_LIFE_MS: Millis = 1_000;

/// One adapter that callers wait or waited for.
#[derive(Debug)]
struct Asked {
    adapter: String,
    version: Option<u64>,
    home: ServerKey,
    count: Fading,
    waiting: u32,
    told_ms: Option<Millis>,
    is_changed: bool,
}

impl Asked {
    fn want(&self, now_ms: Millis) -> Want {
        Want {
            adapter: self.adapter.clone(),
            version: self.version,
            asked: self.count.at(ASKED_HALF_LIFE_MS, now_ms),
            waiting: f64::from(self.waiting),
            is_copy: false,
        }
    }

    fn is_due(&self, now_ms: Millis) -> bool {
        let is_old = |told_ms| now_ms >= told_ms + REFRESH_MS;
        self.is_changed || self.waiting > 0 || self.told_ms.is_none_or(is_old)
    }
}

/// A copy that an adapter with crowded servers should get.
#[derive(Debug)]
struct WantedCopy {
    want: Want,
    until_ms: Millis,
}

/// Which adapters the callers of one box wait or waited for.
#[derive(Debug, Default)]
pub struct Asking {
    by_adapter: HashMap<AdapterKey, Asked>,
    copies: HashMap<(ServerKey, AdapterKey), WantedCopy>,
    withdrawn: Vec<(ServerKey, Want)>,
}

impl Asking {
    /// A request begins to wait for an adapter at its home; `is_first` if it has not waited
    /// before. True if nobody waited for the adapter there.
    pub fn begin(
        &mut self,
        home: ServerKey,
        adapter: &str,
        version: Option<u64>,
        is_first: bool,
        now_ms: Millis,
    ) -> bool {
        let key = adapter_key(adapter);
        self.move_home(key, home);
        let asked = self.by_adapter.entry(key).or_insert_with(|| Asked {
            adapter: adapter.to_string(),
            version: None,
            home,
            count: Fading::default(),
            waiting: 0,
            told_ms: None,
            is_changed: true,
        });
        asked.version = asked.version.max(version);
        asked.waiting += 1;
        asked.is_changed = true;
        if is_first {
            asked.count.add(1.0, ASKED_HALF_LIFE_MS, now_ms);
        }
        asked.waiting == 1
    }

    /// A request stops waiting.
    pub fn end(&mut self, key: AdapterKey) {
        if let Some(asked) = self.by_adapter.get_mut(&key) {
            asked.waiting = asked.waiting.saturating_sub(1);
            asked.is_changed = true;
        }
    }

    /// An adapter serves: who waited for it no longer counts.
    pub fn forget(&mut self, key: AdapterKey) {
        let Some(asked) = self.by_adapter.get_mut(&key) else {
            return;
        };
        asked.count = Fading::default();
        if asked.waiting > 0 {
            asked.is_changed = true;
            return;
        }
        if let Some(asked) = self.by_adapter.remove(&key) {
            self.withdraw(&asked);
        }
    }

    /// Asks for one more server of an adapter whose servers are crowded.
    pub fn ask_for_copy(&mut self, server: ServerKey, want: Want, now_ms: Millis) {
        let key = (server, adapter_key(&want.adapter));
        let until_ms = now_ms + COPY_LIFE_MS;
        self.copies.insert(key, WantedCopy { want, until_ms });
    }

    /// What the holder of these servers does not know yet, or should hear again.
    pub fn tell(
        &mut self,
        is_theirs: &dyn Fn(ServerKey) -> bool,
        now_ms: Millis,
    ) -> Vec<(ServerKey, Want)> {
        let mut told: Vec<(ServerKey, Want)> = Vec::new();
        self.withdrawn.retain(|(server, want)| {
            let is_told = is_theirs(*server);
            if is_told {
                told.push((*server, want.clone()));
            }
            !is_told
        });
        self.drop_faded(now_ms);
        for asked in self.by_adapter.values_mut() {
            if !is_theirs(asked.home) || !asked.is_due(now_ms) {
                continue;
            }
            asked.told_ms = Some(now_ms);
            asked.is_changed = false;
            told.push((asked.home, asked.want(now_ms)));
        }
        self.copies.retain(|_, copy| now_ms < copy.until_ms);
        for ((server, _), copy) in &self.copies {
            if is_theirs(*server) {
                told.push((*server, copy.want.clone()));
            }
        }
        told
    }

    fn move_home(&mut self, key: AdapterKey, home: ServerKey) {
        let Some(asked) = self.by_adapter.get_mut(&key) else {
            return;
        };
        if asked.home == home {
            return;
        }
        if asked.told_ms.take().is_some() {
            let withdrawal = withdrawal(asked);
            self.withdrawn.push(withdrawal);
        }
        asked.home = home;
    }

    fn withdraw(&mut self, asked: &Asked) {
        if asked.told_ms.is_some() {
            self.withdrawn.push(withdrawal(asked));
        }
    }

    fn drop_faded(&mut self, now_ms: Millis) {
        let most_asked = if self.by_adapter.len() > MOST_ADAPTERS {
            LEAST_ASKED * 4.0
        } else {
            LEAST_ASKED
        };
        self.by_adapter.retain(|_, asked| {
            asked.waiting > 0 || asked.count.at(ASKED_HALF_LIFE_MS, now_ms) >= most_asked
        });
    }
}

fn withdrawal(asked: &Asked) -> (ServerKey, Want) {
    let want = Want {
        adapter: asked.adapter.clone(),
        version: asked.version,
        asked: 0.0,
        waiting: 0.0,
        is_copy: false,
    };
    (asked.home, want)
}
