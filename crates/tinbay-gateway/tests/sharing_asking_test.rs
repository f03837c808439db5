//! Asking the holder of a server for room, with a holder that answers, is lost, or is silent.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

use tinbay_core::serving::servers::{ServerRecord, ServerState};
use tinbay_core::units::Millis;
use tinbay_gateway::clock::Clock;
use tinbay_gateway::servers::{Server, ServerTable};
use tinbay_gateway::sharing::Sharing;
use tinbay_gateway::sharing::asking::{RoomAnswered, RoomWish, ask};
use tinbay_gateway::sharing::links::{RoomHolder, RoomLinks};
use tinbay_gateway::sharing::messages::{RoomRequestPart, RoomWord, RoomWordPart};
use tinbay_gateway::sharing::taken::RoomOutcome;

const WISH: RoomWish = RoomWish {
    account: 1,
    rank: 0,
    units: 100,
    reading_ms: 5,
    in_time_ms: 500,
    digest: 9,
};

/// A box whose holder says a word to each question in turn, and then nothing.
struct FakeLinks {
    sharing: Sharing,
    is_scarce: bool,
    words: RefCell<Vec<Option<RoomWord>>>,
    asked: Cell<u32>,
    numbers: RefCell<Vec<u32>>,
    now_ms: Cell<Millis>,
}

impl FakeLinks {
    fn new(words: &[Option<RoomWord>]) -> Self {
        Self {
            sharing: Sharing::default(),
            is_scarce: true,
            words: RefCell::new(words.iter().rev().copied().collect()),
            asked: Cell::new(0),
            numbers: RefCell::default(),
            now_ms: Cell::new(1_000),
        }
    }
}

impl RoomLinks for FakeLinks {
    fn now_ms(&self) -> Millis {
        self.now_ms.get()
    }

    fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    fn is_scarce(&self, _server: &Server) -> bool {
        self.is_scarce
    }

    fn room_holder(&self, _server: &Server) -> Option<RoomHolder> {
        Some(RoomHolder::Other("holder".to_string()))
    }

    fn ask(&self, _holder: &RoomHolder, _server: &Rc<Server>, part: RoomRequestPart) {
        self.asked.set(self.asked.get() + 1);
        self.numbers.borrow_mut().push(part.number);
        let number = part.number;
        if let Some(Some(word)) = self.words.borrow_mut().pop() {
            self.sharing.take_word(RoomWordPart { number, word });
        }
    }
}

fn server() -> Rc<Server> {
    let mut table = ServerTable::new(Clock::start());
    table.put(ServerRecord {
        id: "i-1".to_string(),
        born_ms: Some(1),
        service: "engine".to_string(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z1".to_string(),
        slots: 4,
        state: ServerState::Ready,
        remaining_ms: None,
        slow_for_ms: 0,
        order_count: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    });
    table.get("i-1").expect("it is there")
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.expect("a runtime").block_on(future)
}

fn outcome(answered: Option<RoomAnswered>) -> Option<(RoomOutcome, Option<Millis>)> {
    answered.map(|answered| (answered.outcome, answered.turn_in_ms))
}

#[test]
fn ask_plenty_asks_nothing() {
    let links = FakeLinks {
        is_scarce: false,
        ..FakeLinks::new(&[])
    };
    assert_eq!(run(ask(&links, &server(), WISH)), None);
    assert_eq!(links.asked.get(), 0);
}

#[test]
fn ask_let_in_and_turned_away() {
    let turned_away = RoomWord::TurnedAway { turn_in_ms: 700 };
    let links = FakeLinks::new(&[Some(RoomWord::LetIn), Some(turned_away)]);
    let first = run(ask(&links, &server(), WISH));
    assert_eq!(outcome(first), Some((RoomOutcome::Holder, None)));
    let second = run(ask(&links, &server(), WISH));
    let expected = Some((RoomOutcome::TurnedAway, Some(700)));
    assert_eq!(outcome(second), expected);
}

/// A question whose answer is lost is asked again under its number, also after the holder had it wait.
#[test]
fn ask_lost_message_is_asked_again() {
    let links = FakeLinks::new(&[None, Some(RoomWord::Waits), None, Some(RoomWord::LetIn)]);
    let answered = run(ask(&links, &server(), WISH));
    assert_eq!(outcome(answered), Some((RoomOutcome::Holder, None)));
    assert_eq!(*links.numbers.borrow(), vec![1; 4]);
}

/// Without a holder a box has one request at a time at the server, asks no more for a while and then again.
#[test]
fn ask_silent_holder_own_part() {
    let links = FakeLinks::new(&[]);
    let server = server();
    let first = run(ask(&links, &server, WISH));
    assert_eq!(outcome(first), Some((RoomOutcome::OwnPart, None)));
    let asked = links.asked.get();
    let running = server.begin_request(Some(7), 100);
    let second = run(ask(&links, &server, WISH)).expect("an answer");
    assert_eq!(second.outcome, RoomOutcome::NoAnswer);
    assert!(second.turn_in_ms > Some(0));
    assert_eq!(links.asked.get(), asked);
    drop(running);
    links.now_ms.set(3_000);
    links.words.borrow_mut().push(Some(RoomWord::LetIn));
    let third = run(ask(&links, &server, WISH));
    assert_eq!(outcome(third), Some((RoomOutcome::Holder, None)));
}

/// A box that is taken for the holder and is not.
#[test]
fn ask_not_held_own_part() {
    let links = FakeLinks::new(&[Some(RoomWord::NotHeld)]);
    let answered = run(ask(&links, &server(), WISH));
    assert_eq!(outcome(answered), Some((RoomOutcome::OwnPart, None)));
    assert_eq!(links.asked.get(), 1);
}

/// A holder that has a request wait and never decides: it is not waited for beyond what the request can bear.
#[test]
fn ask_holder_never_decides_own_part() {
    let links = FakeLinks::new(&[Some(RoomWord::Waits); 50]);
    let answered = run(ask(&links, &server(), WISH));
    assert_eq!(outcome(answered), Some((RoomOutcome::OwnPart, None)));
    let in_time_ms = u32::try_from(WISH.in_time_ms).expect("a short time");
    assert!(links.asked.get() <= in_time_ms / 100 + 3);
}

/// Words that nobody waits for any more change nothing.
#[test]
fn take_word_late_or_unknown_is_passed_over() {
    let links = FakeLinks::new(&[Some(RoomWord::LetIn), Some(RoomWord::LetIn)]);
    run(ask(&links, &server(), WISH));
    for number in [1, 77] {
        for word in [RoomWord::LetIn, RoomWord::Waits, RoomWord::NotHeld] {
            links.sharing.take_word(RoomWordPart { number, word });
        }
    }
    let answered = run(ask(&links, &server(), WISH));
    assert_eq!(outcome(answered), Some((RoomOutcome::Holder, None)));
}
