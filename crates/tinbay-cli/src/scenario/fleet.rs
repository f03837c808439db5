//! The boxes and stand-ins of a scenario, and what can be done to them.

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
use super::plans::{EnginePlan, LoadPlan, RequestPlan, ServicePlan};
use super::process::{Process, ProcessError, sibling};
use super::summaries::{CallSummary, LoadSummary, Usage, sum_metric, summarise, summarise_calls};
use crate::api::{Api, lagging_boxes};
use crate::caller::{Caller, Outcome, ServiceOutcome};
use crate::commands::apply_objects;
use crate::config_file::ConfigFile;
use crate::drive::{DrivePlan, drive};
use crate::error::CliError;
use crate::options::{ClassShare, CommonOptions};
use crate::util::worker::{Background, Worker};

/// How long boxes may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// How long a planned stop may take.
const STOP_WITHIN: Duration = Duration::from_secs(90);

/// How long a call of a stand-in may take.
const CONTROL_WITHIN: Duration = Duration::from_secs(5);

/// Time between looks.
const POLL: Duration = Duration::from_millis(20);

/// Log lines of each process added to a failure's trace.
const TRACED_LINES: usize = 12;

/// A box's place.
struct BoxPlan {
    zone: String,
}

/// The boxes and stand-ins of a scenario.
pub struct Fleet {
    worker: Worker,
    began: Instant,
    rng: StdRng,
    processes: BTreeMap<String, Process>,
    boxes: BTreeMap<String, BoxPlan>,
    addresses: BTreeMap<String, String>,
    config: String,
    loads: Vec<Option<Background<Vec<Outcome>>>>,
    calls: Vec<Option<Background<Vec<ServiceOutcome>>>>,
    notes: Vec<String>,
    trace: Vec<String>,
    changes: u32,
    run: u32,
    log_dir: Option<PathBuf>,
}

impl Fleet {
    /// An empty fleet with its platform: key-value service, list of boxes, weight store.
    ///
    /// # Errors
    /// [`CliError`] when `log_dir` can't be made or a stand-in does not start.
    pub fn new(seed: u64, log_dir: Option<&Path>) -> Result<Self, CliError> {
        if let Some(directory) = log_dir {
            std::fs::create_dir_all(directory).map_err(CliError::Start)?;
        }
        let mut fleet = Self {
            worker: Worker::start(),
            began: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            processes: BTreeMap::new(),
            boxes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            config: String::new(),
            loads: Vec::new(),
            calls: Vec::new(),
            notes: Vec::new(),
            trace: Vec::new(),
            changes: 0,
            run: std::process::id(),
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

    /// What the scenario noted.
    pub fn notes(&self) -> &[String] {
        &self.notes
    }

    /// What was done.
    pub fn trace(&self) -> &[String] {
        &self.trace
    }

    /// Notes a figure.
    pub fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }

    /// Milliseconds since the scenario began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// A random number below `limit`, from the seed.
    pub fn random(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit.max(1))
    }

    /// Starts an engine and adds it to the configuration.
    pub fn start_engine(&mut self, name: &str, plan: &EnginePlan) -> Result<(), CliError> {
        let weights = self.address("weights");
        let mut args = vec![
            format!("--slots={}", plan.slots),
            format!("--batch-limit={}", plan.batch_limit),
            format!("--prefill-ms={}", plan.prefill_ms),
            format!("--token-ms={}", plan.token_ms),
            format!("--weight-store={weights}"),
        ];
        if plan.unfenced {
            args.push("--unfenced".to_owned());
        }
        self.start_standin(name, "engine", &args)?;
        let address = self.address(name);
        write_engine(&mut self.config, name, &address, plan);
        Ok(())
    }

    /// Starts a plain service and adds it to the configuration.
    pub fn start_service(&mut self, name: &str, plan: &ServicePlan) -> Result<(), CliError> {
        self.start_standin(name, "service", &[])?;
        let address = self.address(name);
        write_service(&mut self.config, name, &address, plan);
        Ok(())
    }

