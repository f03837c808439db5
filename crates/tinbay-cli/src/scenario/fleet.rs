//! The processes of a scenario and the actions on them.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tinbay_core::ids::{BoxId, ModelRef, ZoneId};
use tinbay_core::view::BoxState;
use tinbay_http::client::{get_json, get_text, post_json};
use tinbay_standin::boxes::RemoveBox;
use tinbay_wire::admin::Status;
use tinbay_wire::box_list::ListedBox;

use super::config_text::{
    CLASSES, write_adapter, write_distant_engine, write_engine, write_service,
};
use super::params::{EngineParams, LoadParams, RequestParams, ServiceParams};
use super::process::{Process, ProcessError, sibling_program};
use super::summaries::{
    CallSummary, LoadSummary, Usage, sum_metric, summarise_calls, summarise_load,
};
use crate::api::{Api, lagging_boxes};
use crate::caller::{Caller, Outcome, ServiceOutcome};
use crate::commands::apply_objects;
use crate::config_file::ConfigFile;
use crate::drive::{DrivePlan, drive};
use crate::error::CliError;
use crate::options::{ClassShare, CommonOptions};
use crate::util::worker::{BackgroundTask, Worker};

/// Timeout for boxes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(90);

/// Timeout of a control call to a stand-in or a box.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of log lines of each box that are appended to the trace.
const TRACE_LOG_LINES: usize = 12;

/// Location of a box.
struct BoxLocation {
    zone: String,
}

/// The boxes and stand-ins that a scenario has started.
pub struct Fleet {
    worker: Worker,
    start_time: Instant,
    rng: StdRng,
    processes: BTreeMap<String, Process>,
    boxes: BTreeMap<String, BoxLocation>,
    addresses: BTreeMap<String, String>,
    config: String,
    running_loads: Vec<Option<BackgroundTask<Vec<Outcome>>>>,
    running_calls: Vec<Option<BackgroundTask<Vec<ServiceOutcome>>>>,
    notes: Vec<String>,
    trace: Vec<String>,
    change_count: u32,
    run_id: u32,
    log_dir: Option<PathBuf>,
}

impl Fleet {
    /// Creates a fleet without boxes and starts the stand-ins of its platform: key-value service,
    /// list of boxes and weight store.
    ///
    /// # Errors
    /// Returns [`CliError::Start`] if `log_dir` cannot be created or a stand-in does not start.
    pub fn new(seed: u64, log_dir: Option<&Path>) -> Result<Self, CliError> {
        if let Some(directory) = log_dir {
            std::fs::create_dir_all(directory).map_err(CliError::Start)?;
        }
        let mut fleet = Self {
            worker: Worker::start(),
            start_time: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            processes: BTreeMap::new(),
            boxes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            config: String::new(),
            running_loads: Vec::new(),
            running_calls: Vec::new(),
            notes: Vec::new(),
            trace: Vec::new(),
            change_count: 0,
            run_id: std::process::id(),
            log_dir: log_dir.map(Path::to_path_buf),
        };
        for kind in ["kv", "boxes", "weights"] {
            fleet.start_standin(
                kind,
                kind,
                &[
                    "--load-ms".to_owned(),
                    "30".to_owned(),
                    "--loads-per-s".to_owned(),
                    "200".to_owned(),
                    "--at-once".to_owned(),
                    "16".to_owned(),
                ],
            )?;
        }
        Ok(fleet)
    }

    /// Returns the lines that the scenario noted.
    pub fn notes(&self) -> &[String] {
        &self.notes
    }

    /// Returns the log of the actions.
    pub fn trace(&self) -> &[String] {
        &self.trace
    }

