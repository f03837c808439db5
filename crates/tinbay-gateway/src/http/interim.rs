//! Limits the interim (1xx) responses before a response.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Most interim responses that are accepted before a response.
const MAX_INTERIM_RESPONSES: usize = 32;

/// Notices when a request gets too many interim responses.
#[derive(Debug, Default)]
pub struct InterimLimit {
    count: AtomicUsize,
    exceeded: Notify,
}

impl InterimLimit {
    /// Starts to count the interim responses to a request.
    pub fn of<B>(request: &mut Request<B>) -> Arc<Self> {
        let limit = Arc::new(Self::default());
        let counted = Arc::clone(&limit);
        on_informational(request, move |_| counted.record());
        limit
    }

    fn record(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are too many.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
