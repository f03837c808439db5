//! What the cases do alike: the configuration, traffic, waiting, and the end of a run.

use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::boxes::Box;
use super::clients::{HOST, Random, resolve, stream};
use super::engine::{MODEL, SERVICE};
use super::record::Record;

pub const ZONES: [&str; 3] = ["ba-hall-a", "ba-hall-b", "ba-hall-c"];

/// The configuration of the sheet's engines, with one route for each path.
pub fn configuration(paths: &[&str]) -> String {
    configuration_of(7, 6_000, paths)
}

/// The same with a version and a time-out.
pub fn configuration_of(version: u64, timeout_ms: u64, paths: &[&str]) -> String {
    let route = |path: &&str| {
        format!(
            "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{path}\",\"kind\":\"streaming\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"targetGapMs\":400}}",
            path.trim_matches('/')
        )
    };
    let routes: Vec<String> = paths.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kvCapacityTokens\":219357,\"tokenKvBytes\":327680,\"linkMbps\":1100000.0,\"moves\":false,\"backups\":false,\"stride\":5,\"upperBound\":12,\"hostMb\":130000.0,\"diskMb\":380000.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\",\"weightsMb\":65100.0,\"loadS\":0.6,\"adapters\":3000,\"adapterMb\":12.0,\"warmS\":0.38,\"diskS\":0.49}}],\"weightsMb\":66600.0,\"adapterSlots\":16,\"loadsPerS\":9.3}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Waits until a condition holds; `None` if it does not in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> Option<()> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return Some(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

pub struct Traffic {
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    /// Clients that send requests for adapters of all popularities, some 100 a second.
    pub fn start(record: &Arc<Record>, boxes: &[Box]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let directories: Vec<_> = boxes.iter().map(|each| (each.directory, each.zone.clone())).collect();
        let threads = (0..12)
            .map(|number: u64| {
                let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
                let directories = directories.clone();
                thread::spawn(move || {
                    let mut random = Random::new(number + 11);
                    let mut known = Vec::new();
                    let mut resolved: Option<Instant> = None;
                    while !is_over.load(Ordering::SeqCst) {
                        if resolved.is_none_or(|at| at.elapsed() > Duration::from_secs(2)) {
                            let (directory, zone) =
                                &directories[random.below(directories.len() as u64) as usize];
                            let answer = resolve(*directory, zone);
                            if !answer.is_empty() {
                                known = answer;
                                resolved = Some(Instant::now());
                            }
                        }
                        if !known.is_empty() {
                            let front = known[random.below(known.len() as u64) as usize];
                            stream(&record, front, "/fast/", random.below(400), 5_000);
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                })
            })
            .collect();
        Self { is_over, threads }
    }

    pub fn stop(self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// A listener at a loopback address of its own.
pub fn listener(third: u8, fourth: u8) -> TcpListener {
    TcpListener::bind((Ipv4Addr::new(127, 8, third, fourth), 0)).expect("a free port")
}

/// Runs a case in the folder named by the first argument and ends the process: 0 if the rule held, 1
/// if it was broken, 2 if the case couldn't run.
pub fn play(run: impl FnOnce(&Path, &Path, bool) -> Result<bool, String>) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("tinbay-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let result = run(&folder, &temporary, has_trouble);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            println!("could not run: {reason}");
            2
        }
    });
}
