//! The simulated engine: adapter slots, batch, streams and faults.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tinbay_core::assemble::Chunk;
use tinbay_core::fence::{FenceGuard, FenceRefusal, Order};
use tinbay_core::ids::{Incarnation, ModelRef};
use tinbay_wire::engine::{EngineRefusal, EngineRequest, EngineState, RunningRequest};

use super::text::token_text;

/// Fraction by which each further request in the batch increases the time per token.
const SLOWDOWN_PER_REQUEST: f64 = 0.02;

/// Maximum number of finished streams kept for readers that resume.
const MAX_FINISHED_STREAMS: usize = 4_096;

/// Settings of the engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Number of adapters that it can hold at once.
    pub slots: u32,
    /// Number of requests that it runs at once.
    pub batch_limit: u32,
    /// Whether it refuses orders with a missing or stale fence or for another incarnation.
    pub checks_orders: bool,
    /// Time before the first token.
    pub prefill_ms: u64,
    /// Time per token of a request that runs alone.
    pub token_ms: u64,
    /// Duration of a load if there is no weight store.
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

/// Body of `POST /control/faults`. Each number of faults counts down as they occur.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Number of next loads that fail.
    pub fail_loads: u32,
    /// Number of next requests that are accepted without a timely response.
    pub hang_requests: u32,
    /// Number of next streams that are cut off.
    pub break_streams: u32,
    /// Position at which they are cut off.
    pub break_at: u64,
    /// Number of next answers that report another version of the adapter.
    pub wrong_models: u32,
    /// Whether every chunk is sent twice.
    pub repeat_chunks: bool,
    /// Time from the arrival of an order to unload until it is executed.
    pub unload_delay_ms: u64,
    /// Time from the arrival of a request until it is added to the batch.
    pub start_delay_ms: u64,
}

/// Response of `GET /control/report`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineReport {
    /// How often each request ran.
    pub runs: BTreeMap<String, u32>,
    /// Loads that succeeded.
    pub loads: u64,
    /// Orders to unload a model that was serving; each violates a guarantee of tinbay.
    pub unloads_while_serving: u64,
    /// Requests that arrived while it was draining; each was refused.
    pub asked_while_leaving: u64,
    /// Orders refused because of their fence or incarnation.
    pub fence_refusals: u64,
    /// Maximum number of concurrent requests so far.
    pub most_running: u32,
}

struct Slot {
    ready: bool,
    serving: u32,
    /// Incarnation in which the load started.
    incarnation: Incarnation,
}

struct Stream {
    run: u64,
    model: ModelRef,
    reported_model: ModelRef,
    prompt: String,
    tokens: u64,
    limit: u64,
    finished: bool,
}

/// Result of reading a stream at a position.
pub enum NextChunk {
    /// The chunk at the position.
    Ready(Chunk),
    /// The chunk is not generated yet.
    Pending,
    /// There is no such chunk, or the run no longer exists.
    Ended,
}

/// State of one engine.
pub struct SimulatedEngine {
    slots_limit: usize,
    batch_limit: usize,
    token_ms: u64,
    incarnation: Incarnation,
    fence_guard: FenceGuard,
    slots: HashMap<ModelRef, Slot>,
    streams: HashMap<String, Stream>,
    finished_requests: Vec<String>,
    running: usize,
    leaving: bool,
    next_run: u64,
    faults: EngineFaults,
    report: EngineReport,
}

