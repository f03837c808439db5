//! Handovers of a run between fake servers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use tinbay_core::handover::transitions::{HandoverAnswer, ResumeServer};
use tinbay_gateway::handover::drive::{HandoverActions, LocalFuture, Outcome, Resumed, drive};
use tinbay_gateway::handover::event_gate::EventGate;
use tokio::sync::Notify;

/// Servers with answers set by the test.
#[derive(Default)]
struct FakeServers {
    has_target: bool,
    move_answer: RefCell<Option<HandoverAnswer>>,
    target_takes_it: bool,
    source_takes_it: bool,
    answers_are_lost: bool,
    asked_to_move: Cell<bool>,
    asked: RefCell<Vec<(ResumeServer, u64)>>,
    freed: RefCell<Vec<String>>,
    holds_answer_back: bool,
    goes_on: Notify,
}

impl HandoverActions for FakeServers {
    type Answer = ResumeServer;

    fn find_target(&self) -> LocalFuture<'_, bool> {
        Box::pin(async { self.has_target })
    }

    fn request_handover(&self) -> LocalFuture<'_, HandoverAnswer> {
        Box::pin(async {
            self.asked_to_move.set(true);
            self.move_answer.take().unwrap_or(HandoverAnswer::Unknown)
        })
    }

    fn resume<'a>(
        &'a self,
        at: ResumeServer,
        _handle: &'a str,
        last_id: u64,
    ) -> LocalFuture<'a, Resumed<ResumeServer>> {
        Box::pin(async move {
            self.asked.borrow_mut().push((at, last_id));
            if self.holds_answer_back {
                self.goes_on.notified().await;
            }
            let takes_it = match at {
                ResumeServer::Target => self.target_takes_it,
                ResumeServer::Source => self.source_takes_it,
            };
            match (takes_it, self.answers_are_lost) {
                (_, true) => Resumed::Unknown,
                (true, _) => Resumed::Answering(at),
                (false, _) => Resumed::Declined,
            }
        })
    }

    fn free(&self, handle: &str) {
        self.freed.borrow_mut().push(handle.to_string());
    }
}

fn copied() -> RefCell<Option<HandoverAnswer>> {
    let handle = "h1".to_string();
    RefCell::new(Some(HandoverAnswer::Copied { handle }))
}

/// A gate that has received one event and half of another.
fn gate_amid_event() -> Rc<EventGate> {
    let gate = Rc::new(EventGate::default());
    let passed = gate.pass(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&passed[..], b"id: 1\ndata: a\n\n");
    gate
}

async fn run(servers: &FakeServers, gate: &EventGate) -> Outcome<ResumeServer> {
    let breaking_off = async {
        while !servers.asked_to_move.get() {
            tokio::task::yield_now().await;
        }
        gate.note_broken_off();
    };
    let driving = drive(servers, gate);
    let (outcome, ()) = tokio::join!(driving, breaking_off);
    outcome
}

#[tokio::test(flavor = "current_thread")]
async fn drive_goes_on_at_the_target() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        target_takes_it: true,
        ..FakeServers::default()
    };
    let outcome = run(&servers, &gate).await;
    let at = ResumeServer::Target;
    assert_eq!(outcome, Outcome::GoesOn { at, answer: at });
    assert_eq!(*servers.asked.borrow(), [(ResumeServer::Target, 1)]);
    assert!(servers.freed.borrow().is_empty());
    let next = gate.pass(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
}

#[tokio::test(flavor = "current_thread")]
async fn drive_target_declines_and_the_source_takes_it_back() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        source_takes_it: true,
        ..FakeServers::default()
    };
    let outcome = run(&servers, &gate).await;
    let at = ResumeServer::Source;
    assert_eq!(outcome, Outcome::GoesOn { at, answer: at });
    let asked = [(ResumeServer::Target, 1), (ResumeServer::Source, 1)];
    assert_eq!(*servers.asked.borrow(), asked);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_nobody_takes_it_and_the_copy_is_freed() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        ..FakeServers::default()
    };
    assert_eq!(run(&servers, &gate).await, Outcome::Lost);
    assert_eq!(*servers.freed.borrow(), ["h1"]);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_lost_answer_asks_nobody_else() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        target_takes_it: true,
        source_takes_it: true,
        answers_are_lost: true,
        ..FakeServers::default()
    };
    assert_eq!(run(&servers, &gate).await, Outcome::Lost);
    assert_eq!(*servers.asked.borrow(), [(ResumeServer::Target, 1)]);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_without_a_target_asks_nothing() {
    let gate = gate_amid_event();
    let servers = FakeServers::default();
    assert_eq!(drive(&servers, &gate).await, Outcome::Stays);
    assert!(!servers.asked_to_move.get());
    assert!(!gate.note_broken_off());
}

#[tokio::test(flavor = "current_thread")]
async fn drive_source_that_does_not_stop_goes_on() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        move_answer: RefCell::new(Some(HandoverAnswer::NotStopped)),
        ..FakeServers::default()
    };
    assert_eq!(drive(&servers, &gate).await, Outcome::Stays);
    assert!(servers.asked.borrow().is_empty());
    assert!(!gate.note_broken_off());
}

/// The caller leaves after the run was copied and before it is resumed: the copy is freed.
#[tokio::test(flavor = "current_thread")]
async fn drive_caller_leaves_midway_and_the_copy_is_freed() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        holds_answer_back: true,
        ..FakeServers::default()
    };
    {
        let driving = run(&servers, &gate);
        let asked = async {
            while servers.asked.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = driving => panic!("nobody goes on yet"),
            () = asked => {}
        }
    }
    assert_eq!(*servers.freed.borrow(), ["h1"]);
}

#[test]
fn event_gate_open_lets_everything_through() {
    let gate = EventGate::default();
    assert!(gate.pass(Bytes::from_static(b"id: 1\nda")).is_empty());
    assert_eq!(&gate.open()[..], b"id: 1\nda");
    assert_eq!(&gate.pass(Bytes::from_static(b"ta"))[..], b"ta");
}
