//! Tests of admission control and fair sharing at a server at capacity, on virtual time.

use std::collections::HashMap;
use std::rc::Rc;

use quickcheck::QuickCheck;
use tinbay_core::accounts::account::{Account, LimitUnit};
use tinbay_core::limits::terms::Limit;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::sharing::admission::{
    AdmissionAnswer, AdmissionId, AdmissionQueue, AdmissionRequest, Decision,
};
use tinbay_core::sharing::scarcity::{Scarcity, ServerLoad};
use tinbay_core::sharing::weights::AccountWeights;
use tinbay_core::units::Millis;

const SLOTS: usize = 12;
const OBJECTIVE_MS: Millis = 800;
const HOLD_MS: Millis = 1_200;
const UNITS: f64 = 1_600.0;
/// Intervals at which boxes report ended requests, while the server has spare capacity and while it
/// is at capacity.
const REPORT_MS: Millis = 250;
const REPORT_SCARCE_MS: Millis = 50;
const BOXES: u32 = 4;
/// Retry time of rejected requests for which no slot can be scheduled.
const MAX_RETRY_MS: Millis = 4_000;

/// A server that runs some requests concurrently and queues the others by rank and arrival, with or
/// without admission control.
struct Simulation {
    admission: Option<AdmissionQueue>,
    weights: AccountWeights,
    now_ms: Millis,
    /// Requests at the server: running ones, and those in its own queue.
    running: Vec<Request>,
    queued: Vec<Request>,
    /// Requests that wait for admission.
    waiting: HashMap<u32, Request>,
    /// Requests at the server, as reported by the boxes.
    reported: usize,
    next_number: u32,
    results: Vec<Outcome>,
    max_queued: usize,
    random: Random,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    account: Fingerprint,
    rank: u8,
    arrived_ms: Millis,
    hold_ms: Millis,
    units: f64,
    digest: u64,
    ends_ms: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Outcome {
    account: Fingerprint,
    rank: u8,
    units: f64,
    arrived_ms: Millis,
    /// How long it waited for a slot; absent if it was rejected.
    waited_ms: Option<Millis>,
    /// Retry time; absent if it was admitted.
    retry_in_ms: Option<Millis>,
    digest: u64,
}

impl Outcome {
    fn is_in_time(&self) -> bool {
        self.waited_ms
            .is_some_and(|waited_ms| waited_ms <= OBJECTIVE_MS)
    }
}

impl Simulation {
    fn new(is_shared: bool) -> Self {
        Self::with_seed(is_shared, SEEDS[0])
    }

    fn with_seed(is_shared: bool, seed: u64) -> Self {
        Self {
            admission: is_shared.then(AdmissionQueue::default),
            weights: AccountWeights::default(),
            now_ms: 10_000,
            running: Vec::new(),
            queued: Vec::new(),
            waiting: HashMap::new(),
            reported: 0,
            next_number: 0,
            results: Vec::new(),
            max_queued: 0,
            random: Random(seed),
        }
    }

    fn request(&mut self, account: Fingerprint) -> Request {
        Request {
            account,
            rank: 0,
            arrived_ms: self.now_ms,
            hold_ms: self.random.hold_ms(),
            units: UNITS,
            digest: u64::from(self.next_number),
            ends_ms: 0,
        }
    }

    fn arrive(&mut self, request: Request) {
        self.next_number += 1;
        let number = self.next_number;
        let is_scarce = self
            .admission
            .as_ref()
            .is_some_and(AdmissionQueue::is_scarce);
        if !is_scarce {
            self.send(request, number % BOXES);
            return;
        }
        self.waiting.insert(number, request);
        let ask = self.admission_request(number, &request);
        if let Some(admission) = &mut self.admission {
            admission.ask(ask, self.now_ms);
        }
        self.decide();
    }

