//! Reads the bodies of clients' requests, within the limits on their size and time.

use std::sync::Arc;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{Extensions, HeaderValue, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::Instant;

use super::connection::Connection;
use crate::protocol::platform::MAX_BODY_BYTES;
use crate::transport::collect::{CollectError, collect};
use crate::transport::memory::ArrivingRequest;

/// A request extension: how long the rest of the request may take to arrive.
#[derive(Clone)]
pub struct Arrival {
    /// When the request has to be complete.
    pub deadline: Instant,
    /// The connection on which it arrives.
    pub connection: Arc<Connection>,
}

/// Why a request's body is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is larger than accepted.
    #[error("the body is too large")]
    TooLarge,
    /// It breaks off or is malformed.
    #[error("the body can't be read")]
    Unreadable,
    /// It is incomplete at its deadline.
    #[error("the body is incomplete at its deadline")]
    TooSlow,
    /// It became complete, with this content, when the program no longer accepted requests.
    #[error("the program no longer accepts requests")]
    Refused(Bytes),
    /// It was still incomplete when the program could wait for it no longer.
    #[error("the program no longer waits for the rest of the request")]
    RefusedIncomplete,
    /// There is no memory for it.
    #[error("the process has no memory left for the request")]
    OutOfMemory,
}

impl BodyError {
    /// Returns true if the program refuses the request, so that sending it elsewhere is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self, BodyError::Refused(_) | BodyError::RefusedIncomplete | BodyError::OutOfMemory)
    }

    /// Returns the status that tells the client of this error.
    fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Unreadable => StatusCode::BAD_REQUEST,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Refused(_) | BodyError::RefusedIncomplete | BodyError::OutOfMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Returns the answer that tells the client of this error, with this content.
    pub fn response(self, content: impl IntoResponse) -> Response {
        let mut response = (self.status(), content).into_response();
        if matches!(self, BodyError::RefusedIncomplete | BodyError::OutOfMemory) {
            // The rest may still arrive, and must not be taken for another request.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Reads the body of a request with these extensions. A body whose declared length is too large is refused before it
/// arrives. What arrives is copied out of the connection's read buffers: a piece of a few bytes would keep a whole buffer
/// alive.
pub async fn read_body(extensions: &Extensions, body: Body) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    let Some(Arrival { deadline, connection }) = extensions.get() else {
        return match collect(body, MAX_BODY_BYTES).await {
            Ok(body) => Ok(body.into()),
            Err(CollectError::TooLarge) => Err(BodyError::TooLarge),
            Err(CollectError::Body(_)) => Err(BodyError::Unreadable),
        };
    };
    let result = tokio::select! {
        biased;
        arrived = receive_body(body, &connection.arrival) => match arrived {
            Ok(()) if connection.refuses_requests() => Err(BodyError::Refused(connection.arrival.take())),
            Ok(()) => Ok(connection.arrival.take()),
            Err(error) => Err(error),
        },
        () = connection.arrival.shed() => Err(BodyError::OutOfMemory),
        () = connection.incomplete_refused() => Err(BodyError::RefusedIncomplete),
        () = tokio::time::sleep_until(*deadline) => Err(BodyError::TooSlow),
    };
    connection.arrival.clear();
    result
}

/// Reads a body to its end, into the buffer of its connection's arriving request.
async fn receive_body(mut body: Body, arrival: &ArrivingRequest) -> Result<(), BodyError> {
    let expected = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        let Some(piece) = frame.data_ref() else { continue };
        if arrival.received_bytes() + piece.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        arrival.append(piece, expected).map_err(|_| BodyError::OutOfMemory)?;
    }
    Ok(())
}
