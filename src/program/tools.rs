//! Connects the tool servers of an operator's document to the core.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::error::ProgramError;
use super::lists::{KnownServers, ListSetup};
use crate::documents::operator::Rpc;
use crate::interface::Effect;
use crate::routing::PoolId;
use crate::transport::clock::Clock;
use crate::transport::hub::message::Hub;
use crate::transport::peer::connector::Clients;
use crate::transport::peer::{Dialect, PeerContext};
use crate::transport::relay::{Relay, Tool};

/// Returns the context that the peers of the tool servers' pool share.
pub(super) fn peer_context(rpc: &Rpc, pool: PoolId, hub: &Hub) -> PeerContext {
    let clients = Clients::new(rpc.links, &hub.budget().peers);
    let fields = rpc.names.report.clone().into();
    PeerContext { pool, hub: hub.clone(), clients, links: rpc.links, dialect: Dialect::Tools, fields }
}

/// Starts the list of the tool servers and returns the relay that sends calls to them.
pub(super) async fn start(
    rpc: &Rpc,
    pool: PoolId,
    hub: &Hub,
    clock: Clock,
    (prefix, seed): (String, u64),
) -> Result<Relay, ProgramError> {
    let tool = |class: crate::interface::ClassId| {
        let class_settings = rpc.settings.classes.get(usize::from(class.0))?;
        Some(Tool {
            class,
            has_side_effects: class_settings.effect != Effect::Safe,
            deadline: class_settings.deadline,
        })
    };
    let tools = rpc.tools.iter().filter_map(|(name, class)| Some((name.clone(), tool(*class)?)));
    let list = ListSetup {
        pool,
        names: &rpc.names,
        settings: &rpc.settings,
        links: rpc.links,
        files: rpc.servers.as_ref(),
        discovery: rpc.discovery.clone().map(|address| watch::Sender::new(address).subscribe()),
        known: KnownServers::Servers(rpc.known.clone()),
        seed,
    };
    list.run(hub, clock).await?;
    Ok(Relay {
        hub: hub.clone(),
        pool,
        tools: Arc::new(tools.collect()),
        path: rpc.path.as_str().into(),
        id_prefix: prefix.into(),
        next_number: Arc::new(AtomicU64::new(0)),
        unattended: TaskTracker::new(),
    })
}
