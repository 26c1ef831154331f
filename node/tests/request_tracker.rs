//! Finding heads and the ends of bodies in the bytes of a client's connection.

use badgerglade::body::scanner::{BodyFraming, BodyScanner};
use badgerglade::meter::request_tracker::RequestTracker;

/// Bodies with the number of bytes that belong to them, in each form that a chunked body may have.
const CHUNKED_BODIES: [&str; 6] = [
    "0\r\n\r\n",
    "5\r\nhello\r\n0\r\n\r\n",
    "00A\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n",
    "3;name=\"a;b\"\r\nabc\r\n0;last\r\n\r\n",
    "1 \r\nx\r\n1\r\ny\r\n0\r\nfield: value\r\nother:\r\n\r\n",
    "1f\r\n0123456789012345678901234567890\r\n0\r\n\r\n",
];

/// Guards against seeing the end of a body too early or too late, wherever the pieces are cut.
#[test]
fn a_chunked_body_is_complete_with_its_last_byte() {
    for body in CHUNKED_BODIES {
        for cut in 0..body.len() {
            let mut scanner = BodyScanner::new(BodyFraming::Chunked);
            assert!(
                scanner.scan(&body.as_bytes()[..cut]).is_empty() && !scanner.is_complete(),
                "{body:?} {cut}"
            );
            let rest = [&body.as_bytes()[cut..], b"POST"].concat();
            assert_eq!((scanner.scan(&rest), scanner.is_complete()), (&b"POST"[..], true), "{body:?} {cut}");
        }
    }
}

/// Guards against taking bytes that are no chunked body for a complete one, and against overflows.
#[test]
fn a_malformed_chunked_body_is_never_complete() {
    let bodies = [
        "ffffffffffffffffffffff\r\nx\r\n0\r\n\r\n",
        "ffffffffffffffff\r\nx\r\n0\r\n\r\n",
        "\r\n\r\n0\r\n\r\n",
        "x\r\n0\r\n\r\n",
        // Lines that end with a bare line feed, which the HTTP library does not take for an end.
        "0\r\n\n",
        "0\n\r\n",
        "0\n\n",
        "0;last\n\r\n",
        "1\r\nx\n0\r\n\r\n",
        "1\r\nx\r\n0\r\n\n",
        "1\r\nxy0\r\n\r\n",
        "0\r\nfield: value\n\n",
        "0\r\nfield: value\n\r\n",
        "1 1\r\nx\r\n0\r\n\r\n",
    ];
    for body in bodies {
        let mut scanner = BodyScanner::new(BodyFraming::Chunked);
        assert!(scanner.scan(body.as_bytes()).is_empty() && !scanner.is_complete(), "{body:?}");
    }
}

/// Guards against taking fields of another request, or a body, for fields of the current head, wherever the pieces are
/// cut: with a length, chunked, without a body, and with empty lines before the request line.
#[test]
fn each_head_is_found_behind_the_body_before_it() {
    let requests = [
        ("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n", "x: y\r\n\r\nz", BodyFraming::Length(9), true),
        ("GET /b HTTP/1.1\r\nhost: b\r\n\r\n", "", BodyFraming::Length(0), false),
        (
            "\r\n\r\nPOST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            CHUNKED_BODIES[2],
            BodyFraming::Chunked,
            false,
        ),
        ("\nPOST /d HTTP/1.1\ncontent-length : 1\n\n", "d", BodyFraming::Length(1), true),
    ];
    for piece_bytes in 1..40 {
        let mut tracker = RequestTracker::default();
        for (head, body, framing, has_length) in requests {
            let text = [head, body].concat();
            // The HTTP library sees a head once it is read, possibly together with bytes that follow it.
            let mut pieces = text.as_bytes().chunks(piece_bytes);
            let mut read = 0;
            for piece in pieces.by_ref() {
                assert!(tracker.head_has_length().is_none(), "{head:?} {piece_bytes}");
                tracker.feed(piece);
                read += piece.len();
                if read >= head.len() {
                    break;
                }
            }
            assert_eq!(tracker.head_has_length(), Some(has_length), "{head:?} {piece_bytes}");
            tracker.begin_body(framing);
            pieces.for_each(|piece| tracker.feed(piece));
            assert!(tracker.body().is_some_and(|body| body.is_complete()), "{head:?} {piece_bytes}");
        }
    }
}

/// Guards against going on as if the position in a body were known where it is not, and against keeping what a client
/// sends without end.
#[test]
fn too_many_bytes_before_a_request_is_known_leave_its_body_unknown() {
    let mut tracker = RequestTracker::default();
    tracker.feed(b"POST /a HTTP/1.1\r\n\r\n");
    tracker.feed(&[b'x'; 60_000]);
    tracker.begin_body(BodyFraming::Length(60_000));
    assert!(tracker.body().is_none());
}