    fn admission_request(&self, number: u32, request: &Request) -> AdmissionRequest {
        AdmissionRequest {
            id: AdmissionId {
                box_key: number % BOXES,
                number,
            },
            account: request.account,
            rank: request.rank,
            units: request.units,
            prefill_ms: 0.0,
            in_time_ms: OBJECTIVE_MS.saturating_sub(self.now_ms - request.arrived_ms),
            digest: request.digest,
        }
    }

    /// Sends a request to the server; its box reports that at once.
    fn send(&mut self, request: Request, box_key: Fingerprint) {
        self.queued.push(request);
        self.reported += 1;
        self.start_next();
        if let Some(admission) = &mut self.admission {
            admission.note_begun(box_key, 1, self.now_ms);
        }
        self.decide();
    }

    fn start_next(&mut self) {
        while self.running.len() < SLOTS && !self.queued.is_empty() {
            let key = |request: &Request| (request.rank, request.arrived_ms);
            let first = (0..self.queued.len()).min_by_key(|at| key(&self.queued[*at]));
            let mut request = self.queued.remove(first.expect("one"));
            request.ends_ms = self.now_ms + request.hold_ms;
            self.note(&request, Some(self.now_ms - request.arrived_ms), None);
            self.running.push(request);
        }
        self.max_queued = self.max_queued.max(self.queued.len());
    }

    fn note(&mut self, request: &Request, waited_ms: Option<Millis>, retry: Option<Millis>) {
        self.results.push(Outcome {
            account: request.account,
            rank: request.rank,
            units: request.units,
            arrived_ms: request.arrived_ms,
            waited_ms,
            retry_in_ms: retry,
            digest: request.digest,
        });
    }

    fn server_load(&self) -> ServerLoad {
        ServerLoad {
            running: self.reported,
            slots: SLOTS,
            backlog_ms: 0.0,
            objective_ms: OBJECTIVE_MS,
        }
    }

    fn decide(&mut self) {
        let server_load = self.server_load();
        let Some(admission) = &mut self.admission else {
            return;
        };
        let decisions = admission.decide(server_load, &self.weights, self.now_ms);
        for decision in decisions {
            self.apply(decision);
        }
    }

    fn apply(&mut self, decision: Decision) {
        let request = self.waiting.remove(&decision.id.number).expect("known");
        match decision.answer {
            AdmissionAnswer::Admitted => self.send(request, decision.id.box_key),
            AdmissionAnswer::Rejected { retry_after_ms } => {
                self.note(&request, None, Some(retry_after_ms))
            }
        }
    }

    /// Advances the time by one millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        self.running.retain(|request| request.ends_ms > now_ms);
        self.start_next();
        let is_scarce = self
            .admission
            .as_ref()
            .is_some_and(AdmissionQueue::is_scarce);
        let report_ms = if is_scarce {
            REPORT_SCARCE_MS
        } else {
            REPORT_MS
        };
        if now_ms.is_multiple_of(report_ms) {
            self.reported = self.running.len() + self.queued.len();
        }
        if now_ms.is_multiple_of(100) {
            let waiting: Vec<(u32, Request)> = self
                .waiting
                .iter()
                .map(|(number, of)| (*number, *of))
                .collect();
            for (number, request) in waiting {
                let ask = self.admission_request(number, &request);
                if let Some(admission) = &mut self.admission {
                    admission.ask(ask, now_ms);
                }
            }
        }
        if now_ms.is_multiple_of(50) {
            self.decide();
        }
    }

    /// Draws the arrivals of one millisecond, given the mean interval of each account.
    fn arrive_at_random(&mut self, gaps_ms: &[(Fingerprint, Millis)]) {
        for (account, gap_ms) in gaps_ms {
            if self.random.is_due(*gap_ms) {
                let request = self.request(*account);
                self.arrive(request);
            }
        }
    }

