//! Reads and watches a directory of files of servers, on a thread of its own: reading and parsing never hold
//! up the routing loop. What the system tells of changes is only a hint to read again; the content decides,
//! and a poll finds what no hint told.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use notify::{RecommendedWatcher, RecursiveMode, Watcher as _};

use super::{ListHandle, News};
use crate::documents::operator::Watched;
use crate::documents::read::Source;
use crate::documents::seal;
use crate::documents::servers::{self, MANIFEST};
use crate::membership::{Digest, Location, Manifest, Reason, Refusal, Scan, SetFile};

/// The ending of files that are read.
const ENDING: &str = "kdl";
/// Hints come in bursts: so much later the directory is read once for all of them.
const GATHER: Duration = Duration::from_millis(2);
/// While hints never cease, the directory is still read this often.
const GATHER_MOST: Duration = Duration::from_millis(20);

/// What was made of each file by its name, with the digest of its content.
type Made<T> = BTreeMap<String, (Digest, Result<T, Refusal>)>;

/// A directory as it is read: what a file declares is kept for as long as its content stays the same.
pub struct Directory {
    path: PathBuf,
    most_bytes: u64,
    files: Made<Arc<SetFile>>,
    manifest: Made<Manifest>,
}

/// Why a file has no content.
fn unreadable(error: &io::Error) -> Reason {
    Reason::Unreadable(error.to_string())
}

impl Directory {
    /// A directory that was not read yet.
    pub fn new(path: impl Into<PathBuf>, most_bytes: u64) -> Self {
        let (files, manifest) = (BTreeMap::new(), BTreeMap::new());
        Directory { path: path.into(), most_bytes, files, manifest }
    }

    /// Reads the directory.
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
            let source = read(&self.path.join(&name), &name, self.most_bytes);
            if name == MANIFEST {
                scan.manifest = Some(recall(&mut self.manifest, name, source, servers::parse_manifest));
            } else {
                let parse = |source: &Source| servers::parse(source).map(Arc::new);
                scan.files.push(recall(&mut self.files, name, source, parse));
            }
        }
        scan
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            // What begins with a dot is on its way: editors and copying programs write there first.
            if Path::new(&name).extension().is_some_and(|e| e == ENDING) && !name.starts_with('.') {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    /// The device and inode that the path leads to, through symbolic links.
    fn identity(&self) -> Option<(u64, u64)> {
        fs::metadata(&self.path).ok().map(|data| (data.dev(), data.ino()))
    }
}

/// Reads one file whole.
pub fn read(path: &Path, name: &str, most_bytes: u64) -> Result<Source, Refusal> {
    let refuse = |reason| Refusal::new(reason, Location::whole_file(name));
    let bytes = || -> io::Result<Vec<u8>> {
        // A pipe would hold the thread up for good.
        if !fs::metadata(path)?.is_file() {
            return Err(io::Error::other("it is no regular file"));
        }
        let mut bytes = Vec::new();
        File::open(path)?.take(most_bytes.saturating_add(1)).read_to_end(&mut bytes)?;
        Ok(bytes)
    };
    let bytes = bytes().map_err(|error| refuse(unreadable(&error)))?;
    if bytes.len() as u64 > most_bytes {
        return Err(refuse(Reason::TooLarge(most_bytes)));
    }
    let text = String::from_utf8(bytes).map_err(|_| refuse(Reason::NotUtf8))?;
    Ok(Source::new(name, text))
}

/// Parses a content that is new, and recalls what was made of one that is not.
fn recall<T: Clone>(
    known: &mut Made<T>,
    name: String,
    source: Result<Source, Refusal>,
    parse: impl Fn(&Source) -> Result<T, Refusal>,
) -> Result<T, Refusal> {
    let source = source?;
    let digest = seal::digest(source.text.as_bytes());
    match known.get(&name) {
        Some((same, parsed)) if *same == digest => parsed.clone(),
        _ => {
            let parsed = parse(&source);
            known.insert(name, (digest, parsed.clone()));
            parsed
        }
    }
}

/// Watches a directory for as long as its list listens; what was scanned before is passed over.
pub fn watch(watched: &Watched, directory: Directory, last: Scan, list: ListHandle) -> io::Result<()> {
    let poll = watched.poll;
    let thread = std::thread::Builder::new().name("birchspur-files".into());
    thread.spawn(move || Eye::new(directory).run(poll, last, &list)).map(drop)
}

/// What hears the system's hints.
struct Eye {
    directory: Directory,
    hints: Receiver<()>,
    tell: Sender<()>,
    watcher: Option<RecommendedWatcher>,
    seen: Option<(u64, u64)>,
}

impl Eye {
    fn new(directory: Directory) -> Self {
        let (tell, hints) = channel();
        Eye { directory, hints, tell, watcher: None, seen: None }
    }

    fn run(mut self, poll: Duration, mut last: Scan, list: &ListHandle) {
        loop {
            self.aim();
            let scan = self.directory.scan();
            if scan != last {
                last = scan.clone();
                if !list.send_from_thread(News::Scan(scan)) {
                    return;
                }
            }
            match self.hints.recv_timeout(poll) {
                Ok(()) => self.gather(),
                Err(RecvTimeoutError::Timeout) => {}
                // The watcher has failed: the poll goes on alone.
                Err(RecvTimeoutError::Disconnected) => std::thread::sleep(poll),
            }
            if list.0.is_closed() {
                return;
            }
        }
    }

    /// Takes the hints of one burst together.
    fn gather(&self) {
        let until = Instant::now() + GATHER_MOST;
        while Instant::now() < until && self.hints.recv_timeout(GATHER).is_ok() {}
    }

    /// Watches the directory that the path leads to now; one that was put in its place has another identity.
    fn aim(&mut self) {
        let identity = self.directory.identity();
        if identity == self.seen && (self.watcher.is_some() || identity.is_none()) {
            return;
        }
        self.seen = identity;
        let tell = self.tell.clone();
        let hint = move |event: notify::Result<notify::Event>| {
            // Reading makes events of its own, which would never cease.
            if event.is_ok_and(|event| !event.kind.is_access()) {
                let _ = tell.send(());
            }
        };
        self.watcher = notify::recommended_watcher(hint).ok().and_then(|mut watcher| {
            watcher.watch(&self.directory.path, RecursiveMode::NonRecursive).ok()?;
            // A directory that is put in place of another shows in its parent.
            let parent = self.directory.path.parent().filter(|path| !path.as_os_str().is_empty());
            if let Some(parent) = parent {
                let _ = watcher.watch(parent, RecursiveMode::NonRecursive);
            }
            Some(watcher)
        });
        if self.watcher.is_none() && identity.is_some() {
            tracing::warn!(path = %self.directory.path.display(), "no hints of changes: only the poll sees them");
        }
    }
}
