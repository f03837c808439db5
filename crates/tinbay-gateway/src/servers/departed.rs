//! Keeps the notices of backend servers whose entries disappeared from the store, as entries may
//! reappear.
//!
//! An entry can expire while the store is unreachable and be written again afterwards, and an old
//! listing can contain one that was removed. The server's notices stay in force in both cases.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use tinbay_core::serving::notices::Announced;
use tinbay_core::serving::servers::ServerRecord;

/// Upper bound on servers that are remembered. It covers a system of 7,700 servers whose entries
/// all disappear at once.
const MAX_REMEMBERED: usize = 8_192;

/// Notices of an incarnation of a server, shared by all that refer to it.
pub type SharedNotices = Rc<RefCell<Announced>>;

#[derive(Debug)]
struct Departure {
    born_ms: Option<u64>,
    address: SocketAddr,
    notices: SharedNotices,
}

/// Last known incarnation of each server whose entry is gone.
#[derive(Debug, Default)]
pub struct Departed {
    by_id: HashMap<String, Departure>,
    /// Ids in order of departure, oldest first, without duplicates.
    order: VecDeque<String>,
}

impl Departed {
    /// Remembers an incarnation whose entry is gone.
    pub fn remember(&mut self, record: &ServerRecord, notices: &SharedNotices) {
        let departure = Departure {
            born_ms: record.born_ms,
            address: record.address,
            notices: Rc::clone(notices),
        };
        if self.by_id.insert(record.id.clone(), departure).is_none() {
            self.order.push_back(record.id.clone());
        }
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// Returns the notices known of the incarnation in an entry that appeared.
    pub fn notices_of(&self, record: &ServerRecord) -> SharedNotices {
        let Some(known) = self.by_id.get(&record.id) else {
            return SharedNotices::default();
        };
        let is_later = record.born_ms > known.born_ms && known.born_ms.is_some();
        if record.address != known.address || is_later {
            return SharedNotices::default();
        }
        let is_earlier = record.born_ms < known.born_ms && record.born_ms.is_some();
        if is_earlier {
            // A later incarnation is known, so this one has ended.
            let mut notices = Announced::default();
            notices.record_leaving();
            return Rc::new(RefCell::new(notices));
        }
        Rc::clone(&known.notices)
    }
}
