//! Connects requests for capacity with the box they are made on.

use std::rc::Rc;

use tinbay_core::units::Millis;

use super::Sharing;
use super::messages::RoomRequestPart;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;
use crate::sharing::holder;

/// Box that allocates a server's capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoomHolder {
    /// This box.
    Own,
    /// Another box, by its id.
    Other(String),
}

/// What a request for capacity needs from its box.
pub trait RoomContext {
    /// Milliseconds on the monotonic clock of this process.
    fn now_ms(&self) -> Millis;

    /// State of this box's pending requests for capacity.
    fn sharing(&self) -> &Sharing;

    /// Whether requests need the holder's admission at a server: the holder reported it as scarce
    /// recently, or all its slots are taken as far as this box knows. The latter covers a surge,
    /// which begins faster than holders report.
    fn is_scarce(&self, server: &Server) -> bool;

    /// Box that allocates a server's capacity; `None` if no box holds the server.
    fn room_holder(&self, server: &Server) -> Option<RoomHolder>;

    /// Sends a request for capacity. The reply is delivered through [`Sharing::take_reply`].
    fn ask(&self, holder: &RoomHolder, server: &Rc<Server>, part: RoomRequestPart);
}

impl RoomContext for Node {
    fn now_ms(&self) -> Millis {
        self.now_ms()
    }

    fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    fn is_scarce(&self, server: &Server) -> bool {
        let now_ms = self.now_ms();
        let is_reported = match self.held_server(server.key) {
            Some(held) => held.room.borrow().is_scarce(),
            None => server.view.borrow().is_scarce(now_ms),
        };
        is_reported || server.running(now_ms) >= server.record().slots.max(1)
    }

    fn room_holder(&self, server: &Server) -> Option<RoomHolder> {
        if self.held_server(server.key).is_some() {
            return Some(RoomHolder::Own);
        }
        self.holder_of(server).map(RoomHolder::Other)
    }

    fn ask(&self, room_holder: &RoomHolder, server: &Rc<Server>, part: RoomRequestPart) {
        match room_holder {
            RoomHolder::Own => holder::handle_own_request(self, server, part),
            RoomHolder::Other(holder) => self.outbox.post(holder, FramePart::RoomRequest(part)),
        }
    }
}
