//! Streams that are resumed at another box than the one that began them, with boxes that fail, are
//! cut off, have started lately or do not know yet of a new software version.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::future::Future;
use std::rc::{Rc, Weak};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tinbay_core::resumption::AttemptDigest;
use tinbay_core::resumption::decision::{Origin, UnknownOrigin};
use tinbay_core::resumption::history::{ADOPTION_DELAY_MS, HISTORY_MS, MAX_VIEW_AGE_MS};
use tinbay_core::resumption::homes::{ASKED_HOMES, HOMES, HomeBox, select_homes};
use tinbay_core::resumption::ledger::{Recorded, StreamStart};
use tinbay_core::units::Millis;
use tinbay_gateway::peers::frame::FramePart;
use tinbay_gateway::resumption::Resumption;
use tinbay_gateway::resumption::context::ResumptionContext;
use tinbay_gateway::resumption::messages::StreamStartPart;
use tinbay_gateway::resumption::origin::{
    FoundOrigin, OriginQuestion, OriginSource, find, handle_request,
};
use tinbay_gateway::resumption::recording::{handle_start, record, send_due};
use tinbay_gateway::resumption::stored::{apply_entry, encode_entry};

const SERVICE: u32 = 7;
const V1: u32 = 1;
const V2: u32 = 2;

/// How long callers of the tests wait for their streams.
const DEADLINE_MS: Millis = 20_000;

/// Boxes of a fleet; they alternate between two zones.
const BOXES: usize = 6;

/// Messages between the boxes of a test, which are delivered at once.
#[derive(Default)]
struct Network {
    boxes: RefCell<Vec<Rc<FakeBox>>>,
    now_ms: Cell<Millis>,
    sent: RefCell<BTreeMap<&'static str, usize>>,
    /// Number of the next messages that are lost.
    lost: Cell<usize>,
}

struct FakeBox {
    id: String,
    zone: &'static str,
    network: Weak<Network>,
    resumption: Resumption,
    is_view_current: Cell<bool>,
    is_up: Cell<bool>,
    /// Whether its links to other boxes are lost, which none of them has noticed.
    is_cut_off: Cell<bool>,
}

impl FakeBox {
    fn network(&self) -> Rc<Network> {
        self.network.upgrade().expect("the network of the test")
    }
}

impl ResumptionContext for FakeBox {
    fn now_ms(&self) -> Millis {
        self.network().now_ms.get()
    }

    fn resumption(&self) -> &Resumption {
        &self.resumption
    }

    fn is_view_current(&self) -> bool {
        self.is_view_current.get()
    }

    fn other_homes(&self, attempt: AttemptDigest, count: usize) -> Vec<String> {
        let network = self.network();
        let boxes = network.boxes.borrow();
        let up = boxes.iter().filter(|candidate| candidate.is_up.get());
        let candidates: Vec<HomeBox<'_>> = up
            .map(|candidate| HomeBox {
                id: &candidate.id,
                zone: candidate.zone,
            })
            .collect();
        let homes = select_homes(attempt, &candidates, count).into_iter();
        let others = homes.filter(|id| *id != self.id);
        others.map(str::to_string).collect()
    }

    fn post(&self, box_id: &str, part: FramePart) {
        let network = self.network();
        *network.sent.borrow_mut().entry(part.kind()).or_default() += 1;
        let lost = network.lost.get();
        network.lost.set(lost.saturating_sub(1));
        let Some(receiver) = network.find(box_id) else {
            return;
        };
        let is_delivered = receiver.is_up.get() && !receiver.is_cut_off.get();
        if lost > 0 || self.is_cut_off.get() || !is_delivered {
            return;
        }
        match part {
            FramePart::StreamStart(part) => handle_start(&*receiver, part),
            FramePart::OriginRequest(part) => handle_request(&*receiver, &self.id, part),
            FramePart::OriginReply(part) => {
                let questions = &receiver.resumption.questions;
                questions.deliver_reply(&self.id, part);
            }
            other => panic!("{} is not expected", other.kind()),
        }
    }
}

impl Network {
    /// A fleet whose boxes have seen only `versions` for longer than a stream may last.
    fn start(versions: &[u32]) -> Rc<Self> {
        let network = Rc::new(Network::default());
        for number in 0..BOXES {
            let started = network.new_box(number, versions);
            network.boxes.borrow_mut().push(started);
        }
        network.advance(2 * HISTORY_MS);
        network.observe(versions);
        network
    }

