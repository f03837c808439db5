//! Which box keeps a limit for all, and the dealing where it is this one.

use tinbay_core::limits::denied::CallerTry;
use tinbay_core::limits::home::{DealTerms, LimitHome, UnitGrant, UnitRequest};
use tinbay_core::serving::capacity::{self, RankedBox};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::limited::{LimitKey, Limited};
use crate::members::box_fingerprint;
use crate::node::Node;

/// How long a home that was drawn is kept: to draw it takes time that grows with the boxes.
const DRAWN_LIFE_MS: Millis = 500;

/// How long the fleet counts as it was seen: far less than it takes to miss a box.
const FLEET_LIFE_MS: Millis = 100;

/// Boxes that a fleet is taken to have while this box has not yet seen its own entry in the
/// store: it may know few of the others.
const UNKNOWN_FLEET: usize = 100;

/// The home of a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Home {
    /// This box.
    Own,
    /// Another one.
    Other(String),
}

/// The home of a limit and how it was drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drawn {
    /// The home.
    pub home: Home,
    /// Boxes that said of themselves that they can't be a home, and were left out. What boxes know
    /// of the fleet differs for some seconds; without this, boxes named each other in turn for 2 s
    /// and more. A box that only takes another one for the home is not left out: it may deal to
    /// others meanwhile, and two homes deal twice the limit.
    pub without: Vec<Fingerprint>,
}

/// The home of a limit as it was drawn lately.
#[derive(Debug)]
pub struct KeptHome {
    drawn: Option<Drawn>,
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

/// The home of a limit; none where no box can be one.
pub fn of(node: &Node, limited: &Limited) -> Option<Drawn> {
    of_name(node, limited.key, &limited.name)
}

/// The same by the limit's names.
pub fn of_name(node: &Node, key: LimitKey, name: &str) -> Option<Drawn> {
    let now_ms = node.now_ms();
    let mut kept = node.limits.drawn.borrow_mut();
    if let Some(kept) = kept.get(&key).filter(|kept| now_ms < kept.until_ms) {
        return kept.drawn.clone();
    }
    let drawn = draw(node, name, Vec::new());
    let until_ms = now_ms + DRAWN_LIFE_MS;
    let entry = KeptHome {
        drawn: drawn.clone(),
        until_ms,
    };
    kept.insert(key, entry);
    drawn
}

/// Whether the home of a limit did not answer lately.
pub fn has_failed(node: &Node, limited: &Limited) -> bool {
    let Some(Home::Other(home)) = of(node, limited).map(|drawn| drawn.home) else {
        return false;
    };
    let failed = node.limits.failed.borrow();
    let until_ms = failed.get(&home);
    until_ms.is_some_and(|until_ms| node.now_ms() < *until_ms)
}

/// Draws a limit's home anew, as the last one said that it can't be one.
pub fn draw_without(node: &Node, limited: &Limited, last: &Drawn) {
    let id = match &last.home {
        Home::Own => node.settings.borrow().box_id.clone(),
        Home::Other(id) => id.clone(),
    };
    let mut without = last.without.clone();
    without.push(box_fingerprint(&id));
    let drawn = draw(node, &limited.name, without);
    keep(node, limited, drawn);
}

/// Takes another box for a limit's home, as the last one does that was asked.
pub fn take_other(node: &Node, limited: &Limited, last: &Drawn, home: String) {
    let is_own = home == node.settings.borrow().box_id;
    let home = if is_own { Home::Own } else { Home::Other(home) };
    let without = last.without.clone();
    keep(node, limited, Some(Drawn { home, without }));
}

fn keep(node: &Node, limited: &Limited, drawn: Option<Drawn>) {
    let until_ms = node.now_ms() + DRAWN_LIFE_MS;
    let mut kept = node.limits.drawn.borrow_mut();
    kept.insert(limited.key, KeptHome { drawn, until_ms });
}

/// The home of a limit as this box draws it, with some boxes left out.
pub fn drawn_without(node: &Node, limited: &Limited, without: &[Fingerprint]) -> Option<Home> {
    let drawn = if without.is_empty() {
        of(node, limited)
    } else {
        draw(node, &limited.name, without.to_vec())
    };
    drawn.map(|drawn| drawn.home)
}

fn draw(node: &Node, name: &str, without: Vec<Fingerprint>) -> Option<Drawn> {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let others = members.candidates(&settings.box_id, now_ms);
    let own = (!node.is_leaving.get()).then(|| RankedBox {
        id: &settings.box_id,
        capacity: settings.resources.capacity(),
    });
    let is_in = |ranked: &RankedBox<'_>| !without.contains(&box_fingerprint(ranked.id));
    let boxes: Vec<RankedBox<'_>> = others.chain(own).filter(is_in).collect();
    let home = *capacity::draw(name, &boxes, 1).first()?;
    let home = if home == settings.box_id {
        Home::Own
    } else {
        Home::Other(home.to_string())
    };
    Some(Drawn { home, without })
}

/// Deals units of a limit; none where this box can't be sure to be its home.
pub fn deal(
    node: &Node,
    limited: &Limited,
    request: UnitRequest,
    of: Option<CallerTry>,
) -> Option<UnitGrant> {
    let fleet = fleet(node);
    if !fleet.is_sure {
        return None;
    }
    let now_ms = node.now_ms();
    let terms = DealTerms {
        limit_terms: limited.terms,
        reached: fleet.reached,
        boxes: fleet.boxes,
    };
    let mut homes = node.limits.homes.borrow_mut();
    let home = homes
        .entry(limited.key)
        .or_insert_with(|| LimitHome::in_debt(limited.terms.first_debt, now_ms));
    Some(home.deal_to(terms, request, of, now_ms))
}

/// The fleet as this box saw it lately: to look takes time that grows with the boxes.
pub fn fleet(node: &Node) -> FleetView {
    let now_ms = node.now_ms();
    if let Some((view, until_ms)) = node.limits.fleet.get()
        && now_ms < until_ms
    {
        return view;
    }
    let view = look(node, now_ms);
    let until_ms = now_ms + FLEET_LIFE_MS;
    node.limits.fleet.set(Some((view, until_ms)));
    view
}

fn look(node: &Node, now_ms: Millis) -> FleetView {
    let own_id = node.settings.borrow().box_id.clone();
    let is_entered = node.is_entered();
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
