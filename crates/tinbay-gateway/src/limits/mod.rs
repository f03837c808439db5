//! Rate limits of client accounts and backend servers, enforced over all boxes together.
//!
//! One box is the home of a limit and grants its units to the others. A box requests units from the
//! home, and falls back to a local share of the limit if no home answers.
//!
//! Local shares alone would need no messages, but they refuse requests within the limit wherever
//! its requests are spread unevenly over the boxes. A home sees all requests and costs one round
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
use tinbay_core::limits::retry_times::RetryTimes;
use tinbay_core::limits::share::{LimitShare, ShareTerms};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;
use tokio::sync::oneshot;

use self::home::{CachedHome, FleetView, Home, SelectedHome};
use self::limited::{LimitKey, Limited};
use crate::events::{self, part};
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::peers::frame::{CallerTryPart, FramePart, LimitGrantPart, LimitRequestPart};

/// Time-out before a request to a home is sent again, as messages may be lost: some round trips
/// between zones.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Requests sent to a home before it counts as not answering. Fewer would not do after a restart of
/// all boxes: homes then take long to answer, and boxes of a large fleet refuse requests for which
/// they got no units.
const MAX_SENDS: usize = 4;

/// Upper bound on homes to which one request is sent in turn when each redirects to another.
const MAX_HOMES: usize = 5;

/// Time for which a home that did not answer is not asked again.
const FAILED_HOME_PAUSE_MS: Millis = 1_000;

/// Least interval between prefetches of units.
const MIN_PREFETCH_INTERVAL_MS: Millis = 30;

/// Request number of a prefetch, for which no caller waits.
const PREFETCH_NUMBER: u32 = 0;

/// Source of the units with which a request was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmittedBy {
    /// Units that the home had granted earlier.
    Prefetched,
    /// Units that the home granted for this request.
    Requested,
    /// This box's local share, as no home answered.
    LocalShare,
}

impl AdmittedBy {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AdmittedBy::Prefetched => "given",
            AdmittedBy::Requested => "asked",
            AdmittedBy::LocalShare => "share",
        }
    }
}

/// State of all limits at this box.
#[derive(Debug, Default)]
pub struct Limits {
    /// This box's units of each limit, granted or from its local share.
    shares: RefCell<HashMap<LimitKey, LimitShare>>,
    /// State of the limits of which this box is the home.
    homes: RefCell<HashMap<LimitKey, LimitHome>>,
    cached_homes: RefCell<HashMap<LimitKey, CachedHome>>,
    /// Homes that did not answer, with the time until which they are not asked.
    failed_homes: RefCell<HashMap<String, Millis>>,
    /// Time of the last prefetch of units of each limit.
    prefetched_ms: RefCell<HashMap<LimitKey, Millis>>,
    /// Retry times of callers rejected while all servers of a service are at their limits, by
    /// service.
    retry_times: RefCell<HashMap<String, RetryTimes>>,
    /// Requests to homes that are not answered yet, by number.
    waiting: RefCell<HashMap<u32, oneshot::Sender<Answer>>>,
    last_number: Cell<u32>,
    /// Cached view of the fleet and its expiry.
    fleet: Cell<Option<(FleetView, Millis)>>,
}

impl Limits {
    /// Drops pending requests whose callers have disconnected, expired failures of homes, and
    /// limits that servers no longer announce. Otherwise a request that is never answered would
    /// stay forever.
    pub fn tidy(&self, node: &Node) {
        let now_ms = node.now_ms();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, sender| !sender.is_closed());
        let mut failed = self.failed_homes.borrow_mut();
        failed.retain(|_, until_ms| now_ms < *until_ms);
        let is_current = |key: &LimitKey| {
            matches!(key, LimitKey::Account(_)) || Limited::find(node, *key).is_some()
        };
        self.shares.borrow_mut().retain(|key, _| is_current(key));
        self.homes.borrow_mut().retain(|key, _| is_current(key));
        self.cached_homes
            .borrow_mut()
            .retain(|key, _| is_current(key));
        self.prefetched_ms
            .borrow_mut()
            .retain(|key, _| is_current(key));
    }

    /// Drops the units granted from a limit that has ended, so that the next one starts afresh.
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

/// Answer of a home to a request for units.
#[derive(Debug, Clone)]
enum Answer {
    Grant(UnitGrant),
    NotHome(Option<String>),
}

