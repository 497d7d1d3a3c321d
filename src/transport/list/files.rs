//! Reads and watches a directory of server files, on a thread of its own, so that reading and parsing never hold up
//! the routing loop. The system's change notifications are only hints to read the directory again: the files' content
//! decides, and polling finds the changes for which no hint came.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use notify::{RecommendedWatcher, RecursiveMode, Watcher as _};

use super::{ListHandle, ListMessage};
use crate::documents::operator::Watched;
use crate::documents::read::Source;
use crate::documents::seal;
use crate::documents::servers::{self, MANIFEST};
use crate::membership::{Digest, Location, Manifest, Reason, Refusal, Scan, SetFile};

/// The extension of the files that are read.
const EXTENSION: &str = "kdl";
/// Hints come in bursts. The directory is read once for a whole burst, when no hint has come for this long.
const HINT_QUIET_PERIOD: Duration = Duration::from_millis(2);
/// The longest that a read is put off by hints that keep coming.
const MAX_HINT_DELAY: Duration = Duration::from_millis(20);

/// The result of parsing each file, by its name, with the digest of the content that was parsed.
type ParseCache<T> = BTreeMap<String, (Digest, Result<T, Refusal>)>;

/// A directory of server files. The result of parsing a file is kept for as long as the file's content stays the same.
pub struct Directory {
    path: PathBuf,
    max_bytes: u64,
    files: ParseCache<Arc<SetFile>>,
    manifest: ParseCache<Manifest>,
}

/// Returns the reason to refuse a file that can't be read.
fn unreadable(error: &io::Error) -> Reason {
    Reason::Unreadable(error.to_string())
}

impl Directory {
    /// Creates a directory that has not been read yet. Files of more than `max_bytes` bytes are refused.
    pub fn new(path: impl Into<PathBuf>, max_bytes: u64) -> Self {
        let (files, manifest) = (BTreeMap::new(), BTreeMap::new());
        Directory { path: path.into(), max_bytes, files, manifest }
    }

    /// Reads the directory and parses the files that have changed since the last scan.
    pub fn scan(&mut self) -> Scan {
        let mut scan = Scan::default();
        let names = match self.names() {
            Ok(names) => names,
            Err(error) => {
                let place = Location::whole_file(self.path.display().to_string());
                scan.files.push(Err(Refusal::new(unreadable(&error), place)));
                return scan;
            }
        };
        self.files.retain(|name, _| names.contains(name));
        for name in names {
            let source = read(&self.path.join(&name), &name, self.max_bytes);
            if name == MANIFEST {
                scan.manifest = Some(parse_cached(&mut self.manifest, name, source, servers::parse_manifest));
            } else {
                let parse = |source: &Source| servers::parse(source).map(Arc::new);
                scan.files.push(parse_cached(&mut self.files, name, source, parse));
            }
        }
        scan
    }

