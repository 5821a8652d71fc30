//! Tests of frame decoding. They guard against malformed or hostile frames that exhaust memory, cause
//! a panic or decode to a message.

use bytes::{BufMut, BytesMut};
use peridotfold_core::message::request::{BodyFrame, Cancel, RequestId};
use peridotfold_wire::frame::{decode, encode, MAX_FRAME_BYTES};

/// Returns a sample message.
fn cancel() -> Cancel {
    Cancel { id: RequestId { entry: "e1".into(), incarnation: 7, number: 9 } }
}

#[test]
fn frame_survives_any_split() {
    let whole = encode(&cancel()).unwrap();
    for cut in 0..whole.len() {
        let mut buffer = BytesMut::from(&whole[..cut]);
        assert!(decode::<Cancel>(&mut buffer).unwrap().is_none());
        buffer.extend_from_slice(&whole[cut..]);
        assert_eq!(decode::<Cancel>(&mut buffer).unwrap().unwrap().id, cancel().id);
        assert!(buffer.is_empty());
    }
}

#[test]
fn oversized_length_is_rejected_before_the_body_arrives() {
    let mut buffer = BytesMut::new();
    buffer.put_u32_le(MAX_FRAME_BYTES as u32 + 1);
    assert!(decode::<Cancel>(&mut buffer).is_err());
}

#[test]
fn arbitrary_bytes_never_panic() {
    bolero::check!().with_iterations(20_000).for_each(|input: &[u8]| {
        let mut buffer = BytesMut::from(input);
        let _ = decode::<Cancel>(&mut buffer);
        let mut buffer = BytesMut::from(input);
        let _ = decode::<BodyFrame>(&mut buffer);
    });
}
