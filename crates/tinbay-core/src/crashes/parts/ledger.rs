//! Counts the crashes in which requests with a part were running.

use std::collections::{HashMap, HashSet, VecDeque};

use super::evidence::{CrashReport, Evidence, MAX_LISTED_CRASHES};
use super::{COINCIDENCE_MS, CRASHES_AT_ONCE_TO_SUSPECT, CRASHES_TO_SUSPECT};
use crate::crashes::ledger::{CRASH_LIFE_MS, CrashKey};
use crate::serving::prompt::PartId;
use crate::units::Millis;

/// Upper bound of the parts tracked; the oldest are dropped.
const MAX_SUSPECTS: usize = 4_096;

/// Requests remembered per crash, which is enough to tell one request from several.
const MAX_REQUESTS: usize = 8;

/// A crash of which a part is suspected.
#[derive(Debug, Clone)]
struct PartCrash {
    key: CrashKey,
    at_ms: Millis,
    requests: Vec<u64>,
    /// Parts that all requests with the part held as well.
    companions: Vec<PartId>,
}

/// Crashes by suspected part.
#[derive(Debug, Default)]
pub struct PartLedger {
    suspects: HashMap<PartId, Vec<PartCrash>>,
    /// Suspects in the order in which they were added.
    by_age: VecDeque<PartId>,
}

/// Crashes that count against a part.
#[derive(Debug)]
pub struct PartCrashes<'a> {
    crashes: Vec<&'a PartCrash>,
}

impl PartLedger {
    /// Records a request with a part that was running in a crash; returns whether the crash or the
    /// request is new for the part.
    pub fn record(&mut self, report: &CrashReport, now_ms: Millis) -> bool {
        if !self.suspects.contains_key(&report.part) {
            self.drop_oldest();
            self.by_age.push_back(report.part);
        }
        let crashes = self.suspects.entry(report.part).or_default();
        crashes.retain(|crash| now_ms < crash.at_ms + CRASH_LIFE_MS);
        let known = crashes.iter_mut().find(|crash| crash.key == report.crash);
        if let Some(crash) = known {
            crash
                .companions
                .retain(|part| report.companions.contains(part));
            let is_new = !crash.requests.contains(&report.request);
            if is_new && crash.requests.len() < MAX_REQUESTS {
                crash.requests.push(report.request);
            }
            return is_new;
        }
        crashes.push(PartCrash {
            key: report.crash,
            at_ms: now_ms.saturating_sub(Millis::from(report.age_ms)),
            requests: vec![report.request],
            companions: report.companions.clone(),
        });
        crashes.sort_by_key(|crash| crash.at_ms);
        if crashes.len() > MAX_LISTED_CRASHES {
            remove_closest(crashes);
        }
        true
    }

    /// Drops the crashes of a part up to a time.
    pub fn clear(&mut self, part: PartId, until_ms: Millis) {
        let Some(crashes) = self.suspects.get_mut(&part) else {
            return;
        };
        crashes.retain(|crash| crash.at_ms >= until_ms);
        if crashes.is_empty() {
            self.suspects.remove(&part);
            self.by_age.retain(|kept| *kept != part);
        }
    }

    /// The crashes of a part, without those that something else explains, given their key and the
    /// companions of the part in them.
    pub fn crashes(
        &self,
        part: PartId,
        is_explained: impl Fn(CrashKey, &[PartId]) -> bool,
    ) -> PartCrashes<'_> {
        let crashes = self.suspects.get(&part).into_iter().flatten();
        let unexplained = crashes.filter(|crash| !is_explained(crash.key, &crash.companions));
        PartCrashes {
            crashes: unexplained.collect(),
        }
    }

    /// Number of suspects.
    pub fn count(&self) -> usize {
        self.suspects.len()
    }

    fn drop_oldest(&mut self) {
        while self.by_age.len() >= MAX_SUSPECTS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.suspects.remove(&oldest);
        }
    }
}

/// Removes the crash that follows another one most closely, as crashes at different times count.
fn remove_closest(crashes: &mut Vec<PartCrash>) {
    let gaps = crashes.windows(2).map(|pair| pair[1].at_ms - pair[0].at_ms);
    let closest = gaps.enumerate().min_by_key(|(_, gap_ms)| *gap_ms);
    if let Some((position, _)) = closest {
        crashes.remove(position + 1);
    }
}

impl PartCrashes<'_> {
    /// Whether these are enough crashes, under enough different requests.
    pub fn suffice(&self) -> bool {
        let are_enough =
            self.are_enough_apart() || self.crashes.len() >= CRASHES_AT_ONCE_TO_SUSPECT;
        are_enough && self.requests() >= CRASHES_TO_SUSPECT
    }

    /// Whether these are enough crashes even if those of one moment count once.
    pub fn are_enough_apart(&self) -> bool {
        self.count_apart() >= CRASHES_TO_SUSPECT
    }

    /// When the last of them happened.
    pub fn last_ms(&self) -> Option<Millis> {
        self.crashes.last().map(|crash| crash.at_ms)
    }

    /// The crashes and requests, for other boxes.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            crashes: self.crashes.iter().map(|crash| crash.key).collect(),
            requests: self.requests() as u16,
        }
    }

    /// When the first of them happened.
    pub fn first_ms(&self) -> Option<Millis> {
        self.crashes.first().map(|crash| crash.at_ms)
    }

    /// Parts that the part ran together with in all of these crashes.
    pub fn companions(&self) -> Vec<PartId> {
        let Some((first, others)) = self.crashes.split_first() else {
            return Vec::new();
        };
        let is_in_all = |part: &&PartId| others.iter().all(|crash| crash.companions.contains(part));
        first.companions.iter().filter(is_in_all).copied().collect()
    }

    /// Number of crashes, where those close together count once.
    fn count_apart(&self) -> usize {
        let mut last_ms = None;
        let mut count = 0;
        for crash in &self.crashes {
            if last_ms.is_none_or(|last_ms| crash.at_ms >= last_ms + COINCIDENCE_MS) {
                last_ms = Some(crash.at_ms);
                count += 1;
            }
        }
        count
    }

    fn requests(&self) -> usize {
        let requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        requests.collect::<HashSet<_>>().len()
    }
}
