//! How long an order counts as one that may still arrive.

use std::sync::Arc;

use tinbay_core::ids::EngineId;
use tinbay_node::owners::{ORDER_DELIVERY_MS, OrdersUnderWay};

const SENT_MS: u64 = 1_000;

fn engine(name: &str) -> EngineId {
    EngineId::new(name)
}

#[test]
fn order_without_an_answer_may_arrive_until_its_delivery_time() {
    let orders = Arc::new(OrdersUnderWay::default());
    drop(orders.begin(&engine("engine-1"), SENT_MS));
    assert!(orders.may_arrive(&engine("engine-1"), SENT_MS + ORDER_DELIVERY_MS - 1));
    assert!(!orders.may_arrive(&engine("engine-1"), SENT_MS + ORDER_DELIVERY_MS));
}

#[test]
fn order_answered_arrives_no_more() {
    let orders = Arc::new(OrdersUnderWay::default());
    let first = orders.begin(&engine("engine-1"), SENT_MS);
    let second = orders.begin(&engine("engine-1"), SENT_MS);
    first.end();
    assert!(orders.may_arrive(&engine("engine-1"), SENT_MS));
    second.end();
    assert!(!orders.may_arrive(&engine("engine-1"), SENT_MS));
}

#[test]
fn order_to_another_engine_does_not_count() {
    let orders = Arc::new(OrdersUnderWay::default());
    drop(orders.begin(&engine("engine-1"), SENT_MS));
    assert!(!orders.may_arrive(&engine("engine-2"), SENT_MS));
}
