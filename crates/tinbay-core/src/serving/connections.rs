//! How many connections a box may open to a server that accepts a number of them from all boxes
//! together.

/// Most connections of one of `boxes` boxes to a server that accepts `accepted` from all of them.
/// While their number is not known, each box has one.
///
/// One part in `boxes + 1` is left for boxes that restart, whose old connections the server has not
/// closed yet. A box needs one connection to send anything, so the sum exceeds `accepted` where
/// there are more boxes than that.
pub fn max_connections(accepted: usize, boxes: Option<usize>) -> usize {
    boxes.map_or(1, |boxes| (accepted / (boxes + 1)).max(1))
}
