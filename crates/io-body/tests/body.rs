//! A body ends as a complete one only if its sender says so.

use bytes::Bytes;
use futures_util::{FutureExt, future::poll_fn};
use io_body::{BodyReceiver, TruncatedBody, body_channel};

const CHUNKS_MAX: usize = 4;

/// Takes everything that the body has to offer now.
fn drain(receiver: &mut BodyReceiver) -> Vec<Option<Result<Bytes, TruncatedBody>>> {
    let mut next = || poll_fn(|context| receiver.poll_chunk(context)).now_or_never();
    let mut received = Vec::new();
    while let Some(part) = next() {
        let is_last = !matches!(part, Some(Ok(_)));
        received.push(part);
        if is_last {
            break;
        }
    }
    received
}

fn chunk(text: &'static str) -> Option<Result<Bytes, TruncatedBody>> {
    Some(Ok(Bytes::from_static(text.as_bytes())))
}

#[test]
fn a_finished_body_is_complete() {
    let (sender, mut receiver) = body_channel(CHUNKS_MAX);
    sender.send(Bytes::from_static(b"a")).now_or_never().expect("room").expect("a receiver");
    sender.finish().now_or_never().expect("room");
    assert_eq!(drain(&mut receiver), [chunk("a"), None]);
    assert_eq!(drain(&mut receiver), [None], "the end stays the end");
}

/// A task that is cancelled or panics drops its sender.
#[test]
fn a_body_whose_sender_is_dropped_is_truncated() {
    let (sender, mut receiver) = body_channel(CHUNKS_MAX);
    sender.send(Bytes::from_static(b"a")).now_or_never().expect("room").expect("a receiver");
    drop(sender);
    assert_eq!(drain(&mut receiver), [chunk("a")], "the chunk is written before the failure");
    assert_eq!(drain(&mut receiver), [Some(Err(TruncatedBody))]);
}

/// The end waits for room in the buffer; a sender that is dropped meanwhile has not finished.
#[test]
fn a_body_whose_sender_is_dropped_before_its_end_has_room_is_truncated() {
    let (sender, mut receiver) = body_channel(1);
    sender.send(Bytes::from_static(b"a")).now_or_never().expect("room").expect("a receiver");
    assert_eq!(sender.finish().now_or_never(), None, "the buffer is full");
    assert_eq!(drain(&mut receiver), [chunk("a")]);
    assert_eq!(drain(&mut receiver), [Some(Err(TruncatedBody))]);
}
