//! Child processes of a scenario, each signalled by its process id.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Interval between polls for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Unit of the CPU times in `/proc/PID/stat`: clock ticks per second on Linux.
const TICKS_PER_S: u64 = 100;

/// Number of the latest log lines of each process that are kept in memory.
const MAX_LOG_LINES: usize = 400;

/// Why a process could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program could not be executed.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Its log file could not be opened.
    #[error("{path}: {source}")]
    LogFile {
        /// The file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// It did not print its address.
    #[error("{name} exited before it printed its address")]
    NoAddress {
        /// Name of the process.
        name: String,
    },
}

/// A child process, killed on drop.
pub struct Process {
    child: Child,
    frozen: bool,
    exited: bool,
    log_lines: Arc<Mutex<Vec<String>>>,
    /// Words of its first output line: `listening ADDRESS`, and `control ADDRESS` for a box.
    pub startup_words: Vec<String>,
}

impl Process {
    /// Starts a program and waits for its first output line; its log is appended to `log_file`, if
    /// given.
    ///
    /// # Errors
    /// Returns a [`ProcessError`] if it does not start or does not print its address.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        log_file: Option<&Path>,
    ) -> Result<Self, ProcessError> {
        let log_file = log_file.map(open_log).transpose()?;
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| ProcessError::Start {
                program: program.display().to_string(),
                source,
            })?;
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            collect_lines(stderr, &log_lines, log_file);
        }
        let mut first_line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let _ = BufReader::new(stdout).read_line(&mut first_line);
        }
        let startup_words: Vec<String> = first_line.split_whitespace().map(str::to_owned).collect();
        let process = Self {
            child,
            frozen: false,
            exited: false,
            log_lines,
            startup_words,
        };
        if process.startup_words.len() < 2 {
            return Err(ProcessError::NoAddress {
                name: name.to_owned(),
            });
        }
        Ok(process)
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> &str {
        &self.startup_words[1]
    }

    /// Kills it with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.exited = true;
    }

    /// Suspends it with SIGSTOP until it is woken.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        self.frozen = true;
    }

    /// Returns whether it was killed or its exit was awaited.
    pub fn has_exited(&self) -> bool {
        self.exited
    }

    /// Resumes it with SIGCONT.
    pub fn wake(&mut self) {
        self.signal(Signal::CONT);
        self.frozen = false;
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Waits for its exit; returns `None` after the timeout.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.exited = true;
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the CPU time used so far in milliseconds, from `/proc/PID/stat`, see proc(5).
    pub fn cpu_ms(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The program name is in parentheses and may contain spaces.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // utime and stime.
        let ticks = [11, 12]
            .iter()
            .filter_map(|index| fields.get(*index)?.parse::<u64>().ok());
        ticks.sum::<u64>() * 1_000 / TICKS_PER_S
    }

    /// Returns the resident memory in KiB, from `/proc/PID/status`, see proc(5).
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Returns the latest log lines.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.frozen {
            self.wake();
        }
        self.kill();
    }
}

fn open_log(path: &Path) -> Result<File, ProcessError> {
    let opened = File::options().create(true).append(true).open(path);
    opened.map_err(|source| ProcessError::LogFile {
        path: path.display().to_string(),
        source,
    })
}

/// Collects log lines in memory, and in a file if given, on a thread of their own.
fn collect_lines(
    stream: impl Read + Send + 'static,
    log_lines: &Arc<Mutex<Vec<String>>>,
    mut log_file: Option<File>,
) {
    let log_lines = Arc::clone(log_lines);
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if let Some(file) = &mut log_file {
                let _ = writeln!(file, "{line}");
            }
            let mut log_lines = log_lines.lock().unwrap_or_else(PoisonError::into_inner);
            log_lines.push(line);
            if log_lines.len() > MAX_LOG_LINES {
                log_lines.remove(0);
            }
        }
    });
}

/// Returns the path of a program in the build directory of the current one.
pub fn sibling_program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.pop();
    // Test programs are in a subfolder of the folder of the binaries.
    if path.ends_with("deps") {
        path.pop();
    }
    path.push(name);
    path
}
