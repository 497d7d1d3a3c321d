//! Watches discovery without a pause and hands on what that tells.

use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use thiserror::Error;
use tokio::sync::watch;

use super::{ListHandle, News};
use crate::interface::ListScope;
use crate::protocol::platform::List;
use crate::recovery::{Failed, Pacing};
use crate::transport::peer::connector::{PeerClient, Tracked};

/// How long a watch may wait. A short one is soon missed where discovery has gone silent.
const HOLD: Duration = Duration::from_millis(2_000);
/// An answer that is this late does not come any more.
const MARGIN: Duration = Duration::from_millis(1_000);
/// The largest list.
const MOST_LIST: usize = 4 * 1024 * 1024;

/// Watches the list of one pool's discovery.
pub struct Watcher {
    /// Where discovery listens; a new configuration may name another address.
    pub address: watch::Receiver<String>,
    /// The client.
    pub client: PeerClient,
    /// Where news goes.
    pub list: ListHandle,
    /// The version of the list that is known already.
    pub known: Option<u64>,
    /// How long it waits after a failure.
    pub pacing: Pacing,
}

#[derive(Debug, Error)]
enum ListError {
    #[error("the address is no address")]
    Address,
    #[error("no answer: {0}")]
    Call(#[from] hyper_util::client::legacy::Error),
    #[error("the answer broke off")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("no list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("no answer in time")]
    Late(#[from] tokio::time::error::Elapsed),
}

impl Watcher {
    /// Watches for as long as the program runs.
    pub async fn run(mut self) {
        let mut revision = self.known;
        let mut moves = self.address.clone();
        loop {
            let address = moves.borrow_and_update().clone();
            let answer = tokio::select! {
                biased;
                // The old discovery falls silent soon, and what the new one has to tell counts as told: its
                // list is asked for whole at once, as its versions need not be the old one's.
                Ok(()) = moves.changed() => {
                    revision = None;
                    continue;
                }
                answer = tokio::time::timeout(HOLD + MARGIN, self.ask(&address, revision)) => answer,
            };
            match answer.map_err(ListError::from).and_then(|list| list) {
                // A list that has gone back, and does not come whole, is one of a restarted discovery.
                Ok(list) if !list.complete && revision.is_none_or(|seen| list.revision < seen) => {
                    revision = None;
                    self.pause(Failed::Broke, &mut moves).await;
                }
                Ok(list) => {
                    self.pacing.answered();
                    tracing::debug!(
                        revision = list.revision,
                        complete = list.complete,
                        entries = list.members.len(),
                        "discovery answers"
                    );
                    revision = Some(list.revision);
                    let scope = if list.complete { ListScope::Full } else { ListScope::Changes };
                    self.list.send(News::Discovery(scope, list)).await;
                }
                Err(error) => {
                    tracing::warn!(discovery.address = address.as_str(), %error, "discovery does not answer");
                    let failed = match error {
                        ListError::Call(_) | ListError::Body(_) => Failed::Broke,
                        ListError::Late(_) => Failed::Silent,
                        ListError::Status(_) | ListError::Address | ListError::Json(_) => Failed::Refused,
                    };
                    // Busy as it is, it still knows what this watch has heard.
                    let busy = matches!(error, ListError::Status(status) if status.is_server_error());
                    if failed == Failed::Refused && !busy {
                        revision = None;
                    }
                    if self.pause(failed, &mut moves).await {
                        revision = None;
                    }
                }
            }
        }
    }

    /// Waits before the next call; true if discovery has moved meanwhile, which ends the wait.
    async fn pause(&mut self, failed: Failed, moves: &mut watch::Receiver<String>) -> bool {
        let pause = Duration::from_micros(self.pacing.pause(failed));
        tokio::select! {
            Ok(()) = moves.changed() => true,
            () = tokio::time::sleep(pause) => false,
        }
    }

    async fn ask(&self, address: &str, after: Option<u64>) -> Result<List, ListError> {
        let query = after.map(|rev| format!("?from={rev}&hold_ms={}", HOLD.as_millis())).unwrap_or_default();
        let mut request = Request::new(Tracked::empty());
        *request.uri_mut() =
            format!("http://{address}/discovery/hosts{query}").parse().map_err(|_| ListError::Address)?;
        let response = self.client.request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(ListError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MOST_LIST).collect().await?.to_bytes();
        Ok(serde_json::from_slice(&body)?)
    }
}
