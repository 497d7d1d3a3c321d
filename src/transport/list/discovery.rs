//! Watches discovery without a pause and hands on what that tells.

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at};

use super::{ListHandle, News};
use crate::interface::{ListScope, Micros};
use crate::protocol::platform::List;
use crate::recovery::{ListCall, ListInput, ListOutcome, ListPhase, Pacing};
use crate::transport::clock::Clock;
use crate::transport::peer::connector::{PeerClient, Tracked};

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
    /// The clock of the pacing.
    pub clock: Clock,
    /// What is asked, and when.
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

impl ListError {
    fn input(&self) -> ListInput {
        ListInput::Ended(match self {
            ListError::Late(_) => return ListInput::Due,
            ListError::Call(_) | ListError::Body(_) => ListOutcome::ConnectionLost,
            // Busy as it is, it still knows what this watch has heard.
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
        let mut moves = self.address.clone();
        loop {
            let address = moves.borrow_and_update().clone();
            match self.pacing.phase() {
                ListPhase::Pausing { until } => {
                    let due = sleep_until(self.clock.instant(until).into());
                    let input = tokio::select! {
                        Ok(()) = moves.changed() => ListInput::AddressChanged,
                        () = due => ListInput::Due,
                    };
                    self.pacing.handle(self.clock.now(), input);
                }
                ListPhase::Calling { call, until, .. } => {
                    let answer = tokio::select! {
                        biased;
                        // The old discovery falls silent soon, and what the new one has to tell counts as told.
                        Ok(()) = moves.changed() => {
                            self.pacing.handle(self.clock.now(), ListInput::AddressChanged);
                            continue;
                        }
                        answer = timeout_at(self.clock.instant(until).into(), self.ask(&address, call)) => answer,
                    };
                    self.answered(&address, answer.map_err(ListError::from).and_then(|list| list)).await;
                }
            }
        }
    }

    async fn answered(&mut self, address: &str, answer: Result<List, ListError>) {
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
                    "discovery answers"
                );
                if taken {
                    let scope = if list.complete { ListScope::Full } else { ListScope::Changes };
                    self.list.send(News::Discovery(scope, list)).await;
                }
            }
            Err(error) => {
                tracing::warn!(discovery.address = address, %error, "discovery does not answer");
                self.pacing.handle(now, error.input());
            }
        }
    }

    async fn ask(&self, address: &str, call: ListCall) -> Result<List, ListError> {
        let held = |from: u64, hold: Micros| format!("?from={from}&hold_ms={}", hold / 1_000);
        let query = match call {
            ListCall::Full => String::new(),
            ListCall::Check { from } => held(from, 0),
            ListCall::Watch { from, hold } => held(from, hold),
        };
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