    fn start_standin(&mut self, name: &str, kind: &str, args: &[String]) -> Result<(), CliError> {
        let mut all = vec!["standin".to_owned(), kind.to_owned()];
        all.extend_from_slice(args);
        self.start_process(name, "tinbay", &all)
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
        let process = Process::start(name, &sibling(program), args, log_file.as_deref())
            .map_err(to_cli_error)?;
        self.addresses
            .insert(name.to_owned(), process.address().to_owned());
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Starts a box and tells the list of boxes.
    pub fn start_box(&mut self, name: &str, zone: &str) -> Result<(), CliError> {
        // A box that comes back keeps its addresses, as its settings would have them.
        let kept = self
            .processes
            .remove(name)
            .map(|old| old.first_line.clone());
        let word = |index: usize| {
            let line = kept.as_ref();
            let word = line.and_then(|line| line.get(index).cloned());
            word.unwrap_or_else(|| "127.0.0.1:0".to_owned())
        };
        let args = vec![
            format!("--box-id={name}"),
            format!("--zone={zone}"),
            format!("--kv={}", self.address("kv")),
            format!("--box-list={}", self.address("boxes")),
            format!("--listen={}", word(1)),
            format!("--control-listen={}", word(3)),
            "--log-level=debug".to_owned(),
            "--locate-valid-ms=1000".to_owned(),
        ];
        self.start_process(name, "tinbay-node", &args)?;
        let plan = BoxPlan {
            zone: zone.to_owned(),
        };
        self.boxes.insert(name.to_owned(), plan);
        self.list_box(name, BoxState::Live)
    }

    /// Sets a box's state in the list of boxes.
    pub fn list_box(&mut self, name: &str, state: BoxState) -> Result<(), CliError> {
        let (Some(process), Some(plan)) = (self.processes.get(name), self.boxes.get(name)) else {
            return Err(unknown(name));
        };
        let control = process.first_line.get(3).cloned().unwrap_or_default();
        let listed = ListedBox {
            id: BoxId::new(name),
            zone: ZoneId::new(plan.zone.clone()),
            region: "main".to_owned(),
            address: process.address().to_owned(),
            control_address: control,
            state,
        };
        let _: ListedBox = self.post("boxes", "/control/set", &listed)?;
        Ok(())
    }

    /// Waits until every running box answers that it is ready and knows all the others.
    pub fn await_ready(&mut self) -> Result<(), CliError> {
        self.log("await ready");
        let until = Instant::now() + READY_WITHIN;
        loop {
            if self.all_met() {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(CliError::Start(std::io::Error::other(
                    "the boxes did not get ready",
                )));
            }
            std::thread::sleep(POLL);
        }
    }

    fn all_met(&self) -> bool {
        let entries = self.entries();
        entries.iter().all(|entry| {
            let status = self.status_at(entry);
            status.is_ok_and(|status| status.boxes.len() >= entries.len())
        })
    }

    /// Addresses of the boxes that run.
    fn entries(&self) -> Vec<String> {
        let names = self.boxes.keys();
        names
            .filter_map(|name| self.processes.get(name))
            .filter(|process| !process.has_ended())
            .map(|process| process.address().to_owned())
            .collect()
    }

    fn api(&self, entries: Vec<String>) -> Api {
        Api::new(&CommonOptions {
            box_addresses: entries,
            token: None,
            json: false,
        })
    }

    fn status_at(&self, entry: &str) -> Result<Status, CliError> {
        let api = self.api(vec![entry.to_owned()]);
        self.run(move || async move { api.status().await })
    }

    /// Status as the first box that answers gives it.
    pub fn status(&self) -> Result<Status, CliError> {
        let api = self.api(self.entries());
        self.run(move || async move { api.status().await })
    }

    /// Applies classes, `adapters` adapters with a version each, and what was started.
    pub fn set_up(&mut self, adapters: usize) -> Result<i64, CliError> {
        let mut text = CLASSES.to_owned();
        text.push_str(&self.config);
        for number in 0..adapters {
            write_adapter(&mut text, number);
        }
        self.apply(&text, None, None)
    }

    /// Adds adapters with a version each.
    pub fn add_adapters(&mut self, from: usize, count: usize) -> Result<i64, CliError> {
        let mut text = String::new();
        for number in from..from + count {
            write_adapter(&mut text, number);
        }
        self.apply(&text, None, None)
    }

    /// Applies engines that exist in the configuration only, in a region without boxes.
    pub fn add_distant_engines(&mut self, from: usize, count: usize) -> Result<i64, CliError> {
        let mut text = String::new();
        for number in from..from + count {
            write_distant_engine(&mut text, number);
        }
        self.apply(&text, None, None)
    }

    /// Applies a configuration, through one box where one is named.
    pub fn apply(
        &mut self,
        text: &str,
        at: Option<&str>,
        change_id: Option<&str>,
    ) -> Result<i64, CliError> {
        let objects = ConfigFile::parse("scenario", text)?.objects();
        let entries = match at {
            Some(name) => vec![self.address(name)],
            None => self.entries(),
        };
        self.changes += 1;
        let id = match change_id {
            Some(id) => id.to_owned(),
            None => format!("change-{}-{}", self.run, self.changes),
        };
        self.log(&format!("apply {id}"));
        let api = self.api(entries);
        let applied =
            self.run(move || async move { apply_objects(&api, &id, "scenario", objects).await })?;
        Ok(applied.revision)
    }

    /// How long until a revision is in force on every running box, or nothing in time.
    ///
    /// It reads each box's own measures: asking for the status would make the boxes talk to
    /// each other and so spread the revision that is being waited for.
    pub fn await_in_force(&mut self, revision: i64, within_ms: u64) -> Option<u64> {
        let began = Instant::now();
        let entries = self.entries();
        while began.elapsed() < Duration::from_millis(within_ms) {
            if entries
                .iter()
                .all(|entry| self.revision_at(entry) >= revision)
            {
                return Some(began.elapsed().as_millis() as u64);
            }
            std::thread::sleep(POLL);
        }
        None
    }

    fn revision_at(&self, entry: &str) -> i64 {
        let url = format!("http://{entry}/metrics");
        let text = self.run(move || async move { Ok(get_text(&url, CONTROL_WITHIN).await?) });
        sum_metric(&text.unwrap_or_default(), "tinbay_config_revision") as i64
    }

    /// Boxes that the first one that answers believes to lag behind a revision.
    pub fn lagging(&self, revision: i64) -> Result<Vec<String>, CliError> {
        Ok(lagging_boxes(&self.status()?, revision))
    }

    /// Sends one request.
    pub fn complete(&mut self, plan: &RequestPlan) -> Result<Outcome, CliError> {
        let wanted = plan.to_wanted()?;
        let entries = self.entries();
        let pinned = (!plan.at.is_empty()).then(|| self.address(&plan.at));
        self.log(&format!(
            "request {} {} {}",
            plan.class, plan.model, plan.at
        ));
        self.run(move || async move {
            let caller = match pinned {
                Some(address) => Caller::pinned(entries, address),
                None => Caller::new(entries),
            };
            Ok(caller.complete(&wanted).await)
        })
    }

    /// Calls a plain service, asking up to `asks` times with one key.
    pub fn call_service(&mut self, name: &str, asks: u32) -> Result<ServiceOutcome, CliError> {
        let entries = self.entries();
        let name = name.to_owned();
        self.run(
            move || async move { Ok(Caller::new(entries).call_service(&name, "{}", asks).await) },
        )
    }

    /// Starts many calls of a plain service, so many at a time, in the background.
    pub fn start_calls(&mut self, name: &str, count: usize, at_once: usize, asks: u32) -> usize {
        let entries = self.entries();
        let name = name.to_owned();
        self.log(&format!("{count} calls of {name}"));
        let running = self.worker.spawn(move || async move {
            let caller = Caller::new(entries);
            let calls = (0..count).map(|_| caller.call_service(&name, "{}", asks));
            stream::iter(calls)
                .buffer_unordered(at_once)
                .collect::<Vec<_>>()
                .await
        });
        self.calls.push(Some(running));
        self.calls.len() - 1
    }

    /// Waits for calls to end.
    pub fn finish_calls(&mut self, calls: usize) -> CallSummary {
        let running = self.calls.get_mut(calls).and_then(Option::take);
        let outcomes = running.and_then(Background::wait).unwrap_or_default();
        self.log("calls ended");
        summarise_calls(&outcomes)
    }

    /// Starts load in the background.
    pub fn start_load(&mut self, plan: &LoadPlan) -> usize {
        let models = (0..plan.adapters)
            .map(|index| ModelRef::new(format!("adapter-{index}"), "v1"))
            .collect();
        let share = |name: &str, share| ClassShare {
            name: name.to_owned(),
            share,
        };
        let pinned = (!plan.at.is_empty()).then(|| self.address(&plan.at));
        let drive_plan = DrivePlan {
            entries: self.entries(),
            pinned,
            models,
            rate_per_s: plan.rate_per_s,
            length: Duration::from_millis(plan.length_ms),
            skew: plan.skew,
            classes: match plan.class.as_str() {
                "" => vec![
                    share("counter", plan.counter_share),
                    share("batch", 1.0 - plan.counter_share),
                ],
                class => vec![share(class, 1.0)],
            },
            max_tokens: plan.max_tokens,
            seed: self.rng.random(),
            keyed: plan.keyed,
            patience: Duration::from_millis(plan.patience_ms),
        };
        self.log(&format!(
            "load {} a second for {} ms",
            plan.rate_per_s, plan.length_ms
        ));
        let running = self.worker.spawn(move || drive(drive_plan));
        self.loads.push(Some(running));
        self.loads.len() - 1
    }

    /// Waits for load to end.
    pub fn finish_load(&mut self, load: usize) -> LoadSummary {
        let running = self.loads.get_mut(load).and_then(Option::take);
        let outcomes = running.and_then(Background::wait).unwrap_or_default();
        self.log("load ended");
        summarise(&outcomes)
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("kill {name}"));
        self.process(name)?.kill();
        Ok(())
    }