    /// Plays random arrivals, given the mean interval of each account.
    fn simulate(&mut self, gaps_ms: &[(Fingerprint, Millis)], for_ms: Millis) {
        for _ in 0..for_ms {
            self.arrive_at_random(gaps_ms);
            self.step();
        }
    }

    /// Fraction of the accounts' requests that started in time, among those that arrived at
    /// `from_ms` or later.
    fn in_time(&self, accounts: &[Fingerprint], from_ms: Millis) -> f64 {
        let outcomes = self.results.iter();
        let of: Vec<&Outcome> = outcomes
            .filter(|outcome| accounts.contains(&outcome.account) && outcome.arrived_ms >= from_ms)
            .collect();
        fraction_in_time(&of)
    }
}

fn fraction_in_time(outcomes: &[&Outcome]) -> f64 {
    let in_time = outcomes.iter().filter(|outcome| outcome.is_in_time());
    in_time.count() as f64 / outcomes.len().max(1) as f64
}

/// Plays a load after some usual work, for each seed. Returns the mean fraction of the other
/// accounts' requests that started in time.
fn others_in_time(is_shared: bool, surging: &[Fingerprint], load: impl Fn(&mut Simulation)) -> f64 {
    let others: Vec<Fingerprint> = (1..=10).filter(|one| !surging.contains(one)).collect();
    let fractions = SEEDS.iter().map(|seed| {
        let mut world = Simulation::with_seed(is_shared, *seed);
        world.simulate(&usual(), 4_000);
        let from_ms = world.now_ms;
        load(&mut world);
        world.in_time(&others, from_ms)
    });
    fractions.sum::<f64>() / SEEDS.len() as f64
}

/// Pseudo-random numbers (xorshift), the same in each run.
#[derive(Debug, Clone, Copy)]
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Whether an event with a mean interval of `gap_ms` happens in this millisecond.
    fn is_due(&mut self, gap_ms: Millis) -> bool {
        self.next().is_multiple_of(gap_ms)
    }

    /// Time for which a request occupies its slot.
    fn hold_ms(&mut self) -> Millis {
        HOLD_MS / 2 + self.next() % HOLD_MS
    }
}

/// Seeds of loads that are played several times.
const SEEDS: [u64; 5] = [
    0x9e37_79b9_7f4a_7c15,
    0xbf58_476d_1ce4_e5b9,
    0x94d0_49bb_1331_11eb,
    0x2545_f491_4f6c_dd1d,
    0xd6e8_feb8_6659_fd93,
];

/// Mean interval between requests of an account under usual load.
const USUAL_GAP_MS: Millis = 1_500;

/// Usual load: ten accounts that together use about 70 % of the slots.
fn usual() -> Vec<(Fingerprint, Millis)> {
    (1..=10).map(|account| (account, USUAL_GAP_MS)).collect()
}

fn surge(accounts: &[Fingerprint]) -> Vec<(Fingerprint, Millis)> {
    let mut gaps_ms = usual();
    for (account, gap_ms) in &mut gaps_ms {
        if accounts.contains(account) {
            *gap_ms = 40;
        }
    }
    gaps_ms
}

/// Minimum fraction of requests in time for an account within its fair share.
const MIN_IN_TIME: f64 = 0.95;

/// One account sends many times its usual load: the others are not affected.
#[test]
fn surge_of_one_account_does_not_delay_others() {
    let in_time = others_in_time(true, &[3], |world| world.simulate(&surge(&[3]), 6_000));
    assert!(in_time >= MIN_IN_TIME, "{in_time}");
}

/// The same load without admission control, where requests of all accounts are late.
#[test]
fn surge_of_one_account_without_admission_delays_all() {
    let in_time = others_in_time(false, &[3], |world| world.simulate(&surge(&[3]), 6_000));
    assert!(in_time < 0.5, "{in_time}");
}

