//! The client-side plug-in: a [`tower::Service`] by which an RPC client relays its tool calls from within its own
//! process, with the same core and decision module as the daemon.

use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use serde_json::Value;
use tokio::sync::mpsc;

use super::error::ProgramError;
use super::tools;
use crate::documents::operator::Rpc;
use crate::protocol::config::{DEFAULT_MEMORY_MB, MachineLimits};
use crate::protocol::jsonrpc::{CALL, RpcError};
use crate::recovery::Socket;
use crate::routing::{Core, Totals};
use crate::transport::budget::Budget;
use crate::transport::clock::Clock;
use crate::transport::hub::{self, message::Hub};
use crate::transport::relay::{Call, ChargedCall, ClientMessage, Relay};

/// How many notifications are buffered while the task that passes them on is busy.
const NOTES_BUFFER_LEN: usize = 64;

/// A tool call of a client.
#[derive(Clone, Debug)]
pub struct ToolCall {
    /// The call.
    pub call: Call,
    /// Receives the notifications that the server sends before its answer. Without a receiver they are discarded.
    pub notes: Option<mpsc::Sender<Value>>,
}

/// The plug-in. Its clones share one core and must be used within the tokio runtime in which it was started.
#[derive(Clone)]
pub struct Plugin {
    relay: Relay,
}

impl Plugin {
    /// Starts the core and the actors of the tool servers. `name` is the prefix of the ids of calls and must be
    /// different in each process. At most `sockets` file descriptors are used.
    pub async fn start(rpc: Rpc, name: &str, seed: u64, sockets: usize) -> Result<Self, ProgramError> {
        let clock = Clock::start();
        let limits = MachineLimits { sockets, memory_mb: DEFAULT_MEMORY_MB };
        let budget = Budget::with_tool_calls(limits, Socket::Own, clock);
        let mut core = Core::default();
        let pool = core.add_pool(rpc.settings.clone(), seed, clock.now())?;
        let (mut actor, hub) = hub::new(core, clock, budget);
        actor.add_pool(tools::peer_context(&rpc, pool, &hub), rpc.names.classes.clone());
        tokio::spawn(actor.run());
        let prefix = format!("{name}-{seed:x}");
        Ok(Plugin { relay: tools::start(&rpc, pool, &hub, clock, (prefix, seed)).await? })
    }

    /// Returns the counters.
    pub async fn totals(&self) -> Totals {
        self.hub().counters().await.totals
    }

    fn hub(&self) -> &Hub {
        &self.relay.hub
    }
}

/// Passes notifications on to their receiver, or discards them if there is none. Ends once the receiver is gone, which
/// tells the calls that still send notifications that their client has left.
async fn forward_notes(mut messages: mpsc::Receiver<ClientMessage>, notes: Option<mpsc::Sender<Value>>) {
    let Some(notes) = notes else {
        while messages.recv().await.is_some() {}
        return;
    };
    loop {
        let message = tokio::select! {
            message = messages.recv() => message,
            () = notes.closed() => return,
        };
        let Some(message) = message else { return };
        if notes.send(message.value).await.is_err() {
            return;
        }
    }
}

impl tower::Service<ToolCall> for Plugin {
    type Response = Value;
    type Error = RpcError;
    type Future = BoxFuture<'static, Result<Value, RpcError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), RpcError>> {
        Poll::Ready(Ok(()))
    }

    /// Dropping the future cancels the call.
    fn call(&mut self, request: ToolCall) -> Self::Future {
        let relay = self.relay.clone();
        Box::pin(async move {
            let tool = relay.tool(CALL, &request.call.params)?;
            let (to_client, messages) = mpsc::channel(NOTES_BUFFER_LEN);
            tokio::spawn(forward_notes(messages, request.notes));
            let call = ChargedCall { call: request.call, memory: None };
            relay.run(call, tool, &to_client).await.result
        })
    }
}
