//! Tries expectations, on as many threads as there are: what comes of one depends on nothing but its own seeds, so
//! that neither their number nor their order shows.

use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::documents::expectations::{self, Written};
use crate::documents::read::Source;
use crate::expect::{self, Site};
use crate::interface::SettingsError;
use crate::membership::Refusal;
use crate::program::cli::{Verdict, complain, source};

/// A document, and what it expects or why it is refused.
pub(super) struct Document {
    pub source: Source,
    pub written: Result<Vec<Written>, Refusal>,
}

/// The texts of documents.
pub(super) fn texts(paths: &[PathBuf]) -> Result<Vec<Source>, Verdict> {
    paths.iter().map(|path| source(path).map_err(complain)).collect()
}

/// Reads documents against a site, and leaves what a filter wants.
pub(super) fn documents(texts: &[Source], site: &Site, filter: Option<&str>) -> Vec<Document> {
    let wanted = |one: &Written| filter.is_none_or(|part| one.expectation.name.contains(part));
    let document = |source: &Source| {
        let written = expectations::parse(source, site);
        let written = written.map(|all| all.into_iter().filter(wanted).collect());
        Document { source: source.clone(), written }
    };
    texts.iter().map(document).collect()
}

/// All expectations of documents that could be read.
pub(super) fn all(documents: &[Document]) -> Vec<&Written> {
    documents.iter().filter_map(|document| document.written.as_ref().ok()).flatten().collect()
}

/// Does some work for each of many, on some threads, and gives what came of it in their order.
pub(super) fn each<T: Sync, R: Send>(
    many: &[T],
    threads: usize,
    what: &str,
    work: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Vec<Mutex<Option<R>>> = many.iter().map(|_| Mutex::new(None)).collect();
    let on_terminal = std::io::stderr().is_terminal();
    let run = || {
        while let Some((one, result)) = {
            let at = next.fetch_add(1, Ordering::Relaxed);
            many.get(at).zip(results.get(at))
        } {
            let found = work(one);
            if let Ok(mut place) = result.lock() {
                *place = Some(found);
            }
            let count = done.fetch_add(1, Ordering::Relaxed) + 1;
            if on_terminal {
                eprint!("\r{what} {count} of {}\x1b[K", many.len());
                let _ = std::io::stderr().flush();
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 1..threads.max(1) {
            scope.spawn(run);
        }
        run();
    });
    if on_terminal {
        eprint!("\r\x1b[K");
    }
    results.into_iter().filter_map(|result| result.into_inner().ok().flatten()).collect()
}

/// What came of each expectation, in their order.
pub(super) fn judge(
    site: &Site,
    written: &[&Written],
    threads: usize,
) -> Result<Vec<expect::Verdict>, SettingsError> {
    each(written, threads, "tried", |one| expect::evaluate(site, &one.expectation)).into_iter().collect()
}
