//! Property tests: decoders accept any bytes without a panic, and decoding reverses encoding.

use quickcheck::QuickCheck;
use serde::de::DeserializeOwned;
use tinbay_core::assemble::Chunk;
use tinbay_core::fence::Order;
use tinbay_core::ids::{BoxId, ModelRef};
use tinbay_core::keys::RequestKey;
use tinbay_wire::admin::ChangeRequest;
use tinbay_wire::box_list::BoxList;
use tinbay_wire::completion::CompletionRequest;
use tinbay_wire::control::{Envelope, Message, Reply};
use tinbay_wire::engine::{EngineRequest, EngineState};
use tinbay_wire::etcd::{Bytes, RangeResponse, StreamItem, TxnRequest, WatchResponse, prefix_end};
use tinbay_wire::forward::ForwardRequest;

fn decode_json<T: DeserializeOwned>(bytes: &[u8]) {
    let _ = serde_json::from_slice::<T>(bytes);
}

/// Embeds the bytes in JSON documents, because random bytes alone rarely are valid JSON.
fn wrap_in_json(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(bytes);
    let value = serde_json::json!({ "model": text, "kvs": [{ "key": text }], "result": text });
    value.to_string().into_bytes()
}

#[test]
fn decode_json_any_bytes_does_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        for input in [bytes.clone(), wrap_in_json(&bytes)] {
            decode_json::<CompletionRequest>(&input);
            decode_json::<ChangeRequest>(&input);
            decode_json::<ForwardRequest>(&input);
            decode_json::<EngineRequest>(&input);
            decode_json::<EngineState>(&input);
            decode_json::<Chunk>(&input);
            decode_json::<BoxList>(&input);
            decode_json::<RangeResponse>(&input);
            decode_json::<TxnRequest>(&input);
            decode_json::<StreamItem<WatchResponse>>(&input);
        }
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn decode_control_any_bytes_does_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _ = postcard::from_bytes::<Envelope>(&bytes);
        let _ = postcard::from_bytes::<Reply>(&bytes);
        true
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn decode_control_encoded_round_trips() {
    fn property(from: String, revision: i64, incarnation: u64, nonce: u64) -> bool {
        let envelope = Envelope {
            from: BoxId::new(from.clone()),
            revision,
            message: Message::Claim(RequestKey {
                home: BoxId::new(from),
                incarnation,
                minted_ms: nonce,
                nonce,
            }),
        };
        let bytes = postcard::to_stdvec(&envelope).expect("encodes");
        postcard::from_bytes::<Envelope>(&bytes) == Ok(envelope)
    }
    QuickCheck::new().quickcheck(property as fn(String, i64, u64, u64) -> bool);
}

#[test]
fn decode_names_any_text_does_not_panic() {
    fn property(text: String) -> bool {
        let _ = text.parse::<ModelRef>();
        let _ = text.parse::<Order>();
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(String) -> bool);
}

#[test]
fn etcd_bytes_encoded_round_trip() {
    fn property(bytes: Vec<u8>) -> bool {
        let json = serde_json::to_string(&Bytes(bytes.clone())).expect("encodes");
        serde_json::from_str::<Bytes>(&json).ok() == Some(Bytes(bytes))
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn prefix_end_is_above_every_key_with_the_prefix() {
    fn property(prefix: String, rest: String) -> bool {
        let end = prefix_end(&prefix);
        let key = format!("{prefix}{rest}");
        // A single zero byte means that the range has no upper end.
        end.0 == [0] || (key.as_bytes() < end.0.as_slice() && prefix.as_bytes() < end.0.as_slice())
    }
    QuickCheck::new().quickcheck(property as fn(String, String) -> bool);
}
