//! Lines out of pieces.

use quickcheck::QuickCheck;
use tinbay_http::stream::LineDecoder;

#[test]
fn next_line_does_not_depend_on_the_pieces() {
    fn holds(text: Vec<u8>, cuts: Vec<usize>) -> bool {
        let mut whole = LineDecoder::default();
        whole.push(&text).expect("short enough");
        let expected: Vec<Vec<u8>> = std::iter::from_fn(|| whole.next_line()).collect();

        let mut pieced = LineDecoder::default();
        let mut found = Vec::new();
        let mut rest = text.as_slice();
        for cut in cuts {
            let (piece, after) = rest.split_at(cut % (rest.len() + 1));
            rest = after;
            pieced.push(piece).expect("short enough");
            found.extend(std::iter::from_fn(|| pieced.next_line()));
        }
        pieced.push(rest).expect("short enough");
        found.extend(std::iter::from_fn(|| pieced.next_line()));
        found == expected
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>, Vec<usize>) -> bool);
}

#[test]
fn next_line_strips_both_line_ends() {
    let mut decoder = LineDecoder::default();
    decoder.push(b"one\r\ntwo\nthree").expect("short enough");
    assert_eq!(decoder.next_line(), Some(b"one".to_vec()));
    assert_eq!(decoder.next_line(), Some(b"two".to_vec()));
    assert_eq!(decoder.next_line(), None);
}
