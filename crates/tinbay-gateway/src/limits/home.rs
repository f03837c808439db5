//! Selection of a limit's home, the one box that grants units of the limit to all boxes, and the
//! granting where this box is the home.

use tinbay_core::limits::denied::CallerTry;
use tinbay_core::limits::home::{DealTerms, LimitHome, UnitGrant, UnitRequest};
use tinbay_core::serving::capacity::{self, RankedBox};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::limited::{Homed, LimitKey, Limited};
use crate::members::box_fingerprint;
use crate::node::Node;

/// Time for which a selected home is cached, as the selection takes time that grows with the number
/// of boxes.
const HOME_CACHE_MS: Millis = 500;

/// Time for which the view of the fleet is cached: far less than it takes to detect that a box has
/// failed.
const FLEET_CACHE_MS: Millis = 100;

/// Assumed size of the fleet until this box sees its own entry in the store. It may know few of the
/// others before that.
const ASSUMED_FLEET_SIZE: usize = 100;

/// Box that grants units of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Home {
    /// This box.
    Own,
    /// Another box, by its id.
    Other(String),
}

/// Home of a limit, with the boxes that were excluded from the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedHome {
    /// Selected box.
    pub home: Home,
    /// Boxes that reported that they can't be the home. The boxes' views of the fleet can differ
    /// for some seconds, and without the exclusion boxes would redirect requests to each other for
    /// 2 s and more. A box that only named another one as the home is not excluded: it may be
    /// granting units to others in the meantime, and two homes grant twice the limit.
    pub excluded: Vec<Fingerprint>,
}

/// Cached selection of a limit's home.
#[derive(Debug)]
pub struct CachedHome {
    selected: Option<SelectedHome>,
    until_ms: Millis,
}

/// This box's view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetView {
    /// Boxes listed in the store, this one included.
    pub boxes: usize,
    /// Fraction of them, this one included, that this box has heard from recently, from 0 to 1.
    pub reached: f64,
    /// Whether the view is reliable enough to grant units to others.
    pub is_reliable: bool,
}

/// Returns the home of a limit; `None` if no box can be one.
pub fn of(node: &Node, homed: Homed<'_>) -> Option<SelectedHome> {
    let Homed { key, name } = homed;
    let now_ms = node.now_ms();
    let mut cached = node.limits.cached_homes.borrow_mut();
    if let Some(entry) = cached.get(&key).filter(|entry| now_ms < entry.until_ms) {
        return entry.selected.clone();
    }
    let selected = select(node, name, Vec::new());
    let until_ms = now_ms + HOME_CACHE_MS;
    let entry = CachedHome {
        selected: selected.clone(),
        until_ms,
    };
    cached.insert(key, entry);
    selected
}

/// Whether the home of a limit failed to answer recently.
pub fn has_failed(node: &Node, homed: Homed<'_>) -> bool {
    let Some(Home::Other(home)) = of(node, homed).map(|selected| selected.home) else {
        return false;
    };
    let failed = node.limits.failed_homes.borrow();
    let until_ms = failed.get(&home);
    until_ms.is_some_and(|until_ms| node.now_ms() < *until_ms)
}

/// Selects a new home after the last one reported that it can't be the home.
pub fn reselect_excluding(node: &Node, homed: Homed<'_>, last: &SelectedHome) {
    let id = match &last.home {
        Home::Own => node.settings.borrow().box_id.clone(),
        Home::Other(id) => id.clone(),
    };
    let mut excluded = last.excluded.clone();
    excluded.push(box_fingerprint(&id));
    let selected = select(node, homed.name, excluded);
    cache(node, homed.key, selected);
}

/// Follows a redirect: caches the box that the last home named instead of itself.
pub fn follow_redirect(node: &Node, homed: Homed<'_>, last: &SelectedHome, home: String) {
    let is_own = home == node.settings.borrow().box_id;
    let home = if is_own { Home::Own } else { Home::Other(home) };
    let excluded = last.excluded.clone();
    cache(node, homed.key, Some(SelectedHome { home, excluded }));
}

fn cache(node: &Node, key: LimitKey, selected: Option<SelectedHome>) {
    let until_ms = node.now_ms() + HOME_CACHE_MS;
    let mut cached = node.limits.cached_homes.borrow_mut();
    cached.insert(key, CachedHome { selected, until_ms });
}

/// Returns the home of a limit with some boxes excluded.
pub fn home_excluding(node: &Node, homed: Homed<'_>, excluded: &[Fingerprint]) -> Option<Home> {
    let selected = if excluded.is_empty() {
        of(node, homed)
    } else {
        select(node, homed.name, excluded.to_vec())
    };
    selected.map(|selected| selected.home)
}

fn select(node: &Node, name: &str, excluded: Vec<Fingerprint>) -> Option<SelectedHome> {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let others = members.candidates(&settings.box_id, now_ms);
    let own = (!node.is_leaving.get()).then(|| RankedBox {
        id: &settings.box_id,
        capacity: settings.resources.capacity(),
    });
    let is_eligible = |ranked: &RankedBox<'_>| !excluded.contains(&box_fingerprint(ranked.id));
    let boxes: Vec<RankedBox<'_>> = others.chain(own).filter(is_eligible).collect();
    let home = *capacity::select_boxes(name, &boxes, 1).first()?;
    let home = if home == settings.box_id {
        Home::Own
    } else {
        Home::Other(home.to_string())
    };
    Some(SelectedHome { home, excluded })
}

/// Grants units of a limit; `None` if this box's view of the fleet is too unreliable to act as the
/// home.
pub fn grant_units(
    node: &Node,
    limited: &Limited,
    request: UnitRequest,
    caller_try: Option<CallerTry>,
) -> Option<UnitGrant> {
    let fleet = fleet(node);
    if !fleet.is_reliable {
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
    Some(home.deal_to(terms, request, caller_try, now_ms))
}

/// Returns the view of the fleet, cached because counting takes time that grows with the number of
/// boxes.
pub fn fleet(node: &Node) -> FleetView {
    let now_ms = node.now_ms();
    if let Some((view, until_ms)) = node.limits.fleet.get()
        && now_ms < until_ms
    {
        return view;
    }
    let view = observe_fleet(node, now_ms);
    let until_ms = now_ms + FLEET_CACHE_MS;
    node.limits.fleet.set(Some((view, until_ms)));
    view
}

fn observe_fleet(node: &Node, now_ms: Millis) -> FleetView {
    let own_id = node.settings.borrow().box_id.clone();
    let is_registered = node.is_registered();
    let members = node.members.borrow();
    let others = members.others(&own_id).filter(|(_, member)| member.listed);
    let (mut listed, mut heard) = (1, 1);
    for (_, member) in others {
        listed += 1;
        heard += usize::from(member.is_heard(now_ms));
    }
    FleetView {
        boxes: if is_registered {
            listed
        } else {
            listed.max(ASSUMED_FLEET_SIZE)
        },
        reached: heard as f64 / listed as f64,
        is_reliable: is_registered && members.may_hold_exclusive_role(now_ms),
    }
}