/// Two accounts surge: they share the capacity that the others leave.
#[test]
fn surge_of_two_accounts_shared_between_them() {
    let in_time = others_in_time(true, &[3, 7], |world| {
        world.simulate(&surge(&[3, 7]), 8_000)
    });
    assert!(in_time >= MIN_IN_TIME, "{in_time}");
    let mut world = Simulation::new(true);
    world.simulate(&usual(), 4_000);
    world.simulate(&surge(&[3, 7]), 8_000);
    let admitted = |account| {
        let of_account = |outcome: &&Outcome| outcome.account == account;
        let started = world.results.iter().filter(of_account);
        started
            .filter(|outcome| outcome.waited_ms.is_some())
            .count()
    };
    let (third, seventh) = (admitted(3) as f64, admitted(7) as f64);
    assert!(
        (0.7..=1.43).contains(&(third / seventh)),
        "{third} {seventh}"
    );
}

/// Capacity that one account leaves unused goes to the other, so that the slots stay in use.
#[test]
fn unused_capacity_goes_to_other_accounts() {
    let mut world = Simulation::new(true);
    world.simulate(&[(1, 30), (2, 2_000)], 12_000);
    let started = world
        .results
        .iter()
        .filter(|outcome| outcome.waited_ms.is_some());
    let held_ms = started.count() as f64 * HOLD_MS as f64;
    let capacity_ms = 12_000.0 * SLOTS as f64;
    assert!(held_ms >= 0.9 * capacity_ms, "{held_ms} of {capacity_ms}");
}

/// With spare capacity, requests need no admission and do not wait.
#[test]
fn spare_capacity_needs_no_admission() {
    let mut world = Simulation::new(true);
    let half: Vec<_> = usual().into_iter().take(6).collect();
    world.simulate(&half, 10_000);
    assert!(
        !world
            .admission
            .as_ref()
            .is_some_and(AdmissionQueue::is_scarce)
    );
    assert!(world.results.iter().all(|of| of.waited_ms == Some(0)));
    world.simulate(&usual(), 10_000);
    assert!(world.results.iter().all(Outcome::is_in_time));
}

/// The server's own queue stays short.
#[test]
fn queue_at_the_server_is_bounded() {
    let mut world = Simulation::new(true);
    world.simulate(&usual(), 4_000);
    world.simulate(&surge(&[3]), 6_000);
    assert!(world.max_queued <= SLOTS / 2, "{}", world.max_queued);
}

/// Admitted requests start in time, and rejected ones get a retry time.
#[test]
fn admitted_start_in_time_and_rejected_get_a_retry_time() {
    let mut world = Simulation::new(true);
    world.simulate(&usual(), 4_000);
    let from_ms = world.now_ms;
    world.simulate(&surge(&[3]), 6_000);
    let since = world.results.iter().filter(|of| of.arrived_ms >= from_ms);
    let (admitted, rejected): (Vec<&Outcome>, Vec<&Outcome>) =
        since.partition(|of| of.waited_ms.is_some());
    let in_time = admitted.iter().filter(|of| of.is_in_time()).count();
    assert!(in_time as f64 >= MIN_IN_TIME * admitted.len() as f64);
    assert!(!rejected.is_empty());
    assert!(rejected.iter().all(|of| of.retry_in_ms > Some(0)));
}

/// Within an account, requests of better rank go first.
#[test]
fn better_rank_goes_first_within_an_account() {
    let mut world = Simulation::new(true);
    let began_ms = world.now_ms;
    for round in 0..300 {
        for rank in [2, 0] {
            let request = world.request(1);
            world.arrive(Request { rank, ..request });
        }
        for _ in 0..if round < 20 { 10 } else { 150 } {
            world.step();
        }
    }
    let from_ms = began_ms + 4_000;
    let in_time = |rank| {
        let since = world.results.iter().filter(|of| of.arrived_ms >= from_ms);
        let all: Vec<_> = since.filter(|of| of.rank == rank).collect();
        all.iter().filter(|of| of.is_in_time()).count() as f64 / all.len() as f64
    };
    assert!(in_time(0) > 0.9, "{}", in_time(0));
    assert!(in_time(0) >= in_time(2));
}

