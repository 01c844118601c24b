//! Bodies of answers that are collected for callers of HTTP/1.0.

use std::pin::pin;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use thiserror::Error;

use crate::answer_buffer::CollectedBody;
use crate::entry::reply_queue::Collection;

/// Largest body of an answer to a caller of HTTP/1.0, in bytes. Such a body is
/// collected, because only its length can show the caller that it is complete. All collected
/// bodies share the memory for answers.
const MAX_COLLECTED_BYTES: usize = 4 << 20;

/// Error for an answer that failed after its head was sent.
#[derive(Clone, Copy, Debug, Error)]
#[error("answer interrupted before its end")]
pub struct Truncated;

/// Collects a body. Fails if it is incomplete or too large, or if there is no room for it.
pub async fn collect_body<S>(
    body: S,
    mut collection: Collection,
) -> Result<(CollectedBody, Collection), Truncated>
where
    S: Stream<Item = Result<Bytes, Truncated>>,
{
    let mut body = pin!(body);
    let mut collected = CollectedBody::new();
    while let Some(part) = body.next().await {
        let part = part?;
        let memory = collected.memory_with(part.len());
        if collected.len() + part.len() > MAX_COLLECTED_BYTES || !collection.resize_memory(memory) {
            return Err(Truncated);
        }
        collected.push(&part);
    }
    Ok((collected, collection))
}

/// Streams a collected body, whose room is kept until its end.
pub fn collected_stream(
    body: CollectedBody,
    collection: Collection,
) -> impl Stream<Item = Result<Bytes, Truncated>> {
    futures::stream::iter(body.into_blocks()).map(move |block| {
        let _ = &collection;
        Ok(block)
    })
}
