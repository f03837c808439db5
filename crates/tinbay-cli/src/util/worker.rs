//! Runs asynchronous tasks for synchronous code on a dedicated thread.

use std::future::Future;
use std::pin::Pin;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;

use tokio::sync::mpsc;

type LocalTask = Pin<Box<dyn Future<Output = ()>>>;
type Job = Box<dyn FnOnce() -> LocalTask + Send>;

/// A thread with an asynchronous runtime.
pub struct Worker {
    jobs: Option<mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

/// Handle of a task that runs in the background.
pub struct BackgroundTask<T> {
    result: std_mpsc::Receiver<T>,
}

impl<T> BackgroundTask<T> {
    /// Waits for the result; `None` if the task was dropped.
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
        let (jobs, mut receiver) = mpsc::unbounded_channel::<Job>();
        let thread = std::thread::spawn(move || {
            let system = ntex::rt::System::new("worker", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                while let Some(job) = receiver.recv().await {
                    ntex::rt::spawn(job());
                }
            });
        });
        Self {
            jobs: Some(jobs),
            thread: Some(thread),
        }
    }

    /// Spawns a task without waiting for it.
    pub fn spawn<F, W, T>(&self, task: F) -> BackgroundTask<T>
    where
        F: FnOnce() -> W + Send + 'static,
        W: Future<Output = T> + 'static,
        T: Send + 'static,
    {
        let (sender, result) = std_mpsc::channel();
        let job: Job = Box::new(move || {
            Box::pin(async move {
                let _ = sender.send(task().await);
            })
        });
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
        BackgroundTask { result }
    }

    /// Runs a task and waits for its result; `None` if the thread has ended.
    pub fn run<F, W, T>(&self, task: F) -> Option<T>
    where
        F: FnOnce() -> W + Send + 'static,
        W: Future<Output = T> + 'static,
        T: Send + 'static,
    {
        self.spawn(task).wait()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
