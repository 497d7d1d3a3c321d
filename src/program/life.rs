//! The program's phases, from start to exit, as named states of one object.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::error::ProgramError;
use super::lists::{Known, Start};
use super::tools;
use crate::documents::operator::Operator;
use crate::documents::read::Source;
use crate::interface::Micros;
use crate::protocol::config::Config;
use crate::protocol::figures;
use crate::recovery::{Input, Phase, Socket};
use crate::routing::Core;
use crate::transport::budget::Budget;
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
use crate::transport::peer::connector::Clients;
use crate::transport::peer::{Dialect, PeerContext};

/// The deadline is counted as at least this by those who send SIGKILL...
const LEAST_DEADLINE: Micros = 3_000_000;
/// ... which comes this long after it at the earliest; the program exits a little ahead.
const BEFORE_KILL: Duration = Duration::from_millis(500);
/// A new configuration that can't be read may still be on its way: it is read again after this...
const READ_AGAIN: Duration = Duration::from_millis(200);
/// ... so many times.
const READINGS: u32 = 5;
/// Clients are taken on without discovery's first answer after this, by the known list: discovery may be silent, or
/// have nothing newer to tell.
const PATIENCE: Duration = Duration::from_millis(100);
/// The same where nothing is known yet, or files have to say who is a member.
const PATIENCE_UNKNOWN: Duration = Duration::from_secs(3);

/// All that the program is told at its start.
pub struct Setup {
    /// The platform's configuration.
    pub config: Config,
    /// The operator's, which is empty on the platform.
    pub operator: Operator,
    /// The file that the platform's configuration is from, which SIGHUP has read again.
    pub file: Option<String>,
    /// The clients' listening socket, where this process inherits it.
    pub accept: Option<std::net::TcpListener>,
}

