//! Scarce room of a server shared among client accounts, on virtual time.

use std::collections::HashMap;
use std::rc::Rc;

use quickcheck::QuickCheck;
use tinbay_core::accounts::account::{Account, LimitUnit};
use tinbay_core::limits::terms::Limit;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::sharing::room::{AskId, Decision, RoomAnswer, RoomAsk, ServerRoom};
use tinbay_core::sharing::scarcity::{Fullness, Scarcity};
use tinbay_core::sharing::weights::AccountWeights;
use tinbay_core::units::Millis;

const SLOTS: usize = 12;
const OBJECTIVE_MS: Millis = 800;
const HOLD_MS: Millis = 1_200;
const UNITS: f64 = 1_600.0;
/// Pauses in which boxes tell the end of requests, while there is plenty and while room is scarce.
const TELL_MS: Millis = 250;
const TELL_SCARCE_MS: Millis = 50;
const BOXES: u32 = 4;
/// Time to come back of those for whom no room can be set aside.
const LONGEST_AWAY_MS: Millis = 4_000;

/// A server that works on some requests at once and lets the others wait by rank and arrival, with the room
/// that its holder deals, or without.
struct World {
    room: Option<ServerRoom>,
    weights: AccountWeights,
    now_ms: Millis,
    /// Requests at the server: those that run, and those that wait there.
    running: Vec<Request>,
    queued: Vec<Request>,
    waiting: HashMap<u32, Request>,
    /// What boxes told of requests at the server.
    told: usize,
    next_number: u32,
    results: Vec<Outcome>,
    most_queued: usize,
    draws: Draws,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    account: Fingerprint,
    rank: u8,
    came_ms: Millis,
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
    came_ms: Millis,
    /// How long it waited for its place; none where it was turned away.
    began_in_ms: Option<Millis>,
    turn_in_ms: Option<Millis>,
    digest: u64,
}

impl Outcome {
    fn is_in_time(&self) -> bool {
        self.began_in_ms
            .is_some_and(|began_ms| began_ms <= OBJECTIVE_MS)
    }
}

impl World {
    fn new(is_shared: bool) -> Self {
        Self::with_seed(is_shared, SEEDS[0])
    }

    fn with_seed(is_shared: bool, seed: u64) -> Self {
        Self {
            room: is_shared.then(ServerRoom::default),
            weights: AccountWeights::default(),
            now_ms: 10_000,
            running: Vec::new(),
            queued: Vec::new(),
            waiting: HashMap::new(),
            told: 0,
            next_number: 0,
            results: Vec::new(),
            most_queued: 0,
            draws: Draws(seed),
        }
    }

    fn request(&mut self, account: Fingerprint) -> Request {
        Request {
            account,
            rank: 0,
            came_ms: self.now_ms,
            hold_ms: self.draws.hold_ms(),
            units: UNITS,
            digest: u64::from(self.next_number),
            ends_ms: 0,
        }
    }

    fn come(&mut self, request: Request) {
        self.next_number += 1;
        let number = self.next_number;
        let is_scarce = self.room.as_ref().is_some_and(ServerRoom::is_scarce);
        if !is_scarce {
            self.give(request, number % BOXES);
            return;
        }
        self.waiting.insert(number, request);
        let ask = self.ask_of(number, &request);
        if let Some(room) = &mut self.room {
            room.ask(ask, self.now_ms);
        }
        self.decide();
    }

    fn ask_of(&self, number: u32, request: &Request) -> RoomAsk {
        RoomAsk {
            id: AskId {
                box_key: number % BOXES,
                number,
            },
            account: request.account,
            rank: request.rank,
            units: request.units,
            reading_ms: 0.0,
            in_time_ms: OBJECTIVE_MS.saturating_sub(self.now_ms - request.came_ms),
            digest: request.digest,
        }
    }

    /// A request goes to the server; its box tells that at once.
    fn give(&mut self, request: Request, box_key: Fingerprint) {
        self.queued.push(request);
        self.told += 1;
        self.begin_next();
        if let Some(room) = &mut self.room {
            room.note_begun(box_key, 1, self.now_ms);
        }
        self.decide();
    }

    fn begin_next(&mut self) {
        while self.running.len() < SLOTS && !self.queued.is_empty() {
            let key = |request: &Request| (request.rank, request.came_ms);
            let first = (0..self.queued.len()).min_by_key(|at| key(&self.queued[*at]));
            let mut request = self.queued.remove(first.expect("one"));
            request.ends_ms = self.now_ms + request.hold_ms;
            self.note(&request, Some(self.now_ms - request.came_ms), None);
            self.running.push(request);
        }
        self.most_queued = self.most_queued.max(self.queued.len());
    }

