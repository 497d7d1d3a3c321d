//! Watches discovery for as long as the program runs and passes its lists on to the list's actor.

use http::{Request, StatusCode};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at};

use super::{ListHandle, ListMessage};
use crate::interface::{ListScope, Micros};
use crate::protocol::platform::List;
use crate::recovery::{ListCall, ListInput, ListOutcome, ListPhase, Pacing};
use crate::transport::clock::Clock;
use crate::transport::collect::{CollectError, collect};
use crate::transport::peer::connector::{PeerClient, TrackedBody};

/// Size limit of a list, in bytes; a larger one is not read.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Watches the list that one pool gets from discovery.
pub struct Watcher {
    /// The address of discovery, which a new configuration may change.
    pub address: watch::Receiver<String>,
    /// The HTTP client for the calls.
    pub client: PeerClient,
    /// The list's actor, which gets the lists.
    pub list: ListHandle,
    /// The clock that the pacing runs on.
    pub clock: Clock,
    /// Decides which call is made next, and when.
    pub pacing: Pacing,
}

/// Why a call to discovery gave no list.
#[derive(Debug, Error)]
enum ListError {
    #[error("the address is not valid")]
    Address,
    #[error("the request failed: {0}")]
    Call(#[from] hyper_util::client::legacy::Error),
    #[error("the answer's body could not be read to its end")]
    Body(#[from] CollectError<hyper::Error>),
    #[error("the answer's status is {0}")]
    Status(StatusCode),
    #[error("the answer is not a list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the request timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl ListError {
    /// Returns what the error means for the pacing.
    fn to_input(&self) -> ListInput {
        ListInput::Ended(match self {
            ListError::Timeout(_) => return ListInput::Due,
            ListError::Call(_) | ListError::Body(_) => ListOutcome::ConnectionLost,
            // Discovery is overloaded, but it has not lost the revision that this watch has reached.
            ListError::Status(status)
                if status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS =>
            {
                ListOutcome::Refused
            }
            ListError::Status(_) | ListError::Address | ListError::Json(_) => ListOutcome::Invalid,
        })
    }
}

impl Watcher {
    /// Watches for as long as the program runs.
    pub async fn run(mut self) {
        let mut address_changes = self.address.clone();
        loop {
            let address = address_changes.borrow_and_update().clone();
            match self.pacing.phase() {
                ListPhase::Pausing { until } => {
                    let due = sleep_until(self.clock.instant(until).into());
                    let input = tokio::select! {
                        Ok(()) = address_changes.changed() => ListInput::AddressChanged,
                        () = due => ListInput::Due,
                    };
                    self.pacing.handle(self.clock.now(), input);
                }
                ListPhase::Calling { call, until, .. } => {
                    let answer = tokio::select! {
                        biased;
                        // The old discovery will soon stop answering, and this program is expected to know what the
                        // new one has from now on.
                        Ok(()) = address_changes.changed() => {
                            self.pacing.handle(self.clock.now(), ListInput::AddressChanged);
                            continue;
                        }
                        answer = timeout_at(self.clock.instant(until).into(), self.request_list(&address, call)) => answer,
                    };
                    self.handle_answer(&address, answer.map_err(ListError::from).and_then(|list| list)).await;
                }
            }
        }
    }

    /// Feeds the end of a call to the pacing, and passes the list on if the pacing accepts it.
    async fn handle_answer(&mut self, address: &str, answer: Result<List, ListError>) {
        let now = self.clock.now();
        match answer {
            Ok(list) => {
                let outcome = ListOutcome::Answered { revision: list.revision, complete: list.complete };
                let taken = self.pacing.handle(now, ListInput::Ended(outcome));
                tracing::debug!(
                    revision = list.revision,
                    complete = list.complete,
                    entries = list.members.len(),
                    taken,
                    "discovery sent a list"
                );
                if taken {
                    let scope = if list.complete { ListScope::Full } else { ListScope::Changes };
                    self.list.send(ListMessage::Discovery(scope, list)).await;
                }
            }
            Err(error) => {
                tracing::warn!(discovery.address = address, %error, "discovery does not answer");
                self.pacing.handle(now, error.to_input());
            }
        }
    }

    /// Makes a call to discovery and returns the list in its answer.
    async fn request_list(&self, address: &str, call: ListCall) -> Result<List, ListError> {
        let query_since = |from: u64, hold: Micros| format!("?from={from}&hold_ms={}", hold / 1_000);
        let query = match call {
            ListCall::Full => String::new(),
            ListCall::Check { from } => query_since(from, 0),
            ListCall::Watch { from, hold } => query_since(from, hold),
        };
        let mut request = Request::new(TrackedBody::empty());
        *request.uri_mut() =
            format!("http://{address}/discovery/hosts{query}").parse().map_err(|_| ListError::Address)?;
        let response = self.client.request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(ListError::Status(response.status()));
        }
        let body = collect(response.into_body(), MAX_LIST_BYTES).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