/// A variable of the environment, if it says anything.
fn variable(name: &'static str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

pub(super) fn read(path: &str) -> Result<String, ProgramError> {
    std::fs::read_to_string(path).map_err(|error| ProgramError::File(path.to_string(), error))
}

impl Setup {
    /// Reads the configuration that the environment names, and the operator's document if one is given.
    pub fn read(operator: Option<&str>) -> Result<Self, ProgramError> {
        // First of all: a descriptor opened before might get the number.
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

/// Takes a new configuration on at each SIGHUP, in whatever phase: of it, where discovery listens. What can't
/// be read leaves all as it was. Without this the signal would end the program.
async fn reload(mut hangup: Signal, file: Option<String>, discovery: watch::Sender<String>) {
    while hangup.recv().await.is_some() {
        let Some(file) = &file else { continue };
        for reading in 1..=READINGS {
            match read(file).and_then(|text| Ok(Config::parse(&text)?)) {
                Ok(config) => {
                    tracing::info!(discovery.address = config.discovery.as_str(), "new configuration");
                    discovery.send_replace(config.discovery);
                    break;
                }
                Err(error) => tracing::warn!(reading, %error, "the new configuration can't be read"),
            }
            tokio::time::sleep(READ_AGAIN).await;
        }
    }
}

/// One run of the program.
pub struct Life {
    connections: Connections,
    hub: Hub,
    front: Front,
    listener: Listener,
    admin: Option<OperatorsListener>,
    rpc: Option<(Listener, axum::Router)>,
    heard: watch::Receiver<bool>,
    patience: Duration,
    longest: Duration,
    terminate: Signal,
    report: Signal,
}

impl Life {
    /// Starts the actors and listens; no client is invited yet.
    pub async fn start(setup: Setup) -> Result<Self, ProgramError> {
        let Setup { config, operator, file, accept } = setup;
        let (terminate, report) = (signal(SignalKind::terminate())?, signal(SignalKind::user_defined1())?);
        let hangup = signal(SignalKind::hangup())?;
        let (clock, seed) = (Clock::start(), config.seed()?);
        let socket = if accept.is_some() { Socket::Shared } else { Socket::Own };
        let budget = Budget::new(config.limits.sockets, socket, clock);
        let (settings, links) = (config.settings.settings()?, config.settings.links()?);
        let mut classes = settings.classes.clone();
        let mut core = Core::default();
        let pool = core.add_pool(settings.clone(), seed, clock.now())?;
        let tools_pool = match &operator.rpc {
            Some(rpc) => {
                classes.extend(rpc.settings.classes.iter().cloned());
                Some((rpc, core.add_pool(rpc.settings.clone(), seed, clock.now())?))
            }
            None => None,
        };
        let deadline = classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let (mut actor, hub) = hub::new(core, clock, budget.clone());
        let names = config.settings.clone().names();
        let clients = Clients::new(links, &budget.peers);
        let fields = names.report.clone().into();
        let common =
            PeerContext { pool, hub: hub.clone(), clients, links, dialect: Dialect::Platform, fields };
        actor.add_pool(common, names.classes.clone());
        let listener = match accept {
            Some(accept) => Listener::adopt(accept, budget.fronts.clone())?,
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
            actor.add_pool(tools::common(rpc, pool, &hub), rpc.names.classes.clone());
            let address = rpc.listen.as_deref().ok_or(ProgramError::NoFront)?;
            rpc_front = Some((listen(address, &budget).await?, rpc, pool));
        }
        tokio::spawn(actor.run());
        let rpc = match rpc_front {
            Some((listener, rpc, pool)) => {
                let prefix = format!("{}-{seed:x}", config.name);
                let relay = tools::start(rpc, pool, &hub, clock, (prefix, seed)).await?;
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
        let listed = !config.discovery.is_empty();
        let (discovery, address) = watch::channel(config.discovery);
        tokio::spawn(reload(hangup, file, discovery));
        let list = Start {
            pool,
            names: &names,
            settings: &settings,
            links,
            files: operator.servers.as_ref(),
            discovery: listed.then_some(address),
            known: Known::List(&config.known),
            seed,
        };
        let heard = list.run(&hub, clock).await?;
        let knows = !config.known.members.is_empty() && operator.servers.is_none();
        let connections = budget.fronts;
        let front = Front { hub: hub.clone(), pool, names: Arc::new(names), phase: connections.phases() };
        Ok(Life {
            connections,
            hub,
            front,
            listener,
            admin,
            rpc,
            heard,
            patience: if knows { PATIENCE } else { PATIENCE_UNKNOWN },
            longest: Duration::from_micros(deadline.max(LEAST_DEADLINE)),
            terminate,
            report,
        })
    }

    /// The phases as they come.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.connections.phases()
    }

    /// Where clients of the platform connect, and those of the JSON-RPC front if it is set up.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        let rpc = self.rpc.as_ref().map(|(listener, _)| listener.address()).transpose()?;
        Ok((self.listener.address()?, rpc))
    }

    /// Where operators call, if they do.
    pub fn admin_address(&self) -> io::Result<Option<SocketAddr>> {
        self.admin.as_ref().map(OperatorsListener::address).transpose()
    }

    /// Serves until SIGTERM, then finishes; gives the counters at the end.
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
        let mut heard = self.heard;
        let heard = async { heard.wait_for(|heard| *heard).await.is_ok() };
        let mut known = pin!(tokio::time::timeout(self.patience, heard));
        let phases = self.connections.phases();
        loop {
            let starting = *phases.borrow() == Phase::Starting;
            tokio::select! {
                _ = &mut known, if starting => self.connections.feed(Input::Ready),
                _ = self.terminate.recv() => break,
                _ = self.report.recv() => println!("{}", figures::line(&self.hub.counters().await.all_metrics())),
                Some(ended) = serving.join_next() => ended.map_err(io::Error::other)?,
            }
        }
        self.connections.feed(Input::Terminate);
        // What is still open then would be cut off by the kill as well.
        let ended = async { while serving.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(self.longest + BEFORE_KILL, ended).await;
        let counted = self.hub.counters().await;
        self.connections.feed(Input::Finished);
        Ok(counted)
    }
}

async fn listen(address: &str, budget: &Budget) -> Result<Listener, ProgramError> {
    let listener = Listener::bind(address, budget.fronts.clone()).await;
    listener.map_err(|error| ProgramError::Listen(address.to_string(), error))
}
