//! What the engine stand-in holds and runs.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tinbay_core::assemble::Chunk;
use tinbay_core::fence::{FenceGuard, FenceRefusal, Order};
use tinbay_core::ids::{Incarnation, ModelRef};
use tinbay_wire::engine::{EngineRefusal, EngineRequest, EngineState, RunningRequest};

use super::text::token_text;

/// Each request in the batch slows the others' tokens by this share.
const CROWDING: f64 = 0.02;

/// Finished streams kept for readers that resume.
const KEPT_STREAMS: usize = 4_096;

/// How the stand-in is to behave.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Adapters it holds at once.
    pub slots: u32,
    /// Requests it runs at once.
    pub batch_limit: u32,
    /// Whether it refuses orders with a lower fence.
    pub checks_orders: bool,
    /// Time before the first token.
    pub prefill_ms: u64,
    /// Time between tokens of a request that runs alone.
    pub token_ms: u64,
    /// Time of a load where no weight store is given.
    pub load_ms: u64,
    /// `ip:port` of the weight store.
    pub weight_store: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 4,
            batch_limit: 8,
            checks_orders: true,
            prefill_ms: 10,
            token_ms: 5,
            load_ms: 100,
            weight_store: None,
        }
    }
}

/// Body of `POST /control/faults`; each number counts down.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// So many of the next loads fail.
    pub fail_loads: u32,
    /// So many of the next requests are taken and never answered.
    pub hang_requests: u32,
    /// So many of the next streams break off.
    pub break_streams: u32,
    /// Where they break off.
    pub break_at: u64,
    /// So many of the next answers name another version.
    pub wrong_models: u32,
    /// Whether every chunk is sent twice.
    pub repeat_chunks: bool,
}

/// Answer of `GET /control/report`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineReport {
    /// How often each request ran.
    pub runs: BTreeMap<String, u32>,
    /// Loads that succeeded.
    pub loads: u64,
    /// Unloads ordered while the model served a request; each is a broken promise.
    pub unloads_while_serving: u64,
    /// Requests that came while it was leaving; each was refused.
    pub asked_while_leaving: u64,
    /// Orders refused for their fence.
    pub fence_refusals: u64,
    /// Most requests at once.
    pub most_running: u32,
}

struct Slot {
    ready: bool,
    serving: u32,
    run: u64,
}

struct Stream {
    run: u64,
    model: ModelRef,
    answers_as: ModelRef,
    prompt: String,
    tokens: u64,
    limit: u64,
    finished: bool,
}

/// What a reader finds at a position of a stream.
pub enum NextChunk {
    /// The chunk.
    Ready(Chunk),
    /// It is not generated yet.
    NotYet,
    /// The stream is gone.
    Gone,
}

/// The state of one engine.
pub struct EngineModel {
    slots_limit: usize,
    batch_limit: usize,
    token_ms: u64,
    incarnation: Incarnation,
    guard: FenceGuard,
    slots: HashMap<ModelRef, Slot>,
    streams: HashMap<String, Stream>,
    ended: Vec<String>,
    running: usize,
    leaving: bool,
    next_run: u64,
    faults: EngineFaults,
    report: EngineReport,
}

