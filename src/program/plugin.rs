//! The client-side plug-in: a [`tower::Service`] that an RPC client mounts to have its tool calls relayed
//! from its own process, by the same core and module as the daemon's.

use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use serde_json::Value;
use tokio::sync::mpsc;

use super::error::ProgramError;
use super::tools;
use crate::documents::operator::Rpc;
use crate::protocol::jsonrpc::{CALL, RpcError};
use crate::recovery::Socket;
use crate::routing::{Core, Totals};
use crate::transport::budget::Budget;
use crate::transport::clock::Clock;
use crate::transport::hub::{self, message::Hub};
use crate::transport::relay::{Call, Relay};

/// Notifications that may wait for whoever reads them.
const NOTES_AHEAD: usize = 64;

/// A tool call as a client hands it in.
#[derive(Clone, Debug)]
pub struct ToolCall {
    /// The call.
    pub call: Call,
    /// Takes what the server tells before its answer; none: that is passed over.
    pub notes: Option<mpsc::Sender<Value>>,
}

/// The plug-in. Its clones share one core; each must be used within the tokio runtime that it started in.
#[derive(Clone)]
pub struct Plugin {
    relay: Relay,
}

impl Plugin {
    /// Starts the core and the actors for the tool servers. `name` opens the ids of calls and has to be
    /// another one in each process; at most `sockets` descriptors are used.
    pub async fn start(rpc: Rpc, name: &str, seed: u64, sockets: usize) -> Result<Self, ProgramError> {
        let clock = Clock::start();
        let budget = Budget::new(sockets, Socket::Own, clock);
        let mut core = Core::default();
        let pool = core.add_pool(rpc.settings.clone(), seed, clock.now())?;
        let (mut actor, hub) = hub::new(core, clock, budget);
        actor.add_pool(tools::common(&rpc, pool, &hub), rpc.names.classes.clone());
        tokio::spawn(actor.run());
        let prefix = format!("{name}-{seed:x}");
        Ok(Plugin { relay: tools::start(&rpc, pool, &hub, clock, (prefix, seed)).await? })
    }

    /// The counters.
    pub async fn totals(&self) -> Totals {
        self.hub().counters().await.totals
    }

    fn hub(&self) -> &Hub {
        &self.relay.hub
    }
}

impl tower::Service<ToolCall> for Plugin {
    type Response = Value;
    type Error = RpcError;
    type Future = BoxFuture<'static, Result<Value, RpcError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), RpcError>> {
        Poll::Ready(Ok(()))
    }

    /// Dropping the future calls the call off.
    fn call(&mut self, request: ToolCall) -> Self::Future {
        let relay = self.relay.clone();
        Box::pin(async move {
            let tool = relay.tool(CALL, &request.call.params)?;
            let notes = request.notes.unwrap_or_else(|| {
                let (notes, mut passed_over) = mpsc::channel(NOTES_AHEAD);
                tokio::spawn(async move { while passed_over.recv().await.is_some() {} });
                notes
            });
            relay.run(request.call, tool, &notes).await
        })
    }
}
