//! `birchspur servers`: check, diff, seal and show files of servers.

use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::Args;

use super::{Verdict, check, complain, print, show, source, within};
use crate::documents::seal;
use crate::documents::servers::{self, MANIFEST};
use crate::interface::Role;
use crate::membership::diff::{Change, diff};
use crate::membership::guard::{FilesByZone, unconfirmed_losses};
use crate::membership::intake::Intake;
use crate::membership::refusal::role_name;
use crate::membership::{Catalog, Reason, Refusal, check as agree};
use crate::transport::list::files::Directory;
use crate::transport::list::{age, keep};

/// The largest file where no operator's document says another size.
const MOST_BYTES: u64 = 16 << 20;

#[derive(Debug, clap::Subcommand)]
pub(super) enum Command {
    /// Check a directory of files of servers
    ///
    /// Exit status: 0 if it would be taken, 1 if something would be refused, 2 if it can't be read.
    Check {
        /// The directory
        directory: PathBuf,
        #[command(flatten)]
        known: Known,
    },
    /// Tell what one set does to another: who joins, leaves or weighs more, and the share of weight that moves
    Diff {
        /// The directory before
        before: PathBuf,
        /// The directory after
        after: PathBuf,
        #[command(flatten)]
        known: Known,
        /// The part of a role's weight that may leave at once; more gives exit status 1
        #[arg(long, default_value_t = 0.5, value_name = "PART")]
        leave_at_most: f64,
    },
    /// Write the seal that shows a file to be whole
    ///
    /// The new text is put in place by one rename. A sealed file is taken at once, one without a seal only
    /// when it has rested.
    Seal {
        /// The files
        #[arg(required_unless_present = "manifest")]
        files: Vec<PathBuf>,
        /// Seal all files of this directory, and write its manifest: they change as one
        #[arg(long, value_name = "DIR")]
        manifest: Option<PathBuf>,
    },
    /// Print the servers of a directory, or of the set that was kept
    Show {
        /// The directory
        #[arg(required_unless_present = "state")]
        directory: Option<PathBuf>,
        /// The state directory, in place of the files
        #[arg(long, value_name = "DIR", conflicts_with = "directory")]
        state: Option<PathBuf>,
    },
}

/// Where zones and kinds are known from.
#[derive(Debug, Args)]
pub(super) struct Known {
    /// The platform's configuration, for the zones and kinds; without it these are not checked
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
}

impl Known {
    fn catalog(&self) -> Result<Option<Catalog>, Verdict> {
        self.config.as_deref().map(|path| Ok(check::config(path)?.1)).transpose()
    }
}

/// Where no configuration is given, what the files name is taken as known. Kinds then count as both roles.
fn presumed(files: &FilesByZone) -> Catalog {
    let kinds: BTreeSet<String> =
        files.values().flat_map(|file| &file.servers).map(|server| server.kind.value.clone()).collect();
    let kinds = kinds.into_iter().map(|kind| (kind, Role::Mixed)).collect();
    Catalog { zones: files.keys().cloned().collect(), kinds, cells: None }
}

/// The files of a directory that are whole, and what is wrong with the others. Nothing waits here: a file
/// without a seal counts as whole.
fn load(directory: &Path, most_bytes: u64) -> (FilesByZone, Vec<Refusal>) {
    let scan = Directory::new(directory, most_bytes).scan();
    let found = Intake::default().examine(0, &scan, false, 0);
    (found.files, found.refusals)
}

fn show_all(directory: &Path, refusals: &[Refusal]) -> Verdict {
    for refusal in refusals {
        show(refusal, source(&within(directory, refusal)).ok().as_ref());
    }
    let unreadable = refusals.iter().any(|refusal| matches!(*refusal.reason, Reason::Unreadable(_)));
    match refusals {
        [] => Verdict::Good,
        _ if unreadable => Verdict::Unreadable,
        _ => Verdict::Refused,
    }
}

