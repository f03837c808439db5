//! Estimates when an engine without an owner gets its next one, and delays requests until then.

use std::time::Duration;

use tinbay_core::ids::EngineId;
use tinbay_core::units::Millis;
use tinbay_core::vacancy::{OwnerLoss, VacancyTerms};
use tinbay_core::view::{BoxRun, dead_after_ms, heartbeat_period_ms};
use tokio::sync::watch;

use crate::controllers::{FORMER_OWNER_LEASE_MS, OWNERSHIP_PERIOD_MS, jittered};
use crate::filters::Failure;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// Delay before an engine's owner is contacted again if the view does not change. It doubles with
/// each wait, since all requests for the engine retry.
const RETRY_MS: Millis = 100;

/// Upper bound of the delay between two retries.
const MAX_RETRY_MS: Millis = 1_000;

/// Records that the process contacted as the owner of an engine does not own it or was not
/// reached. Returns the time until the next owner is expected.
pub fn record_owner_loss(
    node: &Node,
    engine: &EngineId,
    contacted: Option<&BoxRun>,
    loss: OwnerLoss,
) -> Millis {
    let terms = vacancy_terms(node, engine);
    let now_ms = node.clock.now_ms();
    let mut vacancies = lock(&node.vacancies);
    vacancies.note_lost(engine, contacted, loss, &terms, now_ms);
    vacancies.wait_ms(engine, now_ms)
}

/// Waits until the owner may be contacted again: after a change of the view or the retry delay.
///
/// # Errors
/// [`Failure::NotOwner`] at once if the next owner is expected only after `until_ms`.
pub async fn await_owner(
    node: &Node,
    engine: &EngineId,
    changes: &mut watch::Receiver<u64>,
    waits: u32,
    until_ms: Millis,
) -> Result<(), Failure> {
    let now_ms = node.clock.now_ms();
    let wait_ms = lock(&node.vacancies).wait_ms(engine, now_ms);
    if now_ms + wait_ms > until_ms {
        return Err(Failure::NotOwner {
            retry_after_ms: wait_ms,
        });
    }
    let delay = jittered(Duration::from_millis(retry_delay_ms(waits)));
    let left = Duration::from_millis(until_ms - now_ms);
    let _ = tokio::time::timeout(delay.min(left), changes.changed()).await;
    Ok(())
}

/// Waits between two attempts to resume, when the engine broke off the first one without a chunk.
pub async fn delay_resume(attempts: u32) {
    tokio::time::sleep(jittered(Duration::from_millis(retry_delay_ms(attempts)))).await;
}

fn retry_delay_ms(attempts: u32) -> Millis {
    let doubled = RETRY_MS.saturating_mul(1 << attempts.min(10));
    doubled.min(MAX_RETRY_MS)
}

fn vacancy_terms(node: &Node, engine: &EngineId) -> VacancyTerms {
    let spec = node.config.engine(engine.as_str());
    let zone = spec.as_ref().map(|spec| &spec.zone);
    let box_count = zone.map_or(0, |zone| read(&node.members).view().count_in(zone));
    let checks_orders = spec.as_ref().is_none_or(|spec| spec.checks_orders);
    let lease_ms = if checks_orders {
        0
    } else {
        FORMER_OWNER_LEASE_MS
    };
    VacancyTerms {
        detect_ms: dead_after_ms(box_count, node.options.dead_after_ms) + lease_ms,
        take_over_ms: heartbeat_period_ms(box_count) + OWNERSHIP_PERIOD_MS,
    }
}
