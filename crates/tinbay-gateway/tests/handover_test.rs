//! Handovers of a streaming answer from one fake server to another.

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
    handover_answer: RefCell<Option<HandoverAnswer>>,
    target_accepts: bool,
    source_accepts: bool,
    loses_answers: bool,
    is_handover_requested: Cell<bool>,
    /// Calls to resume the run, each with the id of the last event received.
    resume_calls: RefCell<Vec<(ResumeServer, u64)>>,
    /// Handles of the copies that were freed.
    freed: RefCell<Vec<String>>,
    /// Whether answers to resume calls wait for `answer_released`.
    delays_answer: bool,
    answer_released: Notify,
}

impl HandoverActions for FakeServers {
    type Answer = ResumeServer;

    fn find_target(&self) -> LocalFuture<'_, bool> {
        Box::pin(async { self.has_target })
    }

    fn request_handover(&self) -> LocalFuture<'_, HandoverAnswer> {
        Box::pin(async {
            self.is_handover_requested.set(true);
            self.handover_answer
                .take()
                .unwrap_or(HandoverAnswer::Unknown)
        })
    }

    fn resume<'a>(
        &'a self,
        at: ResumeServer,
        _handle: &'a str,
        last_id: u64,
    ) -> LocalFuture<'a, Resumed<ResumeServer>> {
        Box::pin(async move {
            self.resume_calls.borrow_mut().push((at, last_id));
            if self.delays_answer {
                self.answer_released.notified().await;
            }
            let accepts = match at {
                ResumeServer::Target => self.target_accepts,
                ResumeServer::Source => self.source_accepts,
            };
            match (accepts, self.loses_answers) {
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

/// Returns a gate that has received one event and half of another.
fn gate_amid_event() -> Rc<EventGate> {
    let gate = Rc::new(EventGate::default());
    let passed = gate.pass(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&passed[..], b"id: 1\ndata: a\n\n");
    gate
}

async fn run(servers: &FakeServers, gate: &EventGate) -> Outcome<ResumeServer> {
    let ending_source_stream = async {
        while !servers.is_handover_requested.get() {
            tokio::task::yield_now().await;
        }
        gate.record_cut_off();
    };
    let driving = drive(servers, gate);
    let (outcome, ()) = tokio::join!(driving, ending_source_stream);
    outcome
}

#[tokio::test(flavor = "current_thread")]
async fn drive_resumes_at_the_target() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: copied(),
        target_accepts: true,
        ..FakeServers::default()
    };
    let outcome = run(&servers, &gate).await;
    let at = ResumeServer::Target;
    assert_eq!(outcome, Outcome::Continued { at, answer: at });
    assert_eq!(*servers.resume_calls.borrow(), [(ResumeServer::Target, 1)]);
    assert!(servers.freed.borrow().is_empty());
    let next = gate.pass(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
}

/// An event of the source that arrives while a server is asked to resume after the one before it
/// would come twice.
#[tokio::test(flavor = "current_thread")]
async fn drive_relays_nothing_of_the_source_while_a_server_resumes() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: copied(),
        target_accepts: true,
        delays_answer: true,
        ..FakeServers::default()
    };
    assert!(!gate.is_sealed());
    let asking = async {
        while servers.resume_calls.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        let is_sealed = gate.is_sealed();
        servers.answer_released.notify_one();
        is_sealed
    };
    let (outcome, is_sealed) = tokio::join!(run(&servers, &gate), asking);
    let at = ResumeServer::Target;
    assert_eq!(outcome, Outcome::Continued { at, answer: at });
    assert!(is_sealed);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_target_declines_and_the_source_resumes() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: copied(),
        source_accepts: true,
        ..FakeServers::default()
    };
    let outcome = run(&servers, &gate).await;
    let at = ResumeServer::Source;
    assert_eq!(outcome, Outcome::Continued { at, answer: at });
    let expected = [(ResumeServer::Target, 1), (ResumeServer::Source, 1)];
    assert_eq!(*servers.resume_calls.borrow(), expected);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_both_decline_and_the_copy_is_freed() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: copied(),
        ..FakeServers::default()
    };
    assert_eq!(run(&servers, &gate).await, Outcome::Lost);
    assert_eq!(*servers.freed.borrow(), ["h1"]);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_lost_answer_tries_no_other_server() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: copied(),
        target_accepts: true,
        source_accepts: true,
        loses_answers: true,
        ..FakeServers::default()
    };
    assert_eq!(run(&servers, &gate).await, Outcome::Lost);
    assert_eq!(*servers.resume_calls.borrow(), [(ResumeServer::Target, 1)]);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_without_a_target_requests_no_handover() {
    let gate = gate_amid_event();
    let servers = FakeServers::default();
    assert_eq!(drive(&servers, &gate).await, Outcome::Stayed);
    assert!(!servers.is_handover_requested.get());
    assert!(!gate.record_cut_off());
}

