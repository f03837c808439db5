//! Case: a box is stopped as planned just after it has sent an order into a link that is cut for a moment.
//! It releases its claims at once; the order arrives when the next holder is about to give orders.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use tinbay_platform_standin::{Server, Store, store};
use tinbay_review_2::cut::CutLink;
use tinbay_review_2::{BoxProcess, CONTACT, Case, Request, wait_for};

const ENGINES: usize = 2;
const ADAPTERS: usize = 9;
const CALLERS: usize = 8;

/// Length of the cut.
const CUT: Duration = Duration::from_millis(650);

/// `leaseMs` and `thawSlackMs` of the small deployments.
const LEASE: Duration = Duration::from_millis(3_000);
const THAW_SLACK: Duration = Duration::from_millis(300);

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let store = Store::start();
    store.put("op/config", &configuration());
    let (engines, links): (Vec<Server>, Vec<CutLink>) = (1..=ENGINES)
        .map(|number| {
            let server = Server::start_unregistered(&store, &format!("i-{number}"), "engine");
            let link = CutLink::start(server.address());
            server.register_at("ready", link.address, "ba-hall-a");
            (server, link)
        })
        .unzip();
    let names = [
        "front-ba-hall-a-1",
        "front-ba-hall-b-1",
        "front-ba-hall-c-1",
    ];
    let boxes: Vec<Arc<BoxProcess>> = names
        .iter()
        .map(|name| case.add_box(name, &name[6..15], store.address()))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    for caller in 0..CALLERS {
        let to = Arc::clone(&boxes[caller % boxes.len()]);
        let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
        thread::spawn(move || call(caller, &to, &is_over, &served));
    }
    let engine = &engines[0];
    if !wait_for(Duration::from_secs(30), || {
        engine.order_records().len() >= 40
    }) {
        case.give_up("no orders");
    }
    thread::sleep(CONTACT);
    let stop = |holder: &str| {
        let position = names.iter().position(|name| *name == holder);
        let stopped = position.unwrap_or_else(|| case.give_up("the holder is no box"));
        boxes[stopped].stop();
        record.line(format!("{holder}, the holder of i-1, gets SIGTERM"));
    };
    let holder = last_holder(engine);
    let mut healed = Instant::now();
    if case.has_trouble {
        let is_caught = (0..20).any(|_| {
            healed = links[0].cut(CUT);
            let has_order = || {
                links[0]
                    .held()
                    .iter()
                    .any(|text| text.contains("fencingToken"))
            };
            let is_held = wait_for(Duration::from_millis(60), has_order);
            if !is_held {
                thread::sleep(CUT + CONTACT);
            }
            is_held
        });
        if !is_caught {
            case.give_up("no order was sent into the cut");
        }
        record.line("the link to i-1 is cut for 650 ms, and an order of its holder is on its way");
    }
    stop(&holder);
    thread::sleep(Duration::from_secs(9));
    is_over.store(true, Ordering::Relaxed);
    judge(&case, engine, &holder, healed)
}

fn judge(case: &Case, engine: &Server, holder: &str, healed: Instant) -> ! {
    let orders = engine.order_records();
    let counts = |at: Instant| {
        let after = at.checked_duration_since(healed);
        !case.has_trouble || after.is_none_or(|after| after > THAW_SLACK)
    };
    let own = orders.iter().filter(|order| order.holder == holder);
    let last = own.filter(|order| counts(order.at)).next_back();
    let Some(last) = last else {
        case.give_up("no order of the first holder");
    };
    let next = orders
        .iter()
        .find(|order| order.holder != holder && order.at > last.at);
    let Some(next) = next else {
        case.give_up("no other box has ordered i-1");
    };
    let gap = next.at - last.at;
    let late = last.at.checked_duration_since(healed).unwrap_or_default();
    case.record.line(format!(
        "i-1: last order of {} (token {}) {} ms after the end of the cut, first order of {} (token {}) {} ms later",
        last.holder, last.token, late.as_millis(), next.holder, next.token, gap.as_millis()
    ));
    case.end(
        gap < LEASE,
        &format!(
            "orders of two holders within {} ms (leaseMs 3,000)",
            gap.as_millis()
        ),
    )
}

fn last_holder(engine: &Server) -> String {
    engine
        .order_records()
        .last()
        .map(|order| order.holder.clone())
        .unwrap_or_default()
}

/// Asks for one adapter after the other, of which a server holds two at a time.
fn call(caller: usize, to: &BoxProcess, is_over: &AtomicBool, served: &AtomicUsize) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let adapter = 1 + (number * 5 + caller * 2) % ADAPTERS;
        let answer = Request::new("stream", &format!("c{caller}-{number}"), 1_500)
            .header("Model", &format!("m/a{adapter}"))
            .header("Token-Count", "491,70")
            .call(to.front);
        served.fetch_add(
            usize::from(answer.is_some_and(|answer| answer.status == 200)),
            Ordering::Relaxed,
        );
        thread::sleep(Duration::from_millis(10));
    }
}

fn configuration() -> serde_json::Value {
    let mut configuration = store::configuration(1);
    configuration["limits"]["maxBodyBytes"] = json!(4_194_304);
    configuration
}
