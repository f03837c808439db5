//! Keys of another writer in the key-value service.

mod common;

use common::{await_that, post, send, start_box_with};
use tinbay_wire::etcd::{Bytes, PutRequest, RequestOp, TxnRequest};

/// Pairs of a page of a listing.
const PAGE_SIZE: usize = 1_000;

/// Whether the box has a class in force.
fn has_class(address: std::net::SocketAddr, name: &str) -> bool {
    let path = "/admin/v1/objects?kind=class";
    let answer = send(address, "GET", path, &[], b"");
    answer.is_some_and(|answer| answer.status == 200 && answer.body.contains(name))
}

fn put(key: &[u8], value: &str) -> RequestOp {
    RequestOp::Put(PutRequest {
        key: Bytes([b"/tinbay/config/class/", key].concat()),
        value: Bytes::text(value),
        ..PutRequest::default()
    })
}

/// Guards against a listing that asks for the same page for ever: the text of a key that is not UTF-8
/// is not that key, so that the next page began before the last one had ended.
#[test]
fn keys_that_are_not_utf8_leave_the_configuration() {
    let started = start_box_with(|options| {
        let class = r#"{"class":{"name":"counter","rank":1,"max_wait_ms":1000}}"#;
        let odd_keys = (0..=PAGE_SIZE).map(|n| [b"\xff", format!("{n:04}").as_bytes()].concat());
        let odd = odd_keys.map(|key| put(&key, "{}"));
        let request = TxnRequest {
            compare: Vec::new(),
            success: odd.chain([put(b"counter", class)]).collect(),
        };
        let body = serde_json::to_string(&request).expect("a request");
        assert_eq!(post(options.kv, "/v3/kv/txn", &body).status, 200);
    });
    let address = started.node.address();
    await_that("the class is in force", || has_class(address, "counter"));
}
