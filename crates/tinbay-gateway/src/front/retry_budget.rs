//! The budgets for retries and hedges of this box, one for each service.

use std::cell::RefCell;
use std::collections::HashMap;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::budget::AttemptBudget;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use crate::events::{self, part};
use crate::node::Node;

/// Least time between two log lines on the budget of one service.
const LOG_INTERVAL_MS: Millis = MS_PER_SECOND;

/// Budgets by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    by_service: RefCell<HashMap<String, ServiceBudget>>,
}

#[derive(Debug)]
struct ServiceBudget {
    budget: AttemptBudget,
    logged_ms: Option<Millis>,
}

impl Default for ServiceBudget {
    fn default() -> Self {
        Self {
            // The clock of a box starts with its process.
            budget: AttemptBudget::new(0),
            logged_ms: None,
        }
    }
}

/// What a box has spent of the budget for a service within the window, and what its share depends
/// on.
#[derive(Serialize)]
struct SpentEvent<'a> {
    service: &'a str,
    first_attempts: usize,
    extra_attempts: usize,
    /// None while the boxes are not known.
    boxes_counted: Option<usize>,
    process_age_ms: Millis,
}

/// Adds to the budget for a service, which is proportional to the number of first attempts.
pub fn record_first_attempt(node: &Node, service: &str) {
    let terms = node.settings.borrow().bounds.second_sends;
    let now_ms = node.now_ms();
    let mut budgets = node.budgets.by_service.borrow_mut();
    let service = budgets.entry(service.to_string()).or_default();
    let boxes = node.sender_count();
    service.budget.record_first_attempt(&terms, boxes, now_ms);
    node.metrics.first_sends.inc();
}

/// Takes a retry from the budget for a service, if one is left.
pub fn take_retry(node: &Node, service: &str) -> bool {
    let terms = node.settings.borrow().bounds.second_sends;
    let boxes = node.sender_count();
    let is_taken = take(node, service, |budget, now_ms| {
        budget.take_retry(&terms, boxes, now_ms)
    });
    let outcome = if is_taken { "sent" } else { "no_budget" };
    let second_sends = &node.metrics.second_sends;
    second_sends.with_label_values(&[outcome]).inc();
    is_taken
}

/// Takes a hedge from the budget for a service, if one is left.
pub fn take_hedge(node: &Node, service: &str) -> bool {
    let terms = node.settings.borrow().bounds.second_sends;
    let boxes = node.sender_count();
    take(node, service, |budget, now_ms| {
        budget.take_hedge(&terms, boxes, now_ms)
    })
}

fn take(
    node: &Node,
    service: &str,
    take_from: impl FnOnce(&mut AttemptBudget, Millis) -> bool,
) -> bool {
    let now_ms = node.now_ms();
    let mut budgets = node.budgets.by_service.borrow_mut();
    let of_service = budgets.entry(service.to_string()).or_default();
    let is_taken = take_from(&mut of_service.budget, now_ms);
    let is_due = of_service
        .logged_ms
        .is_none_or(|logged_ms| now_ms >= logged_ms + LOG_INTERVAL_MS);
    if is_due {
        of_service.logged_ms = Some(now_ms);
        let event = SpentEvent {
            service,
            first_attempts: of_service.budget.first_attempts(),
            extra_attempts: of_service.budget.extra_attempts(),
            boxes_counted: node.sender_count(),
            process_age_ms: now_ms,
        };
        events::emit(part::FRONT, Level::Info, "retry_budget", &event);
    }
    is_taken
}
