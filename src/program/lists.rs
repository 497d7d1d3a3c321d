//! Sets up the server list of a pool from its sources: the known servers, the saved set, the watched files and
//! discovery.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::sync::watch;

use super::error::ProgramError;
use super::site::{self, NO_RULES, TrialContext};
use crate::documents::operator::Watched;
use crate::documents::read::Source;
use crate::interface::Settings;
use crate::membership::{Catalog, ListedServer, Membership, Reason};
use crate::protocol::platform::List;
use crate::protocol::settings::{Links, Names};
use crate::recovery::{Pacing, Times};
use crate::routing::PoolId;
use crate::transport::clock::Clock;
use crate::transport::hub::message::Hub;
use crate::transport::list::discovery::Watcher;
use crate::transport::list::files::{self, Directory};
use crate::transport::list::{ListActor, ListParts, TrialRunner, age, keep};
use crate::transport::peer::connector;
use crate::transport::peer::idle::ConnectionBudget;

/// The most connections to discovery. One is enough, but earlier ones may still be closing.
const MAX_DISCOVERY_CONNECTIONS: usize = 4;

/// Builds the catalog of zones, kinds and cells that server sets are checked against.
pub(super) fn catalog(names: &Names, settings: &Settings, files: Option<&Watched>) -> Catalog {
    let kinds = names.kinds.iter().zip(&settings.kinds).map(|(name, kind)| (name.clone(), kind.role));
    let cells = files.and_then(|files| files.cells.clone());
    Catalog { zones: names.zones.clone(), kinds: kinds.collect(), cells }
}

/// The servers that a list starts with.
pub(super) enum KnownServers<'a> {
    /// The last known list of discovery, which may be outdated.
    List(&'a List),
    /// The servers that the operator's document lists.
    Servers(Vec<ListedServer>),
}

/// The parameters of a pool's server list.
pub(super) struct ListSetup<'a> {
    pub(super) pool: PoolId,
    pub(super) names: &'a Names,
    pub(super) settings: &'a Settings,
    pub(super) links: Links,
    pub(super) files: Option<&'a Watched>,
    /// The address of discovery, which may change; `None` if there is no discovery.
    pub(super) discovery: Option<watch::Receiver<String>>,
    pub(super) known: KnownServers<'a>,
    /// The seed of the jitter that spreads the calls to discovery.
    pub(super) seed: u64,
}

impl ListSetup<'_> {
    /// Starts the list's actor. The returned receiver becomes true when the first servers are known.
    pub(super) async fn run(self, hub: &Hub, clock: Clock) -> Result<watch::Receiver<bool>, ProgramError> {
        let rules = self.files.map_or(NO_RULES, |files| files.rules);
        let catalog = catalog(self.names, self.settings, self.files);
        let by_files = self.files.is_some();
        let context = TrialContext {
            names: self.names.clone(),
            settings: self.settings.clone(),
            catalog: catalog.clone(),
        };
        let guard = self.files.map(|files| guard(files, context)).transpose()?.flatten();
        let (mut list, handle, list_received) = ListActor::new(ListParts {
            pool: self.pool,
            membership: Membership::new(catalog, rules, by_files),
            names: self.names.clone(),
            clock,
            hub: hub.clone(),
            state: self.files.and_then(|files| files.state.clone()),
            by_files,
            guard,
        });
        let version = match self.known {
            KnownServers::List(known) => {
                list.feed_known_list(known).await;
                Some(known.revision).filter(|_| !known.members.is_empty())
            }
            KnownServers::Servers(known) => {
                list.feed_known_servers(known).await;
                None
            }
        };
        if let Some(watched) = self.files {
            read_files(&mut list, watched, &handle).await?;
        }
        if let Some(address) = self.discovery {
            let client = connector::client(self.links, ConnectionBudget::new(MAX_DISCOVERY_CONNECTIONS));
            tokio::spawn(
                Watcher {
                    address,
                    client,
                    list: handle.clone(),
                    clock,
                    pacing: Pacing::new(
                        self.seed,
                        self.settings.dispatchers,
                        version,
                        Times::PLATFORM,
                        clock.now(),
                    ),
                }
                .run(),
            );
        }
        tokio::spawn(list.run());
        Ok(list_received)
    }
}

/// Returns the function that tries each new set against the documents of expectations, if there are any.
fn guard(watched: &Watched, context: TrialContext) -> Result<Option<TrialRunner>, ProgramError> {
    if watched.expectations.is_empty() {
        return Ok(None);
    }
    let read = |path: &PathBuf| {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ProgramError::File(name.clone(), error))?;
        let source = Source::new(name, text);
        source.parse()?;
        Ok(source)
    };
    let documents = watched.expectations.iter().map(read).collect::<Result<Vec<_>, ProgramError>>()?;
    Ok(Some(Arc::new(move |files, go_on| site::failed_expectations(&context, &documents, files, go_on))))
}

/// Starts from the saved set if there is one, reads the files once, and watches them from then on.
async fn read_files(
    list: &mut ListActor,
    watched: &Watched,
    handle: &crate::transport::list::ListHandle,
) -> Result<(), ProgramError> {
    let saved = match &watched.state {
        Some(state) => keep::load(state).and_then(|saved| {
            let Some(saved) = saved else { return Ok(None) };
            let sets =
                saved.sets().map_err(|error| keep::KeepError::Invalid { path: state.clone(), error })?;
            Ok(Some((saved, sets)))
        }),
        None => Ok(None),
    };
    let mut saved_version = None;
    match saved {
        Ok(Some((saved, sets))) => {
            saved_version = Some((saved.generation, age(saved.unix_s)));
            list.feed_saved_set(saved.generation, sets).await;
        }
        Ok(None) => {}
        Err(error) => tracing::warn!(%error, "the saved set of servers is not trusted and is ignored"),
    }
    let mut directory = Directory::new(&watched.directory, watched.most_bytes);
    let scan = directory.scan();
    list.feed_first_scan(scan.clone()).await;
    let file_refusals: Vec<_> = list.refusals().to_vec();
    let has_bad_files = file_refusals.iter().any(|refusal| *refusal.reason != Reason::AwaitingQuietPeriod);
    match saved_version {
        Some((generation, age)) if has_bad_files && list.has_accepted_set() => {
            tracing::warn!(generation, age, "the files are refused: beginning from the set that was kept");
        }
        _ if !list.has_accepted_set() && (has_bad_files || file_refusals.is_empty()) => {
            let directory = watched.directory.display().to_string();
            return Err(ProgramError::NoServers { directory, refusals: file_refusals });
        }
        _ => {}
    }
    files::watch(watched, directory, scan, handle.clone())?;
    Ok(())
}
