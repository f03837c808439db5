//! A holder and a server that loses orders or carries them out late, in virtual time.

use std::collections::HashSet;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::serving::configuration::{EngineProperties, ModelSpec};
use tinbay_core::serving::contents::{
    Action, AdapterKey, Contents, ModelAllowance, OrderAnswer, OrderContext, adapter_key,
};
use tinbay_core::serving::servers::{HeldAdapter, Report};
use tinbay_core::serving::wanted_loads::{WantedLoad, WantedLoads};
use tinbay_core::units::Millis;

/// Adapter slots of the server.
const SLOTS: usize = 4;

/// Number of adapters that are requested.
const ADAPTERS: u64 = 12;

/// Interval between attempts to send an order.
const SEND_INTERVAL_MS: Millis = 60;

/// Most repeated attempts to send one order.
const MAX_RESENDS: usize = 6;

/// Longest delay after which a lost order is carried out.
const MAX_DELAY_MS: Millis = 12_000;

/// Age of the state that a report shows.
const REPORT_AGE_MS: Millis = 300;

/// Duration of a load.
const LOAD_MS: Millis = 250;

/// Delay until the holder learns of a running request.
const USE_REPORT_DELAY_MS: Millis = 100;

/// Interval between requests.
const REQUEST_INTERVAL_MS: Millis = 40;

/// Longest duration of a request.
const MAX_REQUEST_MS: Millis = 1_000;

/// Simulated time of one run.
const RUN_MS: Millis = 60_000;

/// Simulated time within which every adapter gets loaded: while nine of ten orders are lost, a load
/// takes some seconds.
const LONG_RUN_MS: Millis = 180_000;

/// Number of runs, each with its own seed.
const SEEDS: u64 = 400;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ServerState {
    count: u64,
    held: Vec<String>,
    unloading: Vec<String>,
}

/// A running request.
struct RunningRequest {
    adapter: String,
    began_ms: Millis,
    end_ms: Millis,
}

struct LateOrder {
    due_ms: Millis,
    action: Action,
}

/// A server with the behaviour that the platform specifies.
struct FakeServer {
    state: ServerState,
    history: Vec<(Millis, ServerState)>,
    late: Vec<LateOrder>,
    loading: Vec<(String, Millis)>,
    running: Vec<RunningRequest>,
    /// Whether it accepts no order while an unload waits for running requests.
    is_blocked_by_unloads: bool,
    most_held: usize,
    ever_held: HashSet<String>,
}

impl FakeServer {
    fn new(is_blocked_by_unloads: bool) -> Self {
        Self {
            is_blocked_by_unloads,
            state: ServerState::default(),
            history: Vec::new(),
            late: Vec::new(),
            loading: Vec::new(),
            running: Vec::new(),
            most_held: 0,
            ever_held: HashSet::new(),
        }
    }

    fn advance_to(&mut self, now_ms: Millis) {
        while let Some(position) = self.late.iter().position(|late| late.due_ms <= now_ms) {
            let late = self.late.remove(position);
            self.accept_late(&late.action, now_ms);
        }
        self.loading.retain(|(_, done_ms)| *done_ms > now_ms);
        self.running.retain(|run| run.end_ms > now_ms);
        self.end_unloads();
        if self
            .history
            .last()
            .is_none_or(|(_, last)| *last != self.state)
        {
            self.history.push((now_ms, self.state.clone()));
        }
    }

    fn is_running(&self, adapter: &str) -> bool {
        self.running.iter().any(|run| run.adapter == adapter)
    }

    fn is_blocked(&self) -> bool {
        self.is_blocked_by_unloads && !self.state.unloading.is_empty()
    }

    /// Whether it would start requests for an adapter.
    fn serves(&self, adapter: &String) -> bool {
        let is_loading = self.loading.iter().any(|(loading, _)| loading == adapter);
        let is_unloading = self.state.unloading.contains(adapter);
        self.state.held.contains(adapter) && !is_loading && !is_unloading
    }

    fn end_unloads(&mut self) {
        let waiting = std::mem::take(&mut self.state.unloading);
        let (waiting, done): (Vec<String>, Vec<String>) = waiting
            .into_iter()
            .partition(|adapter| self.is_running(adapter));
        self.state.held.retain(|held| !done.contains(held));
        self.state.unloading = waiting;
    }

