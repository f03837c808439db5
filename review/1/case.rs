//! Case 1: a box that is restarted as planned takes a claim from a stale page of a listing for its
//! own, while another box holds the server.

#[path = "../harness/mod.rs"]
mod harness;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use harness::boxes::{Box, SIGTERM};
use harness::clients::{slow_streams, stream};
use harness::engine::{Engine, OrderSeen, Orders};
use harness::fleet::{Traffic, ZONES, configuration, listener, wait_for};
use harness::record::Record;
use harness::store::Store;

/// `leaseMs` of the sheet.
const LEASE_MS: u64 = 3_000;

/// How old a stale read may be; the largest dose of the sheet for stale reads (`platform_compact`,
/// x = 6.0).
const FOLLOWER_LAG: Duration = Duration::from_millis(6_000);

/// Servers that were there before and have left, in rounds of so many at a time.
const FORMER_SERVERS: usize = 504;
const ROUND: usize = 84;

/// The breaks of rule ONE among the orders to each server: a token that is lower than one before it
/// from another box, or orders of two boxes in turn within `leaseMs`.
fn breaks_of_one(orders: &[OrderSeen]) -> (Vec<String>, Vec<String>) {
    let (mut lower, mut in_turn) = (Vec::new(), Vec::new());
    let mut servers: Vec<&str> = orders.iter().map(|order| order.server.as_str()).collect();
    servers.sort_unstable();
    servers.dedup();
    for server in servers {
        let here: Vec<&OrderSeen> = orders.iter().filter(|order| order.server == server).collect();
        let mut highest: Option<&OrderSeen> = None;
        for pair in here.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            if highest.is_none_or(|highest| before.token > highest.token) {
                highest = Some(before);
            }
            if let Some(highest) = highest
                && after.token < highest.token
                && after.holder != highest.holder
            {
                lower.push(format!(
                    "{server}: at {} ms token {} of {} after token {} of {} at {} ms",
                    after.at_ms, after.token, after.holder, highest.token, highest.holder, highest.at_ms
                ));
            }
            if before.holder != after.holder && after.at_ms < before.at_ms + LEASE_MS {
                in_turn.push(format!(
                    "{server}: {} at {} ms, {} at {} ms",
                    before.holder, before.at_ms, after.holder, after.at_ms
                ));
            }
        }
    }
    (lower, in_turn)
}

fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let store = Store::start(Arc::clone(&record));
    store.put("op/config", &configuration(&["/fast/", "/slow/"]));
    let orders: Orders = Arc::new(Mutex::default());
    let mut boxes: Vec<Box> = (0..6)
        .map(|number| Box::prepare(temporary, number + 1, ZONES[usize::from(number) % 3], store.address, ""))
        .collect();
    if !boxes.iter_mut().all(Box::start) {
        return Err("a box can't be started".into());
    }
    wait_for(Duration::from_secs(10), || store.count("tinbay/boxes/") == 6).ok_or("boxes don't appear")?;

    // Servers come and go, as with releases: the boxes keep a claim of each in the store.
    for round in 0..FORMER_SERVERS / ROUND {
        let servers: Vec<Arc<Engine>> = (0..ROUND)
            .map(|number| {
                let bound = listener(round as u8, number as u8 + 1);
                let id = format!("i-former-{round}-{number}");
                Engine::start(&id, bound, ZONES[number % 3], &store, &record, &orders)
            })
            .collect();
        let claims = (round + 1) * ROUND;
        wait_for(Duration::from_secs(15), || store.count("tinbay/claims/") >= claims)
            .ok_or("former servers are not claimed")?;
        servers.iter().for_each(|server| server.leave());
        thread::sleep(Duration::from_millis(300));
    }
    let engines: Vec<Arc<Engine>> = (0..4)
        .map(|number| {
            let id = format!("i-{number}");
            let bound = listener(99, number + 1);
            Engine::start(&id, bound, ZONES[usize::from(number) % 3], &store, &record, &orders)
        })
        .collect();
    let claims = FORMER_SERVERS + engines.len();
    wait_for(Duration::from_secs(15), || store.count("tinbay/claims/") >= claims).ok_or("servers are not claimed")?;
    record.line(&format!("{claims} claims are in the store"));
    let traffic = Traffic::start(&record, &boxes);
    thread::sleep(Duration::from_secs(6));

    // The box that gave the last order is stopped as planned while it passes on a stream.
    let last = orders.lock().expect("the list of orders").last().cloned().ok_or("no order was given")?;
    let stopped = boxes.iter().position(|each| each.name == last.holder).ok_or("unknown holder")?;
    if has_trouble {
        store.set_follower_lag(FOLLOWER_LAG);
        record.line("the follower that serves stale reads of later pages is 6 s behind from now on");
    }
    let front = boxes[stopped].front;
    let mut streaming = Vec::new();
    for adapter in 0..12 {
        let record = Arc::clone(&record);
        streaming.push(thread::spawn(move || stream(&record, front, "/slow/", adapter, 6_000)));
        if wait_for(Duration::from_millis(500), || slow_streams(front) > 0).is_some() {
            break;
        }
    }
    if slow_streams(front) == 0 {
        return Err("no stream has begun".into());
    }
    record.line(&format!("SIGTERM to {}", boxes[stopped].name));
    boxes[stopped].signal(SIGTERM);
    wait_for(Duration::from_secs(9), || boxes[stopped].has_ended()).ok_or("the box does not end")?;
    record.line(&format!("{} has ended", boxes[stopped].name));
    thread::sleep(Duration::from_millis(300));
    if !boxes[stopped].start() {
        return Err("the box can't be started again".into());
    }
    record.line(&format!("{} is started again", boxes[stopped].name));
    for thread in streaming {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_secs(20));
    store.set_follower_lag(Duration::ZERO);
    traffic.stop();

    let orders = orders.lock().expect("the list of orders");
    let (lower, in_turn) = breaks_of_one(&orders);
    for text in &lower {
        record.line(&format!("ONE: lower token after a higher one: {text}"));
    }
    for text in &in_turn {
        record.line(&format!("ONE: two boxes in turn within leaseMs: {text}"));
    }
    let summary = format!(
        "{} orders; {} with a lower token after a higher one of another box, {} in turn within {LEASE_MS} ms",
        orders.len(),
        lower.len(),
        in_turn.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(lower.is_empty() && in_turn.is_empty())
}

fn main() {
    harness::fleet::play(run);
}
