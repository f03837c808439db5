//! What asking for room needs of a box.

use std::rc::Rc;

use tinbay_core::units::Millis;

use super::Sharing;
use super::messages::RoomRequestPart;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;
use crate::sharing::holder;

/// The box that deals a server's room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoomHolder {
    /// This box.
    Own,
    /// Another one.
    Other(String),
}

/// What asking for room needs of a box.
pub trait RoomLinks {
    /// Milliseconds on the clock by which ages are told.
    fn now_ms(&self) -> Millis;

    /// Requests of this box that ask for room.
    fn sharing(&self) -> &Sharing;

    /// Whether requests have to ask for room at a server: its holder told so lately, or all its places are
    /// taken by what this box knows, as a surge begins faster than holders tell.
    fn is_scarce(&self, server: &Server) -> bool;

    /// The box that deals a server's room; none where nobody does.
    fn room_holder(&self, server: &Server) -> Option<RoomHolder>;

    /// Asks for room; the word comes to [`Sharing::take_word`].
    fn ask(&self, holder: &RoomHolder, server: &Rc<Server>, part: RoomRequestPart);
}

impl RoomLinks for Node {
    fn now_ms(&self) -> Millis {
        self.now_ms()
    }

    fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    fn is_scarce(&self, server: &Server) -> bool {
        let now_ms = self.now_ms();
        let is_told = match self.held_server(server.key) {
            Some(held) => held.room.borrow().is_scarce(),
            None => server.view.borrow().is_scarce(now_ms),
        };
        is_told || server.running(now_ms) >= server.record().slots.max(1)
    }

    fn room_holder(&self, server: &Server) -> Option<RoomHolder> {
        if self.held_server(server.key).is_some() {
            return Some(RoomHolder::Own);
        }
        self.holder_of(server).map(RoomHolder::Other)
    }

    fn ask(&self, room_holder: &RoomHolder, server: &Rc<Server>, part: RoomRequestPart) {
        match room_holder {
            RoomHolder::Own => holder::take_own_request(self, server, part),
            RoomHolder::Other(holder) => self.outbox.post(holder, FramePart::RoomRequest(part)),
        }
    }
}
