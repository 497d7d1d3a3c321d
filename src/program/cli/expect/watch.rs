//! `birchspur expect --watch`: tries again whenever one of the files changes. A notification of the operating
//! system only causes the files to be read again; their content decides whether anything has changed.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::Duration;

use notify::{RecursiveMode, Watcher};

use crate::documents::seal;
use crate::membership::Digest;
use crate::program::cli::{Verdict, complain};

/// Notifications arrive in bursts. The files are read once no further one has arrived for this time.
const DEBOUNCE_TIME: Duration = Duration::from_millis(50);
/// How often the files are read if there is no notification.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the digests of the files at these paths, and of the files in directories at these paths.
fn contents(paths: &[PathBuf]) -> Vec<(PathBuf, Option<Digest>)> {
    let mut files = BTreeSet::new();
    for path in paths {
        match std::fs::read_dir(path) {
            Ok(entries) => files.extend(entries.filter_map(|entry| Some(entry.ok()?.path()))),
            Err(_) => drop(files.insert(path.clone())),
        }
    }
    let digest = |path: PathBuf| {
        let digest = std::fs::read(&path).ok().map(|bytes| seal::digest(&bytes));
        (path, digest)
    };
    files.into_iter().map(digest).collect()
}

/// Runs `work` now and after each change. Returns only if the files can't be watched.
pub(super) fn run(paths: &[PathBuf], mut work: impl FnMut()) -> Verdict {
    let (sender, notifications) = channel();
    let on_event = move |event: notify::Result<notify::Event>| {
        if event.is_ok_and(|event| !event.kind.is_access()) {
            // The receiver is gone only when the program ends.
            let _ = sender.send(());
        }
    };
    let mut watcher = match notify::recommended_watcher(on_event) {
        Ok(watcher) => watcher,
        Err(error) => return complain(format!("the files can't be watched: {error}")),
    };
    // Editors replace a file by a new one, which only a watch of the directory reports.
    let directory = |path: &PathBuf| match path.is_dir() {
        true => path.clone(),
        false => match path.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => parent.to_path_buf(),
            _ => Path::new(".").to_path_buf(),
        },
    };
    for directory in paths.iter().map(directory).collect::<BTreeSet<_>>() {
        if let Err(error) = watcher.watch(&directory, RecursiveMode::NonRecursive) {
            return complain(format!("{} can't be watched: {error}", directory.display()));
        }
    }
    loop {
        let last_contents = contents(paths);
        work();
        while contents(paths) == last_contents {
            if notifications.recv_timeout(POLL_INTERVAL).is_ok() {
                while notifications.recv_timeout(DEBOUNCE_TIME).is_ok() {}
            }
        }
    }
}
