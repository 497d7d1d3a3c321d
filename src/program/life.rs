//! One run of the program: starts the actors, serves clients, and shuts down after SIGTERM.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::TaskTracker;

use super::error::ProgramError;
use super::lists::{KnownServers, ListSetup};
use super::tools;
use crate::documents::operator::Operator;
use crate::documents::read::Source;
use crate::interface::Micros;
use crate::protocol::config::{Config, MachineLimits};
use crate::protocol::figures;
use crate::recovery::{Input, Phase, Socket, earliest_kill};
use crate::routing::Core;
use crate::transport::budget::Budget;
use crate::transport::claims::{ClaimFolder, Owner};
use crate::transport::clock::Clock;
use crate::transport::export;
use crate::transport::front::connection::Connections;
use crate::transport::front::listener::Listener;
use crate::transport::front::operators::{self, Operators, OperatorsListener};
use crate::transport::front::platform::{self, Front};
use crate::transport::front::rpc::RpcFront;
use crate::transport::hub::message::Counters;
use crate::transport::hub::{self, message::Hub};
use crate::transport::inherited::inherited_listener;
use crate::transport::memory::MemoryBudget;
use crate::transport::peer::connector::Clients;
use crate::transport::peer::{Dialect, PeerContext};

/// How long servers may be asked to release what they hold for a request that has ended.
const RELEASE_TIME: Duration = Duration::from_secs(6);
/// A new configuration that can't be read may not be completely written yet. It is read again after this delay.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How often a new configuration is read before the program gives up.
const MAX_RELOAD_ATTEMPTS: u32 = 5;
/// How long the program waits for discovery's first response before it accepts clients with the known list.
/// Discovery may not respond, or have nothing newer to send.
const DISCOVERY_WAIT: Duration = Duration::from_millis(100);
/// The same if there is no known list, or if the members come from files.
const DISCOVERY_WAIT_WITHOUT_LIST: Duration = Duration::from_secs(3);

/// Everything that the program needs to start.
pub struct Setup {
    /// The platform's configuration.
    pub config: Config,
    /// The operator's document, which is empty on the platform.
    pub operator: Operator,
    /// The file of the platform's configuration, which is read again on SIGHUP.
    pub file: Option<String>,
    /// The listening socket for clients, if this process inherits it.
    pub accept: Option<std::net::TcpListener>,
}

