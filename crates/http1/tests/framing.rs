//! Decoding of requests and responses that arrive at once or in pieces.

use std::cell::Cell;
use std::rc::Rc;

use bytes::BytesMut;
use olivegate_http1::{BodyLength, DecodeError, Frame, RequestDecoder, RequestLimits, ResponseDecoder};
use proptest::prelude::*;
use rstest::rstest;
use tokio_util::codec::Decoder;

/// All frames of `bytes`, which arrive in pieces of `piece` bytes and are followed by the end of the
/// connection.
fn frames<D: Decoder<Error = DecodeError>>(
    mut decoder: D,
    bytes: &[u8],
    piece: usize,
) -> Result<Vec<D::Item>, DecodeError> {
    let mut buffer = BytesMut::new();
    let mut found = Vec::new();
    for part in bytes.chunks(piece.max(1)) {
        buffer.extend_from_slice(part);
        while let Some(frame) = decoder.decode(&mut buffer)? {
            found.push(frame);
        }
    }
    while let Some(frame) = decoder.decode_eof(&mut buffer)? {
        found.push(frame);
    }
    Ok(found)
}

fn body_of<Head>(frames: &[Frame<Head>]) -> Vec<u8> {
    let data = frames.iter().filter_map(|frame| match frame {
        Frame::Data(data) => Some(data.to_vec()),
        _ => None,
    });
    data.flatten().collect()
}

fn requests(bytes: &[u8]) -> Result<Vec<Frame<olivegate_http1::RequestHead>>, DecodeError> {
    frames(RequestDecoder::new(1024, 1024), bytes, bytes.len())
}

#[rstest]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")]
#[case::length_and_chunks("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::unsupported_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na")]
#[case::chunk_without_end("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n")]
#[case::blank_in_name("GET / HTTP/1.1\r\nHost : a\r\n\r\n")]
fn an_ambiguous_request_is_rejected(#[case] text: &str) {
    assert!(matches!(requests(text.as_bytes()), Err(DecodeError::Malformed(_))));
}

#[rstest]
fn limits_of_head_and_body_are_enforced() {
    let long_head = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(2000));
    assert!(matches!(requests(long_head.as_bytes()), Err(DecodeError::HeadTooLarge)));
    let declared = "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n";
    assert!(matches!(requests(declared.as_bytes()), Err(DecodeError::BodyTooLarge)));
    let chunked =
        format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n{}\r\n0\r\n\r\n", "a".repeat(2000));
    assert!(matches!(requests(chunked.as_bytes()), Err(DecodeError::BodyTooLarge)));
}