/// Requests five times as long as others of their account are admitted about as often.
#[test]
fn long_are_not_starved() {
    let mut world = Simulation::new(true);
    for round in 0..400 {
        let (short, long) = (UNITS, 5.0 * UNITS);
        let pair = if round % 2 == 0 {
            [short, long]
        } else {
            [long, short]
        };
        for units in pair {
            let request = world.request(1);
            world.arrive(Request { units, ..request });
        }
        for _ in 0..60 {
            world.step();
        }
    }
    let in_time = |units: f64| {
        let all: Vec<_> = world
            .results
            .iter()
            .filter(|of| of.units == units)
            .collect();
        all.iter().filter(|of| of.is_in_time()).count() as f64 / all.len() as f64
    };
    let (short, long) = (in_time(UNITS), in_time(5.0 * UNITS));
    assert!(long >= 0.7 * short, "{long} {short}");
}

/// Accounts share tokens, so that an account with long requests gets fewer of them admitted.
#[test]
fn accounts_share_tokens_and_not_requests() {
    let mut world = Simulation::new(true);
    for _ in 0..300 {
        for (account, units) in [(1, UNITS), (2, 3.0 * UNITS)] {
            let request = world.request(account);
            world.arrive(Request { units, ..request });
        }
        for _ in 0..40 {
            world.step();
        }
    }
    let units = |account| -> f64 {
        let of_account = world.results.iter().filter(|of| of.account == account);
        of_account
            .filter(|of| of.waited_ms.is_some())
            .map(|of| of.units)
            .sum()
    };
    let ratio = units(1) / units(2);
    assert!((0.6..=1.6).contains(&ratio), "{ratio}");
}

/// Retries at the given time are admitted before new requests of their account.
#[test]
fn retry_at_its_time_goes_before_new_requests() {
    let mut world = Simulation::new(true);
    let mut due: Vec<(Millis, u64)> = Vec::new();
    let mut seen = 0;
    let mut retried = Vec::new();
    for _ in 0..10_000 {
        if world.now_ms.is_multiple_of(50) {
            let request = world.request(1);
            let digest = 1_000_000 + request.digest;
            world.arrive(Request { digest, ..request });
        }
        for outcome in world.results.iter().skip(seen) {
            if let Some(retry_in_ms) = outcome.retry_in_ms
                && retry_in_ms < MAX_RETRY_MS
                && outcome.digest >= 1_000_000
            {
                due.push((world.now_ms + retry_in_ms, outcome.digest));
            }
        }
        seen = world.results.len();
        let now_ms = world.now_ms;
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|of| of.0 <= now_ms);
        due = later;
        for (_, digest) in ready {
            let request = world.request(1);
            retried.push((now_ms, digest));
            world.arrive(Request { digest, ..request });
        }
        world.step();
    }
    assert!(retried.len() > 20);
    let is_served = |(arrived_ms, digest): &&(Millis, u64)| {
        let mut of = world.results.iter();
        of.any(|of| of.digest == *digest && of.arrived_ms == *arrived_ms && of.is_in_time())
    };
    let decided = retried
        .iter()
        .filter(|(arrived_ms, _)| arrived_ms + 1_000 < world.now_ms);
    let decided: Vec<_> = decided.collect();
    let served = decided.iter().filter(|of| is_served(of)).count();
    assert!(
        served as f64 >= 0.9 * decided.len() as f64,
        "{served} of {}",
        decided.len()
    );
}