    /// A delayed load of an adapter that is held already may count as an order.
    fn accept_late(&mut self, action: &Action, now_ms: Millis) {
        let is_counted = matches!(action, Action::Load { adapter, expected_count, .. }
            if self.state.held.contains(adapter) && *expected_count == self.state.count);
        self.state.count += u64::from(is_counted);
        if !is_counted {
            self.take(action, now_ms);
        }
    }

    fn take(&mut self, action: &Action, now_ms: Millis) -> OrderAnswer {
        let is_held = |adapter: &String| self.state.held.contains(adapter);
        match action {
            Action::FetchReport | Action::PollReport => OrderAnswer::Refused,
            Action::Load { adapter, .. } if is_held(adapter) => {
                let is_loading = self.loading.iter().any(|(loading, _)| loading == adapter);
                if is_loading {
                    OrderAnswer::Accepted
                } else {
                    OrderAnswer::Done
                }
            }
            Action::Unload { adapter, .. } if !is_held(adapter) => OrderAnswer::Done,
            Action::Load { expected_count, .. } | Action::Unload { expected_count, .. }
                if self.is_blocked() || *expected_count != self.state.count =>
            {
                OrderAnswer::Conflict
            }
            Action::Load { adapter, .. } => {
                self.state.count += 1;
                self.state.held.push(adapter.clone());
                self.ever_held.insert(adapter.clone());
                self.loading.push((adapter.clone(), now_ms + LOAD_MS));
                self.most_held = self.most_held.max(self.state.held.len());
                OrderAnswer::Accepted
            }
            Action::Unload { adapter, .. } => {
                self.state.count += 1;
                self.state.unloading.push(adapter.clone());
                self.end_unloads();
                if self.state.unloading.contains(adapter) {
                    OrderAnswer::Accepted
                } else {
                    OrderAnswer::Done
                }
            }
        }
    }

    fn report(&self, now_ms: Millis) -> Report {
        let shown = self
            .history
            .iter()
            .rev()
            .find(|(time_ms, _)| time_ms + REPORT_AGE_MS <= now_ms);
        let state = shown.map(|(_, state)| state.clone()).unwrap_or_default();
        let known = |adapter: &String| HeldAdapter {
            adapter: adapter.clone(),
            version: 1,
        };
        Report {
            order_count: state.count,
            is_busy: self.is_blocked_by_unloads && !state.unloading.is_empty(),
            models: vec!["m".into()],
            adapters: state.held.iter().map(known).collect(),
            ..Report::default()
        }
    }
}

struct NoAllowance;

impl ModelAllowance for NoAllowance {
    fn take(&mut self) -> bool {
        false
    }
}

fn spec() -> EngineProperties {
    EngineProperties {
        batch_slots: 32,
        supports_handover: false,
        adapter_slots: SLOTS,
        loads_per_s: 9.3,
        weights_mb: 66_600.0,
        models: vec![ModelSpec {
            name: "m".into(),
            weights_mb: 65_100.0,
            adapter_mb: 12.0,
            adapters: 100,
        }],
    }
}