/// Returns the value of an environment variable, or `None` if it is unset or empty.
fn variable(name: &'static str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads a file.
pub(super) fn read(path: &str) -> Result<String, ProgramError> {
    std::fs::read_to_string(path).map_err(|error| ProgramError::File(path.to_string(), error))
}

impl Setup {
    /// Reads the configuration that LB_CONFIG names, and the operator's document if one is given.
    pub fn read(operator: Option<&str>) -> Result<Self, ProgramError> {
        // This has to happen first: a descriptor that is opened earlier might get the inherited one's number.
        let accept = variable("LB_ACCEPT_FD").map(|number| inherited_listener(&number)).transpose()?;
        let path = variable("LB_CONFIG").ok_or(ProgramError::Variable("LB_CONFIG"))?;
        let operator = match operator {
            Some(path) => Operator::parse(&Source::new(path, read(path)?))?,
            None => Operator::default(),
        };
        let mut config = Config::parse(&read(&path)?)?;
        config.admin = config.admin.or_else(|| variable("LB_ADMIN"));
        Ok(Setup { config, operator, file: Some(path), accept })
    }
}

/// Reloads the configuration at each SIGHUP, in every phase. Only the address of discovery is taken from it. If it
/// can't be read, nothing changes. Without a handler the signal would end the program.
async fn reload(mut hangup: Signal, file: Option<String>, discovery: watch::Sender<String>) {
    while hangup.recv().await.is_some() {
        let Some(file) = &file else { continue };
        for reading in 1..=MAX_RELOAD_ATTEMPTS {
            match read(file).and_then(|text| Ok(Config::parse(&text)?)) {
                Ok(config) => {
                    tracing::info!(discovery.address = config.discovery.as_str(), "new configuration");
                    discovery.send_replace(config.discovery);
                    break;
                }
                Err(error) => tracing::warn!(reading, %error, "the new configuration can't be read"),
            }
            tokio::time::sleep(RELOAD_RETRY_DELAY).await;
        }
    }
}

/// One run of the program.
pub struct Program {
    connections: Connections,
    hub: Hub,
    front: Front,
    listener: Listener,
    admin: Option<OperatorsListener>,
    rpc: Option<(Listener, axum::Router)>,
    /// The tasks of tool calls for which no client's connection may be open.
    unattended: TaskTracker,
    /// True once the members are known from discovery or files.
    list_received: watch::Receiver<bool>,
    /// How long to wait for that before clients are accepted.
    list_wait: Duration,
    /// The longest deadline of a class, on either front.
    max_deadline: Duration,
    /// How long after SIGTERM the platform may kill the process.
    kill_after: Micros,
    terminate: Signal,
    /// SIGUSR1, which requests the metrics on standard output.
    print_metrics: Signal,
}

impl Program {
    /// Starts the actors and opens the listeners. The program reports itself as ready only in `run`.
    pub async fn start(setup: Setup) -> Result<Self, ProgramError> {
        let Setup { config, operator, file, accept } = setup;
        let (terminate, print_metrics) =
            (signal(SignalKind::terminate())?, signal(SignalKind::user_defined1())?);
        let hangup = signal(SignalKind::hangup())?;
        let (clock, seed) = (Clock::start(), config.seed()?);
        let memory_mb = operator.memory_mb.unwrap_or(f64::INFINITY).min(config.limits.memory_mb);
        let limits = MachineLimits { memory_mb, ..config.limits };
        let socket = if accept.is_some() { Socket::Shared } else { Socket::Own };
        let budget = match operator.rpc {
            Some(_) => Budget::with_tool_calls(limits, socket, clock),
            None => Budget::new(limits, socket, clock),
        };
        let (settings, links) = (config.settings.settings()?, config.settings.links()?);
        let mut classes = settings.classes.clone();
        let kill_after = earliest_kill(classes.iter().map(|class| class.deadline).max().unwrap_or(0));
        let mut core = Core::default();
        let pool = core.add_pool(settings.clone(), seed, clock.now())?;
        let tools_pool = match &operator.rpc {
            Some(rpc) => {
                classes.extend(rpc.settings.classes.iter().cloned());
                Some((rpc, core.add_pool(rpc.settings.clone(), seed, clock.now())?))
            }
            None => None,
        };
        let max_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let (mut actor, hub) = hub::new(core, clock, budget.clone());
        let names = config.settings.clone().names();
        let clients = Clients::new(links, &budget.peers);
        let fields = names.report.clone().into();
        let peer_context =
            PeerContext { pool, hub: hub.clone(), clients, links, dialect: Dialect::Platform, fields };
        actor.add_pool(peer_context, names.classes.clone());
        let listener = match accept {
            Some(accept) => {
                share_ids(&mut actor, &accept)?;
                Listener::adopt(accept, budget.fronts.clone())?
            }
            None => listen(&config.listen, &budget).await?,
        };
        let admin = match config.admin.filter(|address| !address.is_empty()) {
            Some(address) => {
                let bound = OperatorsListener::bind(&address).await;
                Some(bound.map_err(|error| ProgramError::Admin(address, error))?)
            }
            None => None,
        };
        let mut rpc_front = None;
        if let Some((rpc, pool)) = tools_pool {
            actor.add_pool(tools::peer_context(rpc, pool, &hub), rpc.names.classes.clone());
            let address = rpc.listen.as_deref().ok_or(ProgramError::NoFront)?;
            rpc_front = Some((listen(address, &budget).await?, rpc, pool));
        }
        tokio::spawn(actor.run());
        let mut unattended = TaskTracker::new();
        let rpc = match rpc_front {
            Some((listener, rpc, pool)) => {
                let prefix = format!("{}-{seed:x}", config.name);
                let relay = tools::start(rpc, pool, &hub, clock, (prefix, seed)).await?;
                unattended = relay.unattended.clone();
                Some((listener, RpcFront::new(relay).routes(&rpc.path)))
            }
            None => None,
        };
        if let Some(graphite) = operator.graphite {
            tokio::spawn(export::to_graphite(graphite, hub.clone()));
        }
        if let Some(collectd) = operator.collectd {
            tokio::spawn(export::to_collectd(collectd, hub.clone()));
        }
        let has_discovery = !config.discovery.is_empty();
        let (discovery, address) = watch::channel(config.discovery);
        tokio::spawn(reload(hangup, file, discovery));
        let list = ListSetup {
            pool,
            names: &names,
            settings: &settings,
            links,
            files: operator.servers.as_ref(),
            discovery: has_discovery.then_some(address),
            known: KnownServers::List(&config.known),
            seed,
        };
        let list_received = list.run(&hub, clock).await?;
        let has_known_list = !config.known.members.is_empty() && operator.servers.is_none();
        let connections = budget.fronts;
        let front = Front { hub: hub.clone(), pool, names: Arc::new(names), phase: connections.phases() };
        Ok(Program {
            connections,
            hub,
            front,
            listener,
            admin,
            rpc,
            unattended,
            list_received,
            list_wait: if has_known_list { DISCOVERY_WAIT } else { DISCOVERY_WAIT_WITHOUT_LIST },
            max_deadline: Duration::from_micros(max_deadline),
            kill_after,
            terminate,
            print_metrics,
        })
    }

    /// Returns a receiver of the current phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.connections.phases()
    }

    /// Returns the memory budget.
    pub fn memory(&self) -> &MemoryBudget {
        &self.hub.budget().memory
    }

    /// Returns the address that the platform's clients connect to, and that of the JSON-RPC front if there is one.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        let rpc = self.rpc.as_ref().map(|(listener, _)| listener.address()).transpose()?;
        Ok((self.listener.address()?, rpc))
    }

    /// Returns the address that operators connect to, if there is one.
    pub fn admin_address(&self) -> io::Result<Option<SocketAddr>> {
        self.admin.as_ref().map(OperatorsListener::address).transpose()
    }

    /// Serves until SIGTERM, then finishes what is open. Returns the final counters.
    pub async fn run(mut self) -> Result<Counters, ProgramError> {
        let mut serving = JoinSet::new();
        tokio::spawn(self.connections.clone().run_timers());
        if let Some(admin) = self.admin {
            let operators = Operators { connections: self.connections.clone(), hub: self.hub.clone() };
            tokio::spawn(admin.serve(operators::routes(operators)));
        }
        serving.spawn(self.listener.serve(platform::routes(self.front)));
        if let Some((listener, routes)) = self.rpc {
            serving.spawn(listener.serve(routes));
        }
        let mut list_received = self.list_received;
        let list_received = async { list_received.wait_for(|received| *received).await.is_ok() };
        let mut ready = pin!(tokio::time::timeout(self.list_wait, list_received));
        let phases = self.connections.phases();
        loop {
            let starting = *phases.borrow() == Phase::Starting;
            tokio::select! {
                _ = &mut ready, if starting => self.connections.feed(Input::Ready),
                _ = self.terminate.recv() => break,
                _ = self.print_metrics.recv() => println!("{}", figures::line(&self.hub.counters().await.all_metrics())),
                Some(ended) = serving.join_next() => ended.map_err(io::Error::other)?,
            }
        }
        self.connections.feed(Input::Terminate { kill_after: self.kill_after });
        finish_open_work(&self.hub, serving, self.unattended, self.max_deadline).await;
        let counters = self.hub.counters().await;
        self.connections.feed(Input::Finished);
        Ok(counters)
    }
}

