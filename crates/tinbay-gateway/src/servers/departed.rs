//! What servers said of themselves whose entries are gone, as entries come back.
//!
//! An entry lapses while the store is away and is written again after it, and a listing may show one
//! that was gone. What a server said binds the box beyond that.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use tinbay_core::serving::notices::Said;
use tinbay_core::serving::servers::ServerRecord;

/// Most servers that are remembered: all of a system of 7,700, whose entries may be gone at once.
const MOST_REMEMBERED: usize = 8_192;

/// What an incarnation of a server said, shared by all that know it.
pub type SharedSaid = Rc<RefCell<Said>>;

#[derive(Debug)]
struct Departure {
    born_ms: Option<u64>,
    address: SocketAddr,
    said: SharedSaid,
}

/// Servers whose entries are gone, the last incarnation of each.
#[derive(Debug, Default)]
pub struct Departed {
    by_id: HashMap<String, Departure>,
    /// Oldest first; each id once.
    order: VecDeque<String>,
}

impl Departed {
    /// Remembers an incarnation whose entry went.
    pub fn remember(&mut self, record: &ServerRecord, said: &SharedSaid) {
        let departure = Departure {
            born_ms: record.born_ms,
            address: record.address,
            said: Rc::clone(said),
        };
        if self.by_id.insert(record.id.clone(), departure).is_none() {
            self.order.push_back(record.id.clone());
        }
        if self.order.len() > MOST_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// What the incarnation of an entry that came has said so far.
    pub fn said_by(&self, record: &ServerRecord) -> SharedSaid {
        let Some(known) = self.by_id.get(&record.id) else {
            return SharedSaid::default();
        };
        let is_later = record.born_ms > known.born_ms && known.born_ms.is_some();
        if record.address != known.address || is_later {
            return SharedSaid::default();
        }
        let is_earlier = record.born_ms < known.born_ms && record.born_ms.is_some();
        if is_earlier {
            // A later incarnation was seen: this one has ended.
            let mut said = Said::default();
            said.note_leaving();
            return Rc::new(RefCell::new(said));
        }
        Rc::clone(&known.said)
    }
}