/// Callers that retry at once after each rejection gain nothing over others.
#[test]
fn immediate_retries_do_not_delay_other_accounts() {
    let load = |world: &mut Simulation| {
        let mut seen = world.results.len();
        for _ in 0..6_000 {
            world.arrive_at_random(&surge(&[3]));
            let again: Vec<Outcome> = world.results[seen..].to_vec();
            seen = world.results.len();
            for outcome in again.iter().filter(|of| of.retry_in_ms.is_some()).take(2) {
                let request = world.request(outcome.account);
                let digest = outcome.digest;
                world.arrive(Request { digest, ..request });
            }
            world.step();
        }
    };
    let in_time = others_in_time(true, &[3], load);
    assert!(in_time >= MIN_IN_TIME, "{in_time}");
}

/// The holder of the server fails. The new one only knows what the boxes report and still does not
/// overfill the server.
#[test]
fn new_holder_does_not_overfill_the_server() {
    let load = |world: &mut Simulation| {
        world.simulate(&surge(&[3]), 2_000);
        world.admission = Some(AdmissionQueue::default());
        world.waiting.clear();
        world.decide();
        world.simulate(&surge(&[3]), 6_000);
        assert!(world.max_queued <= SLOTS / 2, "{}", world.max_queued);
    };
    let in_time = others_in_time(true, &[3], load);
    assert!(in_time >= MIN_IN_TIME, "{in_time}");
}

/// Two holders that each hear of half of the requests send the server at most twice its capacity.
#[test]
fn two_holders_admit_at_most_twice_the_capacity() {
    let mut admissions = [AdmissionQueue::default(), AdmissionQueue::default()];
    let weights = AccountWeights::default();
    let mut admitted = 0;
    for admission in &mut admissions {
        for number in 0..200 {
            admission.ask(ask(1, number, 0), 1_000);
        }
        let decisions = admission.decide(load_of(0), &weights, 1_000);
        admitted += decisions.iter().filter(is_admitted).count();
    }
    assert!(admitted <= 2 * (SLOTS + SLOTS / 4), "{admitted}");
}

fn is_admitted(decision: &&Decision) -> bool {
    decision.answer == AdmissionAnswer::Admitted
}

fn load_of(running: usize) -> ServerLoad {
    ServerLoad {
        running,
        slots: SLOTS,
        backlog_ms: 0.0,
        objective_ms: OBJECTIVE_MS,
    }
}

fn ask(account: Fingerprint, number: u32, rank: u8) -> AdmissionRequest {
    AdmissionRequest {
        id: AdmissionId { box_key: 1, number },
        account,
        rank,
        units: UNITS,
        prefill_ms: 0.0,
        in_time_ms: OBJECTIVE_MS,
        digest: u64::from(number),
    }
}

/// A box freezes after its requests were admitted: unless their start is reported, they stop
/// counting after a while.
#[test]
fn slots_of_a_frozen_box_are_released() {
    let mut admission = AdmissionQueue::default();
    let weights = AccountWeights::default();
    for number in 0..15 {
        admission.ask(ask(1, number, 0), 1_000);
    }
    let first = admission.decide(load_of(0), &weights, 1_000);
    assert_eq!(first.iter().filter(is_admitted).count(), 15);
    admission.ask(ask(2, 100, 0), 1_010);
    assert!(admission.decide(load_of(0), &weights, 1_010).is_empty());
    admission.ask(ask(2, 100, 0), 1_300);
    let later = admission.decide(load_of(0), &weights, 1_300);
    assert_eq!(later.iter().filter(is_admitted).count(), 1);
}

/// A repeated request for admission counts once; one that is no longer repeated is dropped.
#[test]
fn repeated_request_counts_once_and_abandoned_is_dropped() {
    let mut admission = AdmissionQueue::default();
    for now_ms in [1_000, 1_100, 1_200] {
        admission.ask(ask(1, 7, 0), now_ms);
    }
    assert_eq!(admission.waiting_count(), 1);
    admission.decide(load_of(SLOTS * 2), &AccountWeights::default(), 2_000);
    assert_eq!(admission.waiting_count(), 0);
}