/// Checks a directory as the program would at its first start.
pub(super) fn check(directory: &Path, catalog: Option<&Catalog>, most_bytes: u64) -> Verdict {
    let (files, mut refusals) = load(directory, most_bytes);
    let presumed = presumed(&files);
    let catalog = catalog.unwrap_or(&presumed);
    refusals.extend(agree::contradictions(catalog, &files));
    if refusals.is_empty() {
        refusals = unconfirmed_losses(catalog, &FilesByZone::new(), &files, 1.0);
    }
    let verdict = show_all(directory, &refusals);
    if files.is_empty() && verdict == Verdict::Good {
        return complain(format!("{}: there are no files of servers (*.kdl)", directory.display()));
    }
    if verdict == Verdict::Good {
        let servers: usize = files.values().map(|file| file.servers.len()).sum();
        let bare = files.values().filter(|file| !file.sealed).count();
        let seals = if bare > 0 { format!(", {bare} without a seal") } else { String::new() };
        let zones = files.len();
        print(&format!("{}: good, {servers} servers in {zones} files{seals}\n", directory.display()));
    }
    verdict
}

/// The files of a directory that would be taken; what is wrong is shown.
pub(super) fn good(directory: &Path, catalog: &Catalog) -> Result<FilesByZone, Verdict> {
    let (files, mut refusals) = load(directory, MOST_BYTES);
    refusals.extend(agree::contradictions(catalog, &files));
    match show_all(directory, &refusals) {
        Verdict::Good if files.is_empty() => {
            Err(complain(format!("{}: there are no files of servers (*.kdl)", directory.display())))
        }
        Verdict::Good => Ok(files),
        verdict => Err(verdict),
    }
}

pub(super) fn run(command: Command) -> Verdict {
    match command {
        Command::Check { directory, known } => match known.catalog() {
            Ok(catalog) => check(&directory, catalog.as_ref(), MOST_BYTES),
            Err(verdict) => verdict,
        },
        Command::Diff { before, after, known, leave_at_most } => match known.catalog() {
            Ok(catalog) => compare(&before, &after, catalog, leave_at_most),
            Err(verdict) => verdict,
        },
        Command::Seal { files, manifest } => match (seal_all(&files, manifest.as_deref()), &manifest) {
            (Ok(()), _) => Verdict::Good,
            (Err(verdict), _) => verdict,
        },
        Command::Show { directory: Some(directory), .. } => {
            let (files, refusals) = load(&directory, MOST_BYTES);
            table(&files);
            show_all(&directory, &refusals)
        }
        Command::Show { state: Some(state), .. } => show_kept(&state),
        Command::Show { .. } => complain("give a directory, or --state"),
    }
}

fn words(change: &Change) -> String {
    match change {
        Change::Joins { weight } => format!("joins, weight {weight}"),
        Change::Leaves { weight } => format!("leaves, weight {weight}"),
        Change::Drains(true) => "drains".into(),
        Change::Drains(false) => "drains no more".into(),
        Change::Weight { before, after } => format!("weight {before} -> {after}"),
        Change::Moves { before, after } => format!("address {before} -> {after}: a new process, cold"),
        Change::Attribute(what) => format!("becomes {what}"),
    }
}

fn compare(before: &Path, after: &Path, catalog: Option<Catalog>, most: f64) -> Verdict {
    let ((old, old_refusals), (new, new_refusals)) = (load(before, MOST_BYTES), load(after, MOST_BYTES));
    let verdict = show_all(before, &old_refusals).max(show_all(after, &new_refusals));
    if verdict != Verdict::Good {
        return verdict;
    }
    let presumed = || {
        let (mut both, new) = (presumed(&old), presumed(&new));
        both.zones.extend(new.zones.into_iter().filter(|zone| !old.contains_key(zone)));
        let kinds: Vec<_> = new.kinds.into_iter().filter(|kind| !both.kinds.contains(kind)).collect();
        both.kinds.extend(kinds);
        both
    };
    let catalog = catalog.unwrap_or_else(presumed);
    let diff = diff(&catalog, &old, &new);
    for ((zone, id), changes) in &diff.changes {
        let changes: Vec<String> = changes.iter().map(words).collect();
        print(&format!("{zone}/{id}: {}\n", changes.join("; ")));
    }
    if diff.changes.is_empty() {
        print("no server changes\n");
        return Verdict::Good;
    }
    print("\nrole    data centre       weight before -> after    share of the role before -> after\n");
    for share in &diff.shares {
        print(&format!(
            "{:<7} {:<16} {:>9.2} -> {:<9.2} {:>15.1}% -> {:.1}%\n",
            role_name(share.role),
            share.zone,
            share.weight_before,
            share.weight_after,
            share.fraction_before * 100.0,
            share.fraction_after * 100.0
        ));
    }
    let mut refusals = agree::contradictions(&catalog, &new);
    for (zone, file) in &new {
        if let Some(held) = old.get(zone).filter(|held| held.digest != file.digest) {
            refusals.extend(agree::revision(file, held).err());
        }
    }
    refusals.extend(unconfirmed_losses(&catalog, &old, &new, most));
    show_all(after, &refusals)
}

