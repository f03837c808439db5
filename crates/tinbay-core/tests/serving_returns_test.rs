//! Claims in a store that is restored from backups, in virtual time: whatever happens to boxes and
//! store, orders of two holders arrive separated by the gap, and no order arrives after one with a
//! higher fencing token. Orders may arrive late, also those of processes that have ended.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tinbay_core::serving::claims::{
    ClaimTable, ClaimTerms, ClaimValue, HolderEntry, OwnProcess, Proof,
};
use tinbay_core::serving::position::{Era, Position};

const TERMS: ClaimTerms = ClaimTerms {
    proof_life_ms: 4_000,
    delivery_ms: 800,
    holder_gap_ms: 1_000,
    margin_ms: 200,
};

/// The only server.
const SERVER: &str = "s";

/// Number of boxes that claim it.
const BOXES: usize = 4;

/// Interval between steps of a box.
const STEP_MS: u64 = 100;

/// Lifetime of the lease of a box's entry.
const LEASE_MS: u64 = 2_500;

/// Time after the last event within which some box must send orders again.
const QUIET_MS: u64 = 20_000;

/// Kind of an event.
#[derive(Debug, Clone, Copy)]
enum EventKind {
    /// A box cannot reach the store for a while.
    Cut,
    /// A box is suspended for a while.
    Suspend,
    /// A box is killed and starts again after a while.
    Kill,
    /// A box releases its claim and leaves for a while.
    Leave,
    /// A backup of the store is made.
    BackUp,
    /// The store is restored from the backup.
    Restore,
    /// The store is unavailable to all boxes for a while.
    Unavailable,
}

/// An event some time after the previous one.
#[derive(Debug, Clone, Copy)]
struct Event {
    pause_ms: u64,
    kind: EventKind,
    box_number: usize,
    lasts_ms: u64,
}