/// After a lost decision, the repeated request gets the same decision and counts once.
#[test]
fn repeated_request_after_a_lost_decision_is_admitted_once() {
    let mut admission = AdmissionQueue::default();
    let weights = AccountWeights::default();
    admission.ask(ask(1, 7, 0), 1_000);
    let first = admission.decide(load_of(SLOTS + 2), &weights, 1_000);
    admission.ask(ask(1, 7, 0), 1_100);
    admission.ask(ask(1, 8, 0), 1_100);
    let second = admission.decide(load_of(SLOTS + 2), &weights, 1_100);
    assert_eq!(first, second);
    assert_eq!(first.len(), 1);
    assert_eq!(admission.waiting_count(), 1);
}

/// Two accounts that both exceed the capacity share it by weight.
#[test]
fn capacity_is_shared_by_weight() {
    let (small, large) = (
        account(Some(10.0), LimitUnit::Requests),
        account(Some(30.0), LimitUnit::Requests),
    );
    let mut world = Simulation::new(true);
    world.weights = AccountWeights::new(&[(1, &small), (2, &large)]);
    world.simulate(&[(1, 60), (2, 60)], 20_000);
    let admitted = |account| {
        let of_account = world.results.iter().filter(|of| of.account == account);
        of_account.filter(|of| of.waited_ms.is_some()).count() as f64
    };
    let ratio = admitted(2) / admitted(1);
    assert!((2.0..=4.0).contains(&ratio), "{ratio}");
}

#[test]
fn scarcity_ends_only_after_lasting_spare_capacity() {
    let mut scarcity = Scarcity::default();
    scarcity.update(load_of(SLOTS - 1), false, 0);
    assert!(!scarcity.is_scarce());
    scarcity.update(load_of(SLOTS), false, 10);
    assert!(scarcity.is_scarce());
    scarcity.update(load_of(SLOTS / 2), false, 20);
    scarcity.update(load_of(SLOTS / 2), false, 400);
    assert!(scarcity.is_scarce());
    scarcity.update(load_of(SLOTS - 1), false, 450);
    scarcity.update(load_of(SLOTS / 2), false, 500);
    scarcity.update(load_of(SLOTS / 2), false, 900);
    assert!(scarcity.is_scarce());
    scarcity.update(load_of(SLOTS / 2), false, 1_000);
    assert!(!scarcity.is_scarce());
}

/// A large prefill backlog makes a server scarce although it has free slots.
#[test]
fn large_prefill_backlog_begins_scarcity() {
    let mut scarcity = Scarcity::default();
    let backlogged = ServerLoad {
        backlog_ms: OBJECTIVE_MS as f64 * 0.75,
        ..load_of(1)
    };
    scarcity.update(backlogged, false, 0);
    assert!(scarcity.is_scarce());
}

fn account(per_s: Option<f64>, unit: LimitUnit) -> Account {
    Account {
        name: Rc::from("account"),
        keys: Vec::new(),
        priority: 0,
        unit,
        limit: per_s.map(|per_s| Limit {
            per_s,
            burst: per_s,
        }),
    }
}

#[test]
fn weights_follow_limits_that_can_be_compared() {
    let (small, large) = (
        account(Some(10.0), LimitUnit::Requests),
        account(Some(40.0), LimitUnit::Requests),
    );
    let weights = AccountWeights::new(&[(1, &small), (2, &large)]);
    assert!((weights.of(2) / weights.of(1) - 4.0).abs() < 1e-9);
    let none = account(None, LimitUnit::Requests);
    let weights = AccountWeights::new(&[(1, &small), (2, &none)]);
    assert!((weights.of(2) - weights.of(1)).abs() < 1e-9);
    let tokens = account(Some(40_000.0), LimitUnit::Tokens { plain_tokens: 1 });
    let weights = AccountWeights::new(&[(1, &small), (2, &tokens)]);
    assert!((weights.of(2) - weights.of(1)).abs() < 1e-9);
}

