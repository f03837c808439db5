//! Bytes of requests that a server was sent and has not begun to answer.

/// Bytes of requests that all boxes together have waiting at one server, where each has more than its
/// least: the bodies of 500 requests of 128 KiB, far more than a server queues.
const MOST_WAITING_BYTES: u64 = 64 * 1_048_576;

/// The same of one box, however many there are: some bodies of usual length.
const LEAST_OF_A_BOX_BYTES: u64 = 1_048_576;

/// Bytes of requests that one of so many boxes may have waiting at one server.
///
/// The sum over boxes is at most 64 MiB up to 64 boxes, and 1 MiB a box beyond, with one request more
/// from each.
pub fn bound_bytes(boxes: usize) -> u64 {
    let part_bytes = MOST_WAITING_BYTES / boxes.max(1) as u64;
    part_bytes.max(LEAST_OF_A_BOX_BYTES)
}

/// Whether a server may be sent one more request.
///
/// Load: a server that takes connections and reads nothing, while its requests hold their bodies at
/// the box and in the server's kernel. One request is always let through, however long: a body of its
/// own can't wait for itself.
pub fn takes_more(waiting_bytes: u64, bound_bytes: u64) -> bool {
    waiting_bytes < bound_bytes
}
