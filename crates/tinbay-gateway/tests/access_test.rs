//! How access to the store detects that the store was restored, by the era that its answers name.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;
use tinbay_gateway::clock::Clock;
use tinbay_gateway::port::store::{
    Answered, Changes, Item, Lease, Pages, Store, StoreError, StoreResult, Transaction,
};
use tinbay_gateway::watch::access::StoreAccess;

/// Queue of the store's next answers. An empty queue answers without an era.
#[derive(Debug, Clone, Default)]
struct Eras(Rc<RefCell<VecDeque<Next>>>);

/// How the store answers a call.
#[derive(Debug, Clone, Copy)]
enum Next {
    Answers(Option<Era>),
    NoAnswer,
}

impl Eras {
    fn queue_answers(&self, eras: &[Option<u64>]) {
        let eras = eras.iter().map(|era| Next::Answers(era.map(Era)));
        self.0.borrow_mut().extend(eras);
    }

    fn queue_lost_answers(&self, count: usize) {
        let lost = std::iter::repeat_n(Next::NoAnswer, count);
        self.0.borrow_mut().extend(lost);
    }

    fn answer<T>(&self, value: impl FnOnce(Era) -> T) -> Answered<T> {
        let next = self.0.borrow_mut().pop_front();
        let era = match next.unwrap_or(Next::Answers(None)) {
            Next::Answers(era) => era,
            Next::NoAnswer => {
                let result = Err(StoreError::NoAnswer);
                return Answered::new(None, result);
            }
        };
        let result = Ok(value(era.unwrap_or_default()));
        Answered::new(era, result)
    }
}

/// A store on which every call succeeds, in the era given by the queue.
struct FakeStore(Eras);

impl Store for FakeStore {
    fn read<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Answered<Option<Item>>> {
        async { self.0.answer(|_| None) }.boxed_local()
    }

    fn list<'a>(&'a self, _: &'a str, _: bool) -> LocalBoxFuture<'a, Answered<Pages>> {
        async { self.0.answer(|_| Pages::default()) }.boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        after: Revision,
        _: Millis,
        _: Millis,
    ) -> LocalBoxFuture<'a, Answered<Changes>> {
        let changes = move |era| Changes {
            changes: Vec::new(),
            at: Position::new(era, after + 1),
        };
        async move { self.0.answer(changes) }.boxed_local()
    }

    fn commit<'a>(&'a self, _: &'a Transaction) -> LocalBoxFuture<'a, Answered<Position>> {
        async { self.0.answer(|era| Position::new(era, 9)) }.boxed_local()
    }

    fn grant(&self, _: Millis) -> LocalBoxFuture<'_, Answered<Lease>> {
        async { self.0.answer(|era| Lease { era, id: 1 }) }.boxed_local()
    }

    fn keep(&self, _: u64) -> LocalBoxFuture<'_, Answered<()>> {
        async { self.0.answer(|_| ()) }.boxed_local()
    }
}

fn access() -> (StoreAccess, Eras) {
    let eras = Eras::default();
    let access = StoreAccess::new(Box::new(FakeStore(eras.clone())), Clock::start());
    (access, eras)
}

fn complete_now<T>(work: impl Future<Output = StoreResult<T>>) -> StoreResult<T> {
    work.now_or_never().expect("the store answers at once")
}

/// Reads from the store, which answers in `era`.
fn read_in_era(access: &StoreAccess, eras: &Eras, era: u64) {
    eras.queue_answers(&[Some(era)]);
    complete_now(access.read("k")).expect("an answer");
}

#[test]
fn take_first_answer_of_a_later_era_is_a_restore() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 3);
    assert!(access.next_restore().is_none());
    read_in_era(&access, &eras, 4);
    let seen = access.next_restore().expect("a restore");
    assert_eq!((seen.from, seen.to), (Era(3), Era(4)));
    assert!(access.next_restore().is_none());
    assert!(access.is_being_rewritten());
}

#[test]
fn take_answer_of_an_earlier_era_is_dropped() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 4);
    eras.queue_answers(&[Some(3)]);
    let late = complete_now(access.list("p/", false));
    assert_eq!(late, Err(StoreError::LateAnswer { era: Era(3) }));
    assert_eq!(access.era(), Some(Era(4)));
}

