//! Prefill and decode engines of services whose servers run several software versions.

use std::cell::RefCell;
use std::rc::Rc;

use tinbay_core::serving::servers::{ServerRecord, ServerState, SoftwareVersion};
use tinbay_gateway::clock::Clock;
use tinbay_gateway::handover::split::{Split, Splits};
use tinbay_gateway::servers::{Server, ServerTable};

const SERVICE: &str = "engine";

/// Late streams after which the engines of a service are split.
const LATE_STREAMS: usize = 20;

fn record(number: usize, version: &str) -> ServerRecord {
    ServerRecord {
        id: format!("i-{number}"),
        born_ms: None,
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        zone: "z1".to_string(),
        software_version: SoftwareVersion::named(version),
        slots: 8,
        state: ServerState::Ready,
        remaining_ms: None,
        slow_for_ms: 0,
        order_count: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    }
}

/// Servers of a service that is split, and what splits it.
struct Fixture {
    servers: RefCell<ServerTable>,
    splits: Splits,
}

impl Fixture {
    fn start(versions: &[&str]) -> Self {
        let mut table = ServerTable::new(Clock::start());
        for (number, version) in versions.iter().enumerate() {
            table.put(record(number, version));
        }
        let splits = Splits::default();
        for _ in 0..LATE_STREAMS {
            splits.record_stream(SERVICE, true, 0);
        }
        Self {
            servers: RefCell::new(table),
            splits,
        }
    }

    fn ready(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().ready(SERVICE)
    }

    fn split(&self, among: &[Rc<Server>]) -> Option<Split> {
        self.splits.split(&self.servers, SERVICE, among, 0)
    }

    fn prefills(&self, server: &Server) -> bool {
        self.splits.is_prefill_engine(&self.servers, server, 0)
    }
}

fn version(server: &Server) -> String {
    server.record().software_version.as_str().to_string()
}

fn contains(servers: &[Rc<Server>], server: &Server) -> bool {
    servers.iter().any(|other| other.key == server.key)
}

#[test]
fn split_successors_are_of_the_same_software_version() {
    let fixture = Fixture::start(&["v1", "v1", "v1.1", "v1.1"]);
    let ready = fixture.ready();
    let split = fixture.split(&ready).expect("both versions are split");
    for source in ready.iter().filter(|server| fixture.prefills(server)) {
        let successors = split.successors(&version(source));
        assert_eq!(successors.len(), 1);
        assert_eq!(version(&successors[0]), version(source));
        assert!(!fixture.prefills(&successors[0]));
    }
    assert_eq!(split.prefill_engines.len(), 2);
    assert_eq!(split.decode_engines.len(), 2);
}

/// An engine that is alone in its software version hands over nothing, takes over nothing and
/// serves all kinds of prompts.
#[test]
fn split_leaves_a_software_version_with_one_engine_whole() {
    let fixture = Fixture::start(&["v1", "v1", "v1", "v1.1"]);
    let ready = fixture.ready();
    let split = fixture.split(&ready).expect("one version is split");
    let is_alone = |server: &&Rc<Server>| version(server) == "v1.1";
    let alone = ready.iter().find(is_alone).expect("it is ready");
    assert!(!fixture.prefills(alone));
    assert!(split.successors("v1.1").is_empty());
    assert!(contains(&split.prefill_engines, alone));
    assert!(contains(&split.decode_engines, alone));
    let successors = split.successors("v1");
    assert_eq!(successors.len(), 2);
    assert!(successors.iter().all(|server| version(server) == "v1"));
}

/// The decode engine of one version is not among the servers that a request may use, so that the
/// prefill engine of that version serves requests from start to end.
#[test]
fn split_leaves_a_prefill_engine_without_a_successor_whole() {
    let fixture = Fixture::start(&["v1", "v1", "v1.1", "v1.1"]);
    let mut among = fixture.ready();
    among.retain(|server| version(server) == "v1" || fixture.prefills(server));
    assert_eq!(among.len(), 3);
    let split = fixture.split(&among).expect("one version is split");
    assert!(split.successors("v1.1").is_empty());
    assert_eq!(split.successors("v1").len(), 1);
    let is_left = |server: &&Rc<Server>| version(server) == "v1.1";
    let left = among.iter().find(is_left).expect("it is ready");
    assert!(contains(&split.prefill_engines, left));
    assert!(contains(&split.decode_engines, left));
    among.retain(|server| fixture.prefills(server));
    assert_eq!(among.len(), 2);
    assert!(fixture.split(&among).is_none());
}
