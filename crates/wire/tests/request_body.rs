//! Reading of request bodies that arrive in parts.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::Extensions;
use http_body::{Body, Frame, SizeHint};
use peridotfold_wire::request_body::{BodyError, RequestBody};

/// Time limit that no complete body of these tests meets.
const ARRIVAL: Duration = Duration::from_secs(60);

/// A body that arrives in parts, and then ends, fails or stalls.
#[derive(Debug)]
struct Parts {
    parts: VecDeque<Vec<u8>>,
    /// Announced length.
    length: Option<u64>,
    end: End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    Error,
    Stall,
}

impl Parts {
    fn new(parts: &[Vec<u8>], end: End) -> Self {
        Parts { parts: parts.iter().cloned().collect(), length: None, end }
    }
}

impl Body for Parts {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        let this = self.get_mut();
        match (this.parts.pop_front(), this.end) {
            (Some(part), _) => {
                context.waker().wake_by_ref();
                Poll::Ready(Some(Ok(Frame::data(part.into()))))
            }
            (None, End::Whole) => Poll::Ready(None),
            (None, End::Error) => Poll::Ready(Some(Err("the connection has ended"))),
            (None, End::Stall) => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

fn read(body: Parts, limit: usize, time: Duration) -> Result<Bytes, BodyError> {
    let read = smol::block_on(RequestBody::read(&Extensions::new(), body, limit, time));
    read.map(|body| body.bytes().clone())
}

/// Guards against a body whose content depends on the parts in which it arrives, and against one that is accepted
/// over the limit or refused below it.
#[test]
fn parts_of_any_size_make_up_the_body() {
    let input = bolero::produce::<(Vec<Vec<u8>>, u8, bool, bool)>();
    bolero::check!().with_generator(input).cloned().for_each(|(parts, limit, fails, announces)| {
        let end = if fails { End::Error } else { End::Whole };
        let content = parts.concat();
        let limit = usize::from(limit);
        let mut body = Parts::new(&parts, end);
        body.length = announces.then_some(content.len() as u64);
        let read = read(body, limit, ARRIVAL);
        match (content.len() > limit, fails) {
            (true, _) => assert_eq!(read, Err(BodyError::TooLarge(limit))),
            (false, true) => assert!(matches!(read, Err(BodyError::Incomplete(_))), "{read:?}"),
            (false, false) => assert_eq!(read, Ok(Bytes::from(content))),
        }
    });
}

/// Guards against an announced length over the limit that is refused only once the body has arrived.
#[test]
fn an_announced_length_over_the_limit_is_not_read() {
    let mut body = Parts::new(&[], End::Stall);
    body.length = Some(11);
    assert_eq!(read(body, 10, ARRIVAL), Err(BodyError::TooLarge(10)));
}

/// Guards against a body without an end that is held for good.
#[test]
fn a_body_that_stalls_is_given_up() {
    let body = Parts::new(&[vec![b'x'; 4]], End::Stall);
    let time = Duration::from_millis(20);
    assert_eq!(read(body, 10, time), Err(BodyError::TooSlow(time)));
}
