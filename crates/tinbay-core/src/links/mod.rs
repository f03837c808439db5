//! Links from one box to the backend servers.
//!
//! A connection that fails shows that the server or the link to it has failed, but not which. If
//! many servers can't be reached at the same time, the box's own links are the likelier cause, and
//! what it sees then says nothing about the servers.

pub mod targets;

use crate::units::Millis;

/// Time for which a server that answered counts as reachable without a check.
const HEARD_LIFE_MS: Millis = 1_500;

/// Time since which an answer shows that a server can be reached: the start of the last check of
/// all servers in use, as servers without requests give no other sign, or a fixed time ago.
pub fn heard_since_ms(checked_ms: Millis, now_ms: Millis) -> Millis {
    checked_ms.min(now_ms.saturating_sub(HEARD_LIFE_MS))
}

/// Servers that must be unreachable before the box's own links are suspected.
const MIN_DOWN: usize = 2;

/// A box counts as partitioned if at least one in this many servers is unreachable: one zone of
/// three may be lost.
const PARTITIONED_ONE_IN: usize = 3;

/// What a box knows of its link to one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Link {
    heard_ms: Option<Millis>,
    down_since_ms: Option<Millis>,
    /// Whether the server has failed, as others could be reached when the link went down.
    has_server_failed: bool,
}

impl Link {
    /// Records that bytes arrived from the server.
    pub fn record_heard(&mut self, now_ms: Millis) {
        self.heard_ms = Some(now_ms);
    }

    /// Records that a check reached the server; returns whether the link was down.
    pub fn record_reached(&mut self, now_ms: Millis) -> bool {
        self.record_heard(now_ms);
        self.has_server_failed = false;
        self.down_since_ms.take().is_some()
    }

    /// Records that the server accepted no connection; returns whether the link was up. Bytes on
    /// connections that are still open don't bring the link up, as new ones may fail meanwhile.
    pub fn record_failed(&mut self, now_ms: Millis) -> bool {
        let was_up = !self.is_down();
        self.down_since_ms.get_or_insert(now_ms);
        was_up
    }

    /// Records that the link is down because its server has failed, if it is down.
    pub fn record_server_failed(&mut self) {
        self.has_server_failed = self.is_down();
    }

    /// Whether new connections to the server fail.
    pub fn is_down(&self) -> bool {
        self.down_since_ms.is_some()
    }

    /// Whether the link has been down for this time.
    pub fn is_down_for(&self, duration_ms: Millis, now_ms: Millis) -> bool {
        self.down_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + duration_ms)
    }

    /// Whether bytes have arrived from the server since a time.
    pub fn is_heard_since(&self, since_ms: Millis) -> bool {
        self.heard_ms.is_some_and(|heard_ms| heard_ms >= since_ms)
    }
}

/// Links to a number of servers, by state. Servers about which nothing is known lately count as
/// neither up nor down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Links on which new connections fail.
    pub down: usize,
    /// Links that are down because their servers have failed.
    pub failed: usize,
    /// Links on which servers answered since the last check.
    pub up: usize,
    /// All links.
    pub known: usize,
}

impl LinkCounts {
    /// Counts a link; it is up if the server has answered since `heard_since_ms`.
    pub fn add(&mut self, link: &Link, heard_since_ms: Millis) {
        self.known += 1;
        if link.is_down() {
            self.down += 1;
            self.failed += usize::from(link.has_server_failed);
        } else if link.is_heard_since(heard_since_ms) {
            self.up += 1;
        }
    }

    /// Whether so many links are down that the box's own links have probably failed.
    pub fn is_partitioned(&self) -> bool {
        self.lost() >= MIN_DOWN && self.is_partly_lost()
    }

    /// Links that are down although their servers may be sound.
    fn lost(&self) -> usize {
        self.down - self.failed
    }

    /// Whether at least the fraction of the links that counts for a partition is lost, or none is
    /// known to work.
    fn is_partly_lost(&self) -> bool {
        self.lost() * PARTITIONED_ONE_IN >= self.lost() + self.up
    }

    /// Whether all links are down.
    pub fn are_all_down(&self) -> bool {
        self.known > 0 && self.down == self.known
    }

    /// Whether requests for a service with these links should go through another box.
    pub fn needs_other_box(&self, is_box_partitioned: bool) -> bool {
        self.are_all_down() || (is_box_partitioned && self.is_partly_lost())
    }
}
