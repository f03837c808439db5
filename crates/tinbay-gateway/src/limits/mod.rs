//! Limits over all boxes, of client accounts and of servers: asks a limit's home for units, deals them
//! where this box is the home, and lives on the own share where no home answers.
//!
//! Two ways were measured side by side. Shares alone need no message, but refuse requests within
//! the limit wherever its requests are uneven over the boxes. A home sees all of them and costs one round
//! trip for the first request of a quarter of a second.

pub mod home;
pub mod limited;
pub mod notices;
pub mod permits;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::limits::denied::CallerTry;
use tinbay_core::limits::home::{LimitHome, UnitGrant, UnitRequest};
use tinbay_core::limits::share::{LimitShare, ShareTerms};
use tinbay_core::limits::turns::Turns;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;
use tokio::sync::oneshot;

use self::home::{Drawn, FleetView, Home, KeptHome};
use self::limited::{LimitKey, Limited};
use crate::events::{self, part};
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::peers::frame::{CallerTryPart, FramePart, LimitGrantPart, LimitRequestPart};

/// Wait for a home's answer before it is asked again, as messages may be lost: some round trips
/// between zones.
const ANSWER_WAIT: Duration = Duration::from_millis(50);

/// Times that a home is asked before it counts as not answering. After all boxes were killed homes
/// take long to answer, and what is not asked for there is refused on a large fleet.
const MOST_ASKS: usize = 4;

/// Homes that are asked one after the other, as one names another.
const MOST_HOMES: usize = 5;

/// How long a home that does not answer is not asked.
const FAILED_LIFE_MS: Millis = 1_000;

/// Pause between questions for units ahead.
const AHEAD_PAUSE_MS: Millis = 30;

/// Number of a question for units ahead, for which no request waits.
const AHEAD: u32 = 0;

/// What let a request in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmittedBy {
    /// Units that the home had given before.
    Given,
    /// Units that the home gave for it.
    Asked,
    /// The own share, as no home answered.
    Share,
}

impl AdmittedBy {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            AdmittedBy::Given => "given",
            AdmittedBy::Asked => "asked",
            AdmittedBy::Share => "share",
        }
    }
}

/// What this box keeps of limits.
#[derive(Debug, Default)]
pub struct Limits {
    shares: RefCell<HashMap<LimitKey, LimitShare>>,
    homes: RefCell<HashMap<LimitKey, LimitHome>>,
    drawn: RefCell<HashMap<LimitKey, KeptHome>>,
    failed: RefCell<HashMap<String, Millis>>,
    asked_ahead: RefCell<HashMap<LimitKey, Millis>>,
    /// When callers come back that find all servers of a service at their limits, by service.
    turns: RefCell<HashMap<String, Turns>>,
    waiting: RefCell<HashMap<u32, oneshot::Sender<Answer>>>,
    last_ask: Cell<u32>,
    /// The fleet as it was seen, and until when that counts.
    fleet: Cell<Option<(FleetView, Millis)>>,
}

impl Limits {
    /// Forgets questions whose requests are gone, failures that are over, and limits that servers name no
    /// more: a question that is never answered would stay for ever else.
    pub fn tidy(&self, node: &Node) {
        let now_ms = node.now_ms();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, sender| !sender.is_closed());
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, until_ms| now_ms < *until_ms);
        let is_kept = |key: &LimitKey| {
            matches!(key, LimitKey::Account(_)) || Limited::find(node, *key).is_some()
        };
        self.shares.borrow_mut().retain(|key, _| is_kept(key));
        self.homes.borrow_mut().retain(|key, _| is_kept(key));
        self.drawn.borrow_mut().retain(|key, _| is_kept(key));
        self.asked_ahead.borrow_mut().retain(|key, _| is_kept(key));
    }

    /// Forgets what was dealt and given of a limit that is over: the next one begins anew.
    pub fn forget(&self, key: LimitKey) {
        self.shares.borrow_mut().remove(&key);
        self.homes.borrow_mut().remove(&key);
    }
}

#[derive(Serialize)]
struct NoAnswerEvent<'a> {
    home: &'a str,
    reason: &'static str,
}

/// What a home answers.
#[derive(Debug, Clone)]
enum Answer {
    Grant(UnitGrant),
    NotHome(Option<String>),
}

/// Lets a request in within a limit.
///
/// # Errors
/// The time until there is room for it.
pub async fn admit(
    node: &Node,
    limited: &Limited,
    units: f64,
    of: Option<CallerTry>,
) -> Result<AdmittedBy, Millis> {
    if take_given(node, limited, units) {
        ask_ahead(node, limited);
        return Ok(AdmittedBy::Given);
    }
    let has_failed = home::has_failed(node, limited);
    if !has_failed && let Some(asked) = ask_home(node, limited, units, of).await {
        return asked;
    }
    let room_in_ms = match take_share(node, limited, units) {
        Ok(()) => return Ok(AdmittedBy::Share),
        Err(room_in_ms) => room_in_ms,
    };
    // Other servers may take what one does not; what an account may not ask for is refused.
    let is_last_way = matches!(limited.key, LimitKey::Account(_));
    if has_failed
        && is_last_way
        && let Some(asked) = ask_home(node, limited, units, of).await
    {
        return asked;
    }
    Err(room_in_ms)
}

