//! Bounds the bytes of requests that were sent to a server and not answered yet.

/// Bytes that all boxes together may have waiting at one server, unless [`MIN_BOX_BYTES`] is larger
/// for each of them: 500 request bodies of 128 KiB, far more than a server queues.
const MAX_WAITING_BYTES: u64 = 64 * 1_048_576;

/// Lower bound per box, whatever their number: several request bodies of ordinary length.
const MIN_BOX_BYTES: u64 = 1_048_576;

/// Bytes of requests that one of `boxes` boxes may have waiting at one server; the lower bound while
/// their number is not known.
///
/// The sum over all boxes is at most 64 MiB for up to 64 boxes and 1 MiB per box beyond that, plus
/// one request per box.
pub fn bound_bytes(boxes: Option<usize>) -> u64 {
    let share_bytes = boxes.map_or(0, |boxes| MAX_WAITING_BYTES / boxes.max(1) as u64);
    share_bytes.max(MIN_BOX_BYTES)
}

/// Whether another request may be sent to a server.
///
/// A server that accepts connections and reads nothing would otherwise pile up request bodies in
/// the box and in its kernel. If nothing is waiting, a request of any length passes.
pub fn takes_more(waiting_bytes: u64, bound_bytes: u64) -> bool {
    waiting_bytes < bound_bytes
}