impl SimulatedEngine {
    /// Creates an engine without adapters.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            slots_limit: settings.slots as usize,
            batch_limit: settings.batch_limit as usize,
            token_ms: settings.token_ms,
            incarnation: unix_ms(),
            fence_guard: FenceGuard::default(),
            slots: HashMap::new(),
            streams: HashMap::new(),
            finished_requests: Vec::new(),
            running: 0,
            leaving: false,
            next_run: 0,
            faults: EngineFaults::default(),
            report: EngineReport::default(),
        }
    }

    /// Checks the fence of an order.
    pub fn check_order(&mut self, order: &Order) -> Result<(), EngineRefusal> {
        self.fence_guard
            .check(order, self.incarnation)
            .map_err(|refusal| {
                self.report.fence_refusals += 1;
                match refusal {
                    FenceRefusal::Stale => EngineRefusal::StaleFence,
                    FenceRefusal::Incarnation => EngineRefusal::OtherIncarnation,
                }
            })
    }

    /// The state reported to boxes.
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
            fence: self.fence_guard.highest(),
        }
    }

    /// Adds a request to the batch; returns the number of its run.
    pub fn start_run(&mut self, call: &EngineRequest) -> Result<u64, EngineRefusal> {
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
        // A second run of the same request replaces the first.
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
            reported_model: self.reported_model_of(&call.model),
            prompt: call.prompt.clone(),
            tokens: 0,
            limit: u64::from(call.max_tokens.max(1)),
            finished: false,
        };
        self.streams.insert(call.request.clone(), stream);
        Ok(self.next_run)
    }

    /// Returns the run of the stream that a reader resumes.
    pub fn resume(&mut self, call: &EngineRequest) -> Result<u64, EngineRefusal> {
        let stream = self.streams.get(&call.request);
        stream
            .filter(|stream| stream.model == call.model)
            .map(|stream| stream.run)
            .ok_or(EngineRefusal::NothingToResume)
    }

    /// Time per token at the current size of the batch.
    pub fn token_interval(&self) -> Duration {
        let slowdown = 1.0 + SLOWDOWN_PER_REQUEST * self.running.saturating_sub(1) as f64;
        Duration::from_millis(self.token_ms).mul_f64(slowdown)
    }

    /// Generates a token; returns `false` if it was the last one or the run no longer exists.
    ///
    /// The run ends together with its last token. If it ended in a later step, a box that has read
    /// the complete answer could unload the model while the run still counts as being served; 5 ms
    /// between the two steps are enough.
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

    /// Removes a finished run from the batch and keeps its stream for readers that resume.
    fn finish(&mut self, request: &str, run: u64) {
        let Some(stream) = self.streams.get_mut(request).filter(|s| s.run == run) else {
            return;
        };
        if stream.finished {
            return;
        }
        stream.finished = true;
        let model = stream.model.clone();
        self.release_place(&model);
        self.finished_requests.push(request.to_owned());
        if self.finished_requests.len() > MAX_FINISHED_STREAMS {
            let oldest = self.finished_requests.remove(0);
            self.streams.remove(&oldest);
        }
    }

    /// Stops the run of a request and drops its stream.
    pub fn cancel(&mut self, request: &str) {
        if let Some(stream) = self.streams.remove(request)
            && !stream.finished
        {
            self.release_place(&stream.model);
        }
    }

    /// Reads a stream at a position.
    pub fn chunk(&self, call: &EngineRequest, run: u64, position: u64) -> NextChunk {
        let Some(stream) = self.streams.get(&call.request).filter(|s| s.run == run) else {
            return NextChunk::Ended;
        };
        if position >= stream.limit {
            return NextChunk::Ended;
        }
        if position >= stream.tokens {
            return NextChunk::Pending;
        }
        NextChunk::Ready(Chunk {
            request: call.request.clone(),
            attempt: call.attempt,
            model: stream.reported_model.clone(),
            position,
            text: token_text(&stream.model, &stream.prompt, position),
            last: position + 1 == stream.limit,
        })
    }

    /// Reserves a slot for a load; returns the incarnation, by which [`Self::end_load`] notices a
    /// restart during the load.
    pub fn start_load(&mut self, model: &ModelRef) -> Result<Incarnation, EngineRefusal> {
        if self.slots.len() >= self.slots_limit && !self.slots.contains_key(model) {
            return Err(EngineRefusal::NoSlot);
        }
        let incarnation = self.incarnation;
        self.slots.entry(model.clone()).or_insert(Slot {
            ready: false,
            serving: 0,
            incarnation,
        });
        Ok(incarnation)
    }

    /// Ends a load; returns `false` if it failed.
    pub fn end_load(&mut self, model: &ModelRef, incarnation: Incarnation, fetched: bool) -> bool {
        let fails = self.faults.fail_loads > 0;
        self.faults.fail_loads = self.faults.fail_loads.saturating_sub(1);
        let Some(slot) = self
            .slots
            .get_mut(model)
            .filter(|slot| slot.incarnation == incarnation)
        else {
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

    /// Frees a slot. An order to unload a model that is serving is refused and counted.
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

    /// Restarts as a new incarnation without adapters, requests and the highest fence seen.
    pub fn restart(&mut self) {
        self.incarnation = unix_ms().max(self.incarnation + 1);
        self.fence_guard = FenceGuard::default();
        self.slots.clear();
        self.streams.clear();
        self.finished_requests.clear();
        self.running = 0;
        self.leaving = false;
    }

    /// Starts draining: running requests continue, new ones are refused.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The injected faults.
    pub fn faults(&self) -> EngineFaults {
        self.faults
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: EngineFaults) {
        self.faults = faults;
    }

    /// Whether this request is to hang; consumes one such fault.
    pub fn take_hang(&mut self) -> bool {
        let hangs = self.faults.hang_requests > 0;
        self.faults.hang_requests = self.faults.hang_requests.saturating_sub(1);
        hangs
    }

    /// Position at which to cut off this stream; consumes one such fault.
    pub fn take_break(&mut self) -> Option<u64> {
        if self.faults.break_streams == 0 {
            return None;
        }
        self.faults.break_streams -= 1;
        Some(self.faults.break_at)
    }

    /// Whether every chunk is sent twice.
    pub fn sends_chunks_twice(&self) -> bool {
        self.faults.repeat_chunks
    }

    /// The report of what ran.
    pub fn report(&self) -> &EngineReport {
        &self.report
    }

    fn reported_model_of(&mut self, model: &ModelRef) -> ModelRef {
        if self.faults.wrong_models == 0 {
            return model.clone();
        }
        self.faults.wrong_models -= 1;
        ModelRef::new(model.adapter(), "another-version")
    }

    fn release_place(&mut self, model: &ModelRef) {
        self.running = self.running.saturating_sub(1);
        if let Some(slot) = self.slots.get_mut(model) {
            slot.serving = slot.serving.saturating_sub(1);
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |age| age.as_millis() as u64)
}
