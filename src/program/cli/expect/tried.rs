//! Tries expectations on several threads. Each verdict depends only on the expectation's own seeds, so that the
//! number of threads and the order of execution don't affect the results.

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

/// A document, with its expectations or the reason why it is refused.
pub(super) struct Document {
    pub source: Source,
    pub written: Result<Vec<Written>, Refusal>,
}

/// Reads the texts of the documents at these paths.
pub(super) fn texts(paths: &[PathBuf]) -> Result<Vec<Source>, Verdict> {
    paths.iter().map(|path| source(path).map_err(complain)).collect()
}

/// Parses documents against a site, and keeps the expectations whose names contain the filter.
pub(super) fn documents(texts: &[Source], site: &Site, filter: Option<&str>) -> Vec<Document> {
    let is_selected = |written: &Written| filter.is_none_or(|part| written.expectation.name.contains(part));
    let document = |source: &Source| {
        let written = expectations::parse(source, site);
        let written = written.map(|parsed| parsed.into_iter().filter(is_selected).collect());
        Document { source: source.clone(), written }
    };
    texts.iter().map(document).collect()
}

/// Returns all expectations of the documents that could be read.
pub(super) fn all(documents: &[Document]) -> Vec<&Written> {
    documents.iter().filter_map(|document| document.written.as_ref().ok()).flatten().collect()
}

/// Calls `work` for each item, distributed over threads, and returns the results in the order of the items. `label`
/// describes in the progress display what is done with an item.
pub(super) fn map_on_threads<T: Sync, R: Send>(
    items: &[T],
    threads: usize,
    label: &str,
    work: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Vec<Mutex<Option<R>>> = items.iter().map(|_| Mutex::new(None)).collect();
    let on_terminal = std::io::stderr().is_terminal();
    let run = || {
        while let Some((item, result)) = {
            let index = next.fetch_add(1, Ordering::Relaxed);
            items.get(index).zip(results.get(index))
        } {
            let output = work(item);
            if let Ok(mut slot) = result.lock() {
                *slot = Some(output);
            }
            let count = done.fetch_add(1, Ordering::Relaxed) + 1;
            if on_terminal {
                eprint!("\r{label} {count} of {}\x1b[K", items.len());
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

/// Returns the verdict on each expectation, in their order.
pub(super) fn judge(
    site: &Site,
    written: &[&Written],
    threads: usize,
) -> Result<Vec<expect::Verdict>, SettingsError> {
    map_on_threads(written, threads, "tried", |written| expect::evaluate(site, &written.expectation))
        .into_iter()
        .collect()
}