    fn note(&mut self, request: &Request, began_in_ms: Option<Millis>, turn: Option<Millis>) {
        self.results.push(Outcome {
            account: request.account,
            rank: request.rank,
            units: request.units,
            came_ms: request.came_ms,
            began_in_ms,
            turn_in_ms: turn,
            digest: request.digest,
        });
    }

    fn fullness(&self) -> Fullness {
        Fullness {
            running: self.told,
            slots: SLOTS,
            backlog_ms: 0.0,
            objective_ms: OBJECTIVE_MS,
        }
    }

    fn decide(&mut self) {
        let fullness = self.fullness();
        let Some(room) = &mut self.room else {
            return;
        };
        let decisions = room.decide(fullness, &self.weights, self.now_ms);
        for decision in decisions {
            self.take(decision);
        }
    }

    fn take(&mut self, decision: Decision) {
        let request = self.waiting.remove(&decision.id.number).expect("known");
        match decision.answer {
            RoomAnswer::LetIn => self.give(request, decision.id.box_key),
            RoomAnswer::TurnedAway { turn_in_ms } => self.note(&request, None, Some(turn_in_ms)),
        }
    }

    /// One millisecond passes.
    fn pass(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        self.running.retain(|request| request.ends_ms > now_ms);
        self.begin_next();
        let is_scarce = self.room.as_ref().is_some_and(ServerRoom::is_scarce);
        let tell_ms = if is_scarce { TELL_SCARCE_MS } else { TELL_MS };
        if now_ms.is_multiple_of(tell_ms) {
            self.told = self.running.len() + self.queued.len();
        }
        if now_ms.is_multiple_of(100) {
            let waiting: Vec<(u32, Request)> = self
                .waiting
                .iter()
                .map(|(number, of)| (*number, *of))
                .collect();
            for (number, request) in waiting {
                let ask = self.ask_of(number, &request);
                if let Some(room) = &mut self.room {
                    room.ask(ask, now_ms);
                }
            }
        }
        if now_ms.is_multiple_of(50) {
            self.decide();
        }
    }

    /// Requests that are due come, of each account one in so many milliseconds.
    fn come_by(&mut self, gaps_ms: &[(Fingerprint, Millis)]) {
        for (account, gap_ms) in gaps_ms {
            if self.draws.is_due(*gap_ms) {
                let request = self.request(*account);
                self.come(request);
            }
        }
    }

    /// Requests of accounts come, each account one every so many milliseconds.
    fn play(&mut self, gaps_ms: &[(Fingerprint, Millis)], for_ms: Millis) {
        for _ in 0..for_ms {
            self.come_by(gaps_ms);
            self.pass();
        }
    }

    /// Part of the requests of accounts that began in time, of those that came from a time on.
    fn in_time(&self, accounts: &[Fingerprint], from_ms: Millis) -> f64 {
        let outcomes = self.results.iter();
        let of: Vec<&Outcome> = outcomes
            .filter(|outcome| accounts.contains(&outcome.account) && outcome.came_ms >= from_ms)
            .collect();
        part_in_time(&of)
    }
}

fn part_in_time(outcomes: &[&Outcome]) -> f64 {
    let in_time = outcomes.iter().filter(|outcome| outcome.is_in_time());
    in_time.count() as f64 / outcomes.len().max(1) as f64
}

/// Plays a load after some usual work with all seeds; the part of others' requests in time, on average.
fn others_in_time(is_shared: bool, surging: &[Fingerprint], load: impl Fn(&mut World)) -> f64 {
    let others: Vec<Fingerprint> = (1..=10).filter(|one| !surging.contains(one)).collect();
    let parts = SEEDS.iter().map(|seed| {
        let mut world = World::with_seed(is_shared, *seed);
        world.play(&usual(), 4_000);
        let from_ms = world.now_ms;
        load(&mut world);
        world.in_time(&others, from_ms)
    });
    parts.sum::<f64>() / SEEDS.len() as f64
}

/// Arrivals at random, the same in each run.
#[derive(Debug, Clone, Copy)]
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Whether something happens in this millisecond that happens once in so many.
    fn is_due(&mut self, gap_ms: Millis) -> bool {
        self.next().is_multiple_of(gap_ms)
    }

    /// Time for which a request holds its place: answers differ in length.
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