    fn new_box(self: &Rc<Self>, number: usize, versions: &[u32]) -> Rc<FakeBox> {
        let started = FakeBox {
            id: format!("box-{number}"),
            zone: if number.is_multiple_of(2) { "z1" } else { "z2" },
            network: Rc::downgrade(self),
            resumption: Resumption::default(),
            is_view_current: Cell::new(true),
            is_up: Cell::new(true),
            is_cut_off: Cell::default(),
        };
        let now_ms = self.now_ms.get();
        let mut history = started.resumption.history.borrow_mut();
        for version in versions {
            history.observe(SERVICE, *version, now_ms);
        }
        history.begin_watch(now_ms);
        drop(history);
        Rc::new(started)
    }

    /// Starts a box again, without what it knew.
    fn restart(self: &Rc<Self>, number: usize, versions: &[u32]) {
        let started = self.new_box(number, versions);
        self.boxes.borrow_mut()[number] = started;
    }

    fn find(&self, box_id: &str) -> Option<Rc<FakeBox>> {
        let boxes = self.boxes.borrow();
        boxes.iter().find(|known| known.id == box_id).cloned()
    }

    fn get(&self, number: usize) -> Rc<FakeBox> {
        Rc::clone(&self.boxes.borrow()[number])
    }

    fn all(&self) -> Vec<Rc<FakeBox>> {
        self.boxes.borrow().clone()
    }

    fn advance(&self, by_ms: Millis) {
        self.now_ms.set(self.now_ms.get() + by_ms);
    }

    /// Has all boxes see servers of these versions.
    fn observe(&self, versions: &[u32]) {
        for known in self.all() {
            known.observe(versions);
        }
    }

    fn sent(&self, kind: &str) -> usize {
        self.sent.borrow().get(kind).copied().unwrap_or_default()
    }

    fn sent_in_all(&self) -> usize {
        self.sent.borrow().values().sum()
    }

    /// An attempt about which none of these boxes is asked.
    fn attempt_homed_elsewhere(&self, boxes: &[usize]) -> AttemptDigest {
        let ids: HashSet<String> = boxes
            .iter()
            .map(|number| self.get(*number).id.clone())
            .collect();
        let observer = self.get(boxes[0]);
        let is_elsewhere = |attempt: &AttemptDigest| {
            let homes = observer.other_homes(*attempt, ASKED_HOMES);
            homes.len() == ASKED_HOMES && homes.iter().all(|home| !ids.contains(home))
        };
        (0..).find(is_elsewhere).expect("such an attempt")
    }
}

impl FakeBox {
    fn observe(&self, versions: &[u32]) {
        let mut history = self.resumption.history.borrow_mut();
        for version in versions {
            history.observe(SERVICE, *version, self.now_ms());
        }
    }

    fn begin(&self, attempt: AttemptDigest, version: u32) {
        self.begin_with_deadline(attempt, version, DEADLINE_MS);
    }

    fn begin_with_deadline(&self, attempt: AttemptDigest, version: u32, deadline_ms: Millis) {
        let start = StreamStart {
            attempt,
            service: SERVICE,
            version,
            until_ms: self.now_ms() + deadline_ms,
        };
        record(self, start, deadline_ms > HISTORY_MS);
    }

    fn resume(&self, attempt: AttemptDigest) -> FoundOrigin {
        self.ask(OriginQuestion {
            attempt: Some(attempt),
            service: SERVICE,
            outlasts_history: false,
        })
    }

