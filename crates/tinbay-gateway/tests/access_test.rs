//! What answers of the store tell of its era.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;
use tinbay_gateway::clock::Clock;
use tinbay_gateway::port::store::{
    Answered, Changes, Item, Lease, Listing, Store, StoreError, StoreResult, Transaction,
};
use tinbay_gateway::watch::access::StoreAccess;

/// What the next answers name; one beyond them names no era.
#[derive(Debug, Clone, Default)]
struct Eras(Rc<RefCell<VecDeque<Next>>>);

/// The next answer.
#[derive(Debug, Clone, Copy)]
enum Next {
    Names(Option<Era>),
    IsLost,
}

impl Eras {
    fn name(&self, eras: &[Option<u64>]) {
        let eras = eras.iter().map(|era| Next::Names(era.map(Era)));
        self.0.borrow_mut().extend(eras);
    }

    fn lose(&self, count: usize) {
        let lost = std::iter::repeat_n(Next::IsLost, count);
        self.0.borrow_mut().extend(lost);
    }

    fn answer<T>(&self, value: impl FnOnce(Era) -> T) -> Answered<T> {
        let next = self.0.borrow_mut().pop_front();
        let era = match next.unwrap_or(Next::Names(None)) {
            Next::Names(era) => era,
            Next::IsLost => {
                let result = Err(StoreError::NoAnswer);
                return Answered { era: None, result };
            }
        };
        let result = Ok(value(era.unwrap_or_default()));
        Answered { era, result }
    }
}

/// A store that does everything, in the era it is told to name.
struct Named(Eras);

impl Store for Named {
    fn read<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Answered<Option<Item>>> {
        async { self.0.answer(|_| None) }.boxed_local()
    }

    fn list<'a>(&'a self, _: &'a str, _: bool) -> LocalBoxFuture<'a, Answered<Listing>> {
        async { self.0.answer(|_| Listing::default()) }.boxed_local()
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
    let access = StoreAccess::new(Box::new(Named(eras.clone())), Clock::start());
    (access, eras)
}

fn now<T>(work: impl Future<Output = StoreResult<T>>) -> StoreResult<T> {
    work.now_or_never().expect("the store answers at once")
}

/// Notes an era by the first answer at hand.
fn see(access: &StoreAccess, eras: &Eras, era: u64) {
    eras.name(&[Some(era)]);
    now(access.read("k")).expect("an answer");
}

#[test]
fn take_first_answer_of_a_later_era_is_a_return() {
    let (access, eras) = access();
    see(&access, &eras, 3);
    assert!(access.take_return().is_none());
    see(&access, &eras, 4);
    let seen = access.take_return().expect("a return");
    assert_eq!((seen.from, seen.to), (Era(3), Era(4)));
    assert!(access.take_return().is_none());
    assert!(access.is_being_rewritten());
}

#[test]
fn take_answer_of_an_earlier_era_is_dropped() {
    let (access, eras) = access();
    see(&access, &eras, 4);
    eras.name(&[Some(3)]);
    let late = now(access.list("p/", false));
    assert_eq!(late, Err(StoreError::LateAnswer { era: Era(3) }));
    assert_eq!(access.era(), Some(Era(4)));
}

#[test]
fn take_answer_without_an_era_after_one_with_it_is_malformed() {
    let (access, eras) = access();
    see(&access, &eras, 4);
    eras.name(&[None]);
    let answer = now(access.list("p/", false));
    assert!(
        matches!(answer, Err(StoreError::Malformed { .. })),
        "{answer:?}"
    );
}

/// A store that names no era is one that never came back, until it names one.
#[test]
fn take_answers_without_eras_then_with_one() {
    let (access, eras) = access();
    eras.name(&[None, None]);
    now(access.read("k")).expect("an answer");
    let lease = now(access.grant(1_000)).expect("a lease");
    assert_eq!(access.era(), None);
    assert!(access.is_present(lease.era));
    see(&access, &eras, 1);
    assert!(access.take_return().is_some());
    assert!(!access.is_present(lease.era));
}

#[test]
fn watch_from_another_era_is_not_asked() {
    let (access, eras) = access();
    see(&access, &eras, 2);
    let after = Position::new(Era(1), 5);
    let watched = now(access.watch("p/", after, 0, 0));
    assert_eq!(watched, Err(StoreError::HistoryGone));
}

/// The revision was given out again while the watch waited: what it brings is not what came after.
#[test]
fn watch_answered_in_another_era_is_gone() {
    let (access, eras) = access();
    see(&access, &eras, 1);
    eras.name(&[Some(2)]);
    let after = Position::new(Era(1), 5);
    let watched = now(access.watch("p/", after, 0, 0));
    assert_eq!(watched, Err(StoreError::HistoryGone));
    assert!(access.take_return().is_some());
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
    see(&access, &eras, 2);
    assert_eq!(
        now(access.commit(&transaction(1))),
        Err(StoreError::EraOver)
    );
    eras.name(&[Some(2)]);
    assert!(now(access.commit(&transaction(2))).is_ok());
}

/// The store came back while the transaction was on its way: it may have fitted another content.
#[test]
fn commit_done_in_another_era_is_not_taken_for_done() {
    let (access, eras) = access();
    see(&access, &eras, 1);
    eras.name(&[Some(2)]);
    assert_eq!(
        now(access.commit(&transaction(1))),
        Err(StoreError::EraOver)
    );
}

/// The number of a lease was given to another box.
#[test]
fn keep_lease_of_another_era_is_over() {
    let (access, eras) = access();
    eras.name(&[Some(1), Some(1)]);
    let lease = now(access.grant(1_000)).expect("a lease");
    assert!(now(access.keep(lease)).is_ok());
    eras.name(&[Some(2)]);
    assert_eq!(now(access.keep(lease)), Err(StoreError::LeaseOver));
    assert_eq!(now(access.keep(lease)), Err(StoreError::LeaseOver));
}

/// Another box saw a later era: the store is asked, and says so too.
#[test]
fn confirm_told_later_era_that_the_store_names() {
    let (access, eras) = access();
    see(&access, &eras, 1);
    eras.name(&[Some(2)]);
    let is_present = access.confirm_told(Era(2)).now_or_never();
    assert_eq!(is_present, Some(true));
    assert!(access.take_return().is_some());
}

/// One box's mistake moves no other one while the store can be asked.
#[test]
fn confirm_told_later_era_that_the_store_does_not_name() {
    let (access, eras) = access();
    see(&access, &eras, 1);
    eras.name(&[Some(1)]);
    let is_present = access.confirm_told(Era(9)).now_or_never();
    assert_eq!(is_present, Some(false));
    assert_eq!(access.era(), Some(Era(1)));
}

#[test]
fn confirm_told_earlier_era_is_over() {
    let (access, eras) = access();
    see(&access, &eras, 2);
    assert_eq!(access.confirm_told(Era(1)).now_or_never(), Some(false));
}

/// The store is out of reach, and the other box's word counts until it answers.
#[test]
fn confirm_told_counts_without_an_answer_until_there_is_one() {
    let (access, eras) = access();
    see(&access, &eras, 1);
    eras.lose(1);
    assert_eq!(access.confirm_told(Era(9)).now_or_never(), Some(true));
    see(&access, &eras, 1);
    assert_eq!(access.era(), Some(Era(1)));
}