    /// Returns the names of the files to read, in order.
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            // A name that begins with a dot is a file that is still being written, by an editor or a copying program.
            if Path::new(&name).extension().is_some_and(|e| e == EXTENSION) && !name.starts_with('.') {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    /// Returns the device and inode that the path leads to, through symbolic links.
    fn identity(&self) -> Option<(u64, u64)> {
        fs::metadata(&self.path).ok().map(|data| (data.dev(), data.ino()))
    }
}

/// Reads one whole file. A file of more than `max_bytes` bytes is refused.
pub fn read(path: &Path, name: &str, max_bytes: u64) -> Result<Source, Refusal> {
    let refuse = |reason| Refusal::new(reason, Location::whole_file(name));
    let bytes = || -> io::Result<Vec<u8>> {
        // Reading a pipe could block the thread for ever.
        if !fs::metadata(path)?.is_file() {
            return Err(io::Error::other("it is not a regular file"));
        }
        let mut bytes = Vec::new();
        File::open(path)?.take(max_bytes.saturating_add(1)).read_to_end(&mut bytes)?;
        Ok(bytes)
    };
    let bytes = bytes().map_err(|error| refuse(unreadable(&error)))?;
    if bytes.len() as u64 > max_bytes {
        return Err(refuse(Reason::TooLarge(max_bytes)));
    }
    let text = String::from_utf8(bytes).map_err(|_| refuse(Reason::NotUtf8))?;
    Ok(Source::new(name, text))
}

/// Parses a file, or returns the cached result if its content has not changed.
fn parse_cached<T: Clone>(
    cache: &mut ParseCache<T>,
    name: String,
    source: Result<Source, Refusal>,
    parse: impl Fn(&Source) -> Result<T, Refusal>,
) -> Result<T, Refusal> {
    let source = source?;
    let digest = seal::digest(source.text.as_bytes());
    match cache.get(&name) {
        Some((cached_digest, parsed)) if *cached_digest == digest => parsed.clone(),
        _ => {
            let parsed = parse(&source);
            cache.insert(name, (digest, parsed.clone()));
            parsed
        }
    }
}

/// Watches a directory for as long as the list's actor runs, on a thread of its own. Only scans that differ from the
/// one before are passed on; the first is compared with `last_scan`.
pub fn watch(watched: &Watched, directory: Directory, last_scan: Scan, list: ListHandle) -> io::Result<()> {
    let poll = watched.poll;
    let thread = std::thread::Builder::new().name("birchspur-files".into());
    thread.spawn(move || DirectoryWatcher::new(directory).run(poll, last_scan, &list)).map(drop)
}

/// Receives the system's hints, and reads the directory upon them.
struct DirectoryWatcher {
    directory: Directory,
    hints: Receiver<()>,
    /// Kept here, and cloned for each new watcher.
    hint_sender: Sender<()>,
    watcher: Option<RecommendedWatcher>,
    /// Device and inode of the directory that is watched.
    watched_identity: Option<(u64, u64)>,
}

impl DirectoryWatcher {
    fn new(directory: Directory) -> Self {
        let (hint_sender, hints) = channel();
        DirectoryWatcher { directory, hints, hint_sender, watcher: None, watched_identity: None }
    }

    fn run(mut self, poll: Duration, mut last_scan: Scan, list: &ListHandle) {
        loop {
            self.watch_current_directory();
            let scan = self.directory.scan();
            if scan != last_scan {
                last_scan = scan.clone();
                if !list.send_from_thread(ListMessage::Scan(scan)) {
                    return;
                }
            }
            match self.hints.recv_timeout(poll) {
                Ok(()) => self.coalesce_hints(),
                Err(RecvTimeoutError::Timeout) => {}
                // The hints' senders are gone, so only polling goes on.
                Err(RecvTimeoutError::Disconnected) => std::thread::sleep(poll),
            }
            if list.0.is_closed() {
                return;
            }
        }
    }

    /// Waits for the end of a burst of hints, up to a limit.
    fn coalesce_hints(&self) {
        let until = Instant::now() + MAX_HINT_DELAY;
        while Instant::now() < until && self.hints.recv_timeout(HINT_QUIET_PERIOD).is_ok() {}
    }

    /// Makes sure that the directory to which the path leads now is the one that is watched. A directory that has been
    /// put in place of another is known by its device and inode.
    fn watch_current_directory(&mut self) {
        let identity = self.directory.identity();
        if identity == self.watched_identity && (self.watcher.is_some() || identity.is_none()) {
            return;
        }
        self.watched_identity = identity;
        let hint_sender = self.hint_sender.clone();
        let hint = move |event: notify::Result<notify::Event>| {
            // Reading the directory causes access events, which would make it be read again without end.
            if event.is_ok_and(|event| !event.kind.is_access()) {
                let _ = hint_sender.send(());
            }
        };
        self.watcher = notify::recommended_watcher(hint).ok().and_then(|mut watcher| {
            watcher.watch(&self.directory.path, RecursiveMode::NonRecursive).ok()?;
            // When a directory is put in place of another, the event comes from their parent directory.
            let parent = self.directory.path.parent().filter(|path| !path.as_os_str().is_empty());
            if let Some(parent) = parent {
                let _ = watcher.watch(parent, RecursiveMode::NonRecursive);
            }
            Some(watcher)
        });
        if self.watcher.is_none() && identity.is_some() {
            tracing::warn!(path = %self.directory.path.display(), "the directory can't be watched for changes; they are found by polling only");
        }
    }
}