#[tokio::test(flavor = "current_thread")]
async fn drive_source_that_does_not_stop_continues() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: RefCell::new(Some(HandoverAnswer::NotStopped)),
        ..FakeServers::default()
    };
    assert_eq!(drive(&servers, &gate).await, Outcome::Stayed);
    assert!(servers.resume_calls.borrow().is_empty());
    assert!(!gate.record_cut_off());
}

/// The caller disconnects after the run was copied and before it is resumed. The copy must not stay
/// at the servers.
#[tokio::test(flavor = "current_thread")]
async fn drive_caller_disconnects_and_the_copy_is_freed() {
    let gate = gate_amid_event();
    let servers = FakeServers {
        has_target: true,
        handover_answer: copied(),
        delays_answer: true,
        ..FakeServers::default()
    };
    {
        let driving = run(&servers, &gate);
        let resume_called = async {
            while servers.resume_calls.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = driving => panic!("the handover ended before the answer was released"),
            () = resume_called => {}
        }
    }
    assert_eq!(*servers.freed.borrow(), ["h1"]);
}

#[test]
fn event_gate_open_passes_all_bytes() {
    let gate = EventGate::default();
    assert!(gate.pass(Bytes::from_static(b"id: 1\nda")).is_empty());
    assert_eq!(&gate.open()[..], b"id: 1\nda");
    assert_eq!(&gate.pass(Bytes::from_static(b"ta"))[..], b"ta");
}

/// Longer than any event that is held back.
const ENDLESS_BYTES: usize = 1_000_000;

/// Guards against an event without end that is kept whole: it took all memory of its box.
#[test]
fn event_gate_without_end_of_event_holds_little() {
    let gate = EventGate::default();
    let chunk = Bytes::from(vec![b'x'; 16_384]);
    let mut passed = 0;
    let mut received = 0;
    while received < ENDLESS_BYTES {
        received += chunk.len();
        passed += gate.pass(chunk.clone()).len();
        assert!(
            received - passed < 100_000,
            "{received} received, {passed} passed"
        );
    }
    assert!(gate.is_open());
}

/// Bytes that were passed on of an incomplete event can't be taken back, so no server may resume.
#[tokio::test(flavor = "current_thread")]
async fn drive_event_without_end_requests_no_handover() {
    let gate = gate_amid_event();
    let passed = gate.pass(Bytes::from(vec![b'x'; ENDLESS_BYTES]));
    assert_eq!(passed.len(), ENDLESS_BYTES + "id: 2\nda".len());
    let servers = FakeServers {
        has_target: true,
        ..FakeServers::default()
    };
    assert_eq!(drive(&servers, &gate).await, Outcome::Stayed);
    assert!(!servers.is_handover_requested.get());
}

/// During a handover nothing of an incomplete event may be passed on; reading pauses instead.
#[test]
fn event_gate_has_no_room_for_an_endless_event_during_a_handover() {
    let gate = gate_amid_event();
    gate.begin_handover();
    assert!(gate.has_room());
    assert!(gate.pass(Bytes::from(vec![b'x'; ENDLESS_BYTES])).is_empty());
    assert!(!gate.has_room());
    gate.end_handover();
    assert_eq!(gate.open().len(), ENDLESS_BYTES + "id: 2\nda".len());
    assert!(gate.has_room());
}
