//! Reads the body of a message to its end. What is kept is copied out of the connection's read buffers: a piece of a few
//! bytes would keep a whole buffer alive.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum CollectError<E> {
    /// It is larger than accepted.
    #[error("the body is too large")]
    TooLarge,
    /// The connection failed.
    #[error(transparent)]
    Body(E),
}

/// Reads a body of at most `max_bytes` to its end.
pub async fn collect<B>(body: B, max_bytes: usize) -> Result<Vec<u8>, CollectError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Body)?;
        let Some(data) = frame.data_ref() else { continue };
        if collected.len() + data.len() > max_bytes {
            return Err(CollectError::TooLarge);
        }
        collected.extend_from_slice(data);
    }
    Ok(collected)
}
