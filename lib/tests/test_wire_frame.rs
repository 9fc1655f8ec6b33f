//! Tests of the datagram codec: round trips, and the reasons for which datagrams are dropped.

use bytes::Bytes;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::FRAME_BUFFER_LEN;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::PeerFrame;
use lagoonproxy::wire_frame::PeerKey;
use lagoonproxy::wire_frame::decode_caller;
use lagoonproxy::wire_frame::decode_peer;
use lagoonproxy::wire_frame::decode_upstream;
use lagoonproxy::wire_frame::encode_caller;
use lagoonproxy::wire_frame::encode_caller_into;
use lagoonproxy::wire_frame::encode_peer;
use lagoonproxy::wire_frame::encode_peer_into;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

use crate::world::caller_address;
use crate::world::ledger_frame;
use crate::world::transfer;

struct DropCase {
    name: &'static str,
    bytes: Vec<u8>,
    code: ResultCode,
}

#[test]
fn test_malformed_is_dropped_by_reason() {
    let whole = encode_caller(&ledger_frame(CallerBody::Request(transfer(1)))).unwrap();
    let mut longer = whole.to_vec();
    longer.push(0);
    let mut newer = whole.to_vec();
    newer[2] = 9;
    let overlong_part = ledger_frame(CallerBody::Part(AnswerPart {
        request: 1,
        run: 0,
        offset: 2,
        total: 3,
        payload: Bytes::from_static(b"ab"),
    }));
    let cases = [
        DropCase {
            name: "empty",
            bytes: vec![],
            code: ResultCode::FrameTruncated,
        },
        DropCase {
            name: "cut",
            bytes: whole[..whole.len() - 1].to_vec(),
            code: ResultCode::FrameTruncated,
        },
        DropCase {
            name: "longer than its body",
            bytes: longer,
            code: ResultCode::FrameMalformed,
        },
        DropCase {
            name: "foreign",
            bytes: b"HTTP/1.1 200 OK".to_vec(),
            code: ResultCode::FrameForeign,
        },
        DropCase {
            name: "unknown version",
            bytes: newer,
            code: ResultCode::FrameVersion,
        },
        DropCase {
            name: "oversized",
            bytes: vec![0; MAX_DATAGRAM + 1],
            code: ResultCode::FrameOversized,
        },
        DropCase {
            name: "part past its total",
            bytes: encode_caller(&overlong_part).unwrap().to_vec(),
            code: ResultCode::FrameMalformed,
        },
    ];
    for case in cases {
        assert_eq!(decode_caller(&case.bytes), Err(case.code), "{}", case.name);
    }
}

#[test]
fn test_peer_frame_with_wrong_key_is_forged() {
    let frame = PeerFrame {
        sender: 1,
        hops: 1,
        body: PeerBody::FromCaller {
            caller: caller_address(),
            view: 1,
            echo: None,
            frame: ledger_frame(CallerBody::Open),
        },
    };
    let bytes = encode_peer(&frame, &PeerKey::new([1; 16])).unwrap();
    assert_eq!(decode_peer(&bytes, &PeerKey::new([1; 16])), Ok(frame));
    let forged = decode_peer(&bytes, &PeerKey::new([2; 16]));
    assert_eq!(forged, Err(ResultCode::FrameForged));
}

proptest! {
    #[test]
    fn test_any_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..MAX_DATAGRAM + 2)) {
        let _dropped = decode_caller(&bytes);
        let _dropped = decode_upstream(&bytes);
        let _dropped = decode_peer(&bytes, &PeerKey::new([1; 16]));
    }

    #[test]
    fn test_any_body_does_not_panic(body in vec(any::<u8>(), 0..200), kind in 1_u8..4) {
        let mut bytes = b"LG\x01".to_vec();
        bytes.push(kind);
        bytes.extend_from_slice(&body);
        let _dropped = decode_caller(&bytes);
        let _dropped = decode_upstream(&bytes);
    }
}

#[test]
fn test_buffer_used_again_holds_the_same_datagram() {
    let key = PeerKey::new([7; 16]);
    let mut buffer = [0xff; FRAME_BUFFER_LEN];
    for body in [CallerBody::Request(transfer(1)), CallerBody::Open] {
        let frame = ledger_frame(body);
        let len = encode_caller_into(&frame, &mut buffer).unwrap();
        assert_eq!(buffer[..len], encode_caller(&frame).unwrap());
        let frame = PeerFrame {
            sender: 1,
            hops: 1,
            body: PeerBody::FromCaller {
                caller: caller_address(),
                view: 1,
                echo: None,
                frame,
            },
        };
        let len = encode_peer_into(&frame, &key, &mut buffer).unwrap();
        assert_eq!(buffer[..len], encode_peer(&frame, &key).unwrap());
    }
    let mut request = transfer(1);
    request.payload = vec![0; MAX_DATAGRAM].into();
    let frame = ledger_frame(CallerBody::Request(request));
    let refused = encode_caller_into(&frame, &mut buffer);
    assert_eq!(refused, Err(ResultCode::FrameOversized));
}