#[test]
fn take_answer_without_an_era_after_one_with_it_is_malformed() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 4);
    eras.queue_answers(&[None]);
    let answer = complete_now(access.list("p/", false));
    assert!(
        matches!(answer, Err(StoreError::Malformed { .. })),
        "{answer:?}"
    );
}

/// A store that names no era counts as never restored, until it names one.
#[test]
fn take_answers_without_eras_then_with_one() {
    let (access, eras) = access();
    eras.queue_answers(&[None, None]);
    complete_now(access.read("k")).expect("an answer");
    let lease = complete_now(access.grant(1_000)).expect("a lease");
    assert_eq!(access.era(), None);
    assert!(access.is_present(lease.era));
    read_in_era(&access, &eras, 1);
    assert!(access.next_restore().is_some());
    assert!(!access.is_present(lease.era));
}

#[test]
fn watch_from_another_era_is_not_sent() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 2);
    let after = Position::new(Era(1), 5);
    let watched = complete_now(access.watch("p/", after, 0, 0));
    assert_eq!(watched, Err(StoreError::HistoryGone));
}

/// The store was restored while the watch waited and reuses revisions, so the changes returned are
/// not those after the requested revision.
#[test]
fn watch_answered_in_another_era_is_history_gone() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 1);
    eras.queue_answers(&[Some(2)]);
    let after = Position::new(Era(1), 5);
    let watched = complete_now(access.watch("p/", after, 0, 0));
    assert_eq!(watched, Err(StoreError::HistoryGone));
    assert!(access.next_restore().is_some());
}

fn transaction(era: u64) -> Transaction {
    Transaction {
        expected: vec![("k".into(), Position::new(Era(era), 5))],
        ..Transaction::default()
    }
}

#[test]
fn commit_on_positions_of_another_era_is_not_sent() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 2);
    assert_eq!(
        complete_now(access.commit(&transaction(1))),
        Err(StoreError::EraChanged)
    );
    eras.queue_answers(&[Some(2)]);
    assert!(complete_now(access.commit(&transaction(2))).is_ok());
}

/// The store was restored while the transaction was in flight, so its conditions may have been met
/// by other content.
#[test]
fn commit_done_in_another_era_is_an_error() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 1);
    eras.queue_answers(&[Some(2)]);
    assert_eq!(
        complete_now(access.commit(&transaction(1))),
        Err(StoreError::EraChanged)
    );
}

/// A restored store may give the lease's number to another box.
#[test]
fn keep_lease_of_another_era_is_over() {
    let (access, eras) = access();
    eras.queue_answers(&[Some(1), Some(1)]);
    let lease = complete_now(access.grant(1_000)).expect("a lease");
    assert!(complete_now(access.keep(lease)).is_ok());
    eras.queue_answers(&[Some(2)]);
    assert_eq!(
        complete_now(access.keep(lease)),
        Err(StoreError::LeaseExpired)
    );
    assert_eq!(
        complete_now(access.keep(lease)),
        Err(StoreError::LeaseExpired)
    );
}

/// Another box reports a later era, and the store confirms it when asked.
#[test]
fn confirm_told_later_era_that_the_store_names() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 1);
    eras.queue_answers(&[Some(2)]);
    let is_present = access.verify_era(Era(2)).now_or_never();
    assert_eq!(is_present, Some(true));
    assert!(access.next_restore().is_some());
}

/// A wrong report by one box has no effect on others while the store is reachable.
#[test]
fn confirm_told_later_era_that_the_store_does_not_name() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 1);
    eras.queue_answers(&[Some(1)]);
    let is_present = access.verify_era(Era(9)).now_or_never();
    assert_eq!(is_present, Some(false));
    assert_eq!(access.era(), Some(Era(1)));
}

#[test]
fn confirm_told_earlier_era_is_over() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 2);
    assert_eq!(access.verify_era(Era(1)).now_or_never(), Some(false));
}

/// While the store is unreachable, another box's report counts until the store answers.
#[test]
fn confirm_told_counts_without_an_answer_until_there_is_one() {
    let (access, eras) = access();
    read_in_era(&access, &eras, 1);
    eras.queue_lost_answers(1);
    assert_eq!(access.verify_era(Era(9)).now_or_never(), Some(true));
    read_in_era(&access, &eras, 1);
    assert_eq!(access.era(), Some(Era(1)));
}