fn take_share(node: &Node, limited: &Limited, units: f64) -> Result<(), Millis> {
    let terms = ShareTerms {
        limit_terms: limited.terms,
        boxes: home::fleet(node).boxes,
    };
    with_share(node, limited, |share, now_ms| {
        share.take_share(terms, units, now_ms)
    })
}

/// Asks the home of a limit to let a request in; nothing where no home answers.
async fn ask_home(
    node: &Node,
    limited: &Limited,
    units: f64,
    of: Option<CallerTry>,
) -> Option<Result<AdmittedBy, Millis>> {
    for _ in 0..MOST_HOMES {
        let drawn = home::of(node, limited)?;
        let grant = match ask(node, limited, units, of, &drawn).await {
            Asked::Grant(grant) => grant,
            Asked::NotHome(Some(other)) => {
                home::take_other(node, limited, &drawn, other);
                continue;
            }
            Asked::NotHome(None) => {
                home::draw_without(node, limited, &drawn);
                continue;
            }
            Asked::Silence => {
                note_failed(node, &drawn.home, "silent");
                return None;
            }
        };
        if let Some(room_in_ms) = grant.room_in_ms {
            with_share(node, limited, |share, now_ms| share.note_denied(now_ms));
            return Some(Err(room_in_ms));
        }
        if take_given(node, limited, units) {
            return Some(Ok(AdmittedBy::Asked));
        }
    }
    None
}

/// Gives back what a request counted that was not run.
pub fn give_back(node: &Node, limited: &Limited, units: f64) {
    with_share(node, limited, |share, now_ms| {
        share.give_back(units, now_ms)
    });
}

fn take_given(node: &Node, limited: &Limited, units: f64) -> bool {
    with_share(node, limited, |share, now_ms| {
        share.take_given(units, now_ms)
    })
}

fn with_share<T>(
    node: &Node,
    limited: &Limited,
    change: impl FnOnce(&mut LimitShare, Millis) -> T,
) -> T {
    let now_ms = node.now_ms();
    let mut shares = node.limits.shares.borrow_mut();
    let share = shares.entry(limited.key).or_insert_with(|| {
        let boxes = home::fleet(node).boxes.max(1);
        LimitShare::in_debt(limited.terms.first_debt / boxes as f64, now_ms)
    });
    change(share, now_ms)
}

/// How a question to a home ended.
enum Asked {
    Grant(UnitGrant),
    Silence,
    /// The box that was asked takes another one for the home, or can't be one itself.
    NotHome(Option<String>),
}

/// Asks the home of a limit.
async fn ask(
    node: &Node,
    limited: &Limited,
    units: f64,
    of: Option<CallerTry>,
    drawn: &Drawn,
) -> Asked {
    let ahead = with_share(node, limited, |share, now_ms| share.ahead(now_ms));
    let request = UnitRequest {
        needed: units,
        ahead,
    };
    let home = match &drawn.home {
        Home::Own => {
            let Some(grant) = home::deal(node, limited, request, of) else {
                return Asked::NotHome(None);
            };
            note_grant(node, limited.key, grant);
            return Asked::Grant(grant);
        }
        Home::Other(home) => home,
    };
    let number = node.limits.last_ask.get().wrapping_add(1).max(AHEAD + 1);
    node.limits.last_ask.set(number);
    let (sender, receiver) = oneshot::channel();
    node.limits.waiting.borrow_mut().insert(number, sender);
    let part = LimitRequestPart {
        of: of.map(CallerTryPart::new),
        ..question(node, limited.key, number, request, &drawn.without)
    };
    let asked = repeat_question(node, home, &part, receiver).await;
    node.limits.waiting.borrow_mut().remove(&number);
    asked
}

/// Sends one question until it is answered; any answer to it counts, also a late one.
async fn repeat_question(
    node: &Node,
    home: &str,
    part: &LimitRequestPart,
    mut receiver: oneshot::Receiver<Answer>,
) -> Asked {
    for _ in 0..MOST_ASKS {
        let part = FramePart::LimitRequest(part.clone());
        node.outbox.post(home, part);
        match tokio::time::timeout(ANSWER_WAIT, &mut receiver).await {
            Ok(Ok(Answer::Grant(grant))) => return Asked::Grant(grant),
            Ok(Ok(Answer::NotHome(other))) => return Asked::NotHome(other),
            Ok(Err(_)) => return Asked::Silence,
            Err(_) => {}
        }
    }
    Asked::Silence
}