/// Admits a request within a limit, at the cost of `units`.
///
/// # Errors
/// Returns the time until the limit has capacity for the request.
pub async fn admit(
    node: &Node,
    limited: &Limited,
    units: f64,
    caller_try: Option<CallerTry>,
) -> Result<AdmittedBy, Millis> {
    if spend_granted(node, limited, units) {
        prefetch(node, limited);
        return Ok(AdmittedBy::Prefetched);
    }
    let has_failed = home::has_failed(node, limited.homed());
    if !has_failed && let Some(result) = admit_by_home(node, limited, units, caller_try).await {
        return result;
    }
    let retry_after_ms = match spend_share(node, limited, units) {
        Ok(()) => return Ok(AdmittedBy::LocalShare),
        Err(retry_after_ms) => retry_after_ms,
    };
    // A request that one server can't take may go to another one, but a request over an account's
    // limit is refused. So an account's home is tried even after it failed recently.
    let has_no_alternative = matches!(limited.key, LimitKey::Account(_));
    if has_failed
        && has_no_alternative
        && let Some(result) = admit_by_home(node, limited, units, caller_try).await
    {
        return result;
    }
    Err(retry_after_ms)
}

fn spend_share(node: &Node, limited: &Limited, units: f64) -> Result<(), Millis> {
    let terms = ShareTerms {
        limit_terms: limited.terms,
        boxes: home::fleet(node).boxes,
    };
    with_share(node, limited, |share, now_ms| {
        share.take_share(terms, units, now_ms)
    })
}

/// Admits a request with units from the limit's home; `None` if no home answers.
async fn admit_by_home(
    node: &Node,
    limited: &Limited,
    units: f64,
    caller_try: Option<CallerTry>,
) -> Option<Result<AdmittedBy, Millis>> {
    for _ in 0..MAX_HOMES {
        let selected = home::of(node, limited.homed())?;
        let grant = match request_units(node, limited, units, caller_try, &selected).await {
            UnitRequestResult::Grant(grant) => grant,
            UnitRequestResult::NotHome(Some(other)) => {
                home::follow_redirect(node, limited.homed(), &selected, other);
                continue;
            }
            UnitRequestResult::NotHome(None) => {
                home::reselect_excluding(node, limited.homed(), &selected);
                continue;
            }
            UnitRequestResult::NoAnswer => {
                record_no_answer(node, &selected.home, "silent");
                return None;
            }
        };
        if let Some(retry_after_ms) = grant.retry_after_ms {
            with_share(node, limited, |share, now_ms| share.note_denied(now_ms));
            return Some(Err(retry_after_ms));
        }
        if spend_granted(node, limited, units) {
            return Some(Ok(AdmittedBy::Requested));
        }
    }
    None
}

/// Returns the units of a request that was not run.
pub fn give_back(node: &Node, limited: &Limited, units: f64) {
    with_share(node, limited, |share, now_ms| {
        share.give_back(units, now_ms)
    });
}

