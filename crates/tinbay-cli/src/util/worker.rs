//! A thread that runs asynchronous work for synchronous code.

use std::future::Future;
use std::pin::Pin;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;

use tokio::sync::mpsc;

type LocalWork = Pin<Box<dyn Future<Output = ()>>>;
type Start = Box<dyn FnOnce() -> LocalWork + Send>;

/// Runs asynchronous work on a thread of its own.
pub struct Worker {
    starts: Option<mpsc::UnboundedSender<Start>>,
    thread: Option<JoinHandle<()>>,
}

/// Work that goes on in the background.
pub struct Background<T> {
    result: std_mpsc::Receiver<T>,
}

impl<T> Background<T> {
    /// Waits for the result; nothing if the work was dropped.
    pub fn wait(self) -> Option<T> {
        self.result.recv().ok()
    }
}

impl Default for Worker {
    fn default() -> Self {
        Self::start()
    }
}

impl Worker {
    /// Starts the thread.
    pub fn start() -> Self {
        let (starts, mut receiver) = mpsc::unbounded_channel::<Start>();
        let thread = std::thread::spawn(move || {
            let system = ntex::rt::System::new("worker", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                while let Some(start) = receiver.recv().await {
                    ntex::rt::spawn(start());
                }
            });
        });
        Self {
            starts: Some(starts),
            thread: Some(thread),
        }
    }

    /// Starts work and returns at once.
    pub fn spawn<F, W, T>(&self, work: F) -> Background<T>
    where
        F: FnOnce() -> W + Send + 'static,
        W: Future<Output = T> + 'static,
        T: Send + 'static,
    {
        let (sender, result) = std_mpsc::channel();
        let start: Start = Box::new(move || {
            Box::pin(async move {
                let _ = sender.send(work().await);
            })
        });
        if let Some(starts) = &self.starts {
            let _ = starts.send(start);
        }
        Background { result }
    }

    /// Runs work and waits for its result; nothing if the thread has ended.
    pub fn run<F, W, T>(&self, work: F) -> Option<T>
    where
        F: FnOnce() -> W + Send + 'static,
        W: Future<Output = T> + 'static,
        T: Send + 'static,
    {
        self.spawn(work).wait()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.starts = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