/// A connection kept the limits of its beginning.
#[rstest]
#[case::raised_before_the_request(100, 1_000, 1_000, true)]
#[case::raised_during_the_body(100, 100, 1_000, true)]
#[case::lowered_before_the_request(1_000, 100, 100, false)]
#[case::lowered_during_the_body(1_000, 1_000, 100, true)]
fn limits_that_change_apply_to_the_next_request(
    #[case] at_connect: u64,
    #[case] at_head: u64,
    #[case] in_body: u64,
    #[case] is_accepted: bool,
) {
    let limits_of = |max_body_bytes| RequestLimits { max_head_bytes: 1_024, max_body_bytes };
    let limits = Rc::new(Cell::new(limits_of(at_connect)));
    let mut decoder = RequestDecoder::following(limits.clone());
    limits.set(limits_of(at_head));
    let mut buffer = BytesMut::from(&b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"[..]);
    assert!(matches!(decoder.decode(&mut buffer), Ok(Some(Frame::Head(..)))));
    limits.set(limits_of(in_body));
    buffer.extend_from_slice(format!("c8\r\n{}\r\n", "a".repeat(200)).as_bytes());
    assert_eq!(decoder.decode(&mut buffer).is_ok(), is_accepted);
}

#[rstest]
fn pipelined_requests_come_one_after_the_other() {
    let text = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    let frames = requests(text).unwrap();
    let targets: Vec<_> = frames
        .iter()
        .filter_map(|frame| match frame {
            Frame::Head(head, _) => Some(head.target.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(targets, ["/a", "/b"]);
}

#[rstest]
fn a_response_without_length_ends_with_the_connection() {
    let text = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc";
    let frames = frames(ResponseDecoder::new(1024), text, 5).unwrap();
    assert_eq!(body_of(&frames), b"abc");
    assert!(matches!(frames[0], Frame::Head(_, BodyLength::UntilClose)));
    assert_eq!(frames.last(), Some(&Frame::End));
}

/// A write that failed took the error that the read would have got.
#[rstest]
#[case::before_the_head(0)]
#[case::within_the_body(30)]
fn an_orderly_end_after_a_failed_write_completes_no_body(#[case] before: usize) {
    let text = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabcdefghi";
    let mut decoder = ResponseDecoder::new(1024);
    let mut buffer = BytesMut::from(&text[..before]);
    while decoder.decode(&mut buffer).unwrap().is_some() {}
    decoder.note_connection_failed();
    buffer.extend_from_slice(&text[before..]);
    assert!(matches!(frames(decoder, &buffer.split(), 100), Err(DecodeError::Incomplete)));
}

#[rstest]
#[case::with_length("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")]
#[case::in_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")]
#[case::inside_the_head("HTTP/1.1 200 OK\r\nContent-")]
fn a_truncated_response_is_incomplete(#[case] text: &str) {
    let result = frames(ResponseDecoder::new(1024), text.as_bytes(), 7);
    assert!(matches!(result, Err(DecodeError::Incomplete)));
}

/// Guards against a head that breaks off and is taken for a whole one, at each of its bytes.
#[rstest]
fn no_part_of_a_head_is_a_head(
    #[values(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-A:\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
        "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )]
    head: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
    #[values(true, false)] to_head: bool,
    #[values(1, 7, 1_000)] piece: usize,
) {
    for length in 0..head.len() {
        let part = format!("{interim}{}", &head[..length]);
        let mut decoder = ResponseDecoder::new(1024);
        decoder.expect_response_to_head(to_head);
        match frames(decoder, part.as_bytes(), piece) {
            Ok(frames) => assert!(length == 0 && frames.is_empty(), "{part:?}: {frames:?}"),
            Err(error) => assert!(matches!(error, DecodeError::Incomplete), "{part:?}: {error:?}"),
        }
    }
}

#[rstest]
fn bytes_that_cannot_start_a_response_fail_at_once() {
    let mut decoder = ResponseDecoder::new(1024);
    let mut buffer = BytesMut::from(&b"\x00\x01\x02"[..]);
    assert!(matches!(decoder.decode(&mut buffer), Err(DecodeError::Malformed(_))));
}

/// RFC 9110, section 15: codes outside 100 to 599 are invalid.
#[rstest]
fn a_status_that_is_none_is_malformed(
    #[values(
        "000", "001", "099", "101", "600", "666", "999", "0", "20", "2000", "-20", "+20", "2 0", "abc", "", "0x1",
        "20O"
    )]
    status: &str,
    #[values("", "Content-Length: 0\r\n", "Content-Length: 3\r\n")] field: &str,
) {
    let text = format!("HTTP/1.1 {status} OK\r\n{field}\r\nabc");
    let result = frames(ResponseDecoder::new(1024), text.as_bytes(), text.len());
    assert!(matches!(result, Err(DecodeError::Malformed(_))), "{result:?}");
}

#[rstest]
fn every_status_of_a_final_response_is_read(#[values(200, 299, 300, 404, 499, 500, 599)] status: u16) {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
    let frames = frames(ResponseDecoder::new(1024), text.as_bytes(), text.len()).unwrap();
    assert!(matches!(&frames[0], Frame::Head(head, _) if head.status == status));
}

/// Interim responses came without end.
#[rstest]
fn interim_responses_are_limited_together() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let response = |count: usize| interim.repeat(count) + "HTTP/1.1 204 X\r\n\r\n";
    let decode = |text: String| frames(ResponseDecoder::new(1024), text.as_bytes(), 100);
    assert_eq!(decode(response(40)).unwrap().len(), 2);
    assert_eq!(decode(response(40) + &response(40)).unwrap().len(), 4, "the limit is that of one response");
    assert!(matches!(decode(response(41)), Err(DecodeError::HeadTooLarge)));
}

/// What ends a head is decided once: a line that ends without a carriage return ended it for the parser only, and
/// what followed up to the next empty line was dropped.
#[rstest]
fn a_line_of_a_head_that_ends_with_a_bare_line_feed_is_malformed(
    #[values(
        "A: b\n\npart\r\n\r\n",
        "A: b\n\r\npart\r\n\r\n",
        "A: b\r\n\npart\r\n\r\n",
        "A: b\nC: d\r\n\r\n",
        "A: b\n\n",
        "\npart\r\n\r\n"
    )]
    rest: &str,
    #[values(1, 7, 1_000)] piece: usize,
) {
    let request = format!("GET / HTTP/1.1\r\nHost: x\r\n{rest}more");
    let result = frames(RequestDecoder::new(1024, 1024), request.as_bytes(), piece);
    assert!(matches!(result, Err(DecodeError::Malformed(_))), "{result:?}");
    let response = format!("HTTP/1.1 200 OK\r\nX: 1\r\n{rest}more");
    let result = frames(ResponseDecoder::new(1024), response.as_bytes(), piece);
    assert!(matches!(result, Err(DecodeError::Malformed(_))), "{result:?}");
}

