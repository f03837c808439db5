//! Wake-up of requests that wait until a server holds their adapter.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::servers::Fingerprint;
use tokio::sync::Notify;

/// Notifications for waiting requests, by adapter.
#[derive(Debug, Default)]
pub struct Waiters {
    by_adapter: RefCell<HashMap<Fingerprint, Rc<Notify>>>,
}

impl Waiters {
    /// The notification that fires when a server can serve the adapter.
    pub fn join(&self, adapter: AdapterKey) -> Rc<Notify> {
        let mut waiters = self.by_adapter.borrow_mut();
        Rc::clone(waiters.entry(adapter as Fingerprint).or_default())
    }

    /// Wakes all requests that wait for one of these adapters and removes their entries.
    pub fn wake(&self, ready: &[Fingerprint]) {
        let mut waiters = self.by_adapter.borrow_mut();
        for adapter in ready {
            if let Some(notify) = waiters.remove(adapter) {
                notify.notify_waiters();
            }
        }
    }

    /// Removes adapters that no request waits for.
    pub fn tidy(&self) {
        let mut waiters = self.by_adapter.borrow_mut();
        waiters.retain(|_, notify| Rc::strong_count(notify) > 1);
    }
}
