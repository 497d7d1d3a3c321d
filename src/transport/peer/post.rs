//! Posts messages to a peer, one try at a time.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use http::{Method, Request, StatusCode};
use tokio::time::Instant;

use super::connector::{RequestTracker, TrackedBody};
use super::{MAX_REPLY_BYTES, OWN_CALL_BYTES, Peer, REFUSAL_BODY_TIMEOUT, innermost};
use crate::recovery::TryOutcome;
use crate::transport::collect::collect;
use crate::transport::delivery::{Post, PostGate, PostTarget};

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the server at {}", self.address())
    }
}

impl PostTarget for Peer {
    fn try_post<'a>(&'a self, post: &'a Post, within: Duration) -> BoxFuture<'a, TryOutcome> {
        self.post_once(post, within).boxed()
    }

    fn address(&self) -> Arc<str> {
        Peer::address(self)
    }

    fn unlisted(&self) -> BoxFuture<'static, ()> {
        let mut address = self.address.clone();
        async move { while address.changed().await.is_ok() {} }.boxed()
    }

    fn gate(&self) -> &PostGate {
        &self.post_gate
    }
}

/// Returns what the status of an answer says of a post.
fn outcome_of(status: StatusCode) -> TryOutcome {
    match status {
        status if status.is_success() => TryOutcome::Accepted,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            TryOutcome::Busy
        }
        status if status.is_server_error() => TryOutcome::Busy,
        _ => TryOutcome::Rejected,
    }
}

impl Peer {
    /// Sends a message once, on a new connection: one that has been idle may have been forgotten by the server, and connections
    /// that attempts need are not waited for.
    async fn post_once(&self, post: &Post, within: Duration) -> TryOutcome {
        let started = Instant::now();
        let _charge = self.context.hub.budget().memory.charge_unconditionally(OWN_CALL_BYTES);
        let mut head = Request::new(());
        *head.method_mut() = Method::POST;
        *head.headers_mut() = post.headers.clone();
        let Some(head) = self.with_address(head, &post.path) else {
            tracing::debug!(target: "birchspur::delivery", { request.id = post.id.as_str() }, "address not valid");
            return TryOutcome::Failed;
        };
        let (request, tracker) = TrackedBody::attach(head, post.body.clone(), Box::new(|| {}));
        let answer = tokio::time::timeout(within, self.status_of_post(request)).await;
        let (outcome, status, error) = match &answer {
            Ok(Ok(status)) => (outcome_of(*status), Some(status.as_u16()), None),
            Ok(Err(error)) => (TryOutcome::Failed, None, Some(innermost(error))),
            Err(_) => (give_up(&tracker), None, None),
        };
        tracing::debug!(
            target: "birchspur::delivery",
            {
                request.id = post.id.as_str(),
                server.address = &*self.address(),
                ?outcome,
                status,
                error = error.map(tracing::field::display),
                evidence = ?tracker.evidence(),
                took_us = started.elapsed().as_micros() as u64
            },
            "posted"
        );
        outcome
    }

    /// Sends the request of a post and returns the status of its answer.
    async fn status_of_post(
        &self,
        request: Request<TrackedBody>,
    ) -> Result<StatusCode, hyper_util::client::legacy::Error> {
        let response = self.context.clients.deliveries().request(request).await?;
        let status = response.status();
        // A server that is still writing its answer is not reset, but neither is it waited for.
        let body = collect(response.into_body(), MAX_REPLY_BYTES);
        let _ = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await;
        Ok(status)
    }
}

/// Gives up a post that has no answer in time, so that the system does not go on sending it.
fn give_up(tracker: &RequestTracker) -> TryOutcome {
    tracker.give_up();
    TryOutcome::TimedOut
}