fn question(
    node: &Node,
    key: LimitKey,
    number: u32,
    request: UnitRequest,
    without: &[Fingerprint],
) -> LimitRequestPart {
    LimitRequestPart {
        key,
        number,
        needed: request.needed.ceil() as u32,
        ahead: request.ahead.ceil() as u32,
        without: without.to_vec(),
        of: None,
        notice: notices::of(node, key),
    }
}

/// Asks for more before what is there is used up; nobody waits for the answer.
fn ask_ahead(node: &Node, limited: &Limited) {
    let ahead = with_share(node, limited, |share, now_ms| share.ahead(now_ms));
    if ahead < 1.0 || !may_ask_ahead(node, limited.key) {
        return;
    }
    let needed = 0.0;
    let request = UnitRequest { needed, ahead };
    let Some(drawn) = home::of(node, limited) else {
        return;
    };
    match &drawn.home {
        Home::Own => {
            if let Some(grant) = home::deal(node, limited, request, None) {
                note_grant(node, limited.key, grant);
            }
        }
        Home::Other(home) if !home::has_failed(node, limited) => {
            let part = question(node, limited.key, AHEAD, request, &drawn.without);
            node.outbox.post(home, FramePart::LimitRequest(part));
        }
        Home::Other(_) => {}
    }
}

fn may_ask_ahead(node: &Node, key: LimitKey) -> bool {
    let now_ms = node.now_ms();
    let mut asked = node.limits.asked_ahead.borrow_mut();
    let last_ms = asked.get(&key);
    if last_ms.is_some_and(|last_ms| now_ms < last_ms + AHEAD_PAUSE_MS) {
        return false;
    }
    asked.insert(key, now_ms);
    true
}

/// Notes what a home gave. Who asked has a share; units of a limit that is over by now are worth nothing.
fn note_grant(node: &Node, key: LimitKey, grant: UnitGrant) {
    let now_ms = node.now_ms();
    if let Some(share) = node.limits.shares.borrow_mut().get_mut(&key) {
        share.note_given(grant.units, now_ms);
    }
}

/// Another box that does not answer is not asked for a while; requests would wait for it in vain.
fn note_failed(node: &Node, home: &Home, reason: &'static str) {
    let Home::Other(home) = home else {
        return;
    };
    let until_ms = node.now_ms() + FAILED_LIFE_MS;
    let mut failed = node.limits.failed.borrow_mut();
    failed.insert(home.clone(), until_ms);
    drop(failed);
    let event = NoAnswerEvent { home, reason };
    events::emit(part::FRONT, Level::Info, "limit_home_no_answer", &event);
}

/// Answers another box that takes this one for a limit's home.
pub fn take_request(node: &Node, box_id: &str, part: &LimitRequestPart) {
    notices::take(node, part.key, part.notice.as_ref());
    let limited = Limited::find(node, part.key);
    if limited.is_none() && matches!(part.key, LimitKey::Account(_)) {
        return;
    }
    let request = UnitRequest {
        needed: f64::from(part.needed),
        ahead: f64::from(part.ahead),
    };
    let home = limited
        .as_ref()
        .and_then(|limited| home::drawn_without(node, limited, &part.without));
    let limited = limited.filter(|_| home == Some(Home::Own));
    let of = part.of.map(CallerTryPart::to_try);
    let grant = limited.and_then(|limited| home::deal(node, &limited, request, of));
    let other = match home {
        Some(Home::Other(other)) => Some(box_fingerprint(&other)),
        Some(Home::Own) | None => None,
    };
    let room_in_ms = grant.and_then(|grant| grant.room_in_ms);
    let answer = LimitGrantPart {
        key: part.key,
        number: part.number,
        is_home: grant.is_some(),
        other,
        units: grant.map_or(0, |grant| grant.units as u32),
        room_in_ms: room_in_ms.map(|room_in_ms| room_in_ms.min(Millis::from(u16::MAX)) as u16),
        notice: notices::of(node, part.key),
    };
    node.outbox.post(box_id, FramePart::LimitGrant(answer));
}

/// Takes a home's answer; one that comes late still brings its units.
pub fn take_grant(node: &Node, part: &LimitGrantPart) {
    notices::take(node, part.key, part.notice.as_ref());
    if Limited::find(node, part.key).is_none() && matches!(part.key, LimitKey::Account(_)) {
        return;
    }
    let grant = UnitGrant {
        units: f64::from(part.units),
        room_in_ms: part.room_in_ms.map(Millis::from),
    };
    let answer = if part.is_home {
        note_grant(node, part.key, grant);
        Answer::Grant(grant)
    } else {
        let members = node.members.borrow();
        let other = part.other.and_then(|other| members.id_of(other));
        Answer::NotHome(other.cloned())
    };
    if let Some(waiting) = node.limits.waiting.borrow_mut().remove(&part.number) {
        // A request that is gone meanwhile leaves its units to the next one.
        let _ = waiting.send(answer);
    }
}
