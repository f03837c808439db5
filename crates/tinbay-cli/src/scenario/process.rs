//! Processes a scenario starts and stops, each by its id.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How often a wait for a process looks.
const POLL: Duration = Duration::from_millis(10);

/// Clock ticks in a second, as Linux shows processor times.
const TICKS_PER_S: u64 = 100;

/// Log lines kept of each process for a failure's trace.
const KEPT_LINES: usize = 400;

/// Why a process could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It did not start.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// The system's words.
        source: std::io::Error,
    },
    /// The file for its log did not open.
    #[error("{path}: {source}")]
    LogFile {
        /// The file.
        path: String,
        /// The system's words.
        source: std::io::Error,
    },
    /// It ended before it said where it listens.
    #[error("{name} ended before it listened")]
    NoAddress {
        /// Its name.
        name: String,
    },
}

/// A process started by a scenario; it is killed when dropped.
pub struct Process {
    child: Child,
    frozen: bool,
    ended: bool,
    lines: Arc<Mutex<Vec<String>>>,
    /// The words of its first line: `listening ADDRESS ...`.
    pub first_line: Vec<String>,
}

impl Process {
    /// Starts a program and waits for its first line; its log is appended to `log_file`, if given.
    ///
    /// # Errors
    /// [`ProcessError`].
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
        let lines = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            keep_lines(stderr, &lines, log_file);
        }
        let mut first_line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let _ = BufReader::new(stdout).read_line(&mut first_line);
        }
        let first_line: Vec<String> = first_line.split_whitespace().map(str::to_owned).collect();
        let process = Self {
            child,
            frozen: false,
            ended: false,
            lines,
            first_line,
        };
        if process.first_line.len() < 2 {
            return Err(ProcessError::NoAddress {
                name: name.to_owned(),
            });
        }
        Ok(process)
    }

    /// Where it listens.
    pub fn address(&self) -> &str {
        &self.first_line[1]
    }

    /// Ends it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.ended = true;
    }

    /// Stops it from running until it is woken.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        self.frozen = true;
    }

    /// Whether it was ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Lets it run on.
    pub fn wake(&mut self) {
        self.signal(Signal::CONT);
        self.frozen = false;
    }

    /// Asks it to stop.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Waits for its end.
    pub fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.ended = true;
                return Some(status);
            }
            std::thread::sleep(POLL);
        }
        None
    }

    /// Processor time used so far, in milliseconds; from `/proc/PID/stat` (proc(5)).
    pub fn cpu_ms(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The program's name stands in parentheses and may hold spaces.
        let after = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks = [11, 12]
            .iter()
            .filter_map(|index| fields.get(*index)?.parse::<u64>().ok());
        ticks.sum::<u64>() * 1_000 / TICKS_PER_S
    }

    /// Resident memory in kibibytes; from `/proc/PID/status` (proc(5)).
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// The last log lines.
    pub fn log_lines(&self) -> Vec<String> {
        self.lines
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

fn keep_lines(
    stream: impl Read + Send + 'static,
    lines: &Arc<Mutex<Vec<String>>>,
    mut log_file: Option<File>,
) {
    let lines = Arc::clone(lines);
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if let Some(file) = &mut log_file {
                let _ = writeln!(file, "{line}");
            }
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(line);
            if lines.len() > KEPT_LINES {
                lines.remove(0);
            }
        }
    });
}

/// A program that was built beside this one.
pub fn sibling(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.pop();
    // Test programs stand one folder deeper than the binaries.
    if path.ends_with("deps") {
        path.pop();
    }
    path.push(name);
    path
}