/// Time from one request of an account to the next, usually.
const USUAL_GAP_MS: Millis = 1_500;

/// Usual work: ten accounts that together use seven in ten of the places.
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

/// Least part in time that an account keeps which asks for no more than its part of the room.
const LEAST_IN_TIME: f64 = 0.95;

/// One account asks many times its usual: the others go on as before.
#[test]
fn surge_of_one_account_leaves_others_unhurt() {
    let in_time = others_in_time(true, &[3], |world| world.play(&surge(&[3]), 6_000));
    assert!(in_time >= LEAST_IN_TIME, "{in_time}");
}

/// The load that this answers: by arrival alone every account is late.
#[test]
fn surge_of_one_account_hurts_all_by_arrival() {
    let in_time = others_in_time(false, &[3], |world| world.play(&surge(&[3]), 6_000));
    assert!(in_time < 0.5, "{in_time}");
}

/// Two accounts surge: they share what the others leave.
#[test]
fn surge_of_two_accounts_shared_between_them() {
    let in_time = others_in_time(true, &[3, 7], |world| world.play(&surge(&[3, 7]), 8_000));
    assert!(in_time >= LEAST_IN_TIME, "{in_time}");
    let mut world = World::new(true);
    world.play(&usual(), 4_000);
    world.play(&surge(&[3, 7]), 8_000);
    let let_in = |account| {
        let of_account = |outcome: &&Outcome| outcome.account == account;
        let began = world.results.iter().filter(of_account);
        began
            .filter(|outcome| outcome.began_in_ms.is_some())
            .count()
    };
    let (third, seventh) = (let_in(3) as f64, let_in(7) as f64);
    assert!(
        (0.7..=1.43).contains(&(third / seventh)),
        "{third} {seventh}"
    );
}

/// What the others leave goes to the account that asks for more: places stay in use.
#[test]
fn unused_room_is_given_on() {
    let mut world = World::new(true);
    world.play(&[(1, 30), (2, 2_000)], 12_000);
    let began = world
        .results
        .iter()
        .filter(|outcome| outcome.began_in_ms.is_some());
    let held_ms = began.count() as f64 * HOLD_MS as f64;
    let room_ms = 12_000.0 * SLOTS as f64;
    assert!(held_ms >= 0.9 * room_ms, "{held_ms} of {room_ms}");
}

/// While room is plenty nobody is asked and nobody waits.
#[test]
fn plenty_changes_nothing() {
    let mut world = World::new(true);
    let half: Vec<_> = usual().into_iter().take(6).collect();
    world.play(&half, 10_000);
    assert!(!world.room.as_ref().is_some_and(ServerRoom::is_scarce));
    assert!(world.results.iter().all(|of| of.began_in_ms == Some(0)));
    world.play(&usual(), 10_000);
    assert!(world.results.iter().all(Outcome::is_in_time));
}

/// What a server queues itself is only what begins next.
#[test]
fn queue_at_the_server_is_bounded() {
    let mut world = World::new(true);
    world.play(&usual(), 4_000);
    world.play(&surge(&[3]), 6_000);
    assert!(world.most_queued <= SLOTS / 2, "{}", world.most_queued);
}

/// Nobody who is let in begins late, and who is turned away is told when to come back.
#[test]
fn let_in_begin_in_time_and_others_get_a_turn() {
    let mut world = World::new(true);
    world.play(&usual(), 4_000);
    let from_ms = world.now_ms;
    world.play(&surge(&[3]), 6_000);
    let since = world.results.iter().filter(|of| of.came_ms >= from_ms);
    let (begun, turned_away): (Vec<&Outcome>, Vec<&Outcome>) =
        since.partition(|of| of.began_in_ms.is_some());
    let in_time = begun.iter().filter(|of| of.is_in_time()).count();
    assert!(in_time as f64 >= LEAST_IN_TIME * begun.len() as f64);
    assert!(!turned_away.is_empty());
    assert!(turned_away.iter().all(|of| of.turn_in_ms > Some(0)));
}

/// Within an account the urgent go first.
#[test]
fn urgent_go_before_others_of_their_account() {
    let mut world = World::new(true);
    let began_ms = world.now_ms;
    for round in 0..300 {
        for rank in [2, 0] {
            let request = world.request(1);
            world.come(Request { rank, ..request });
        }
        for _ in 0..if round < 20 { 10 } else { 150 } {
            world.pass();
        }
    }
    let from_ms = began_ms + 4_000;
    let in_time = |rank| {
        let since = world.results.iter().filter(|of| of.came_ms >= from_ms);
        let all: Vec<_> = since.filter(|of| of.rank == rank).collect();
        all.iter().filter(|of| of.is_in_time()).count() as f64 / all.len() as f64
    };
    assert!(in_time(0) > 0.9, "{}", in_time(0));
    assert!(in_time(0) >= in_time(2));
}