    fn ask(&self, question: OriginQuestion) -> FoundOrigin {
        run(find(self, question))
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.expect("the runtime starts").block_on(future)
}

/// A fleet with one software version must pay nothing for the others that it does not have.
#[test]
fn find_single_version_sends_no_message() {
    let network = Network::start(&[V1]);
    for attempt in 0..100 {
        let number = attempt as usize % BOXES;
        network.get(number).begin(attempt, V1);
        send_due(&*network.get(number));
        let found = network.get((number + 1) % BOXES).resume(attempt);
        assert_eq!(found.origin, Origin::Sole(V1));
        assert_eq!(found.source, Some(OriginSource::OwnHistory));
    }
    assert_eq!(network.sent_in_all(), 0);
}

#[test]
fn find_two_versions_goes_on_at_the_one_that_began() {
    let network = Network::start(&[V1, V2]);
    for attempt in 0..100 {
        let version = if attempt % 3 == 0 { V2 } else { V1 };
        let number = attempt as usize % BOXES;
        network.get(number).begin(attempt, version);
        for resumed_at in network.all() {
            let found = resumed_at.resume(attempt);
            assert_eq!(found.origin, Origin::Recorded(version));
        }
    }
}

/// The box that relayed the stream is killed, and one of the two homes as well.
#[test]
fn find_relaying_box_and_one_home_killed_goes_on() {
    let network = Network::start(&[V1, V2]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    for killed in 0..HOMES {
        network.get(0).begin(attempt, V2);
        let homes = network.get(0).other_homes(attempt, HOMES);
        network.get(0).is_up.set(false);
        let home = network.find(&homes[killed]).expect("a home");
        home.is_up.set(false);
        let found = network.get(1).resume(attempt);
        assert_eq!(found.origin, Origin::Recorded(V2));
        home.is_up.set(true);
        network.get(0).is_up.set(true);
        network.restart(1, &[V1, V2]);
    }
}

#[test]
fn find_lost_messages_are_sent_again() {
    let network = Network::start(&[V1, V2]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    network.get(0).begin(attempt, V2);
    network.lost.set(5);
    let found = network.get(1).resume(attempt);
    assert_eq!(found.origin, Origin::Recorded(V2));
    assert!(network.get(1).resumption.questions.is_empty());
}

/// A box that is cut off from all others can't know whether the stream began at the one version
/// that it sees.
#[test]
fn find_box_cut_off_refuses() {
    let network = Network::start(&[V1]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    let cut_off = network.get(1);
    cut_off.is_cut_off.set(true);
    cut_off.is_view_current.set(false);
    for known in network.all() {
        if known.id != cut_off.id {
            known.observe(&[V2]);
        }
    }
    network.get(0).begin(attempt, V2);
    let found = cut_off.resume(attempt);
    assert_eq!(found.origin, Origin::Unknown(UnknownOrigin::Uncertain));
    assert_eq!((found.asked > 0, found.replies), (true, 0));
    assert!(cut_off.resumption.questions.is_empty());
}

/// A box that has just started sees one version, but can't know of one that has left.
#[test]
fn find_box_started_lately_asks_and_records() {
    let network = Network::start(&[V1, V2]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    network.get(0).begin(attempt, V2);
    network.restart(1, &[V1]);
    let started = network.get(1);
    let found = started.resume(attempt);
    assert_eq!(found.origin, Origin::Recorded(V2));
    let unrecorded = attempt + 1;
    let found = started.resume(unrecorded);
    assert_eq!(
        found.origin,
        Origin::Unknown(UnknownOrigin::SeveralVersions)
    );
    let recorded = network.sent("stream_start");
    started.begin(network.attempt_homed_elsewhere(&[1]), V1);
    assert_eq!(network.sent("stream_start"), recorded + HOMES);
}

/// All boxes but one have started lately; that one rules out other versions for the others.
#[test]
fn find_box_started_lately_believes_a_home_that_is_certain() {
    let network = Network::start(&[V1]);
    network.restart(1, &[V1]);
    let found = network.get(1).resume(1);
    assert_eq!(found.origin, Origin::Sole(V1));
    assert_eq!(found.source, Some(OriginSource::HomeHistory));
    for number in 0..BOXES {
        network.restart(number, &[V1]);
    }
    let found = network.get(1).resume(2);
    assert_eq!(found.origin, Origin::Unknown(UnknownOrigin::Uncertain));
}

/// A stream that began before a second version appeared was not recorded at its homes. It must still
/// go on at another box.
#[test]
fn send_due_second_version_appears_sends_earlier_starts() {
    let network = Network::start(&[V1]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    network.get(0).begin(attempt, V1);
    assert_eq!(network.sent_in_all(), 0);
    network.advance(1_000);
    network.observe(&[V1, V2]);
    let found = network.get(1).resume(attempt);
    assert_eq!(
        found.origin,
        Origin::Unknown(UnknownOrigin::SeveralVersions)
    );
    assert_eq!(send_due(&*network.get(0)), 1);
    assert_eq!(send_due(&*network.get(0)), 0);
    assert_eq!(network.sent("stream_start"), HOMES);
    network.get(0).is_up.set(false);
    let found = network.get(1).resume(attempt);
    assert_eq!(found.origin, Origin::Recorded(V1));
}

/// While the store is out of reach no box can rule out a second version, so that streams of a fleet
/// with one version go on by their records.
#[test]
fn send_due_store_out_of_reach_sends_earlier_starts() {
    let network = Network::start(&[V1]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    network.get(0).begin(attempt, V1);
    for known in network.all() {
        known.is_view_current.set(false);
    }
    assert_eq!(send_due(&*network.get(0)), 1);
    let found = network.get(1).resume(attempt);
    assert_eq!(found.origin, Origin::Recorded(V1));
}

/// Versions that have left longer ago than a box remembers may have begun a stream that lasts
/// longer.
#[test]
fn find_stream_longer_than_the_history_needs_a_record() {
    let network = Network::start(&[V1]);
    let attempt = network.attempt_homed_elsewhere(&[0, 1]);
    network
        .get(0)
        .begin_with_deadline(attempt, V1, 2 * HISTORY_MS);
    let ask = |attempt| {
        network.get(1).ask(OriginQuestion {
            attempt,
            service: SERVICE,
            outlasts_history: true,
        })
    };
    assert_eq!(ask(Some(attempt)).origin, Origin::Recorded(V1));
    let uncertain = Origin::Unknown(UnknownOrigin::Uncertain);
    assert_eq!(ask(Some(attempt + 1)).origin, uncertain);
    assert_eq!(ask(None).origin, uncertain);
}

/// A caller that does not name the attempt that began its stream.
#[test]
fn find_unnamed_attempt_goes_on_only_at_a_sole_version() {
    let unnamed = OriginQuestion {
        attempt: None,
        service: SERVICE,
        outlasts_history: false,
    };
    let network = Network::start(&[V1]);
    assert_eq!(network.get(0).ask(unnamed).origin, Origin::Sole(V1));
    network.observe(&[V2]);
    let found = network.get(0).ask(unnamed);
    assert_eq!(
        found.origin,
        Origin::Unknown(UnknownOrigin::SeveralVersions)
    );
    assert_eq!(network.sent_in_all(), 0);
}

/// Boxes of the previous release can't decode these parts and drop the frame that holds one.
#[test]
fn is_unknown_to_previous_release_new_parts_only() {
    let start = StreamStartPart {
        attempt: u64::MAX,
        service: u32::MAX,
        version: u32::MAX,
        left_ms: 35_000,
    };
    let newer = FramePart::StreamStart(start);
    let older = FramePart::StatusRequest(1);
    assert!(newer.is_unknown_to_previous_release());
    assert!(!older.is_unknown_to_previous_release());
    let encoded = postcard::to_stdvec(&newer).expect("a part that can be encoded");
    assert!(encoded.len() <= 24, "{}", encoded.len());
    assert_eq!(postcard::from_bytes(&encoded), Ok(newer));
}

/// One step of a day of a fleet; the number selects the box.
#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    /// Servers of the second version appear; each box learns of it within the age of its view.
    Appear,
    /// They leave.
    Leave,
    Begin(usize, bool),
    Resume(usize, usize),
    Restart(usize),
    CutOff(usize),
    Return(usize),
    SendDue(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g) % BOXES;
        match u8::arbitrary(g) % 24 {
            0..=3 => Step::Wait(u16::arbitrary(g) % 1_500),
            4 => Step::Wait(u16::arbitrary(g)),
            5 => Step::Appear,
            6 => Step::Leave,
            7..=13 => Step::Begin(number, bool::arbitrary(g)),
            14..=19 => Step::Resume(number, usize::arbitrary(g)),
            20 => Step::Restart(number),
            21 => Step::CutOff(number),
            22 => Step::Return(number),
            _ => Step::SendDue(number),
        }
    }
}

/// A fleet with two versions, the second of which comes and goes.
struct Day {
    network: Rc<Network>,
    /// When servers of the second version appeared; absent while there are none.
    appeared_ms: Option<Millis>,
    /// Streams with the version that began them and the time when they began.
    streams: Vec<(AttemptDigest, u32, Millis)>,
    goes_on: bool,
}

impl Day {
    fn start() -> Self {
        Self {
            network: Network::start(&[V1]),
            appeared_ms: None,
            streams: Vec::new(),
            goes_on: true,
        }
    }

    fn step(&mut self, step: &Step) {
        let network = Rc::clone(&self.network);
        match step {
            Step::Wait(ms) => self.wait(Millis::from(*ms)),
            Step::Appear => {
                let now_ms = network.now_ms.get();
                self.appeared_ms.get_or_insert(now_ms);
            }
            Step::Leave => {
                // Boxes that lag have seen the servers by the time that they see them leave.
                if self.appeared_ms.take().is_some() {
                    self.observe_all(&[V1, V2]);
                }
            }
            Step::Begin(number, is_second) => self.begin(&network.get(*number), *is_second),
            Step::Resume(number, stream) => self.resume(&network.get(*number), *stream),
            Step::Restart(number) => {
                let listed: &[u32] = if self.appeared_ms.is_some() {
                    &[V1, V2]
                } else {
                    &[V1]
                };
                network.restart(*number, listed);
            }
            Step::CutOff(number) => {
                let cut_off = network.get(*number);
                cut_off.is_cut_off.set(true);
                cut_off.is_view_current.set(false);
            }
            Step::Return(number) => {
                let back = network.get(*number);
                back.is_cut_off.set(false);
                back.is_view_current.set(true);
                // It lists the servers anew, and may have missed some meanwhile.
                let now_ms = network.now_ms.get();
                back.resumption.history.borrow_mut().begin_watch(now_ms);
            }
            Step::SendDue(number) => {
                send_due(&*network.get(*number));
            }
        }
    }

    fn wait(&mut self, ms: Millis) {
        self.network.advance(ms);
        let now_ms = self.network.now_ms.get();
        let is_known = self
            .appeared_ms
            .is_some_and(|appeared_ms| now_ms >= appeared_ms + MAX_VIEW_AGE_MS);
        self.observe_all(if is_known { &[V1, V2] } else { &[V1] });
    }

    fn observe_all(&self, versions: &[u32]) {
        for known in self.network.all() {
            if known.is_view_current.get() {
                known.observe(versions);
            }
        }
    }

    /// Begins a stream at the second version only once the box has adopted it.
    fn begin(&mut self, at: &FakeBox, is_second: bool) {
        let now_ms = self.network.now_ms.get();
        let appeared_ms = self
            .appeared_ms
            .filter(|_| is_second && at.is_view_current.get());
        let version = match appeared_ms {
            Some(appeared_ms) if now_ms >= appeared_ms + ADOPTION_DELAY_MS => V2,
            _ => V1,
        };
        let attempt = self.streams.len() as AttemptDigest;
        at.observe(&[version]);
        at.begin(attempt, version);
        self.streams.push((attempt, version, now_ms));
    }

    fn resume(&mut self, at: &FakeBox, stream: usize) {
        if self.streams.is_empty() {
            return;
        }
        let (attempt, began_at, began_ms) = self.streams[stream % self.streams.len()];
        if self.network.now_ms.get() > began_ms + DEADLINE_MS {
            return;
        }
        match at.resume(attempt).origin {
            Origin::Recorded(version) | Origin::Sole(version) => {
                self.goes_on &= version == began_at;
            }
            Origin::Unknown(_) => {}
        }
    }
}

/// Whatever happens to boxes and versions, no stream may go on at another version than the one that
/// began it.
#[test]
fn find_never_names_another_version() {
    fn property(steps: Vec<Step>) -> bool {
        let mut day = Day::start();
        for step in &steps {
            day.step(step);
        }
        day.goes_on
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// What a home has written to the store is known again after a restart.
#[test]
fn apply_entry_brings_the_records_back() {
    let starts = [2, 1].map(|attempt| StreamStart {
        attempt,
        service: SERVICE,
        version: attempt as u32,
        until_ms: 5_000,
    });
    let value = encode_entry(&starts, 1_000);
    let resumption = Resumption::default();
    assert_eq!(apply_entry(&resumption, &value, 50).ok(), Some(2));
    let ledger = resumption.ledger.borrow();
    for attempt in [1, 2] {
        let (recorded, _) = ledger.find(attempt, 4_000);
        assert_eq!(recorded, Recorded::Version(attempt as u32));
    }
    assert_eq!(ledger.find(1, 50 + 4_000).0, Recorded::Nothing);
    assert_eq!(ledger.homed_count(), 2);
    let history = resumption.history.borrow();
    assert_eq!(history.versions(SERVICE, 50), [1, 2]);
    assert!(apply_entry(&resumption, b"\xff\xff", 50).is_err());
}