/// Writes a text in the place of a file, whole.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let beside = path.with_file_name(format!(".{name}.new"));
    let mut file = fs::File::create(&beside)?;
    if let Ok(data) = fs::metadata(path) {
        file.set_permissions(data.permissions())?;
    }
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&beside, path)
}

fn seal_one(path: &Path) -> Result<(Arc<str>, crate::membership::Digest), Verdict> {
    let found = source(path).map_err(complain)?;
    // A seal that does not fit any more is no mistake here: it is what is to be written.
    let body = seal::unsealed(&found.text).unwrap_or(&found.text).to_string();
    let bare = crate::documents::Source::new(found.name.clone(), body);
    let file = match servers::parse(&bare) {
        Ok(file) => file,
        Err(refusal) => {
            show(&refusal, Some(&bare));
            return Err(Verdict::Refused);
        }
    };
    let text = seal::sealed(&bare.text, file.servers.len());
    replace(path, &text).map_err(|error| complain(format!("{}: {error}", path.display())))?;
    print(&format!("{}: sealed, {} servers\n", path.display(), file.servers.len()));
    let name = path.file_name().unwrap_or_default().to_string_lossy().as_ref().into();
    Ok((name, seal::digest(text.as_bytes())))
}

fn seal_all(files: &[PathBuf], manifest: Option<&Path>) -> Result<(), Verdict> {
    for file in files {
        seal_one(file)?;
    }
    let Some(directory) = manifest else { return Ok(()) };
    let mut paths = Vec::new();
    let entries = fs::read_dir(directory).map_err(|e| complain(format!("{}: {e}", directory.display())))?;
    for entry in entries {
        let path = entry.map_err(complain)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.extension().is_some_and(|e| e == "kdl") && name != MANIFEST && !name.starts_with('.') {
            paths.push(path);
        }
    }
    paths.sort();
    if paths.is_empty() {
        return Err(complain(format!("{}: there are no files of servers (*.kdl)", directory.display())));
    }
    let sealed = paths.iter().map(|path| seal_one(path)).collect::<Result<Vec<_>, _>>()?;
    let path = directory.join(MANIFEST);
    replace(&path, &servers::manifest(&sealed)).map_err(|e| complain(format!("{}: {e}", path.display())))?;
    print(&format!("{}: {} files change as one\n", path.display(), sealed.len()));
    Ok(())
}

fn table(files: &FilesByZone) {
    print("data centre      server           kind         cell  weight  state       address\n");
    for (zone, file) in files {
        for server in &file.servers {
            let state = if server.draining { "draining" } else { "in-service" };
            print(&format!(
                "{zone:<16} {:<16} {:<12} {:>4}  {:>6}  {state:<10}  {}\n",
                server.id.value,
                server.kind.value,
                server.cell.value,
                server.weight.value,
                server.address.value
            ));
        }
    }
    for (zone, file) in files {
        let seal = if file.sealed { "sealed" } else { "no seal" };
        print(&format!("{zone}: revision {}, {seal}, {}\n", file.revision.value, file.name));
    }
}

fn show_kept(state: &Path) -> Verdict {
    let kept = match keep::load(state) {
        Ok(Some(kept)) => kept,
        Ok(None) => return complain(format!("{}: no set was kept here", state.display())),
        Err(error) => return complain(error),
    };
    match kept.sets() {
        Ok(sets) => {
            let files = sets.into_iter().map(|file| (file.zone.value.clone(), Arc::new(file))).collect();
            print(&format!("generation {}, kept {} ago\n", kept.generation, age(kept.unix_s)));
            table(&files);
            Verdict::Good
        }
        Err(error) => complain(error),
    }
}
