//! Finds out whether an answer that ended with its connection is complete.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tinbay_core::unframed::{ClosedBody, EarlyClose, find_early_close};

use super::inbound::InboundRequest;
use crate::handover::drive::LocalFuture;
use crate::http::connect::ProbeOutcome;
use crate::http::relay::CloseJudge;
use crate::links::check;
use crate::node::Node;
use crate::servers::{RunningRequest, Server};

/// Delay before the check. A process that ends closes its sockets one by one within a few
/// milliseconds.
const CHECK_DELAY: Duration = Duration::from_millis(2);

/// Time-out of one attempt to connect, or of one call; a server is at most a few milliseconds away.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Attempts, as a packet may be lost.
const CHECK_ATTEMPTS: usize = 2;

/// Judges the answer of a server by what it holds, its time, and whether the server still runs: a
/// process that ends closes its connections without an error, too.
pub struct ServerCloseJudge {
    node: Rc<Node>,
    inbound: Rc<InboundRequest>,
    running: Rc<RefCell<RunningRequest>>,
}

impl ServerCloseJudge {
    /// Creates the judge of a request's answer.
    pub fn new(
        node: &Rc<Node>,
        inbound: &Rc<InboundRequest>,
        running: &Rc<RefCell<RunningRequest>>,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            inbound: Rc::clone(inbound),
            running: Rc::clone(running),
        }
    }
}

impl CloseJudge for ServerCloseJudge {
    fn judge(&self, body: ClosedBody) -> LocalFuture<'static, Result<(), EarlyClose>> {
        let server = self.running.borrow().server();
        let sent = self.inbound.last_send.get();
        let deadline_ms = sent.map_or(self.inbound.time_up_ms, |sent| sent.time_up_ms);
        let early = find_early_close(&body, deadline_ms, self.node.now_ms());
        let node = Rc::clone(&self.node);
        Box::pin(async move {
            if let Some(early) = early {
                return Err(early);
            }
            check_running(&node, &server).await
        })
    }
}

/// Checks that a server that has closed a connection still runs. A new connection shows that, and
/// the next request uses it. A server that leaves may accept no new ones and is asked on an idle one.
async fn check_running(node: &Node, server: &Rc<Server>) -> Result<(), EarlyClose> {
    tokio::time::sleep(CHECK_DELAY).await;
    for _ in 0..CHECK_ATTEMPTS {
        match server.pool.open_idle(CHECK_TIMEOUT).await {
            ProbeOutcome::Takes => return Ok(()),
            ProbeOutcome::Refuses if server.is_leaving() => {
                if check::is_answered_on_idle(node, server, CHECK_TIMEOUT).await {
                    return Ok(());
                }
            }
            ProbeOutcome::Refuses => return Err(EarlyClose::ServerGone),
            ProbeOutcome::Silent => {}
        }
    }
    Err(EarlyClose::ServerUnreached)
}
