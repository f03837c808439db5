//! The boxes of the simulated fleet, and what each believes about the others.

use std::cmp::Reverse;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::rendezvous;

use super::{BoxFault, BrittleParameters, FAULT_MS, SILENT_AFTER_MS, VIEW_SPREAD_MS};

/// Boxes by rank for a server that are considered as its home; all of them being struck is
/// unlikely.
const RANKED: usize = 24;

/// Salt of the boxes' delays in noticing a fault.
const DELAY_SEED: u64 = 0x6465_6c61;

/// The boxes and the fault that strikes some of them.
pub struct Fleet {
    fault: BoxFault,
    from_ms: u64,
    is_struck: Vec<bool>,
    /// Time by which each box notices a change later than the first one does.
    delay_ms: Vec<u64>,
    /// Boxes by rank for each server.
    ranked: Vec<Vec<usize>>,
    /// Servers of which each box is the home while all boxes are up.
    homed: Vec<Vec<usize>>,
    struck_fraction: f64,
}

impl Fleet {
    /// Creates the boxes of a run.
    pub fn new(terms: &BrittleParameters, fault: BoxFault) -> Self {
        let mut random = SmallRng::seed_from_u64(terms.seed ^ DELAY_SEED);
        let struck_fraction = if fault == BoxFault::None {
            0.0
        } else {
            terms.struck
        };
        let is_struck: Vec<bool> = (0..terms.boxes)
            .map(|_| random.random_bool(struck_fraction))
            .collect();
        let ranked: Vec<Vec<usize>> = (0..terms.servers)
            .map(|server| rank_boxes(server, terms.boxes))
            .collect();
        let mut homed = vec![Vec::new(); terms.boxes];
        for (server, ranked) in ranked.iter().enumerate() {
            homed[ranked[0]].push(server);
        }
        let delays = (0..terms.boxes).map(|_| random.random_range(0..VIEW_SPREAD_MS));
        Self {
            fault,
            from_ms: terms.seconds * 1_000 / 3,
            delay_ms: delays.collect(),
            ranked,
            homed,
            struck_fraction: is_struck.iter().filter(|is_struck| **is_struck).count() as f64
                / terms.boxes as f64,
            is_struck,
        }
    }

    /// Servers of which a box is the home while all boxes are up.
    pub fn usually_homed_at(&self, box_index: usize) -> &[usize] {
        &self.homed[box_index]
    }

    fn is_fault_active(&self, now_ms: u64) -> bool {
        match self.fault {
            BoxFault::None => false,
            BoxFault::Killed => now_ms >= self.from_ms,
            BoxFault::Frozen | BoxFault::CutOff => {
                (self.from_ms..self.from_ms + FAULT_MS).contains(&now_ms)
            }
        }
    }

    /// Whether a box runs.
    pub fn is_up(&self, box_index: usize, now_ms: u64) -> bool {
        let stops = matches!(self.fault, BoxFault::Killed | BoxFault::Frozen);
        !(stops && self.is_struck[box_index] && self.is_fault_active(now_ms))
    }

    /// When a frozen box goes on; `None` if the box is not frozen.
    pub fn wakes_ms(&self, box_index: usize, now_ms: u64) -> Option<u64> {
        let is_frozen = self.fault == BoxFault::Frozen && !self.is_up(box_index, now_ms);
        is_frozen.then_some(self.from_ms + FAULT_MS)
    }

    /// Whether a message between two boxes gets through.
    pub fn is_connected(&self, from: usize, to: usize, now_ms: u64) -> bool {
        let is_cut = self.fault == BoxFault::CutOff && self.is_fault_active(now_ms);
        !is_cut || self.is_struck[from] == self.is_struck[to]
    }

    /// Whether a box believes now that the struck ones, or the others if it is a struck one, have
    /// failed.
    fn believes_in_fault(&self, box_index: usize, now_ms: u64) -> bool {
        let delay_ms = self.delay_ms[box_index];
        let from_ms = self.from_ms + SILENT_AFTER_MS + delay_ms;
        match self.fault {
            BoxFault::None => false,
            BoxFault::Killed => now_ms >= from_ms,
            BoxFault::Frozen | BoxFault::CutOff => {
                let until_ms = self.from_ms + FAULT_MS + delay_ms;
                (from_ms..until_ms).contains(&now_ms)
            }
        }
    }

    /// Whether a box's view of the fleet is reliable enough to act as a home: not for a while after
    /// it was frozen.
    pub fn is_reliable(&self, box_index: usize, now_ms: u64) -> bool {
        let wakes_ms = self.from_ms + FAULT_MS;
        let was_frozen = self.fault == BoxFault::Frozen && self.is_struck[box_index];
        !(was_frozen && (wakes_ms..wakes_ms + SILENT_AFTER_MS).contains(&now_ms))
    }

    /// Fraction of the fleet that a box believes to reach.
    pub fn reached(&self, box_index: usize, now_ms: u64) -> f64 {
        if !self.believes_in_fault(box_index, now_ms) {
            return 1.0;
        }
        let is_on_struck_side = self.fault == BoxFault::CutOff && self.is_struck[box_index];
        if is_on_struck_side {
            self.struck_fraction
        } else {
            1.0 - self.struck_fraction
        }
    }

    /// The box that another one takes for the home of a server; `None` if it knows of none.
    pub fn home(&self, server: usize, viewer: usize, now_ms: u64) -> Option<usize> {
        let believes = self.believes_in_fault(viewer, now_ms);
        let is_on_struck_side = self.fault == BoxFault::CutOff && self.is_struck[viewer];
        let is_candidate = |candidate: &&usize| {
            let seems_up = !believes || self.is_struck[**candidate] == is_on_struck_side;
            seems_up && self.is_reliable(**candidate, now_ms)
        };
        self.ranked[server].iter().find(is_candidate).copied()
    }
}

fn rank_boxes(server: usize, boxes: usize) -> Vec<usize> {
    let name = server.to_string();
    let score = |box_index: &usize| Reverse(rendezvous::score(&name, &box_index.to_string()));
    let mut ranked: Vec<usize> = (0..boxes).collect();
    ranked.sort_by_cached_key(score);
    ranked.truncate(RANKED);
    ranked
}
