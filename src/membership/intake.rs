//! Is it whole? Which of the files that a scan found may be looked at, and which wait or are refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::refusal::{Reason, Refusal};
use super::set::{Digest, Location, Scan, SetFile};
use crate::interface::Micros;

/// Since when each file without a seal has been as it is.
#[derive(Debug, Default)]
pub struct Intake {
    since: BTreeMap<Arc<str>, (Digest, Micros)>,
}

/// What an intake finds.
#[derive(Debug, Default)]
pub struct IntakeResult {
    /// The files that are whole, by data centre.
    pub files: BTreeMap<String, Arc<SetFile>>,
    /// What was refused or waits.
    pub refusals: Vec<Refusal>,
    /// Nothing of the scan may be taken.
    pub blocked: bool,
    /// When the first of the files that rest may be taken.
    pub quiet_period_ends_at: Option<Micros>,
}

impl Intake {
    /// A file with a seal is whole. One without may be cut off between two nodes and still read well: it is
    /// taken when it has stood unchanged for `rest`.
    fn rested(&mut self, now: Micros, name: &Arc<str>, digest: Digest, rest: Micros) -> Result<(), Micros> {
        let seen = self.since.entry(name.clone()).or_insert((digest, now));
        if seen.0 != digest {
            *seen = (digest, now);
        }
        let at = seen.1.saturating_add(rest);
        if now >= at { Ok(()) } else { Err(at) }
    }

    /// Looks a scan through. `manifest_seen`: there was a manifest before, so that the files change as one.
    pub fn examine(&mut self, now: Micros, scan: &Scan, manifest_seen: bool, rest: Micros) -> IntakeResult {
        let mut found = IntakeResult::default();
        let present: Vec<&Arc<str>> = scan.files.iter().flatten().map(|file| &file.name).collect();
        let manifest_name = scan.manifest.iter().flatten().map(|manifest| &manifest.name);
        let all: Vec<&Arc<str>> = present.into_iter().chain(manifest_name).collect();
        self.since.retain(|name, _| all.contains(&name));
        match &scan.manifest {
            Some(_) => self.by_manifest(now, scan, rest, &mut found),
            None if manifest_seen => {
                found.refuse(Reason::ManifestMissing, Location::whole_file("manifest.kdl"));
                found.blocked = true;
            }
            None => self.one_by_one(now, scan, rest, &mut found),
        }
        found
    }

    /// Each file is a set of its own.
    fn one_by_one(&mut self, now: Micros, scan: &Scan, rest: Micros, found: &mut IntakeResult) {
        let mut twice = Vec::new();
        for file in &scan.files {
            let file = match file {
                Ok(file) => file,
                Err(refusal) => {
                    found.refusals.push(refusal.clone());
                    continue;
                }
            };
            let zone = &file.zone.value;
            if let Some(other) = found.files.get(zone) {
                let reason = Reason::DuplicateZone(zone.clone());
                let other = Some(other.zone.location.clone());
                found.refusals.push(Refusal::with_related(reason, file.zone.location.clone(), other));
                twice.push(zone.clone());
            }
            found.files.insert(zone.clone(), file.clone());
        }
        for zone in twice {
            found.files.remove(&zone);
        }
        let waiting: Vec<(String, Arc<SetFile>)> =
            found.files.iter().filter(|(_, f)| !f.sealed).map(|(z, f)| (z.clone(), f.clone())).collect();
        for (zone, file) in waiting {
            if let Err(at) = self.rested(now, &file.name, file.digest, rest) {
                found.files.remove(&zone);
                found.rest_until(at, file.zone.location.clone());
            }
        }
    }

    /// All that the manifest names, each as it says, or nothing.
    fn by_manifest(&mut self, now: Micros, scan: &Scan, rest: Micros, found: &mut IntakeResult) {
        let manifest = match &scan.manifest {
            Some(Ok(manifest)) => manifest,
            Some(Err(refusal)) => {
                found.refusals.push(refusal.clone());
                found.blocked = true;
                return;
            }
            None => return,
        };
        for (name, expected) in &manifest.files {
            let file = scan.files.iter().flatten().find(|file| *file.name == *name.value);
            let Some(file) = file else {
                found.refuse(Reason::ManifestFileMissing(name.value.clone()), name.location.clone());
                let why = scan.files.iter().filter_map(|f| f.as_ref().err());
                found.refusals.extend(why.filter(|r| *r.location.file == *name.value).cloned());
                continue;
            };
            if file.digest != *expected {
                let (file, file_digest) = (name.value.clone(), file.digest);
                let reason = Reason::DigestMismatch { file, digest: file_digest, expected: *expected };
                found.refuse(reason, name.location.clone());
            } else if let Some(other) = found.files.insert(file.zone.value.clone(), file.clone()) {
                let reason = Reason::DuplicateZone(file.zone.value.clone());
                let other = Some(other.zone.location.clone());
                found.refusals.push(Refusal::with_related(reason, file.zone.location.clone(), other));
            }
        }
        found.blocked = !found.refusals.is_empty();
        if !manifest.sealed
            && let Err(at) = self.rested(now, &manifest.name, manifest.digest, rest)
        {
            found.blocked = true;
            found.rest_until(at, Location::whole_file(manifest.name.clone()));
        }
    }
}

impl IntakeResult {
    fn refuse(&mut self, reason: Reason, place: Location) {
        self.refusals.push(Refusal::new(reason, place));
    }

    fn rest_until(&mut self, at: Micros, place: Location) {
        self.quiet_period_ends_at = Some(self.quiet_period_ends_at.map_or(at, |first| first.min(at)));
        self.refuse(Reason::AwaitingQuietPeriod, place);
    }
}
