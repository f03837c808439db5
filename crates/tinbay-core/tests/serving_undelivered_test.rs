//! Tests of the record of orders that may still arrive.

use tinbay_core::serving::undelivered::UndeliveredOrders;

const DELIVERY_MS: u64 = 2_500;
const SERVER: &str = "127.0.0.1:1";
const OTHER_SERVER: &str = "127.0.0.1:2";

#[test]
fn order_may_arrive_until_it_is_answered() {
    let mut orders = UndeliveredOrders::new(DELIVERY_MS);
    assert!(!orders.may_arrive(SERVER, 0));
    orders.begin(SERVER);
    assert!(orders.may_arrive(SERVER, 60_000));
    assert!(!orders.may_arrive(OTHER_SERVER, 0));
    orders.end(SERVER, true, 60_000);
    assert!(!orders.may_arrive(SERVER, 60_000));
}

#[test]
fn order_without_answer_may_arrive_until_the_network_gives_up() {
    let mut orders = UndeliveredOrders::new(DELIVERY_MS);
    orders.begin(SERVER);
    orders.end(SERVER, false, 100);
    assert!(orders.may_arrive(SERVER, 100 + DELIVERY_MS - 1));
    orders.tidy(100 + DELIVERY_MS - 1);
    assert!(orders.may_arrive(SERVER, 100 + DELIVERY_MS - 1));
    assert!(!orders.may_arrive(SERVER, 100 + DELIVERY_MS));
}

/// One copy of an order is answered while another one is still under way.
#[test]
fn copy_of_an_answered_order_may_arrive() {
    let mut orders = UndeliveredOrders::new(DELIVERY_MS);
    orders.begin(SERVER);
    orders.begin(SERVER);
    orders.end(SERVER, false, 10);
    orders.end(SERVER, true, 20);
    assert!(orders.may_arrive(SERVER, 20));
    assert!(!orders.may_arrive(SERVER, 10 + DELIVERY_MS));
}