fn spend_granted(node: &Node, limited: &Limited, units: f64) -> bool {
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

/// Result of a request for units to a home.
enum UnitRequestResult {
    Grant(UnitGrant),
    NoAnswer,
    /// The box is not the home. It names the box that it regards as the home, or none if it knows
    /// no other.
    NotHome(Option<String>),
}

/// Requests units from the home of a limit.
async fn request_units(
    node: &Node,
    limited: &Limited,
    units: f64,
    caller_try: Option<CallerTry>,
    selected: &SelectedHome,
) -> UnitRequestResult {
    let ahead = with_share(node, limited, |share, now_ms| share.ahead(now_ms));
    let request = UnitRequest {
        needed: units,
        ahead,
    };
    let home = match &selected.home {
        Home::Own => {
            let Some(grant) = home::grant_units(node, limited, request, caller_try) else {
                return UnitRequestResult::NotHome(None);
            };
            apply_grant(node, limited.key, grant);
            return UnitRequestResult::Grant(grant);
        }
        Home::Other(home) => home,
    };
    let number = node
        .limits
        .last_number
        .get()
        .wrapping_add(1)
        .max(PREFETCH_NUMBER + 1);
    node.limits.last_number.set(number);
    let (sender, receiver) = oneshot::channel();
    node.limits.waiting.borrow_mut().insert(number, sender);
    let part = LimitRequestPart {
        caller_try: caller_try.map(CallerTryPart::new),
        ..build_request(node, limited.key, number, request, &selected.excluded)
    };
    let result = request_until_answered(node, home, &part, receiver).await;
    node.limits.waiting.borrow_mut().remove(&number);
    result
}

/// Sends a request repeatedly until it is answered. An answer to any of the sends counts.
async fn request_until_answered(
    node: &Node,
    home: &str,
    part: &LimitRequestPart,
    mut receiver: oneshot::Receiver<Answer>,
) -> UnitRequestResult {
    for _ in 0..MAX_SENDS {
        let part = FramePart::LimitRequest(part.clone());
        node.outbox.post(home, part);
        match tokio::time::timeout(RESEND_INTERVAL, &mut receiver).await {
            Ok(Ok(Answer::Grant(grant))) => return UnitRequestResult::Grant(grant),
            Ok(Ok(Answer::NotHome(other))) => return UnitRequestResult::NotHome(other),
            Ok(Err(_)) => return UnitRequestResult::NoAnswer,
            Err(_) => {}
        }
    }
    UnitRequestResult::NoAnswer
}

fn build_request(
    node: &Node,
    key: LimitKey,
    number: u32,
    request: UnitRequest,
    excluded: &[Fingerprint],
) -> LimitRequestPart {
    LimitRequestPart {
        key,
        number,
        needed: request.needed.ceil() as u32,
        ahead: request.ahead.ceil() as u32,
        excluded: excluded.to_vec(),
        caller_try: None,
        notice: notices::of(node, key),
    }
}

/// Requests more units before the granted ones are used up; no caller waits for the answer.
fn prefetch(node: &Node, limited: &Limited) {
    let ahead = with_share(node, limited, |share, now_ms| share.ahead(now_ms));
    if ahead < 1.0 || !may_prefetch(node, limited.key) {
        return;
    }
    let needed = 0.0;
    let request = UnitRequest { needed, ahead };
    let Some(selected) = home::of(node, limited.homed()) else {
        return;
    };
    match &selected.home {
        Home::Own => {
            if let Some(grant) = home::grant_units(node, limited, request, None) {
                apply_grant(node, limited.key, grant);
            }
        }
        Home::Other(home) if !home::has_failed(node, limited.homed()) => {
            let part = build_request(
                node,
                limited.key,
                PREFETCH_NUMBER,
                request,
                &selected.excluded,
            );
            node.outbox.post(home, FramePart::LimitRequest(part));
        }
        Home::Other(_) => {}
    }
}

fn may_prefetch(node: &Node, key: LimitKey) -> bool {
    let now_ms = node.now_ms();
    let mut prefetched_ms = node.limits.prefetched_ms.borrow_mut();
    let last_ms = prefetched_ms.get(&key);
    if last_ms.is_some_and(|last_ms| now_ms < last_ms + MIN_PREFETCH_INTERVAL_MS) {
        return false;
    }
    prefetched_ms.insert(key, now_ms);
    true
}

/// Adds granted units to this box's share. A box that requested units has a share unless the limit
/// has ended; the units are then dropped.
fn apply_grant(node: &Node, key: LimitKey, grant: UnitGrant) {
    let now_ms = node.now_ms();
    if let Some(share) = node.limits.shares.borrow_mut().get_mut(&key) {
        share.note_given(grant.units, now_ms);
    }
}

/// Records that another box did not answer, so that requests don't wait for it for a while.
pub fn record_no_answer(node: &Node, home: &Home, reason: &'static str) {
    let Home::Other(home) = home else {
        return;
    };
    let until_ms = node.now_ms() + FAILED_HOME_PAUSE_MS;
    let mut failed = node.limits.failed_homes.borrow_mut();
    failed.insert(home.clone(), until_ms);
    drop(failed);
    let event = NoAnswerEvent { home, reason };
    events::emit(part::FRONT, Level::Info, "limit_home_no_answer", &event);
}

/// Answers a request for units from a box that regards this one as the limit's home.
pub fn handle_request(node: &Node, box_id: &str, part: &LimitRequestPart) {
    notices::apply(node, part.key, part.notice.as_ref());
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
        .and_then(|limited| home::home_excluding(node, limited.homed(), &part.excluded));
    let limited = limited.filter(|_| home == Some(Home::Own));
    let caller_try = part.caller_try.map(CallerTryPart::to_try);
    let grant = limited.and_then(|limited| home::grant_units(node, &limited, request, caller_try));
    let other = match home {
        Some(Home::Other(other)) => Some(box_fingerprint(&other)),
        Some(Home::Own) | None => None,
    };
    let retry_after_ms = grant.and_then(|grant| grant.retry_after_ms);
    let answer = LimitGrantPart {
        key: part.key,
        number: part.number,
        is_home: grant.is_some(),
        other,
        units: grant.map_or(0, |grant| grant.units as u32),
        retry_after_ms: retry_after_ms
            .map(|retry_after_ms| retry_after_ms.min(Millis::from(u16::MAX)) as u16),
        notice: notices::of(node, part.key),
    };
    node.outbox.post(box_id, FramePart::LimitGrant(answer));
}

/// Applies the answer of a home. A late answer still brings its units.
pub fn handle_grant(node: &Node, part: &LimitGrantPart) {
    notices::apply(node, part.key, part.notice.as_ref());
    if Limited::find(node, part.key).is_none() && matches!(part.key, LimitKey::Account(_)) {
        return;
    }
    let grant = UnitGrant {
        units: f64::from(part.units),
        retry_after_ms: part.retry_after_ms.map(Millis::from),
    };
    let answer = if part.is_home {
        apply_grant(node, part.key, grant);
        Answer::Grant(grant)
    } else {
        let members = node.members.borrow();
        let other = part.other.and_then(|other| members.id_of(other));
        Answer::NotHome(other.cloned())
    };
    if let Some(waiting) = node.limits.waiting.borrow_mut().remove(&part.number) {
        // If the caller has disconnected in the meantime, the next request can use the units.
        let _ = waiting.send(answer);
    }
}