impl EngineModel {
    /// An empty engine.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            slots_limit: settings.slots as usize,
            batch_limit: settings.batch_limit as usize,
            token_ms: settings.token_ms,
            incarnation: wall_ms(),
            guard: FenceGuard::default(),
            slots: HashMap::new(),
            streams: HashMap::new(),
            ended: Vec::new(),
            running: 0,
            leaving: false,
            next_run: 0,
            faults: EngineFaults::default(),
            report: EngineReport::default(),
        }
    }

    /// Checks an order's fence.
    pub fn check_order(&mut self, order: &Order) -> Result<(), EngineRefusal> {
        self.guard
            .check(order, self.incarnation)
            .map_err(|refusal| {
                self.report.fence_refusals += 1;
                match refusal {
                    FenceRefusal::Stale => EngineRefusal::StaleFence,
                    FenceRefusal::Incarnation => EngineRefusal::OtherIncarnation,
                }
            })
    }

    /// What it holds and runs.
    pub fn state(&self) -> EngineState {
        let mut loaded: Vec<ModelRef> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.ready)
            .map(|(model, _)| model.clone())
            .collect();
        loaded.sort();
        let running = self
            .streams
            .iter()
            .filter(|(_, stream)| !stream.finished)
            .map(|(request, stream)| RunningRequest {
                request: request.clone(),
                model: stream.model.clone(),
            })
            .collect();
        EngineState {
            incarnation: self.incarnation,
            loaded,
            running,
            leaving: self.leaving,
            fence: self.guard.highest(),
        }
    }

    /// Puts a request into the batch; gives the number of the run.
    pub fn begin(&mut self, call: &EngineRequest) -> Result<u64, EngineRefusal> {
        if self.leaving {
            self.report.asked_while_leaving += 1;
            return Err(EngineRefusal::Leaving);
        }
        if self.running >= self.batch_limit {
            return Err(EngineRefusal::BatchFull);
        }
        if !self.slots.get(&call.model).is_some_and(|slot| slot.ready) {
            return Err(EngineRefusal::NotLoaded);
        }
        // A second run under a name takes the place of the first.
        self.cancel(&call.request);
        if let Some(slot) = self.slots.get_mut(&call.model) {
            slot.serving += 1;
        }
        self.running += 1;
        self.next_run += 1;
        *self.report.runs.entry(call.request.clone()).or_default() += 1;
        self.report.most_running = self.report.most_running.max(self.running as u32);
        let stream = Stream {
            run: self.next_run,
            model: call.model.clone(),
            answers_as: self.answer_model(&call.model),
            prompt: call.prompt.clone(),
            tokens: 0,
            limit: u64::from(call.max_tokens.max(1)),
            finished: false,
        };
        self.streams.insert(call.request.clone(), stream);
        Ok(self.next_run)
    }

    /// Finds the stream a reader wants to resume.
    pub fn resume(&mut self, call: &EngineRequest) -> Result<u64, EngineRefusal> {
        let stream = self.streams.get(&call.request);
        stream
            .filter(|stream| stream.model == call.model)
            .map(|stream| stream.run)
            .ok_or(EngineRefusal::NothingToResume)
    }

    /// Time until the next token with the batch as it is.
    pub fn token_pause(&self) -> Duration {
        let crowd = 1.0 + CROWDING * self.running.saturating_sub(1) as f64;
        Duration::from_millis(self.token_ms).mul_f64(crowd)
    }

    /// Generates a token; `false` when it was the last one, or the run is not there any more.
    ///
    /// A run ends with its last token: with a step of its own after that its reader, who had the whole answer,
    /// unloaded the model of a run that still counted (5 ms between the two, 3 of 3 runs).
    pub fn add_token(&mut self, request: &str, run: u64) -> bool {
        let stream = self
            .streams
            .get_mut(request)
            .filter(|s| s.run == run && !s.finished);
        let Some(stream) = stream else {
            return false;
        };
        stream.tokens += 1;
        if stream.tokens < stream.limit {
            return true;
        }
        self.finish(request, run);
        false
    }

    /// Takes a finished run out of the batch and keeps its text for readers that resume.
    fn finish(&mut self, request: &str, run: u64) {
        let Some(stream) = self.streams.get_mut(request).filter(|s| s.run == run) else {
            return;
        };
        if stream.finished {
            return;
        }
        stream.finished = true;
        let model = stream.model.clone();
        self.leave_batch(&model);
        self.ended.push(request.to_owned());
        if self.ended.len() > KEPT_STREAMS {
            let oldest = self.ended.remove(0);
            self.streams.remove(&oldest);
        }
    }

    /// Stops a run.
    pub fn cancel(&mut self, request: &str) {
        if let Some(stream) = self.streams.remove(request)
            && !stream.finished
        {
            self.leave_batch(&stream.model);
        }
    }

    /// The chunk at a position.
    pub fn chunk(&self, call: &EngineRequest, run: u64, position: u64) -> NextChunk {
        let Some(stream) = self.streams.get(&call.request).filter(|s| s.run == run) else {
            return NextChunk::Gone;
        };
        if position >= stream.limit {
            return NextChunk::Gone;
        }
        if position >= stream.tokens {
            return NextChunk::NotYet;
        }
        NextChunk::Ready(Chunk {
            request: call.request.clone(),
            attempt: call.attempt,
            model: stream.answers_as.clone(),
            position,
            text: token_text(&stream.model, &stream.prompt, position),
            last: position + 1 == stream.limit,
        })
    }

    /// Takes a slot for a load; gives its run, so that a restart in between is noticed.
    pub fn begin_load(&mut self, model: &ModelRef) -> Result<u64, EngineRefusal> {
        if self.slots.len() >= self.slots_limit && !self.slots.contains_key(model) {
            return Err(EngineRefusal::NoSlot);
        }
        let run = self.incarnation;
        self.slots.entry(model.clone()).or_insert(Slot {
            ready: false,
            serving: 0,
            run,
        });
        Ok(run)
    }

    /// Ends a load; `false` when it failed.
    pub fn end_load(&mut self, model: &ModelRef, run: u64, fetched: bool) -> bool {
        let fails = self.faults.fail_loads > 0;
        self.faults.fail_loads = self.faults.fail_loads.saturating_sub(1);
        let Some(slot) = self.slots.get_mut(model).filter(|slot| slot.run == run) else {
            return false;
        };
        if slot.ready {
            return true;
        }
        if fails || !fetched {
            self.slots.remove(model);
            return false;
        }
        slot.ready = true;
        self.report.loads += 1;
        true
    }

    /// Frees a slot. A model that serves is not unloaded, but the order is reported.
    pub fn unload(&mut self, model: &ModelRef) -> Result<(), EngineRefusal> {
        match self.slots.get(model) {
            None => Ok(()),
            Some(slot) if slot.serving > 0 => {
                self.report.unloads_while_serving += 1;
                Err(EngineRefusal::Serving)
            }
            Some(_) => {
                self.slots.remove(model);
                Ok(())
            }
        }
    }

    /// Loses everything and starts a new run, empty; the fence is lost as well.
    pub fn restart(&mut self) {
        self.incarnation = wall_ms().max(self.incarnation + 1);
        self.guard = FenceGuard::default();
        self.slots.clear();
        self.streams.clear();
        self.ended.clear();
        self.running = 0;
        self.leaving = false;
    }

    /// Begins to leave: what runs goes on, nothing new is taken.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sets faults.
    pub fn set_faults(&mut self, faults: EngineFaults) {
        self.faults = faults;
    }

    /// Whether the next request is to hang.
    pub fn takes_hang(&mut self) -> bool {
        let hangs = self.faults.hang_requests > 0;
        self.faults.hang_requests = self.faults.hang_requests.saturating_sub(1);
        hangs
    }

    /// Where the next stream is to break off.
    pub fn takes_break(&mut self) -> Option<u64> {
        if self.faults.break_streams == 0 {
            return None;
        }
        self.faults.break_streams -= 1;
        Some(self.faults.break_at)
    }

    /// Whether chunks are sent twice.
    pub fn repeats_chunks(&self) -> bool {
        self.faults.repeat_chunks
    }

    /// What ran and what should not have.
    pub fn report(&self) -> &EngineReport {
        &self.report
    }

    fn answer_model(&mut self, model: &ModelRef) -> ModelRef {
        if self.faults.wrong_models == 0 {
            return model.clone();
        }
        self.faults.wrong_models -= 1;
        ModelRef::new(model.adapter(), "another-version")
    }

    fn leave_batch(&mut self, model: &ModelRef) {
        self.running = self.running.saturating_sub(1);
        if let Some(slot) = self.slots.get_mut(model) {
            slot.serving = slot.serving.saturating_sub(1);
        }
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |age| age.as_millis() as u64)
}
