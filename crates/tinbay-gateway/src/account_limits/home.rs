//! Which box keeps an account's limit for all, and the dealing where it is this one.

use std::rc::Rc;

use tinbay_core::accounts::account::{Account, Limit};
use tinbay_core::accounts::limit_home::{LimitHome, UnitGrant, UnitRequest};
use tinbay_core::serving::capacity::{self, RankedBox};
use tinbay_core::units::Millis;

use crate::node::Node;
use crate::watch::boxes::{MEMBER_PREFIX, PREFIX};

/// How long a home that was drawn is kept: to draw it takes time that grows with the boxes.
const DRAWN_LIFE_MS: Millis = 500;

/// Boxes that a fleet is taken to have while this box has not yet seen its own entry in the
/// store: it may know few of the others.
const UNKNOWN_FLEET: usize = 100;

/// The home of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Home {
    /// This box.
    Own,
    /// Another one.
    Other(String),
}

/// The home of an account as it was drawn lately.
#[derive(Debug)]
pub struct DrawnHome {
    home: Option<Home>,
    until_ms: Millis,
}

/// The fleet as this box sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetView {
    /// Boxes that are entered in the store, this one included.
    pub boxes: usize,
    /// Part of them that this box reaches, from 0 to 1.
    pub reached: f64,
    /// Whether all that is known well enough to deal units for others.
    pub is_sure: bool,
}

/// The home of an account; none where it does not answer.
pub fn of(node: &Node, account: &Rc<str>) -> Option<Home> {
    let home = drawn(node, account)?;
    if let Home::Other(id) = &home {
        let failed = node.account_limits.failed.borrow();
        let now_ms = node.now_ms();
        if failed.get(id).is_some_and(|until_ms| now_ms < *until_ms) {
            return None;
        }
    }
    Some(home)
}

/// Takes another box for an account's home, as one said that was asked: what boxes know of the
/// fleet may differ for some seconds.
pub fn note_other(node: &Node, account: &Rc<str>, home: String) {
    let is_own = home == node.settings.borrow().box_id;
    let home = if is_own { Home::Own } else { Home::Other(home) };
    let kept = DrawnHome {
        home: Some(home),
        until_ms: node.now_ms() + DRAWN_LIFE_MS,
    };
    let mut drawn = node.account_limits.drawn.borrow_mut();
    drawn.insert(Rc::clone(account), kept);
}

fn drawn(node: &Node, account: &Rc<str>) -> Option<Home> {
    let now_ms = node.now_ms();
    let mut drawn = node.account_limits.drawn.borrow_mut();
    if let Some(kept) = drawn.get(account).filter(|kept| now_ms < kept.until_ms) {
        return kept.home.clone();
    }
    let home = draw(node, account, now_ms);
    let kept = DrawnHome {
        home: home.clone(),
        until_ms: now_ms + DRAWN_LIFE_MS,
    };
    drawn.insert(Rc::clone(account), kept);
    home
}

fn draw(node: &Node, account: &str, now_ms: Millis) -> Option<Home> {
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let others = members
        .others(&settings.box_id)
        .filter(|(_, member)| member.listed && member.is_up(now_ms))
        .map(|(id, member)| RankedBox {
            id,
            capacity: member.record.capacity,
        });
    let own = (!node.is_leaving.get()).then(|| RankedBox {
        id: &settings.box_id,
        capacity: settings.resources.capacity(),
    });
    let boxes: Vec<RankedBox<'_>> = others.chain(own).collect();
    let home = *capacity::draw(account, &boxes, 1).first()?;
    if home == settings.box_id {
        return Some(Home::Own);
    }
    Some(Home::Other(home.to_string()))
}

/// Deals units of an account; none where this box can't be sure to be its home.
pub fn deal(
    node: &Node,
    account: &Account,
    limit: Limit,
    request: UnitRequest,
) -> Option<UnitGrant> {
    let fleet = fleet(node);
    if !fleet.is_sure {
        return None;
    }
    let now_ms = node.now_ms();
    let mut homes = node.account_limits.homes.borrow_mut();
    let home = homes
        .entry(Rc::clone(&account.name))
        .or_insert_with(|| LimitHome::new(now_ms));
    Some(home.deal(limit, request, fleet.reached, now_ms))
}

/// The fleet as this box sees it.
pub fn fleet(node: &Node) -> FleetView {
    let now_ms = node.now_ms();
    let own_id = node.settings.borrow().box_id.clone();
    let own_key = format!("{MEMBER_PREFIX}{own_id}");
    let is_entered = node.replica.item(PREFIX, &own_key).is_some();
    let members = node.members.borrow();
    let others = members.others(&own_id).filter(|(_, member)| member.listed);
    let (mut listed, mut heard) = (1, 1);
    for (_, member) in others {
        listed += 1;
        heard += usize::from(member.is_heard(now_ms));
    }
    FleetView {
        boxes: if is_entered {
            listed
        } else {
            listed.max(UNKNOWN_FLEET)
        },
        reached: heard as f64 / listed as f64,
        is_sure: is_entered && members.may_keep(now_ms),
    }
}
