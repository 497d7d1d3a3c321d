//! Wires the tool servers of an operator's file to the core.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use tokio::sync::{Semaphore, watch};

use super::life::ProgramError;
use crate::interface::{ClassId, Effect};
use crate::protocol::config::Rpc;
use crate::protocol::settings::{Names, index};
use crate::routing::PoolId;
use crate::transport::clock::Clock;
use crate::transport::connector;
use crate::transport::hub::Hub;
use crate::transport::list::Watcher;
use crate::transport::peer::{Common, Dialect};
use crate::transport::relay::{Relay, Tool};

/// The tool servers before their actors run.
pub(super) struct Tools {
    pub(super) common: Common,
    tools: HashMap<String, Tool>,
    names: Names,
    clock: Clock,
}

/// Reads what the file says of tools and servers.
pub(super) fn prepare(rpc: &Rpc, pool: PoolId, hub: &Hub, clock: Clock) -> Result<Tools, ProgramError> {
    let (settings, links) = (rpc.settings.settings()?, rpc.settings.links()?);
    let names = rpc.settings.clone().names();
    let mut tools = HashMap::new();
    for (name, class) in &rpc.tools {
        let class = ClassId(index(&format!("tool {name}"), &names.classes, class)?);
        let about = &settings.classes[usize::from(class.0)];
        let fragile = about.effect != Effect::Safe;
        tools.insert(name.clone(), Tool { class, fragile, deadline: about.deadline });
    }
    let client = connector::client(links, hub.budget().peers.clone());
    let fields = names.report.clone().into();
    let common = Common { pool, hub: hub.clone(), client, links, dialect: Dialect::Tools, fields };
    Ok(Tools { common, tools, names, clock })
}

impl Tools {
    /// Hands on the list and watches it; gives the way of calls to the servers.
    pub(super) async fn start(self, rpc: &Rpc, hub: &Hub, prefix: String, numbers: Arc<AtomicU64>) -> Relay {
        let Tools { common, tools, names, clock } = self;
        let pool = common.pool;
        let watcher = Watcher {
            pool,
            address: watch::Sender::new(rpc.discovery.clone().unwrap_or_default()).subscribe(),
            client: connector::client(common.links, Arc::new(Semaphore::new(4))),
            hub: hub.clone(),
            names,
            clock,
        };
        watcher.known(&rpc.known).await;
        if rpc.discovery.is_some() {
            tokio::spawn(watcher.run(watch::Sender::new(false)));
        }
        Relay {
            hub: hub.clone(),
            pool,
            tools: Arc::new(tools),
            path: rpc.path.as_str().into(),
            prefix: prefix.into(),
            numbers,
        }
    }
}