/// One simulated run of a holder and a server that loses most orders.
struct Simulation {
    random: SmallRng,
    server: FakeServer,
    contents: Contents,
    wants: WantedLoads,
    now_ms: Millis,
    next_request_ms: Millis,
    /// Fraction of messages that are lost.
    loss: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let loss = random.random_range(0.5..0.95);
        let is_blocked_by_unloads = random.random_bool(0.5);
        Self {
            random,
            server: FakeServer::new(is_blocked_by_unloads),
            contents: Contents::new(&spec(), 0),
            wants: WantedLoads::default(),
            now_ms: 0,
            next_request_ms: 0,
            loss,
        }
    }

    fn run_until(mut self, until_ms: Millis) -> Self {
        while self.now_ms < until_ms {
            self.request_adapter();
            let wants = self.wants.current(self.now_ms);
            match self.next_action(&wants) {
                None => self.advance(20),
                Some(Action::FetchReport) => {
                    let report = self.server.report(self.now_ms);
                    self.contents.record_report(&report, self.now_ms);
                    self.advance(2);
                }
                Some(Action::PollReport) => {
                    let report = self.server.report(self.now_ms);
                    for key in self.contents.record_poll(Some(&report), self.now_ms) {
                        self.wants.forget(key);
                    }
                    self.advance(2);
                }
                Some(action) => self.order(&action),
            }
        }
        self
    }

    fn next_action(&mut self, wants: &[WantedLoad]) -> Option<Action> {
        let known = |run: &&RunningRequest| run.began_ms + USE_REPORT_DELAY_MS <= self.now_ms;
        let in_use: HashSet<AdapterKey> = self
            .server
            .running
            .iter()
            .filter(known)
            .map(|run| adapter_key(&run.adapter))
            .collect();
        let context = OrderContext {
            published_version: &|_| None,
            is_in_use: &|key| in_use.contains(&key),
            now_ms: self.now_ms,
        };
        self.contents.next_action(wants, &context, &mut NoAllowance)
    }

    /// Requests arrive for random adapters, and run if the server holds theirs. The holder learns
    /// of that later, so that it may unload an adapter that has just come into use.
    fn request_adapter(&mut self) {
        if self.now_ms < self.next_request_ms {
            return;
        }
        self.next_request_ms = self.now_ms + REQUEST_INTERVAL_MS;
        let adapter = format!("m/a{}", self.random.random_range(0..ADAPTERS));
        if self.server.serves(&adapter) {
            let run_ms = self.random.random_range(50..MAX_REQUEST_MS);
            self.server.running.push(RunningRequest {
                adapter,
                began_ms: self.now_ms,
                end_ms: self.now_ms + run_ms,
            });
            return;
        }
        let want = WantedLoad {
            adapter,
            version: None,
            is_copy: false,
        };
        self.wants.add(want, self.now_ms);
    }

    fn order(&mut self, action: &Action) {
        let mut unanswered = 0;
        let mut answer = self.send(action);
        while answer == OrderAnswer::NoAnswer && unanswered < MAX_RESENDS {
            unanswered += 1;
            answer = self.send(action);
        }
        let settled = self
            .contents
            .resolve_answer(action, answer, unanswered, self.now_ms);
        self.contents.record_answer(action, settled, self.now_ms);
        if let (Action::Load { adapter, .. }, OrderAnswer::Done) = (action, settled) {
            self.wants.forget(adapter_key(adapter));
        }
    }

    /// One attempt: carried out and answered, or lost; a lost order may be carried out at once,
    /// later or never.
    fn send(&mut self, action: &Action) -> OrderAnswer {
        if !self.random.random_bool(self.loss) {
            let answer = self.server.take(action, self.now_ms);
            self.advance(2);
            return answer;
        }
        let delay_ms = match self.random.random_range(0..4) {
            0 => None,
            1 => Some(1),
            _ => Some(self.random.random_range(0..MAX_DELAY_MS)),
        };
        if let Some(delay_ms) = delay_ms {
            self.server.late.push(LateOrder {
                due_ms: self.now_ms + delay_ms,
                action: action.clone(),
            });
        }
        self.advance(SEND_INTERVAL_MS);
        OrderAnswer::NoAnswer
    }

    fn advance(&mut self, time_ms: Millis) {
        self.now_ms += time_ms;
        self.server.advance_to(self.now_ms);
    }
}

/// Guards against ordering a server to load more adapters than it has slots.
///
/// While an unload waits for a running request, all orders get a conflict. If the holder takes the
/// conflict after a lost answer for acceptance, it continues with counts that are too high. After a
/// report with a lower count it sends other orders for the same counts, and a delayed order is
/// carried out into a slot that is taken. Likewise, a poll of a load may be carried out late and
/// counted as an order, and the conflict after it be taken for acceptance of an unload.
///
/// A conflict says only that some order is in progress or that the count differs, and not that the
/// last order was carried out; and one count must not be used for several orders.
#[test]
fn order_lost_never_exceeds_slots() {
    for seed in 0..SEEDS {
        let simulation = Simulation::new(seed).run_until(RUN_MS);
        assert!(
            simulation.server.most_held <= SLOTS,
            "seed {seed}: {} adapters in {SLOTS} slots",
            simulation.server.most_held
        );
    }
}

/// All adapters are requested equally often; however many orders are lost, each one is loaded
/// eventually.
#[test]
fn order_lost_does_not_keep_any_adapter_from_loading() {
    for seed in 0..SEEDS {
        let simulation = Simulation::new(seed).run_until(LONG_RUN_MS);
        assert_eq!(
            simulation.server.ever_held.len() as u64,
            ADAPTERS,
            "seed {seed}, loss {}",
            simulation.loss
        );
    }
}
