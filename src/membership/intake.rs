//! Decides which files of a scan are complete and may be checked, and which have to wait or are refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::refusal::{Reason, Refusal};
use super::set::{Digest, Location, Scan, SetFile};
use crate::interface::Micros;

/// Admits the files of scans; for each file without a seal it knows since when the content is unchanged.
#[derive(Debug, Default)]
pub struct Intake {
    unchanged_since: BTreeMap<Arc<str>, (Digest, Micros)>,
}

/// The result of examining one scan.
#[derive(Debug, Default)]
pub struct IntakeResult {
    /// The complete files, by data centre.
    pub files: BTreeMap<String, Arc<SetFile>>,
    /// The refusals, also of files that have to wait.
    pub refusals: Vec<Refusal>,
    /// True if no file of the scan may be accepted.
    pub blocked: bool,
    /// When the first of the waiting files may be accepted.
    pub quiet_period_ends_at: Option<Micros>,
}

impl Intake {
    /// Checks that a file without a seal has been unchanged for the quiet period; if not, returns when it
    /// will have been. Such a file may be truncated between two nodes and still parse, whereas a sealed one
    /// is known to be complete.
    fn check_quiet_period(
        &mut self,
        now: Micros,
        name: &Arc<str>,
        digest: Digest,
        quiet_period: Micros,
    ) -> Result<(), Micros> {
        let entry = self.unchanged_since.entry(name.clone()).or_insert((digest, now));
        if entry.0 != digest {
            *entry = (digest, now);
        }
        let ends_at = entry.1.saturating_add(quiet_period);
        if now >= ends_at { Ok(()) } else { Err(ends_at) }
    }

    /// Examines a scan. `manifest_seen` says that an earlier set had a manifest, so that its files change
    /// only together and a scan without a manifest is refused.
    pub fn examine(
        &mut self,
        now: Micros,
        scan: &Scan,
        manifest_seen: bool,
        quiet_period: Micros,
    ) -> IntakeResult {
        let mut result = IntakeResult::default();
        let file_names: Vec<&Arc<str>> = scan.files.iter().flatten().map(|file| &file.name).collect();
        let manifest_name = scan.manifest.iter().flatten().map(|manifest| &manifest.name);
        let tracked_names: Vec<&Arc<str>> = file_names.into_iter().chain(manifest_name).collect();
        self.unchanged_since.retain(|name, _| tracked_names.contains(&name));
        match &scan.manifest {
            Some(_) => self.admit_by_manifest(now, scan, quiet_period, &mut result),
            None if manifest_seen => {
                result.refuse(Reason::ManifestMissing, Location::whole_file("manifest.kdl"));
                result.blocked = true;
            }
            None => self.admit_individually(now, scan, quiet_period, &mut result),
        }
        result
    }

    /// Admits each file independently of the others.
    fn admit_individually(
        &mut self,
        now: Micros,
        scan: &Scan,
        quiet_period: Micros,
        result: &mut IntakeResult,
    ) {
        let mut duplicate_zones = Vec::new();
        for file in &scan.files {
            let file = match file {
                Ok(file) => file,
                Err(refusal) => {
                    result.refusals.push(refusal.clone());
                    continue;
                }
            };
            let zone = &file.zone.value;
            if let Some(other) = result.files.get(zone) {
                let reason = Reason::DuplicateZone(zone.clone());
                let other = Some(other.zone.location.clone());
                result.refusals.push(Refusal::with_related(reason, file.zone.location.clone(), other));
                duplicate_zones.push(zone.clone());
            }
            result.files.insert(zone.clone(), file.clone());
        }
        for zone in duplicate_zones {
            result.files.remove(&zone);
        }
        let waiting: Vec<(String, Arc<SetFile>)> =
            result.files.iter().filter(|(_, f)| !f.sealed).map(|(z, f)| (z.clone(), f.clone())).collect();
        for (zone, file) in waiting {
            if let Err(ends_at) = self.check_quiet_period(now, &file.name, file.digest, quiet_period) {
                result.files.remove(&zone);
                result.await_quiet_period(ends_at, file.zone.location.clone());
            }
        }
    }

    /// Admits the files that the manifest names if all have the digests that it states; otherwise blocks the
    /// whole scan.
    fn admit_by_manifest(
        &mut self,
        now: Micros,
        scan: &Scan,
        quiet_period: Micros,
        result: &mut IntakeResult,
    ) {
        let manifest = match &scan.manifest {
            Some(Ok(manifest)) => manifest,
            Some(Err(refusal)) => {
                result.refusals.push(refusal.clone());
                result.blocked = true;
                return;
            }
            None => return,
        };
        for (name, expected) in &manifest.files {
            let file = scan.files.iter().flatten().find(|file| *file.name == *name.value);
            let Some(file) = file else {
                result.refuse(Reason::ManifestFileMissing(name.value.clone()), name.location.clone());
                let errors = scan.files.iter().filter_map(|f| f.as_ref().err());
                result.refusals.extend(errors.filter(|r| *r.location.file == *name.value).cloned());
                continue;
            };
            if file.digest != *expected {
                let (file, file_digest) = (name.value.clone(), file.digest);
                let reason = Reason::DigestMismatch { file, digest: file_digest, expected: *expected };
                result.refuse(reason, name.location.clone());
            } else if let Some(other) = result.files.insert(file.zone.value.clone(), file.clone()) {
                let reason = Reason::DuplicateZone(file.zone.value.clone());
                let other = Some(other.zone.location.clone());
                result.refusals.push(Refusal::with_related(reason, file.zone.location.clone(), other));
            }
        }
        result.blocked = !result.refusals.is_empty();
        if !manifest.sealed
            && let Err(ends_at) = self.check_quiet_period(now, &manifest.name, manifest.digest, quiet_period)
        {
            result.blocked = true;
            result.await_quiet_period(ends_at, Location::whole_file(manifest.name.clone()));
        }
    }
}

impl IntakeResult {
    fn refuse(&mut self, reason: Reason, location: Location) {
        self.refusals.push(Refusal::new(reason, location));
    }

    fn await_quiet_period(&mut self, ends_at: Micros, location: Location) {
        self.quiet_period_ends_at =
            Some(self.quiet_period_ends_at.map_or(ends_at, |first| first.min(ends_at)));
        self.refuse(Reason::AwaitingQuietPeriod, location);
    }
}