impl Arbitrary for Event {
    fn arbitrary(random: &mut Gen) -> Self {
        let kinds = [
            EventKind::Cut,
            EventKind::Suspend,
            EventKind::Kill,
            EventKind::Leave,
            EventKind::BackUp,
            EventKind::BackUp,
            EventKind::Restore,
            EventKind::Restore,
            EventKind::Unavailable,
        ];
        Self {
            pause_ms: u64::from(u16::arbitrary(random) % 6_000),
            kind: *random.choose(&kinds).expect("kinds"),
            box_number: usize::arbitrary(random) % BOXES,
            lasts_ms: u64::from(u16::arbitrary(random) % 9_000),
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    claim: Option<(ClaimValue, u64)>,
    /// Era for which all proofs of former eras are known to have expired.
    settled: Option<u64>,
    /// When the leases of the boxes' entries end; entries are not part of a backup.
    entries: HashMap<usize, u64>,
    unavailable_until_ms: u64,
}

#[derive(Debug, Default)]
struct Member {
    claims: ClaimTable,
    proof: Proof,
    era: Option<u64>,
    entry_era: Option<u64>,
    missing_since_ms: HashMap<usize, u64>,
    read_ms: u64,
    cut_until_ms: u64,
    suspended_until_ms: u64,
    is_leaving: bool,
    /// When the last of its orders arrives.
    last_arrival_ms: u64,
}

impl Member {
    /// A process of a box that has just started.
    fn of_process(number: usize, id: u64) -> Self {
        let machine = Ipv4Addr::new(10, 0, 0, number as u8);
        let process = OwnProcess {
            id,
            machine: Some(IpAddr::V4(machine)),
        };
        Self {
            claims: ClaimTable::of_process(process),
            ..Self::default()
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Order {
    box_number: usize,
    token: u64,
    sent_ms: u64,
    arrives_ms: u64,
}

struct Simulation {
    store: Store,
    backup: Store,
    boxes: Vec<Member>,
    now_ms: u64,
    orders: Vec<Order>,
    /// Number of processes that have started.
    processes: u64,
}

fn name(number: usize) -> String {
    format!("box-{number}")
}

/// Time after which an order arrives: most at once, some as late as the network delivers.
fn delivery_ms(box_number: usize, sent_ms: u64) -> u64 {
    const PATTERN: [u64; 7] = [0, 0, 0, 300, 0, 0, TERMS.delivery_ms];
    let turn = sent_ms / STEP_MS + box_number as u64;
    PATTERN[turn as usize % PATTERN.len()]
}

fn encode(value: &ClaimValue) -> Vec<u8> {
    serde_json::to_vec(value).expect("a value")
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            store: Store::default(),
            backup: Store::default(),
            boxes: (0..BOXES)
                .map(|number| Member::of_process(number, number as u64 + 1))
                .collect(),
            now_ms: 0,
            orders: Vec::new(),
            processes: BOXES as u64,
        };
        // The system starts for the first time: no box has ever sent an order.
        simulation.store.settled = Some(0);
        simulation.backup = simulation.store.clone();
        simulation
    }

    /// Starts the next process of a box at a time.
    fn restart(&mut self, number: usize, at_ms: u64) {
        self.processes += 1;
        self.boxes[number] = Member {
            suspended_until_ms: at_ms,
            ..Member::of_process(number, self.processes)
        };
    }

    fn apply(&mut self, event: &Event) {
        let until_ms = self.now_ms + event.lasts_ms;
        let member = &mut self.boxes[event.box_number];
        match event.kind {
            EventKind::Cut => member.cut_until_ms = until_ms,
            EventKind::Suspend => member.suspended_until_ms = until_ms,
            EventKind::Kill => self.restart(event.box_number, until_ms),
            EventKind::Leave => member.is_leaving = true,
            EventKind::BackUp => self.backup = self.store.clone(),
            EventKind::Restore => {
                let era = self.store.era + 1;
                let unavailable_until_ms = self.store.unavailable_until_ms;
                self.store = self.backup.clone();
                self.store.era = era;
                self.store.entries.clear();
                self.store.unavailable_until_ms = unavailable_until_ms;
            }
            EventKind::Unavailable => self.store.unavailable_until_ms = until_ms,
        }
    }

    fn run_for(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            self.store.entries.retain(|_, end_ms| now_ms < *end_ms);
            for number in 0..BOXES {
                // The order of the boxes changes from step to step.
                let turn = (number + (now_ms / STEP_MS) as usize) % BOXES;
                self.step(turn);
            }
        }
    }

    fn step(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let member = &self.boxes[number];
        if now_ms < member.suspended_until_ms {
            return;
        }
        let is_unreachable =
            now_ms < self.store.unavailable_until_ms || now_ms < member.cut_until_ms;
        if !is_unreachable {
            self.read(number);
            self.take(number);
        }
        self.order(number);
    }

    /// Reads everything in the store, and writes the box's own entry if it is missing.
    fn read(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let era = self.store.era;
        let own = name(number);
        let member = &mut self.boxes[number];
        if member.era != Some(era) {
            let end_ms = member.proof.end_ms(&TERMS);
            member.claims.begin_era(Era(era), end_ms, now_ms);
            member.missing_since_ms.clear();
            member.era = Some(era);
        }
        if let Some(settled) = self.store.settled {
            member.claims.record_settled(Era(settled));
        }
        if let Some((value, revision)) = &self.store.claim {
            let position = Position::new(Era(era), *revision);
            member
                .claims
                .record(SERVER, &encode(value), position, now_ms);
        }
        // Absence counts only without an interruption of the watch: after one, a box relists and
        // absence begins anew.
        if now_ms > member.read_ms + STEP_MS {
            member.missing_since_ms.clear();
        }
        member.read_ms = now_ms;
        for other in 0..BOXES {
            if self.store.entries.contains_key(&other) {
                member.missing_since_ms.remove(&other);
            } else {
                member.missing_since_ms.entry(other).or_insert(now_ms);
            }
        }
        let is_entered = self.store.entries.contains_key(&number);
        if is_entered && member.entry_era == Some(era) {
            member.proof.renew(now_ms);
        }
        if member.is_leaving {
            return self.release(number, &own);
        }
        member.entry_era = Some(era);
        self.store.entries.insert(number, now_ms + LEASE_MS);
    }

    /// Releases the claim of a box that is leaving, once no order of it can arrive any more.
    fn release(&mut self, number: usize, own: &str) {
        let member = &self.boxes[number];
        if self.now_ms < member.last_arrival_ms {
            return;
        }
        let is_held = !member.claims.held_by(own).is_empty();
        let stored = member.claims.stored_position(SERVER);
        let process = member.claims.own_process();
        self.restart(number, self.now_ms + LEASE_MS * 2);
        self.store.entries.remove(&number);
        if is_held && self.stored_position() == stored {
            self.write(own, true, process, None);
        }
    }

    fn stored_position(&self) -> Position {
        let revision = self
            .store
            .claim
            .as_ref()
            .map_or(0, |(_, revision)| *revision);
        Position::new(Era(self.store.era), revision)
    }

    fn write(
        &mut self,
        holder: &str,
        is_released: bool,
        process: OwnProcess,
        continued_token: Option<u64>,
    ) {
        self.store.revision += 1;
        let value = ClaimValue {
            holder: holder.into(),
            is_released,
            era: Era(self.store.era),
            process: process.id,
            machine: process.machine,
            continued_token,
        };
        self.store.claim = Some((value, self.store.revision));
    }

    fn take(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let own = name(number);
        let member = &self.boxes[number];
        if member.era != Some(self.store.era) || !member.proof.holds(&TERMS, now_ms) {
            return;
        }
        let known = member.claims.get(SERVER);
        let holder = known.map(|claim| claim.value.holder.clone());
        let holder = (0..BOXES).find(|number| Some(name(*number)) == holder);
        let entry = match holder.and_then(|holder| member.missing_since_ms.get(&holder)) {
            Some(since_ms) => HolderEntry::MissingSince(*since_ms),
            None => HolderEntry::Listed,
        };
        let may_take = member.claims.may_take(SERVER, &own, entry, &TERMS, now_ms);
        let stored = member.claims.stored_position(SERVER);
        let process = member.claims.own_process();
        let continued_token = member.claims.continued_token(SERVER, &own, now_ms);
        if may_take && stored == self.stored_position() {
            self.write(&own, false, process, continued_token);
        }
        if member_is_settled(&self.boxes[number], now_ms) {
            self.store.settled = Some(self.store.era);
        }
    }

    fn order(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let member = &mut self.boxes[number];
        let Some(token) = member.claims.token_of(SERVER, &name(number), now_ms) else {
            return;
        };
        if member.is_leaving || !member.proof.holds(&TERMS, now_ms) {
            return;
        }
        let arrives_ms = now_ms + delivery_ms(number, now_ms);
        member.last_arrival_ms = member.last_arrival_ms.max(arrives_ms);
        self.orders.push(Order {
            box_number: number,
            token,
            sent_ms: now_ms,
            arrives_ms,
        });
    }

    /// The orders as they arrive at the server.
    fn arrivals(&self) -> Vec<Order> {
        let mut arrivals = self.orders.clone();
        arrivals.sort_by_key(|order| order.arrives_ms);
        arrivals
    }

    fn shortest_holder_gap_ms(&self) -> Option<u64> {
        let arrivals = self.arrivals();
        let pairs = arrivals.windows(2);
        let holder_changes = pairs.filter(|pair| pair[0].box_number != pair[1].box_number);
        holder_changes
            .map(|pair| pair[1].arrives_ms - pair[0].arrives_ms)
            .min()
    }

    fn has_lower_token_later(&self) -> bool {
        !self.arrivals().is_sorted_by_key(|order| order.token)
    }
}

fn member_is_settled(member: &Member, now_ms: u64) -> bool {
    member.claims.is_settled(&TERMS, now_ms)
}

fn play(events: &[Event]) -> Simulation {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    for event in events {
        simulation.run_for(event.pause_ms);
        simulation.apply(event);
    }
    simulation.run_for(QUIET_MS);
    simulation
}

#[test]
fn orders_of_two_holders_are_separated_by_the_gap() {
    fn keeps(events: Vec<Event>) -> bool {
        let shortest_ms = play(&events).shortest_holder_gap_ms();
        shortest_ms.is_none_or(|shortest_ms| shortest_ms >= TERMS.holder_gap_ms)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(keeps as fn(Vec<Event>) -> bool);
}

/// Guards against a token that rises while orders with the last one are on their way: at a restart of
/// the holder, a renewal of its claim after a restore of the store, or a release.
#[test]
fn orders_arrive_with_tokens_that_never_fall() {
    fn keeps(events: Vec<Event>) -> bool {
        !play(&events).has_lower_token_later()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(keeps as fn(Vec<Event>) -> bool);
}

/// Guards against a holder that is killed and starts again at once, as no record of its orders
/// outlives its process.
#[test]
fn orders_of_a_killed_holder_that_starts_again_at_once_arrive_before_any_with_a_higher_token() {
    let events: Vec<Event> = (0..BOXES * 7)
        .map(|turn| Event {
            pause_ms: STEP_MS,
            kind: EventKind::Kill,
            box_number: turn % BOXES,
            lasts_ms: 0,
        })
        .collect();
    let simulation = play(&events);
    assert!(!simulation.has_lower_token_later());
}

/// One box is suspended, returns and is cut off. Another box, cut off while the first one was back,
/// sees it missing before and after, and must not count this as one absence.
#[test]
fn absence_is_not_counted_over_a_gap_in_watching() {
    let event = |pause_ms, kind, box_number, lasts_ms| Event {
        pause_ms,
        kind,
        box_number,
        lasts_ms,
    };
    let events = [
        event(199, EventKind::Suspend, 2, 4_944),
        event(3_715, EventKind::Cut, 3, 5_962),
        event(1_916, EventKind::Cut, 2, 5_516),
    ];
    let shortest_ms = play(&events).shortest_holder_gap_ms();
    assert!(shortest_ms.is_none_or(|shortest_ms| shortest_ms >= TERMS.holder_gap_ms));
}

/// Whatever happened, some box sends orders to the server again afterwards.
#[test]
fn orders_resume_after_all_events() {
    fn orders(events: Vec<Event>) -> bool {
        let simulation = play(&events);
        let last_ms = simulation.orders.last().map_or(0, |order| order.sent_ms);
        last_ms + 1_000 >= simulation.now_ms
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(orders as fn(Vec<Event>) -> bool);
}

/// The holder is connected while the store is restored without its claim: it continues to send
/// orders at each step.
#[test]
fn connected_holder_orders_through_a_restore() {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    let event = |kind| Event {
        pause_ms: 0,
        kind,
        box_number: 0,
        lasts_ms: 0,
    };
    simulation.backup = Store {
        settled: Some(0),
        ..Store::default()
    };
    simulation.run_for(3_000);
    simulation.apply(&event(EventKind::Restore));
    simulation.run_for(6_000);
    let gaps = simulation
        .orders
        .windows(2)
        .map(|pair| pair[1].sent_ms - pair[0].sent_ms);
    assert_eq!(gaps.max(), Some(STEP_MS));
}
