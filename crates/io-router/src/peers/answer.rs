//! Receives frames and calls from a peer on a link.

use core_peers::{LinkKey, PeerEvent, SyncRequest};
use error_stack::Report;
use io_wire::{
    LinkInput, PeerCall, PeerLink, PeerReply, ReplyStream, WireError, decode_message,
    encode_message,
};

use crate::{handle::LoopHandle, peers::PeerHandle};

/// Handles the input of a link until it closes.
pub(super) async fn serve_link(
    key: LinkKey,
    link: PeerLink,
    handle: PeerHandle,
    router: LoopHandle,
) {
    while let Ok(input) = link.receive().await {
        match input {
            LinkInput::Message(bytes) => match decode_message(&bytes) {
                Ok(frame) => handle.post(PeerEvent::FrameReceived(key, frame)),
                Err(_) => handle.traffic().add_refused_message(),
            },
            LinkInput::Call(call, stream) => {
                tokio::task::spawn_local(answer_call(call, stream, handle.clone(), router.clone()));
            }
        }
    }
    handle.post(PeerEvent::LinkClosed(key));
}

/// Answers a peer's call. Ignores a failed reply: the peer has disconnected, or its call times
/// out.
async fn answer_call(call: PeerCall, stream: ReplyStream, handle: PeerHandle, router: LoopHandle) {
    let reply = match call {
        PeerCall::Sync(bytes) => match sync_reply(&bytes, &handle).await {
            Ok(reply) => reply,
            Err(_) => return handle.traffic().add_refused_message(),
        },
        PeerCall::Explain(request) => {
            let sentences = router
                .query(move |core| core.explain(request).map(|record| record.sentences.clone()));
            PeerReply::Explained(sentences.await.flatten().unwrap_or_default())
        }
    };
    drop(stream.reply(&reply).await);
}

async fn sync_reply(bytes: &[u8], handle: &PeerHandle) -> Result<PeerReply, Report<WireError>> {
    let request: SyncRequest = decode_message(bytes)?;
    let reply = handle.query(move |core| core.handle_sync_request(&request)).await;
    let reply = reply.ok_or_else(|| Report::new(WireError::Closed))?;
    Ok(PeerReply::Synced(encode_message(&reply)?))
}