/// The end of a head is found wherever its pieces are cut, also after empty lines before a request.
#[rstest]
fn a_head_ends_at_the_first_empty_line(#[values(1, 2, 3, 5, 1_000)] piece: usize) {
    let text = b"\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    assert_eq!(frames(RequestDecoder::new(1024, 1024), text, piece).unwrap().len(), 4);
    let text = b"HTTP/1.1 200 OK\r\n\r\npart\r\n\r\nmore";
    assert_eq!(body_of(&frames(ResponseDecoder::new(1024), text, piece).unwrap()), b"part\r\n\r\nmore");
}

/// Names of fields are tokens (RFC 9110, section 5.6.2).
#[rstest]
fn a_field_whose_name_is_no_token_is_malformed(
    #[values(
        "X A: b",
        "X-A : b",
        " X-A: b",
        "\tX-A: b",
        "X\tA: b",
        "X\u{0}A: b",
        "X\u{1}A: b",
        "X\u{7f}A: b",
        "X\u{e9}A: b",
        ": b",
        "X-A",
        "X(A): b",
        "X\"A: b",
        "X-A: b\r\n folded",
        "X-A: b\r\n\tfolded",
        "X-A: b\u{0}",
        "X-A: b\u{1}",
        "X-A: b\rC: d"
    )]
    line: &str,
) {
    let request = format!("GET / HTTP/1.1\r\nHost: x\r\n{line}\r\n\r\n");
    assert!(matches!(requests(request.as_bytes()), Err(DecodeError::Malformed(_))), "{line:?}");
    let response = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 0\r\n\r\n");
    let result = frames(ResponseDecoder::new(1024), response.as_bytes(), 1_000);
    assert!(matches!(result, Err(DecodeError::Malformed(_))), "{line:?}: {result:?}");
}

#[rstest]
fn interim_responses_are_skipped() {
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let frames = frames(ResponseDecoder::new(1024), text, text.len()).unwrap();
    assert!(matches!(&frames[0], Frame::Head(head, BodyLength::None) if head.status == 204));
}

proptest! {
    #[test]
    fn the_body_does_not_depend_on_the_size_of_pieces(body in proptest::collection::vec(any::<u8>(), 0..300), piece in 1_usize..40, chunk in 1_usize..50) {
        let mut text = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for part in body.chunks(chunk) {
            text.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            text.extend_from_slice(part);
            text.extend_from_slice(b"\r\n");
        }
        text.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        let found = frames(RequestDecoder::new(1024, 1024), &text, piece).unwrap();
        prop_assert_eq!(body_of(&found), body);
        prop_assert_eq!(found.last(), Some(&Frame::End));
    }

    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), piece in 1_usize..40) {
        let _ = frames(RequestDecoder::new(128, 128), &bytes, piece);
        let _ = frames(ResponseDecoder::new(128), &bytes, piece);
    }
}