    /// Freezes a process.
    pub fn freeze(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("freeze {name}"));
        self.process(name)?.freeze();
        Ok(())
    }

    /// Wakes a process.
    pub fn wake(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("wake {name}"));
        self.process(name)?.wake();
        Ok(())
    }

    /// Stops a process as planned and waits for its end.
    pub fn stop(&mut self, name: &str) -> Result<bool, CliError> {
        self.log(&format!("stop {name}"));
        let process = self.process(name)?;
        process.terminate();
        let ended = process.wait(STOP_WITHIN);
        self.log(&format!("stopped {name}"));
        Ok(ended.is_some_and(|status| status.success()))
    }

    /// Asks a process to stop and does not wait.
    pub fn terminate(&mut self, name: &str) -> Result<(), CliError> {
        self.log(&format!("terminate {name}"));
        self.process(name)?.terminate();
        Ok(())
    }

    /// Starts a box again that was killed or stopped.
    pub fn restart_box(&mut self, name: &str) -> Result<(), CliError> {
        let zone = self.boxes.get(name).map(|plan| plan.zone.clone());
        let zone = zone.ok_or_else(|| unknown(name))?;
        self.start_box(name, &zone)
    }

    /// Removes a box from the list of boxes and from the scenario's entries.
    pub fn forget_box(&mut self, name: &str) -> Result<(), CliError> {
        self.boxes.remove(name);
        let gone = RemoveBox {
            id: BoxId::new(name),
        };
        let _: RemoveBox = self.post("boxes", "/control/remove", &gone)?;
        Ok(())
    }

    /// Processor time and memory of a process.
    pub fn usage(&mut self, name: &str) -> Result<Usage, CliError> {
        let process = self.process(name)?;
        Ok(Usage {
            cpu_ms: process.cpu_ms(),
            memory_kib: process.memory_kib(),
        })
    }

    /// Posts to a stand-in.
    pub fn post<B, T>(&mut self, name: &str, path: &str, body: &B) -> Result<T, CliError>
    where
        B: Serialize,
        T: DeserializeOwned + Send + 'static,
    {
        let url = format!("http://{}{path}", self.address(name));
        let body = serde_json::to_value(body)?;
        self.log(&format!("{name} {path} {body}"));
        self.run(move || async move { Ok(post_json(&url, &body, CONTROL_WITHIN).await?) })
    }

    /// Reads from a stand-in or a box.
    pub fn get(&self, name: &str, path: &str) -> Result<serde_json::Value, CliError> {
        let url = format!("http://{}{path}", self.address(name));
        self.run(move || async move { Ok(get_json(&url, CONTROL_WITHIN).await?) })
    }

    /// Reads a text from a stand-in or a box.
    pub fn get_text(&self, name: &str, path: &str) -> Result<String, CliError> {
        let url = format!("http://{}{path}", self.address(name));
        self.run(move || async move { Ok(get_text(&url, CONTROL_WITHIN).await?) })
    }

    /// Kills everything and keeps the last log lines of each box in the trace.
    pub fn stop_all(&mut self) {
        for name in self.boxes.keys() {
            let Some(process) = self.processes.get(name) else {
                continue;
            };
            let lines = process.log_lines();
            let skipped = lines.len().saturating_sub(TRACED_LINES);
            let last = lines.iter().skip(skipped);
            self.trace
                .extend(last.map(|line| format!("{name}: {line}")));
        }
        self.processes.clear();
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, CliError> {
        self.processes.get_mut(name).ok_or_else(|| unknown(name))
    }

    fn address(&self, name: &str) -> String {
        self.addresses.get(name).cloned().unwrap_or_default()
    }

    fn log(&mut self, text: &str) {
        let line = format!("{:>6} ms {text}", self.now_ms());
        self.trace.push(line);
    }

    fn run<F, W, T>(&self, work: F) -> Result<T, CliError>
    where
        F: FnOnce() -> W + Send + 'static,
        W: Future<Output = Result<T, CliError>> + 'static,
        T: Send + 'static,
    {
        let ended = || CliError::Start(std::io::Error::other("the worker thread ended"));
        self.worker.run(work).ok_or_else(ended)?
    }
}

fn to_cli_error(error: ProcessError) -> CliError {
    CliError::Start(std::io::Error::other(error.to_string()))
}

fn unknown(name: &str) -> CliError {
    CliError::Start(std::io::Error::other(format!("nothing is called {name}")))
}