/// Waits until all clients have their answers, and nothing is left to do for requests without a client.
async fn finish_open_work(
    hub: &Hub,
    mut serving: JoinSet<()>,
    unattended: TaskTracker,
    max_deadline: Duration,
) {
    let open = hub.counters().await.totals.open;
    tracing::info!(open, "told to terminate: finishing what is open");
    // A deadline bounds the wait for the first event of an answer, not its length, and SIGKILL may come late or never: as
    // long as a client is owed the rest of its answer, the process stays.
    while serving.join_next().await.is_some() {}
    let finished = async {
        // Between a call and one that is nested in it no request is open, so the calls are waited for before the requests.
        unattended.close();
        unattended.wait().await;
        hub.idle().await;
    };
    match tokio::time::timeout(max_deadline + RELEASE_TIME, finished).await {
        Ok(()) => tracing::info!("all that was open is finished"),
        Err(_) => tracing::warn!("ending although calls without a client, or releases, have not finished"),
    }
}

/// Shares ids with the other processes at this listening socket. A folder that can't be used is not an error: then each
/// process knows its own ids.
fn share_ids(actor: &mut hub::Actor, socket: &std::net::TcpListener) -> io::Result<()> {
    match ClaimFolder::open(&socket.local_addr()?.to_string(), Owner::this_process()) {
        Ok(claims) => actor.share_ids(claims),
        Err(error) => {
            tracing::warn!(%error, "ids are not shared with the other process of a replacement");
        }
    }
    Ok(())
}

/// Opens a listener for clients.
async fn listen(address: &str, budget: &Budget) -> Result<Listener, ProgramError> {
    let listener = Listener::bind(address, budget.fronts.clone()).await;
    listener.map_err(|error| ProgramError::Listen(address.to_string(), error))
}
