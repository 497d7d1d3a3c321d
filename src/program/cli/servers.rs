//! `birchspur servers`: checks, compares, seals and shows server files.

use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::Args;

use super::{Verdict, check, complain, print, refused_path, show, source};
use crate::documents::seal;
use crate::documents::servers::{self, MANIFEST};
use crate::interface::Role;
use crate::membership::diff::{Change, diff};
use crate::membership::guard::{FilesByZone, unconfirmed_losses};
use crate::membership::intake::Intake;
use crate::membership::refusal::role_name;
use crate::membership::{Catalog, Reason, Refusal, check as set_check};
use crate::transport::list::files::Directory;
use crate::transport::list::{age, keep};

/// The largest size of a file that is read, if no operator's document sets another.
const DEFAULT_MAX_FILE_BYTES: u64 = 16 << 20;

#[derive(Debug, clap::Subcommand)]
pub(super) enum Command {
    /// Check a directory of server files
    ///
    /// Exit status: 0 if it would be accepted, 1 if something would be refused, 2 if it can't be read.
    Check {
        /// The directory
        directory: PathBuf,
        #[command(flatten)]
        known: Known,
    },
    /// Compare two sets: print which servers join, leave or change their weight, and the share of weight that moves
    Diff {
        /// The directory with the old set
        before: PathBuf,
        /// The directory with the new set
        after: PathBuf,
        #[command(flatten)]
        known: Known,
        /// The share of a role's weight that may leave at once; if more would leave, the exit status is 1
        #[arg(long, default_value_t = 0.5, value_name = "PART")]
        leave_at_most: f64,
    },
    /// Write the seal that shows a file to be complete
    ///
    /// The file is replaced atomically by a rename. The program accepts a sealed file at once, but one without a
    /// seal only after it has not changed for a while.
    Seal {
        /// The files
        #[arg(required_unless_present = "manifest")]
        files: Vec<PathBuf>,
        /// Seal all files of this directory and write its manifest, by which they change as one
        #[arg(long, value_name = "DIR")]
        manifest: Option<PathBuf>,
    },
    /// Print the servers of a directory, or of the saved set
    Show {
        /// The directory
        #[arg(required_unless_present = "state")]
        directory: Option<PathBuf>,
        /// The state directory, whose saved set is printed instead of the files
        #[arg(long, value_name = "DIR", conflicts_with = "directory")]
        state: Option<PathBuf>,
    },
}

/// The source of the known zones and kinds.
#[derive(Debug, Args)]
pub(super) struct Known {
    /// The platform's configuration, for the zones and kinds; without it these are not checked
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
}

impl Known {
    /// Returns the catalog of the configuration, if one is given.
    fn catalog(&self) -> Result<Option<Catalog>, Verdict> {
        self.config.as_deref().map(|path| Ok(check::config(path)?.1)).transpose()
    }
}

/// Returns a catalog of what the files name, for use without a configuration. Each kind counts as both roles.
fn presumed_catalog(files: &FilesByZone) -> Catalog {
    let kinds: BTreeSet<String> =
        files.values().flat_map(|file| &file.servers).map(|server| server.kind.value.clone()).collect();
    let kinds = kinds.into_iter().map(|kind| (kind, Role::Mixed)).collect();
    Catalog { zones: files.keys().cloned().collect(), kinds, cells: None }
}

/// Loads the complete files of a directory, and the refusals of the others. A file without a seal counts as complete
/// without a wait.
fn load(directory: &Path, max_bytes: u64) -> (FilesByZone, Vec<Refusal>) {
    let scan = Directory::new(directory, max_bytes).scan();
    let intake = Intake::default().examine(0, &scan, false, 0);
    (intake.files, intake.refusals)
}

/// Prints all refusals, and returns the verdict that follows from them.
fn show_all(directory: &Path, refusals: &[Refusal]) -> Verdict {
    for refusal in refusals {
        show(refusal, source(&refused_path(directory, refusal)).ok().as_ref());
    }
    let unreadable = refusals.iter().any(|refusal| matches!(*refusal.reason, Reason::Unreadable(_)));
    match refusals {
        [] => Verdict::Good,
        _ if unreadable => Verdict::Unreadable,
        _ => Verdict::Refused,
    }
}

/// Checks a directory as the program would at its first start.
pub(super) fn check(directory: &Path, catalog: Option<&Catalog>, max_bytes: u64) -> Verdict {
    let (files, mut refusals) = load(directory, max_bytes);
    let presumed = presumed_catalog(&files);
    let catalog = catalog.unwrap_or(&presumed);
    refusals.extend(set_check::contradictions(catalog, &files));
    if refusals.is_empty() {
        refusals = unconfirmed_losses(catalog, &FilesByZone::new(), &files, 1.0);
    }
    let verdict = show_all(directory, &refusals);
    if files.is_empty() && verdict == Verdict::Good {
        return complain(format!("{}: there are no server files (*.kdl)", directory.display()));
    }
    if verdict == Verdict::Good {
        let servers: usize = files.values().map(|file| file.servers.len()).sum();
        let unsealed = files.values().filter(|file| !file.sealed).count();
        let seals = if unsealed > 0 { format!(", {unsealed} without a seal") } else { String::new() };
        let file_count = files.len();
        print(&format!("{}: good, {servers} servers in {file_count} files{seals}\n", directory.display()));
    }
    verdict
}

/// Returns the files of a directory if all are valid. Otherwise prints what is wrong.
pub(super) fn valid_files(directory: &Path, catalog: &Catalog) -> Result<FilesByZone, Verdict> {
    let (files, mut refusals) = load(directory, DEFAULT_MAX_FILE_BYTES);
    refusals.extend(set_check::contradictions(catalog, &files));
    match show_all(directory, &refusals) {
        Verdict::Good if files.is_empty() => {
            Err(complain(format!("{}: there are no server files (*.kdl)", directory.display())))
        }
        Verdict::Good => Ok(files),
        verdict => Err(verdict),
    }
}

