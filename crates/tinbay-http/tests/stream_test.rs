//! Tests of the line decoder.

use quickcheck::QuickCheck;
use tinbay_http::stream::LineDecoder;

#[test]
fn next_line_does_not_depend_on_the_pieces() {
    fn property(text: Vec<u8>, cuts: Vec<usize>) -> bool {
        let mut unsplit = LineDecoder::default();
        unsplit.push(&text).expect("the line is short enough");
        let expected: Vec<Vec<u8>> = std::iter::from_fn(|| unsplit.next_line()).collect();

        let mut chunked = LineDecoder::default();
        let mut lines = Vec::new();
        let mut rest = text.as_slice();
        for cut in cuts {
            let (chunk, remaining) = rest.split_at(cut % (rest.len() + 1));
            rest = remaining;
            chunked.push(chunk).expect("the line is short enough");
            lines.extend(std::iter::from_fn(|| chunked.next_line()));
        }
        chunked.push(rest).expect("the line is short enough");
        lines.extend(std::iter::from_fn(|| chunked.next_line()));
        lines == expected
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>, Vec<usize>) -> bool);
}

#[test]
fn next_line_strips_both_line_ends() {
    let mut decoder = LineDecoder::default();
    decoder
        .push(b"one\r\ntwo\nthree")
        .expect("the line is short enough");
    assert_eq!(decoder.next_line(), Some(b"one".to_vec()));
    assert_eq!(decoder.next_line(), Some(b"two".to_vec()));
    assert_eq!(decoder.next_line(), None);
}
