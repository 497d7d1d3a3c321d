//! Reads the bodies of clients' requests, within the limits on their size and time.

use std::sync::Arc;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{Extensions, HeaderValue, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use thiserror::Error;
use tokio::time::Instant;

use super::connection::Connection;
use crate::protocol::platform::MAX_BODY_BYTES;

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
}

impl BodyError {
    /// Returns true if the program refuses the request, so that sending it elsewhere is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self, BodyError::Refused(_) | BodyError::RefusedIncomplete)
    }

    /// Returns the status that tells the client of this error.
    fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Unreadable => StatusCode::BAD_REQUEST,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Refused(_) | BodyError::RefusedIncomplete => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the answer that tells the client of this error, with this content.
    pub fn response(self, content: impl IntoResponse) -> Response {
        let mut response = (self.status(), content).into_response();
        if self == BodyError::RefusedIncomplete {
            // The rest may still arrive, and must not be taken for another request.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Reads the body of a request with these extensions. A body whose declared length is too large is refused before it
/// arrives.
pub async fn read_body(extensions: &Extensions, body: Body) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    let whole_body = async {
        match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
            Err(_) => Err(BodyError::Unreadable),
        }
    };
    let Some(Arrival { deadline, connection }) = extensions.get() else { return whole_body.await };
    tokio::select! {
        biased;
        body = whole_body => match body {
            Ok(body) if connection.refuses_requests() => Err(BodyError::Refused(body)),
            body => body,
        },
        () = connection.incomplete_refused() => Err(BodyError::RefusedIncomplete),
        () = tokio::time::sleep_until(*deadline) => Err(BodyError::TooSlow),
    }
}