/// Runs the command.
pub(super) fn run(command: Command) -> Verdict {
    match command {
        Command::Check { directory, known } => match known.catalog() {
            Ok(catalog) => check(&directory, catalog.as_ref(), DEFAULT_MAX_FILE_BYTES),
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
            let (files, refusals) = load(&directory, DEFAULT_MAX_FILE_BYTES);
            print_table(&files);
            show_all(&directory, &refusals)
        }
        Command::Show { state: Some(state), .. } => show_saved_set(&state),
        Command::Show { .. } => complain("give a directory, or --state"),
    }
}

/// Describes a change of a server.
fn describe(change: &Change) -> String {
    match change {
        Change::Joins { weight } => format!("joins, weight {weight}"),
        Change::Leaves { weight } => format!("leaves, weight {weight}"),
        Change::Drains(true) => "drains".into(),
        Change::Drains(false) => "no longer drains".into(),
        Change::Weight { before, after } => format!("weight {before} -> {after}"),
        Change::Moves { before, after } => format!("address {before} -> {after}: a new process, cold"),
        Change::Attribute(what) => format!("becomes {what}"),
    }
}

/// Compares two directories. Refuses the new set if more than the share `leave_at_most` of a role's weight would
/// leave.
fn compare(before: &Path, after: &Path, catalog: Option<Catalog>, leave_at_most: f64) -> Verdict {
    let ((old, old_refusals), (new, new_refusals)) =
        (load(before, DEFAULT_MAX_FILE_BYTES), load(after, DEFAULT_MAX_FILE_BYTES));
    let verdict = show_all(before, &old_refusals).max(show_all(after, &new_refusals));
    if verdict != Verdict::Good {
        return verdict;
    }
    let presumed = || {
        let (mut both, new) = (presumed_catalog(&old), presumed_catalog(&new));
        both.zones.extend(new.zones.into_iter().filter(|zone| !old.contains_key(zone)));
        let kinds: Vec<_> = new.kinds.into_iter().filter(|kind| !both.kinds.contains(kind)).collect();
        both.kinds.extend(kinds);
        both
    };
    let catalog = catalog.unwrap_or_else(presumed);
    let diff = diff(&catalog, &old, &new);
    for ((zone, id), changes) in &diff.changes {
        let changes: Vec<String> = changes.iter().map(describe).collect();
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
    let mut refusals = set_check::contradictions(&catalog, &new);
    for (zone, file) in &new {
        if let Some(old_file) = old.get(zone).filter(|old_file| old_file.digest != file.digest) {
            refusals.extend(set_check::revision(file, old_file).err());
        }
    }
    refusals.extend(unconfirmed_losses(&catalog, &old, &new, leave_at_most));
    show_all(after, &refusals)
}

/// Replaces a file atomically: writes the text to a new file next to it, and renames that.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let new_path = path.with_file_name(format!(".{name}.new"));
    let mut file = fs::File::create(&new_path)?;
    if let Ok(data) = fs::metadata(path) {
        file.set_permissions(data.permissions())?;
    }
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&new_path, path)
}

/// Seals a file. Returns its name and its new digest.
fn seal_file(path: &Path) -> Result<(Arc<str>, crate::membership::Digest), Verdict> {
    let original = source(path).map_err(complain)?;
    // An outdated seal is not an error here, as a new one is about to be written.
    let body = seal::unsealed(&original.text).unwrap_or(&original.text).to_string();
    let unsealed = crate::documents::Source::new(original.name.clone(), body);
    let file = match servers::parse(&unsealed) {
        Ok(file) => file,
        Err(refusal) => {
            show(&refusal, Some(&unsealed));
            return Err(Verdict::Refused);
        }
    };
    let text = seal::sealed(&unsealed.text, file.servers.len());
    replace(path, &text).map_err(|error| complain(format!("{}: {error}", path.display())))?;
    print(&format!("{}: sealed, {} servers\n", path.display(), file.servers.len()));
    let name = path.file_name().unwrap_or_default().to_string_lossy().as_ref().into();
    Ok((name, seal::digest(text.as_bytes())))
}

/// Seals the files, and those of the directory `manifest` with their manifest.
fn seal_all(files: &[PathBuf], manifest: Option<&Path>) -> Result<(), Verdict> {
    for file in files {
        seal_file(file)?;
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
        return Err(complain(format!("{}: there are no server files (*.kdl)", directory.display())));
    }
    let sealed = paths.iter().map(|path| seal_file(path)).collect::<Result<Vec<_>, _>>()?;
    let path = directory.join(MANIFEST);
    replace(&path, &servers::manifest(&sealed)).map_err(|e| complain(format!("{}: {e}", path.display())))?;
    print(&format!("{}: {} files change as one\n", path.display(), sealed.len()));
    Ok(())
}

/// Prints a table of the servers, and the revision of each file.
fn print_table(files: &FilesByZone) {
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

/// Prints the servers of the saved set.
fn show_saved_set(state: &Path) -> Verdict {
    let saved = match keep::load(state) {
        Ok(Some(saved)) => saved,
        Ok(None) => return complain(format!("{}: there is no saved set", state.display())),
        Err(error) => return complain(error),
    };
    match saved.sets() {
        Ok(sets) => {
            let files = sets.into_iter().map(|file| (file.zone.value.clone(), Arc::new(file))).collect();
            print(&format!("generation {}, saved {} ago\n", saved.generation, age(saved.unix_s)));
            print_table(&files);
            Verdict::Good
        }
        Err(error) => complain(error),
    }
}