/// At a server with free slots and a large prefill backlog, requests of an account above its fair
/// share wait, and those of others go first.
#[test]
fn large_prefill_backlog_delays_accounts_above_their_share() {
    let mut admission = AdmissionQueue::default();
    let weights = AccountWeights::default();
    let prefilling = |account, number| AdmissionRequest {
        prefill_ms: 60.0,
        ..ask(account, number, 0)
    };
    for number in 0..8 {
        admission.ask(prefilling(1, number), 1_000);
    }
    admission.ask(prefilling(2, 50), 1_000);
    let first = admission.decide(load_of(0), &weights, 1_000);
    assert_eq!(first.iter().filter(is_admitted).count(), 9);
    admission.note_begun(1, 9, 1_010);
    let backlogged = |backlog_ms| ServerLoad {
        backlog_ms,
        ..load_of(9)
    };
    admission.ask(prefilling(1, 100), 1_010);
    admission.ask(prefilling(2, 101), 1_010);
    let next = admission.decide(backlogged(540.0), &weights, 1_010);
    let numbers: Vec<u32> = next
        .iter()
        .filter(is_admitted)
        .map(|of| of.id.number)
        .collect();
    assert_eq!(numbers, vec![101]);
    assert_eq!(admission.waiting_count(), 1);
    let later = admission.decide(backlogged(300.0), &weights, 1_250);
    assert_eq!(later.iter().filter(is_admitted).count(), 1);
}

/// While slots are free, nothing is rejected, even if the estimated prefill backlog is far too
/// high.
#[test]
fn large_prefill_backlog_rejects_nothing_while_slots_are_free() {
    let mut admission = AdmissionQueue::default();
    let weights = AccountWeights::default();
    let overestimated = ServerLoad {
        backlog_ms: 60_000.0,
        ..load_of(1)
    };
    for number in 0..SLOTS as u32 - 1 {
        admission.ask(ask(number % 3, number, 0), 1_000);
    }
    let decisions = admission.decide(overestimated, &weights, 1_000);
    assert!(decisions.iter().all(|of| is_admitted(&of)), "{decisions:?}");
    admission.ask(ask(1, 100, 0), 1_300);
    let later_ms = 1_300 + OBJECTIVE_MS;
    let next = admission.decide(overestimated, &weights, 1_300);
    admission.ask(ask(1, 100, 0), later_ms - 100);
    let later = admission.decide(overestimated, &weights, later_ms);
    let all: Vec<&Decision> = next.iter().chain(&later).collect();
    assert!(all.iter().all(is_admitted), "{all:?}");
    assert!(!all.is_empty());
}

/// For any requests, each gets at most one decision, the server is not overfilled, and nothing is
/// rejected while slots are free.
#[test]
fn decide_keeps_its_bounds_whatever_is_asked() {
    fn property(asks: Vec<(u8, u8, u16, u16)>, running: u8) -> bool {
        let running = usize::from(running) % (2 * SLOTS);
        let mut admission = AdmissionQueue::default();
        for (number, (account, rank, units, in_time_ms)) in asks.iter().enumerate() {
            let ask = AdmissionRequest {
                account: u32::from(account % 5),
                rank: rank % 10,
                units: f64::from(*units),
                in_time_ms: Millis::from(in_time_ms % 2_000),
                ..ask(0, number as u32, 0)
            };
            admission.ask(ask, 1_000);
        }
        let decisions = admission.decide(load_of(running), &AccountWeights::default(), 1_000);
        let admitted = decisions.iter().filter(is_admitted).count();
        let rejected = decisions.len() - admitted;
        let is_whole = decisions.len() + admission.waiting_count() == asks.len();
        let is_bounded = admitted <= (SLOTS + SLOTS / 4).saturating_sub(running);
        let was_needed = rejected == 0 || running + admitted >= SLOTS;
        is_whole && is_bounded && was_needed
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, u16, u16)>, u8) -> bool);
}
