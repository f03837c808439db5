//! Structured log lines: one JSON object for each decision or change of state.
//!
//! Lines go through a bounded queue to a writer thread, so that a stalled reader of standard
//! output does not block the box. Lines that do not fit into the queue are dropped and counted;
//! the next line that is written carries the count.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::SystemTime;

use log::{LevelFilter, Record};
use serde::Serialize;

use crate::error::GatewayError;

/// Capacity of the queue to the writer; about one second of lines on a busy box.
const QUEUE_CAPACITY: usize = 2_048;

/// Names of the parts of a box, used as log targets.
pub mod part {
    /// Start, stop and settings.
    pub const NODE: &str = "node";
    /// Requests of callers.
    pub const FRONT: &str = "front";
    /// State of servers.
    pub const SERVERS: &str = "servers";
    /// State of boxes.
    pub const MEMBERS: &str = "members";
    /// Configuration and named versions.
    pub const CONFIG: &str = "config";
    /// The key-value store.
    pub const STORE: &str = "store";
    /// Claims on servers and orders to them.
    pub const ORDERS: &str = "orders";
}

/// Sends log lines to standard output.
///
/// # Errors
/// When logging was set up before.
pub fn set_up(level: LevelFilter) -> Result<(), GatewayError> {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        sender,
        dropped: Arc::clone(&dropped),
    };
    thread::spawn(move || write_lines(&receiver));
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, _| out.finish(format_args!("{message}")))
        .chain(fern::Output::call(move |record| queue.push(record)))
        .apply()?;
    Ok(())
}

struct Queue {
    sender: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    fn push(&self, record: &Record<'_>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = format_line(record, dropped);
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}

fn write_lines(receiver: &Receiver<String>) {
    let mut out = io::stdout().lock();
    while let Ok(line) = receiver.recv() {
        if out.write_all(line.as_bytes()).is_err() {
            return;
        }
    }
}

fn format_line(record: &Record<'_>, dropped: u64) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let dropped = match dropped {
        0 => String::new(),
        count => format!(",\"dropped_lines\":{count}"),
    };
    format!(
        "{{\"time\":\"{time}\",\"level\":\"{}\",\"part\":\"{}\"{dropped},{}}}\n",
        record.level(),
        record.target(),
        record.args(),
    )
}

/// The fields of one line, without the braces around them.
fn fields<T: Serialize>(event: &T) -> String {
    let text = serde_json::to_string(event).unwrap_or_default();
    let inner = text
        .strip_prefix('{')
        .and_then(|text| text.strip_suffix('}'));
    inner.unwrap_or_default().to_string()
}

/// Logs one event of a part: the event's name, then its fields.
pub fn emit<T: Serialize>(
    part: &'static str,
    level: log::Level,
    event: &'static str,
    fields_of: &T,
) {
    if !log::log_enabled!(target: part, level) {
        return;
    }
    let fields = fields(fields_of);
    let comma = if fields.is_empty() { "" } else { "," };
    log::log!(target: part, level, "\"event\":\"{event}\"{comma}{fields}");
}
