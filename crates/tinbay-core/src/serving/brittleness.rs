//! Brittle servers, which fail if they have to reject too many requests for lack of room.
//!
//! All servers of a service turn brittle together and say so in all their answers. Boxes pass that
//! on to each other, so that one learns it before its first answer.

use crate::units::Millis;

/// How long it is believed that servers are brittle after the last answer that said so. All servers
/// of a service may be down for some seconds.
const BELIEF_LIFE_MS: Millis = 15_000;

/// What is known about the brittleness of a server or of its service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Brittleness {
    rejections_per_s: Option<f64>,
    /// Since when it has been brittle without interruption.
    since_ms: Millis,
    /// When the last answer that counts was received.
    received_ms: Millis,
}

/// Brittleness of a service as one box passes it on to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrittlenessReport {
    /// Rejections per second that a server survives.
    pub rejections_per_s: f64,
    /// How long the servers have been brittle.
    pub known_for_ms: Millis,
    /// Time since an answer last said so.
    pub age_ms: Millis,
}

impl Brittleness {
    /// Records what an answer says; none if it does not mention it. An answer whose request was
    /// sent before the last notice arrived does not end the state.
    pub fn record(
        &mut self,
        rejections_per_s: Option<f64>,
        request_sent_ms: Millis,
        now_ms: Millis,
    ) {
        if let Some(per_s) = rejections_per_s {
            self.begin(per_s, now_ms, now_ms);
        } else if request_sent_ms >= self.received_ms {
            self.end(now_ms);
        }
    }

    /// Records what another box passed on; returns whether that is new.
    pub fn record_report(&mut self, report: BrittlenessReport, now_ms: Millis) -> bool {
        let received_ms = now_ms.saturating_sub(report.age_ms);
        if received_ms <= self.received_ms || report.age_ms >= BELIEF_LIFE_MS {
            return false;
        }
        let is_new = self.rejections_per_s(now_ms).is_none();
        let since_ms = now_ms.saturating_sub(report.known_for_ms);
        self.begin(report.rejections_per_s, since_ms, received_ms);
        is_new
    }

    /// Records that it is not brittle.
    pub fn end(&mut self, now_ms: Millis) {
        self.rejections_per_s = None;
        self.received_ms = now_ms;
    }

    /// Rejections per second that a server survives; none if it is not brittle.
    pub fn rejections_per_s(&self, now_ms: Millis) -> Option<f64> {
        let is_current = now_ms < self.received_ms + BELIEF_LIFE_MS;
        self.rejections_per_s.filter(|_| is_current)
    }

    /// What to pass on to other boxes; none if it is not brittle.
    pub fn report(&self, now_ms: Millis) -> Option<BrittlenessReport> {
        Some(BrittlenessReport {
            rejections_per_s: self.rejections_per_s(now_ms)?,
            known_for_ms: now_ms.saturating_sub(self.since_ms),
            age_ms: now_ms.saturating_sub(self.received_ms),
        })
    }

    fn begin(&mut self, per_s: f64, since_ms: Millis, received_ms: Millis) {
        self.since_ms = match self.rejections_per_s(received_ms) {
            Some(_) => self.since_ms.min(since_ms),
            None => since_ms,
        };
        self.rejections_per_s = Some(per_s);
        self.received_ms = self.received_ms.max(received_ms);
    }
}

/// Brittleness of a server, from what it said itself and what is known of its service. Its own word
/// that it is brittle holds until its own word to the contrary; otherwise the later one holds.
pub fn of_server(own: Brittleness, service: Brittleness, now_ms: Millis) -> Brittleness {
    let says_brittle = own.rejections_per_s(now_ms).is_some();
    if says_brittle || own.received_ms > service.received_ms {
        own
    } else {
        service
    }
}
