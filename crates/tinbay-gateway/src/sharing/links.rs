//! What an admission request needs from the box on which it is made, and its implementation by the
//! box's [`Node`].

use std::rc::Rc;

use tinbay_core::units::Millis;

use super::Sharing;
use super::messages::AdmissionRequestPart;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;
use crate::sharing::holder;

/// Box that allocates a server's capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionHolder {
    /// This box.
    Own,
    /// Another box, by its id.
    Other(String),
}

/// What an admission request needs from the box on which it is made.
pub trait AdmissionContext {
    /// Milliseconds on the monotonic clock of this process.
    fn now_ms(&self) -> Millis;

    /// State of this box's pending admission requests.
    fn sharing(&self) -> &Sharing;

    /// Whether requests need the holder's admission at a server: the holder reported it as scarce
    /// recently, or all its slots are taken as far as this box knows. The latter covers a surge,
    /// which begins faster than holders report.
    fn is_scarce(&self, server: &Server) -> bool;

    /// Box that allocates a server's capacity; `None` if no box holds the server.
    fn admission_holder(&self, server: &Server) -> Option<AdmissionHolder>;

    /// Sends an admission request. The reply is delivered through [`Sharing::deliver_reply`].
    fn send_request(
        &self,
        holder: &AdmissionHolder,
        server: &Rc<Server>,
        part: AdmissionRequestPart,
    );
}

impl AdmissionContext for Node {
    fn now_ms(&self) -> Millis {
        self.now_ms()
    }

    fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    fn is_scarce(&self, server: &Server) -> bool {
        let now_ms = self.now_ms();
        let is_reported = match self.held_server(server.key) {
            Some(held) => held.admission.borrow().is_scarce(),
            None => server.view.borrow().is_scarce(now_ms),
        };
        is_reported || server.running(now_ms) >= server.record().slots.max(1)
    }

    fn admission_holder(&self, server: &Server) -> Option<AdmissionHolder> {
        if self.held_server(server.key).is_some() {
            return Some(AdmissionHolder::Own);
        }
        self.holder_of(server).map(AdmissionHolder::Other)
    }

    fn send_request(
        &self,
        admission_holder: &AdmissionHolder,
        server: &Rc<Server>,
        part: AdmissionRequestPart,
    ) {
        match admission_holder {
            AdmissionHolder::Own => holder::handle_own_request(self, server, part),
            AdmissionHolder::Other(holder) => {
                self.outbox.post(holder, FramePart::AdmissionRequest(part))
            }
        }
    }
}
