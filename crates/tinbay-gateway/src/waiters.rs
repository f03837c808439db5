//! Requests that wait until some server holds their adapter.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::servers::Fingerprint;
use tokio::sync::Notify;

/// Requests that wait, by the adapter they wait for.
#[derive(Debug, Default)]
pub struct Waiters {
    by_adapter: RefCell<HashMap<Fingerprint, Rc<Notify>>>,
}

impl Waiters {
    /// What is told when an adapter can serve somewhere.
    pub fn join(&self, adapter: AdapterKey) -> Rc<Notify> {
        let mut waiters = self.by_adapter.borrow_mut();
        Rc::clone(waiters.entry(adapter as Fingerprint).or_default())
    }

    /// Wakes all that wait for one of these adapters, and forgets them.
    pub fn wake(&self, ready: &[Fingerprint]) {
        let mut waiters = self.by_adapter.borrow_mut();
        for adapter in ready {
            if let Some(told) = waiters.remove(adapter) {
                told.notify_waiters();
            }
        }
    }

    /// Forgets adapters that nobody waits for any more.
    pub fn tidy(&self) {
        let mut waiters = self.by_adapter.borrow_mut();
        waiters.retain(|_, told| Rc::strong_count(told) > 1);
    }
}
