//! Wires a pool's list: what it knew, the set that was kept, the watched files and discovery.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::sync::watch;

use super::error::ProgramError;
use super::site::{self, Frame, NO_RULES};
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

/// Connections to discovery: one is enough, and those before it may still be closing.
const DISCOVERY_CONNECTIONS: usize = 4;

/// What sets are checked against.
pub(super) fn catalog(names: &Names, settings: &Settings, files: Option<&Watched>) -> Catalog {
    let kinds = names.kinds.iter().zip(&settings.kinds).map(|(name, kind)| (name.clone(), kind.role));
    let cells = files.and_then(|files| files.cells.clone());
    Catalog { zones: names.zones.clone(), kinds: kinds.collect(), cells }
}

/// What a list begins with.
pub(super) enum Known<'a> {
    /// Discovery's list, perhaps old.
    List(&'a List),
    /// What a document lists.
    Servers(Vec<ListedServer>),
}

/// A pool's list to start.
pub(super) struct Start<'a> {
    pub(super) pool: PoolId,
    pub(super) names: &'a Names,
    pub(super) settings: &'a Settings,
    pub(super) links: Links,
    pub(super) files: Option<&'a Watched>,
    /// Where discovery listens; none where there is none.
    pub(super) discovery: Option<watch::Receiver<String>>,
    pub(super) known: Known<'a>,
    /// For the lots by which calls are spread.
    pub(super) seed: u64,
}

impl Start<'_> {
    /// Starts the list's actor; true comes back when servers have been heard of.
    pub(super) async fn run(self, hub: &Hub, clock: Clock) -> Result<watch::Receiver<bool>, ProgramError> {
        let rules = self.files.map_or(NO_RULES, |files| files.rules);
        let catalog = catalog(self.names, self.settings, self.files);
        let by_files = self.files.is_some();
        let frame =
            Frame { names: self.names.clone(), settings: self.settings.clone(), catalog: catalog.clone() };
        let guard = self.files.map(|files| guard(files, frame)).transpose()?.flatten();
        let (mut list, handle, heard) = ListActor::new(ListParts {
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
            Known::List(known) => {
                list.feed_known_list(known).await;
                Some(known.revision).filter(|_| !known.members.is_empty())
            }
            Known::Servers(known) => {
                list.feed_known_servers(known).await;
                None
            }
        };
        if let Some(watched) = self.files {
            read_files(&mut list, watched, &handle).await?;
        }
        if let Some(address) = self.discovery {
            let client = connector::client(self.links, ConnectionBudget::new(DISCOVERY_CONNECTIONS));
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
        Ok(heard)
    }
}

/// What tries each new set, if documents of expectations are set up.
fn guard(watched: &Watched, frame: Frame) -> Result<Option<TrialRunner>, ProgramError> {
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
    Ok(Some(Arc::new(move |files, go_on| site::against(&frame, &documents, files, go_on))))
}

/// Begins from the set that was kept, reads the files once, and watches them from then on.
async fn read_files(
    list: &mut ListActor,
    watched: &Watched,
    handle: &crate::transport::list::ListHandle,
) -> Result<(), ProgramError> {
    let kept = match &watched.state {
        Some(state) => keep::load(state).and_then(|kept| {
            let Some(kept) = kept else { return Ok(None) };
            let sets =
                kept.sets().map_err(|error| keep::KeepError::Invalid { path: state.clone(), error })?;
            Ok(Some((kept, sets)))
        }),
        None => Ok(None),
    };
    let mut kept_age = None;
    match kept {
        Ok(Some((kept, sets))) => {
            kept_age = Some((kept.generation, age(kept.unix_s)));
            list.feed_saved_set(kept.generation, sets).await;
        }
        Ok(None) => {}
        Err(error) => tracing::warn!(%error, "the set of servers that was kept is not trusted"),
    }
    let mut directory = Directory::new(&watched.directory, watched.most_bytes);
    let scan = directory.scan();
    list.feed_first_scan(scan.clone()).await;
    let refused: Vec<_> = list.refusals().to_vec();
    let bad = refused.iter().any(|refusal| *refusal.reason != Reason::AwaitingQuietPeriod);
    match kept_age {
        Some((generation, age)) if bad && list.has_accepted_set() => {
            tracing::warn!(generation, age, "the files are refused: beginning from the set that was kept");
        }
        _ if !list.has_accepted_set() && (bad || refused.is_empty()) => {
            let directory = watched.directory.display().to_string();
            return Err(ProgramError::NoServers { directory, refusals: refused });
        }
        _ => {}
    }
    files::watch(watched, directory, scan, handle.clone())?;
    Ok(())
}