/// Requests five times as long as others of their account get in as often as these.
#[test]
fn long_are_not_starved() {
    let mut world = World::new(true);
    for round in 0..400 {
        let (short, long) = (UNITS, 5.0 * UNITS);
        let pair = if round % 2 == 0 {
            [short, long]
        } else {
            [long, short]
        };
        for units in pair {
            let request = world.request(1);
            world.come(Request { units, ..request });
        }
        for _ in 0..60 {
            world.pass();
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

/// Room counts what requests take: an account with long ones gets fewer of them in.
#[test]
fn accounts_share_tokens_and_not_requests() {
    let mut world = World::new(true);
    for _ in 0..300 {
        for (account, units) in [(1, UNITS), (2, 3.0 * UNITS)] {
            let request = world.request(account);
            world.come(Request { units, ..request });
        }
        for _ in 0..40 {
            world.pass();
        }
    }
    let units = |account| -> f64 {
        let of_account = world.results.iter().filter(|of| of.account == account);
        of_account
            .filter(|of| of.began_in_ms.is_some())
            .map(|of| of.units)
            .sum()
    };
    let ratio = units(1) / units(2);
    assert!((0.6..=1.6).contains(&ratio), "{ratio}");
}

/// Callers that come back at their turn are let in before new ones of their account.
#[test]
fn who_comes_back_at_its_turn_goes_before_new_ones() {
    let mut world = World::new(true);
    let mut due: Vec<(Millis, u64)> = Vec::new();
    let mut seen = 0;
    let mut came_back = Vec::new();
    for _ in 0..10_000 {
        if world.now_ms.is_multiple_of(50) {
            let request = world.request(1);
            let digest = 1_000_000 + request.digest;
            world.come(Request { digest, ..request });
        }
        for outcome in world.results.iter().skip(seen) {
            if let Some(turn_in_ms) = outcome.turn_in_ms
                && turn_in_ms < LONGEST_AWAY_MS
                && outcome.digest >= 1_000_000
            {
                due.push((world.now_ms + turn_in_ms, outcome.digest));
            }
        }
        seen = world.results.len();
        let now_ms = world.now_ms;
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|of| of.0 <= now_ms);
        due = later;
        for (_, digest) in ready {
            let request = world.request(1);
            came_back.push((now_ms, digest));
            world.come(Request { digest, ..request });
        }
        world.pass();
    }
    assert!(came_back.len() > 20);
    let is_served = |(came_ms, digest): &&(Millis, u64)| {
        let mut of = world.results.iter();
        of.any(|of| of.digest == *digest && of.came_ms == *came_ms && of.is_in_time())
    };
    let decided = came_back
        .iter()
        .filter(|(came_ms, _)| came_ms + 1_000 < world.now_ms);
    let decided: Vec<_> = decided.collect();
    let served = decided.iter().filter(|of| is_served(of)).count();
    assert!(
        served as f64 >= 0.9 * decided.len() as f64,
        "{served} of {}",
        decided.len()
    );
}

/// Callers that come back at once, as long as they are turned away, gain nothing over others.
#[test]
fn callers_that_come_back_at_once_do_not_hurt_others() {
    let load = |world: &mut World| {
        let mut seen = world.results.len();
        for _ in 0..6_000 {
            world.come_by(&surge(&[3]));
            let again: Vec<Outcome> = world.results[seen..].to_vec();
            seen = world.results.len();
            for outcome in again.iter().filter(|of| of.turn_in_ms.is_some()).take(2) {
                let request = world.request(outcome.account);
                let digest = outcome.digest;
                world.come(Request { digest, ..request });
            }
            world.pass();
        }
    };
    let in_time = others_in_time(true, &[3], load);
    assert!(in_time >= LEAST_IN_TIME, "{in_time}");
}

/// A holder dies: the next one knows nothing but what boxes told, and gives no more than it may.
#[test]
fn holder_new_gives_no_more_than_places() {
    let load = |world: &mut World| {
        world.play(&surge(&[3]), 2_000);
        world.room = Some(ServerRoom::default());
        world.waiting.clear();
        world.decide();
        world.play(&surge(&[3]), 6_000);
        assert!(world.most_queued <= SLOTS / 2, "{}", world.most_queued);
    };
    let in_time = others_in_time(true, &[3], load);
    assert!(in_time >= LEAST_IN_TIME, "{in_time}");
}

/// Two holders that each hear of half of the requests give the server at most twice its places.
#[test]
fn two_holders_give_at_most_twice() {
    let mut rooms = [ServerRoom::default(), ServerRoom::default()];
    let weights = AccountWeights::default();
    let mut given = 0;
    for room in &mut rooms {
        for number in 0..200 {
            room.ask(ask(1, number, 0), 1_000);
        }
        let decisions = room.decide(full(0), &weights, 1_000);
        given += decisions.iter().filter(is_let_in).count();
    }
    assert!(given <= 2 * (SLOTS + SLOTS / 4), "{given}");
}

fn is_let_in(decision: &&Decision) -> bool {
    decision.answer == RoomAnswer::LetIn
}

fn full(running: usize) -> Fullness {
    Fullness {
        running,
        slots: SLOTS,
        backlog_ms: 0.0,
        objective_ms: OBJECTIVE_MS,
    }
}

fn ask(account: Fingerprint, number: u32, rank: u8) -> RoomAsk {
    RoomAsk {
        id: AskId { box_key: 1, number },
        account,
        rank,
        units: UNITS,
        reading_ms: 0.0,
        in_time_ms: OBJECTIVE_MS,
        digest: u64::from(number),
    }
}

/// A box that froze with room given for it: what was let in and never told counts no longer after a while.
#[test]
fn room_of_a_frozen_box_is_given_on() {
    let mut room = ServerRoom::default();
    let weights = AccountWeights::default();
    for number in 0..15 {
        room.ask(ask(1, number, 0), 1_000);
    }
    let first = room.decide(full(0), &weights, 1_000);
    assert_eq!(first.iter().filter(is_let_in).count(), 15);
    room.ask(ask(2, 100, 0), 1_010);
    assert!(room.decide(full(0), &weights, 1_010).is_empty());
    room.ask(ask(2, 100, 0), 1_300);
    let later = room.decide(full(0), &weights, 1_300);
    assert_eq!(later.iter().filter(is_let_in).count(), 1);
}

/// A question that is repeated is one request; who asks no more is forgotten.
#[test]
fn question_repeated_is_one_and_silent_is_forgotten() {
    let mut room = ServerRoom::default();
    for now_ms in [1_000, 1_100, 1_200] {
        room.ask(ask(1, 7, 0), now_ms);
    }
    assert_eq!(room.waiting_count(), 1);
    room.decide(full(SLOTS * 2), &AccountWeights::default(), 2_000);
    assert_eq!(room.waiting_count(), 0);
}

/// The word that let a request in was lost: it is said again, and the request counts once.
#[test]
fn question_again_after_a_lost_word_is_let_in_once() {
    let mut room = ServerRoom::default();
    let weights = AccountWeights::default();
    room.ask(ask(1, 7, 0), 1_000);
    let first = room.decide(full(SLOTS + 2), &weights, 1_000);
    room.ask(ask(1, 7, 0), 1_100);
    room.ask(ask(1, 8, 0), 1_100);
    let second = room.decide(full(SLOTS + 2), &weights, 1_100);
    assert_eq!(first, second);
    assert_eq!(first.len(), 1);
    assert_eq!(room.waiting_count(), 1);
}

/// Two accounts ask for more than there is: each gets by its weight.
#[test]
fn room_is_shared_by_weight() {
    let (small, large) = (
        account(Some(10.0), LimitUnit::Requests),
        account(Some(30.0), LimitUnit::Requests),
    );
    let mut world = World::new(true);
    world.weights = AccountWeights::new(&[(1, &small), (2, &large)]);
    world.play(&[(1, 60), (2, 60)], 20_000);
    let let_in = |account| {
        let of_account = world.results.iter().filter(|of| of.account == account);
        of_account.filter(|of| of.began_in_ms.is_some()).count() as f64
    };
    let ratio = let_in(2) / let_in(1);
    assert!((2.0..=4.0).contains(&ratio), "{ratio}");
}

#[test]
fn scarcity_ends_only_after_a_while_of_plenty() {
    let mut scarcity = Scarcity::default();
    scarcity.note(full(SLOTS - 1), false, 0);
    assert!(!scarcity.is_scarce());
    scarcity.note(full(SLOTS), false, 10);
    assert!(scarcity.is_scarce());
    scarcity.note(full(SLOTS / 2), false, 20);
    scarcity.note(full(SLOTS / 2), false, 400);
    assert!(scarcity.is_scarce());
    scarcity.note(full(SLOTS - 1), false, 450);
    scarcity.note(full(SLOTS / 2), false, 500);
    scarcity.note(full(SLOTS / 2), false, 900);
    assert!(scarcity.is_scarce());
    scarcity.note(full(SLOTS / 2), false, 1_000);
    assert!(!scarcity.is_scarce());
}

/// Much to read makes a server scarce though it has places.
#[test]
fn scarcity_begins_with_much_to_read() {
    let mut scarcity = Scarcity::default();
    let much = Fullness {
        backlog_ms: OBJECTIVE_MS as f64 * 0.75,
        ..full(1)
    };
    scarcity.note(much, false, 0);
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

/// Much to read at a server with free places: the prompts of an account that has had more than its part wait,
/// and those of others go before them.
#[test]
fn much_to_read_holds_back_who_had_more_than_its_part() {
    let mut room = ServerRoom::default();
    let weights = AccountWeights::default();
    let reading = |account, number| RoomAsk {
        reading_ms: 60.0,
        ..ask(account, number, 0)
    };
    for number in 0..8 {
        room.ask(reading(1, number), 1_000);
    }
    room.ask(reading(2, 50), 1_000);
    let first = room.decide(full(0), &weights, 1_000);
    assert_eq!(first.iter().filter(is_let_in).count(), 9);
    room.note_begun(1, 9, 1_010);
    let much = |backlog_ms| Fullness {
        backlog_ms,
        ..full(9)
    };
    room.ask(reading(1, 100), 1_010);
    room.ask(reading(2, 101), 1_010);
    let next = room.decide(much(540.0), &weights, 1_010);
    let numbers: Vec<u32> = next
        .iter()
        .filter(is_let_in)
        .map(|of| of.id.number)
        .collect();
    assert_eq!(numbers, vec![101]);
    assert_eq!(room.waiting_count(), 1);
    let later = room.decide(much(300.0), &weights, 1_250);
    assert_eq!(later.iter().filter(is_let_in).count(), 1);
}

/// A reading pace that is wrong by far: nobody is turned away while places are free.
#[test]
fn much_to_read_turns_nobody_away_while_places_are_free() {
    let mut room = ServerRoom::default();
    let weights = AccountWeights::default();
    let wrong = Fullness {
        backlog_ms: 60_000.0,
        ..full(1)
    };
    for number in 0..SLOTS as u32 - 1 {
        room.ask(ask(number % 3, number, 0), 1_000);
    }
    let decisions = room.decide(wrong, &weights, 1_000);
    assert!(decisions.iter().all(|of| is_let_in(&of)), "{decisions:?}");
    room.ask(ask(1, 100, 0), 1_300);
    let later_ms = 1_300 + OBJECTIVE_MS;
    let next = room.decide(wrong, &weights, 1_300);
    room.ask(ask(1, 100, 0), later_ms - 100);
    let later = room.decide(wrong, &weights, later_ms);
    let all: Vec<&Decision> = next.iter().chain(&later).collect();
    assert!(all.iter().all(is_let_in), "{all:?}");
    assert!(!all.is_empty());
}

/// Whatever is asked, each question gets one answer at most, the server is given no more than its places
/// and what begins next, and while places are free nobody is turned away.
#[test]
fn decide_keeps_its_bounds_whatever_is_asked() {
    fn property(asks: Vec<(u8, u8, u16, u16)>, running: u8) -> bool {
        let running = usize::from(running) % (2 * SLOTS);
        let mut room = ServerRoom::default();
        for (number, (account, rank, units, in_time_ms)) in asks.iter().enumerate() {
            let ask = RoomAsk {
                account: u32::from(account % 5),
                rank: rank % 10,
                units: f64::from(*units),
                in_time_ms: Millis::from(in_time_ms % 2_000),
                ..ask(0, number as u32, 0)
            };
            room.ask(ask, 1_000);
        }
        let decisions = room.decide(full(running), &AccountWeights::default(), 1_000);
        let let_in = decisions.iter().filter(is_let_in).count();
        let turned_away = decisions.len() - let_in;
        let is_whole = decisions.len() + room.waiting_count() == asks.len();
        let is_bounded = let_in <= (SLOTS + SLOTS / 4).saturating_sub(running);
        let was_needed = turned_away == 0 || running + let_in >= SLOTS;
        is_whole && is_bounded && was_needed
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, u16, u16)>, u8) -> bool);
}
