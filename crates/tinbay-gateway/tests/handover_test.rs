//! The course of a hand-over before fakes of the servers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use tinbay_core::handover::transitions::{MoveAnswer, Place};
use tinbay_gateway::handover::drive::{Doing, Outcome, Resumed, RunMover, drive};
use tinbay_gateway::handover::passage::Passage;
use tokio::sync::Notify;

/// Servers that answer as a test sets it.
#[derive(Default)]
struct FakeServers {
    has_target: bool,
    move_answer: RefCell<Option<MoveAnswer>>,
    target_takes_it: bool,
    source_takes_it: bool,
    answers_are_lost: bool,
    asked_to_move: Cell<bool>,
    asked: RefCell<Vec<(Place, u64)>>,
    freed: RefCell<Vec<String>>,
    holds_answer_back: bool,
    goes_on: Notify,
}

impl RunMover for FakeServers {
    type Answer = Place;

    fn find_target(&self) -> Doing<'_, bool> {
        Box::pin(async { self.has_target })
    }

    fn ask_move(&self) -> Doing<'_, MoveAnswer> {
        Box::pin(async {
            self.asked_to_move.set(true);
            self.move_answer.take().unwrap_or(MoveAnswer::Unknown)
        })
    }

    fn resume<'a>(
        &'a self,
        at: Place,
        _handle: &'a str,
        last_id: u64,
    ) -> Doing<'a, Resumed<Place>> {
        Box::pin(async move {
            self.asked.borrow_mut().push((at, last_id));
            if self.holds_answer_back {
                self.goes_on.notified().await;
            }
            let takes_it = match at {
                Place::Target => self.target_takes_it,
                Place::Source => self.source_takes_it,
            };
            match (takes_it, self.answers_are_lost) {
                (_, true) => Resumed::Unknown,
                (true, _) => Resumed::Goes(at),
                (false, _) => Resumed::Not,
            }
        })
    }

    fn free(&self, handle: &str) {
        self.freed.borrow_mut().push(handle.to_string());
    }
}

fn copied() -> RefCell<Option<MoveAnswer>> {
    let handle = "h1".to_string();
    RefCell::new(Some(MoveAnswer::Copied { handle }))
}

/// A passage through which an event and a half have come, and whose server breaks off when asked.
fn stopped_passage() -> Rc<Passage> {
    let passage = Rc::new(Passage::default());
    let passed = passage.pass(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&passed[..], b"id: 1\ndata: a\n\n");
    passage
}

async fn run(servers: &FakeServers, passage: &Passage) -> Outcome<Place> {
    let breaking_off = async {
        while !servers.asked_to_move.get() {
            tokio::task::yield_now().await;
        }
        passage.note_broken_off();
    };
    let driving = drive(servers, passage);
    let (outcome, ()) = tokio::join!(driving, breaking_off);
    outcome
}

#[tokio::test(flavor = "current_thread")]
async fn drive_goes_on_at_the_target() {
    let passage = stopped_passage();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        target_takes_it: true,
        ..FakeServers::default()
    };
    let outcome = run(&servers, &passage).await;
    let at = Place::Target;
    assert_eq!(outcome, Outcome::GoesOn { at, answer: at });
    assert_eq!(*servers.asked.borrow(), [(Place::Target, 1)]);
    assert!(servers.freed.borrow().is_empty());
    let next = passage.pass(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
}

#[tokio::test(flavor = "current_thread")]
async fn drive_target_declines_and_the_source_takes_it_back() {
    let passage = stopped_passage();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        source_takes_it: true,
        ..FakeServers::default()
    };
    let outcome = run(&servers, &passage).await;
    let at = Place::Source;
    assert_eq!(outcome, Outcome::GoesOn { at, answer: at });
    let asked = [(Place::Target, 1), (Place::Source, 1)];
    assert_eq!(*servers.asked.borrow(), asked);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_nobody_takes_it_and_the_copy_is_freed() {
    let passage = stopped_passage();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        ..FakeServers::default()
    };
    assert_eq!(run(&servers, &passage).await, Outcome::Lost);
    assert_eq!(*servers.freed.borrow(), ["h1"]);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_lost_answer_asks_nobody_else() {
    let passage = stopped_passage();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        target_takes_it: true,
        source_takes_it: true,
        answers_are_lost: true,
        ..FakeServers::default()
    };
    assert_eq!(run(&servers, &passage).await, Outcome::Lost);
    assert_eq!(*servers.asked.borrow(), [(Place::Target, 1)]);
}

#[tokio::test(flavor = "current_thread")]
async fn drive_without_a_target_asks_nothing() {
    let passage = stopped_passage();
    let servers = FakeServers::default();
    assert_eq!(drive(&servers, &passage).await, Outcome::Stays);
    assert!(!servers.asked_to_move.get());
    assert!(!passage.note_broken_off());
}

#[tokio::test(flavor = "current_thread")]
async fn drive_source_that_does_not_stop_goes_on() {
    let passage = stopped_passage();
    let servers = FakeServers {
        has_target: true,
        move_answer: RefCell::new(Some(MoveAnswer::NotStopped)),
        ..FakeServers::default()
    };
    assert_eq!(drive(&servers, &passage).await, Outcome::Stays);
    assert!(servers.asked.borrow().is_empty());
    assert!(!passage.note_broken_off());
}

/// The caller leaves while the run is between two servers: both ends are freed.
#[tokio::test(flavor = "current_thread")]
async fn drive_caller_leaves_midway_and_the_copy_is_freed() {
    let passage = stopped_passage();
    let servers = FakeServers {
        has_target: true,
        move_answer: copied(),
        holds_answer_back: true,
        ..FakeServers::default()
    };
    {
        let driving = run(&servers, &passage);
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
fn passage_open_lets_everything_through() {
    let passage = Passage::default();
    assert!(passage.pass(Bytes::from_static(b"id: 1\nda")).is_empty());
    assert_eq!(&passage.open()[..], b"id: 1\nda");
    assert_eq!(&passage.pass(Bytes::from_static(b"ta"))[..], b"ta");
}