    /// Adds a note to the scenario's output.
    pub fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }

    /// Returns the milliseconds since the scenario started.
    pub fn now_ms(&self) -> u64 {
        self.start_time.elapsed().as_millis() as u64
    }

    /// Returns a random number below `limit` from the seeded generator.
    pub fn random(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit.max(1))
    }

    /// Starts an engine and adds it to the configuration.
    pub fn start_engine(&mut self, name: &str, params: &EngineParams) -> Result<(), CliError> {
        let weights = self.address("weights");
        let mut args = vec![
            format!("--slots={}", params.slots),
            format!("--batch-limit={}", params.batch_limit),
            format!("--prefill-ms={}", params.prefill_ms),
            format!("--token-ms={}", params.token_ms),
            format!("--weight-store={weights}"),
        ];
        if params.unfenced {
            args.push("--unfenced".to_owned());
        }
        self.start_standin(name, "engine", &args)?;
        let address = self.address(name);
        write_engine(&mut self.config, name, &address, params);
        Ok(())
    }

    /// Starts a plain service and adds it to the configuration.
    pub fn start_service(&mut self, name: &str, params: &ServiceParams) -> Result<(), CliError> {
        self.start_standin(name, "service", &[])?;
        let address = self.address(name);
        write_service(&mut self.config, name, &address, params);
        Ok(())
    }

    fn start_standin(&mut self, name: &str, kind: &str, args: &[String]) -> Result<(), CliError> {
        let mut all_args = vec!["standin".to_owned(), kind.to_owned()];
        all_args.extend_from_slice(args);
        self.start_process(name, "tinbay", &all_args)
    }

    fn start_process(
        &mut self,
        name: &str,
        program: &str,
        args: &[String],
    ) -> Result<(), CliError> {
        self.log(&format!("start {name}"));
        let log_file = self
            .log_dir
            .as_ref()
            .map(|dir| dir.join(format!("{name}.log")));
        let process = Process::start(name, &sibling_program(program), args, log_file.as_deref())
            .map_err(to_cli_error)?;
        self.addresses
            .insert(name.to_owned(), process.address().to_owned());
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Starts a box and adds it to the list of boxes.
    pub fn start_box(&mut self, name: &str, zone: &str) -> Result<(), CliError> {
        // A restarted box keeps its addresses, as one with configured addresses would.
        let previous = self
            .processes
            .remove(name)
            .map(|old| old.startup_words.clone());
        let address_at = |index: usize| {
            let words = previous.as_ref();
            let address = words.and_then(|words| words.get(index).cloned());
            address.unwrap_or_else(|| "127.0.0.1:0".to_owned())
        };
        let args = vec![
            format!("--box-id={name}"),
            format!("--zone={zone}"),
            format!("--kv={}", self.address("kv")),
            format!("--box-list={}", self.address("boxes")),
            format!("--listen={}", address_at(1)),
            format!("--control-listen={}", address_at(3)),
            "--log-level=debug".to_owned(),
            "--locate-valid-ms=1000".to_owned(),
        ];
        self.start_process(name, "tinbay-node", &args)?;
        let location = BoxLocation {
            zone: zone.to_owned(),
        };
        self.boxes.insert(name.to_owned(), location);
        self.set_box_state(name, BoxState::Live)
    }

    /// Sets a box's state in the list of boxes.
    pub fn set_box_state(&mut self, name: &str, state: BoxState) -> Result<(), CliError> {
        let (Some(process), Some(location)) = (self.processes.get(name), self.boxes.get(name))
        else {
            return Err(unknown_process(name));
        };
        let control = process.startup_words.get(3).cloned().unwrap_or_default();
        let listed = ListedBox {
            id: BoxId::new(name),
            zone: ZoneId::new(location.zone.clone()),
            region: "main".to_owned(),
            address: process.address().to_owned(),
            control_address: control,
            state,
        };
        let _: ListedBox = self.post("boxes", "/control/set", &listed)?;
        Ok(())
    }

    /// Waits until every running box answers and knows at least as many boxes as are running.
    pub fn await_ready(&mut self) -> Result<(), CliError> {
        self.log("await ready");
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            if self.all_boxes_discovered() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(CliError::Start(std::io::Error::other(
                    "the boxes were not ready in time",
                )));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn all_boxes_discovered(&self) -> bool {
        let box_addresses = self.box_addresses();
        box_addresses.iter().all(|address| {
            let status = self.status_at(address);
            status.is_ok_and(|status| status.boxes.len() >= box_addresses.len())
        })
    }

    /// Returns the addresses of the running boxes.
    fn box_addresses(&self) -> Vec<String> {
        let names = self.boxes.keys();
        names
            .filter_map(|name| self.processes.get(name))
            .filter(|process| !process.has_exited())
            .map(|process| process.address().to_owned())
            .collect()
    }

    fn api(&self, box_addresses: Vec<String>) -> Api {
        Api::new(&CommonOptions {
            box_addresses,
            token: None,
            json: false,
        })
    }

    fn status_at(&self, address: &str) -> Result<Status, CliError> {
        let api = self.api(vec![address.to_owned()]);
        self.run(move || async move { api.status().await })
    }

    /// Returns the status that the first answering box reports.
    pub fn status(&self) -> Result<Status, CliError> {
        let api = self.api(self.box_addresses());
        self.run(move || async move { api.status().await })
    }

    /// Applies the first configuration: the classes, the started engines and services, and
    /// `adapters` adapters with one version each.
    pub fn set_up(&mut self, adapters: usize) -> Result<i64, CliError> {
        let mut text = CLASSES.to_owned();
        text.push_str(&self.config);
        for number in 0..adapters {
            write_adapter(&mut text, number);
        }
        self.apply(&text, None, None)
    }

    /// Adds adapters with one version each.
    pub fn add_adapters(&mut self, from: usize, count: usize) -> Result<i64, CliError> {
        let mut text = String::new();
        for number in from..from + count {
            write_adapter(&mut text, number);
        }
        self.apply(&text, None, None)
    }

    /// Adds engines that exist only in the configuration, in a region without boxes.
    pub fn add_distant_engines(&mut self, from: usize, count: usize) -> Result<i64, CliError> {
        let mut text = String::new();
        for number in from..from + count {
            write_distant_engine(&mut text, number);
        }
        self.apply(&text, None, None)
    }

    /// Applies a configuration, through the box `at` if it is given.
    pub fn apply(
        &mut self,
        text: &str,
        at: Option<&str>,
        change_id: Option<&str>,
    ) -> Result<i64, CliError> {
        let objects = ConfigFile::parse("scenario", text)?.objects();
        let box_addresses = match at {
            Some(name) => vec![self.address(name)],
            None => self.box_addresses(),
        };
        self.change_count += 1;
        let id = match change_id {
            Some(id) => id.to_owned(),
            None => format!("change-{}-{}", self.run_id, self.change_count),
        };
        self.log(&format!("apply {id}"));
        let api = self.api(box_addresses);
        let applied =
            self.run(move || async move { apply_objects(&api, &id, "scenario", objects).await })?;
        Ok(applied.revision)
    }

    /// Waits until a revision is in force on every running box and returns the milliseconds that it
    /// took, or `None` after the timeout.
    ///
    /// Polls the metrics of each box rather than its status: a status request makes the boxes query
    /// each other, which would spread the revision under test.
    pub fn await_in_force(&mut self, revision: i64, timeout_ms: u64) -> Option<u64> {
        let started = Instant::now();
        let box_addresses = self.box_addresses();
        while started.elapsed() < Duration::from_millis(timeout_ms) {
            if box_addresses
                .iter()
                .all(|address| self.revision_at(address) >= revision)
            {
                return Some(started.elapsed().as_millis() as u64);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn revision_at(&self, entry: &str) -> i64 {
        let url = format!("http://{entry}/metrics");
        let text = self.run(move || async move { Ok(get_text(&url, CONTROL_TIMEOUT).await?) });
        sum_metric(&text.unwrap_or_default(), "tinbay_config_revision") as i64
    }

    /// Returns the boxes that lag behind a revision according to the first answering box.
    pub fn lagging(&self, revision: i64) -> Result<Vec<String>, CliError> {
        Ok(lagging_boxes(&self.status()?, revision))
    }

    /// Sends one request and waits for its outcome.
    pub fn complete(&mut self, params: &RequestParams) -> Result<Outcome, CliError> {
        let call = params.to_call()?;
        let box_addresses = self.box_addresses();
        let pinned = (!params.at.is_empty()).then(|| self.address(&params.at));
        self.log(&format!(
            "request {} {} {}",
            params.class, params.model, params.at
        ));
        self.run(move || async move {
            let caller = match pinned {
                Some(address) => Caller::pinned(box_addresses, address),
                None => Caller::new(box_addresses),
            };
            Ok(caller.complete(&call).await)
        })
    }

    /// Calls a plain service with one key, up to `max_attempts` times.
    pub fn call_service(
        &mut self,
        name: &str,
        max_attempts: u32,
    ) -> Result<ServiceOutcome, CliError> {
        let box_addresses = self.box_addresses();
        let name = name.to_owned();
        self.run(move || async move {
            Ok(Caller::new(box_addresses)
                .call_service(&name, "{}", max_attempts)
                .await)
        })
    }

    /// Starts calls of a plain service in the background, `at_once` of them at a time, and returns
    /// their handle.
    pub fn start_calls(
        &mut self,
        name: &str,
        count: usize,
        at_once: usize,
        max_attempts: u32,
    ) -> usize {
        let box_addresses = self.box_addresses();
        let name = name.to_owned();
        self.log(&format!("{count} calls of {name}"));
        let running = self.worker.spawn(move || async move {
            let caller = Caller::new(box_addresses);
            let calls = (0..count).map(|_| caller.call_service(&name, "{}", max_attempts));
            stream::iter(calls)
                .buffer_unordered(at_once)
                .collect::<Vec<_>>()
                .await
        });
        self.running_calls.push(Some(running));
        self.running_calls.len() - 1
    }

    /// Waits for background calls to end and summarises them.
    pub fn finish_calls(&mut self, handle: usize) -> CallSummary {
        let running = self.running_calls.get_mut(handle).and_then(Option::take);
        let outcomes = running.and_then(BackgroundTask::wait).unwrap_or_default();
        self.log("calls ended");
        summarise_calls(&outcomes)
    }

    /// Starts a load in the background and returns its handle.
    pub fn start_load(&mut self, params: &LoadParams) -> usize {
        let models = (0..params.adapters)
            .map(|index| ModelRef::new(format!("adapter-{index}"), "v1"))
            .collect();
        let share = |name: &str, share| ClassShare {
            name: name.to_owned(),
            share,
        };
        let pinned = (!params.at.is_empty()).then(|| self.address(&params.at));
        let drive_plan = DrivePlan {
            box_addresses: self.box_addresses(),
            pinned,
            models,
            rate_per_s: params.rate_per_s,
            duration: Duration::from_millis(params.length_ms),
            skew: params.skew,
            classes: match params.class.as_str() {
                "" => vec![
                    share("counter", params.counter_share),
                    share("batch", 1.0 - params.counter_share),
                ],
                class => vec![share(class, 1.0)],
            },
            max_tokens: params.max_tokens,
            seed: self.rng.random(),
            keyed: params.keyed,
            retry_window: Duration::from_millis(params.patience_ms),
        };
        self.log(&format!(
            "load {} a second for {} ms",
            params.rate_per_s, params.length_ms
        ));
        let running = self.worker.spawn(move || drive(drive_plan));
        self.running_loads.push(Some(running));
        self.running_loads.len() - 1
    }

    /// Waits for a background load to end and summarises it.
    pub fn finish_load(&mut self, handle: usize) -> LoadSummary {
        let running = self.running_loads.get_mut(handle).and_then(Option::take);
        let outcomes = running.and_then(BackgroundTask::wait).unwrap_or_default();
        self.log("load ended");
        summarise_load(&outcomes)
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("kill {name}"));
        self.process(name)?.kill();
        Ok(())
    }

    /// Freezes a process until it is woken.
    pub fn freeze(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("freeze {name}"));
        self.process(name)?.freeze();
        Ok(())
    }

    /// Resumes a frozen process.
    pub fn wake(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("wake {name}"));
        self.process(name)?.wake();
        Ok(())
    }

    /// Stops a process gracefully and returns whether it exited successfully in time.
    pub fn stop(&mut self, name: &str) -> Result<bool, CliError> {
        self.log(&format!("stop {name}"));
        let process = self.process(name)?;
        process.terminate();
        let ended = process.wait(STOP_TIMEOUT);
        self.log(&format!("stopped {name}"));
        Ok(ended.is_some_and(|status| status.success()))
    }

    /// Requests a graceful stop of a process without waiting for its exit.
    pub fn terminate(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("terminate {name}"));
        self.process(name)?.terminate();
        Ok(())
    }

    /// Restarts a box that was killed or stopped.
    pub fn restart_box(&mut self, name: &str) -> Result<(), CliError> {
        let zone = self.boxes.get(name).map(|location| location.zone.clone());
        let zone = zone.ok_or_else(|| unknown_process(name))?;
        self.start_box(name, &zone)
    }

    /// Removes a box from the list of boxes and from the boxes that the scenario sends requests to.
    pub fn forget_box(&mut self, name: &str) -> Result<(), CliError> {
        self.boxes.remove(name);
        let removal = RemoveBox {
            id: BoxId::new(name),
        };
        let _: RemoveBox = self.post("boxes", "/control/remove", &removal)?;
        Ok(())
    }

    /// Returns the CPU time and the memory of a process.
    pub fn usage(&mut self, name: &str) -> Result<Usage, CliError> {
        let process = self.process(name)?;
        Ok(Usage {
            cpu_ms: process.cpu_ms(),
            memory_kib: process.memory_kib(),
        })
    }

    /// Posts a JSON document to a stand-in.
    pub fn post<B, T>(&mut self, name: &str, path: &str, body: &B) -> Result<T, CliError>
    where
        B: Serialize,
        T: DeserializeOwned + Send + 'static,
    {
        let url = format!("http://{}{path}", self.address(name));
        let body = serde_json::to_value(body)?;
        self.log(&format!("{name} {path} {body}"));
        self.run(move || async move { Ok(post_json(&url, &body, CONTROL_TIMEOUT).await?) })
    }

    /// Reads a JSON document from a stand-in or a box.
    pub fn get(&self, name: &str, path: &str) -> Result<serde_json::Value, CliError> {
        let url = format!("http://{}{path}", self.address(name));
        self.run(move || async move { Ok(get_json(&url, CONTROL_TIMEOUT).await?) })
    }

    /// Reads a text from a stand-in or a box.
    pub fn get_text(&self, name: &str, path: &str) -> Result<String, CliError> {
        let url = format!("http://{}{path}", self.address(name));
        self.run(move || async move { Ok(get_text(&url, CONTROL_TIMEOUT).await?) })
    }

    /// Appends the last log lines of each box to the trace and kills all processes.
    pub fn stop_all(&mut self) {
        for name in self.boxes.keys() {
            let Some(process) = self.processes.get(name) else {
                continue;
            };
            let lines = process.log_lines();
            let skipped = lines.len().saturating_sub(TRACE_LOG_LINES);
            let latest = lines.iter().skip(skipped);
            self.trace
                .extend(latest.map(|line| format!("{name}: {line}")));
        }
        self.processes.clear();
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, CliError> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| unknown_process(name))
    }

    fn address(&self, name: &str) -> String {
        self.addresses.get(name).cloned().unwrap_or_default()
    }

    fn log(&mut self, text: &str) {
        let line = format!("{:>6} ms {text}", self.now_ms());
        self.trace.push(line);
    }

    fn run<F, W, T>(&self, task: F) -> Result<T, CliError>
    where
        F: FnOnce() -> W + Send + 'static,
        W: Future<Output = Result<T, CliError>> + 'static,
        T: Send + 'static,
    {
        let ended = || CliError::Start(std::io::Error::other("the worker thread ended"));
        self.worker.run(task).ok_or_else(ended)?
    }
}

fn to_cli_error(error: ProcessError) -> CliError {
    CliError::Start(std::io::Error::other(error.to_string()))
}

fn unknown_process(name: &str) -> CliError {
    CliError::Start(std::io::Error::other(format!("no process is named {name}")))
}
