//! Plays many cells at once and tells their verdicts.

use std::collections::{BTreeMap, BTreeSet};
use std::io::IsTerminal;
use std::path::Path;
use std::sync::Arc;

use indicatif::ProgressBar;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::cell::{Fault, Named, Step, parse};
use crate::oracle::Break;
use crate::play::{Played, play};
use crate::world::{NotRun, Programs};

/// Plays at once: each has a dozen processes.
pub const JOBS: usize = 12;

/// How a cell ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Every rule was kept.
    Green,
    /// A rule was broken.
    Red,
    /// It could not be played, and proves nothing.
    NotRun,
}

/// A cell with its verdict.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub cell: String,
    /// How it ended.
    pub verdict: Verdict,
    /// Breaks by rule.
    pub breaks: BTreeMap<&'static str, usize>,
    /// The first break, or why it was not run.
    pub seen: String,
    /// Requests sent.
    pub sent: usize,
    /// Requests answered by a server.
    pub served: usize,
}

impl Row {
    fn of(name: &Named, result: &Result<Played, NotRun>) -> Row {
        let (rule, cell) = name;
        let cell = rule.map_or_else(|| cell.to_string(), |rule| format!("{}/{cell}", rule.name()));
        match result {
            Ok(played) => {
                let mut breaks = BTreeMap::new();
                for found in &played.breaks {
                    *breaks.entry(found.rule.name()).or_default() += 1;
                }
                let verdict = if played.breaks.is_empty() { Verdict::Green } else { Verdict::Red };
                let seen = played.breaks.first().map(Break::to_string).unwrap_or_default();
                Row { cell, verdict, breaks, seen, sent: played.sent, served: played.served }
            }
            Err(error) => {
                let (verdict, breaks) = (Verdict::NotRun, BTreeMap::new());
                Row { cell, verdict, breaks, seen: error.to_string(), sent: 0, served: 0 }
            }
        }
    }
}

/// Writes what is known of a red play to a folder: its record, and the program's log.
fn keep(folder: &Path, name: &str, played: &Played) -> std::io::Result<()> {
    let folder = folder.join(name.replace('/', "_"));
    std::fs::create_dir_all(&folder)?;
    let lines = played.lines.iter().filter_map(|line| serde_json::to_string(line).ok());
    std::fs::write(folder.join("record.jsonl"), lines.collect::<Vec<_>>().join("\n"))?;
    std::fs::write(folder.join("program.log"), &played.log)?;
    std::fs::write(
        folder.join("breaks.txt"),
        played.breaks.iter().map(|found| format!("{found}\n")).collect::<String>(),
    )
}

/// Plays the cells, so many at once, and gives a row for each in their order.
pub async fn run(programs: &Programs, cells: &[Named], jobs: usize, kept: Option<&Path>) -> Vec<Row> {
    let bar = if std::io::stderr().is_terminal() {
        ProgressBar::new(cells.len() as u64)
    } else {
        ProgressBar::hidden()
    };
    let (slots, mut plays) = (Arc::new(Semaphore::new(jobs.max(1))), JoinSet::new());
    for (n, name) in cells.iter().copied().enumerate() {
        let (slots, programs) = (slots.clone(), programs.clone());
        plays.spawn(async move {
            let _slot = slots.acquire_owned().await;
            (n, name, play(&programs, name.1, name.0).await)
        });
    }
    let mut rows = Vec::new();
    while let Some(ended) = plays.join_next().await {
        bar.inc(1);
        let Ok((n, name, result)) = ended else { continue };
        let row = Row::of(&name, &result);
        if let (Ok(played), Some(folder), Verdict::Red) = (&result, kept, row.verdict)
            && let Err(error) = keep(folder, &row.cell, played)
        {
            tracing::warn!(%error, cell = row.cell, "its record could not be kept");
        }
        rows.push((n, row));
    }
    bar.finish_and_clear();
    rows.sort_by_key(|(n, _)| *n);
    rows.into_iter().map(|(_, row)| row).collect()
}

/// The verdicts as a table in Markdown, by fault and step: the cells of it that were red or not run, of all; then each cell
/// that was not green.
pub fn table(rows: &[Row]) -> String {
    let mut counts: BTreeMap<(Fault, Step), [usize; 3]> = BTreeMap::new();
    for row in rows {
        let Ok((_, cell)) = parse(&row.cell) else { continue };
        counts.entry((cell.fault, cell.step)).or_default()[row.verdict as usize] += 1;
    }
    let steps: BTreeSet<Step> = counts.keys().map(|(_, step)| *step).collect();
    let faults: BTreeSet<Fault> = counts.keys().map(|(fault, _)| *fault).collect();
    let mut text = String::from("| fault |");
    steps.iter().for_each(|step| text += &format!(" {} |", step.name()));
    text += "\n| --- |";
    steps.iter().for_each(|_| text += " --- |");
    for fault in faults {
        text += &format!("\n| {} |", fault.name());
        for step in &steps {
            text += &counts.get(&(fault, *step)).map_or(" |".to_string(), |[green, red, not_run]| {
                let all = green + red + not_run;
                match (red, not_run) {
                    (0, 0) => format!(" {all} |"),
                    (red, 0) => format!(" **{red} red** of {all} |"),
                    (red, not_run) => format!(" **{red} red**, {not_run} not run of {all} |"),
                }
            });
        }
    }
    text += "\n";
    for row in rows.iter().filter(|row| row.verdict != Verdict::Green) {
        text += &format!("\n- `{}`: {}", row.cell, row.seen);
    }
    text + "\n"
}
