//! Reports the verdicts on expectations as text, JSON or JUnit XML.

use quick_junit::{NonSuccessKind, Report, TestCase, TestCaseStatus, TestSuite};
use serde_json::{Value, json};

use super::tried::Document;
use crate::documents::expectations::Written;
use crate::documents::read::Source;
use crate::expect::reasons::{self, ObservedChoice};
use crate::expect::{self, Site};
use crate::interface::Cost;
use crate::membership::{Location, Reason, Refusal};
use crate::program::cli::{complain, print, show};

/// The form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum Form {
    /// Text, in which each failed clause is underlined in its document
    Text,
    /// JSON, with the candidates of each choice that led to a failure
    Json,
    /// JUnit XML, with a test suite for each document
    Junit,
}

/// How many expectations hold, fail or stay undecided, and how many documents can't be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub hold: usize,
    pub fail: usize,
    pub undecided: usize,
    pub unreadable: usize,
}

impl Counts {
    pub(super) fn of(documents: &[Document], verdicts: &[expect::Verdict]) -> Self {
        let unreadable = documents.iter().filter(|document| document.written.is_err()).count();
        let mut counts = Counts { unreadable, ..Counts::default() };
        for verdict in verdicts {
            *match verdict {
                expect::Verdict::Holds { .. } => &mut counts.hold,
                expect::Verdict::Fails { .. } => &mut counts.fail,
                expect::Verdict::Undecided { .. } => &mut counts.undecided,
            } += 1;
        }
        counts
    }

    pub(super) fn all_hold(&self) -> bool {
        (self.fail, self.undecided, self.unreadable) == (0, 0, 0)
    }
}

/// Returns the place of a clause, or of the whole expectation if there is no such clause.
fn clause_place(written: &Written, clause_index: usize) -> &Location {
    written.clauses.get(clause_index).unwrap_or(&written.place)
}

fn lines(site: &Site, choices: &[ObservedChoice]) -> Option<String> {
    let lines: Vec<String> = choices.iter().flat_map(|met| reasons::choice_lines(site, met)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Shows why an expectation does not hold, at the place of the clause that is not met.
fn show_verdict(place: &Location, message: String, help: Option<String>, source: &Source) {
    let reason = Reason::InvalidDocument { message, help };
    show(&Refusal::new(reason, place.clone()), Some(source));
}

/// Prints the verdicts on standard output, and the reasons for those that don't hold on standard error.
pub(super) fn print_text(site: &Site, documents: &[Document], verdicts: &[expect::Verdict]) {
    let mut verdicts = verdicts.iter();
    for document in documents {
        let expectations = match &document.written {
            Ok(expectations) => expectations,
            Err(refusal) => {
                show(refusal, Some(&document.source));
                continue;
            }
        };
        for (written, verdict) in expectations.iter().zip(verdicts.by_ref()) {
            let name = &written.expectation.name;
            match verdict {
                expect::Verdict::Holds { seeds } => print(&format!("holds      {name} ({seeds} seeds)\n")),
                expect::Verdict::Fails { seed, clause: clause_index, why, choices } => {
                    print(&format!("FAILS      {name}\n"));
                    let message = format!("{name}: seed {seed}, {why}");
                    show_verdict(
                        clause_place(written, *clause_index),
                        message,
                        lines(site, choices),
                        &document.source,
                    );
                }
                expect::Verdict::Undecided { clause: clause_index, why } => {
                    print(&format!("undecided  {name}\n"));
                    let help = "widen the tolerance, or ask for more requests".to_string();
                    show_verdict(
                        clause_place(written, *clause_index),
                        format!("{name}: {why}"),
                        Some(help),
                        &document.source,
                    );
                }
            }
        }
    }
}

fn place_json(place: &Location) -> Value {
    json!({"file": &*place.file, "line": place.line, "column": place.column})
}

fn choice_json(site: &Site, met: &ObservedChoice) -> Value {
    let candidate_json = |(rank, candidate): &(Option<usize>, &crate::interface::Candidate)| {
        let cost = match candidate.cost {
            Cost::Read { missing, load, pace, price, cost } => json!({
                "cost_s": cost, "missing_tokens": missing, "waiting_tokens": load, "tokens_per_s": pace,
                "price_s": price
            }),
            Cost::Write { in_readers_cell, memory, wait, has_capacity, own_streams } => json!({
                "in_readers_cell": in_readers_cell, "memory_share": memory, "first_token_s": wait, "room": has_capacity,
                "own_streams": own_streams
            }),
        };
        json!({
            "server": site.name(candidate.server),
            "weight": site.servers.get(&candidate.server).map(|(_, entry)| entry.weight),
            "rank": rank.map(|rank| rank + 1),
            "class": candidate.tier,
            "passed_over": candidate.ineligible.map(reasons::ineligible_reason),
            "last_resort": candidate.avoided.map(reasons::avoided_reason),
            "cost": cost,
        })
    };
    let candidates: Vec<Value> =
        reasons::ordered_candidates(&met.choice).iter().map(candidate_json).collect();
    let role = if met.choice.reads { "reader" } else { "writer" };
    json!({"request": met.request, "after_us": met.since_arrival, "role": role, "candidates": candidates})
}

/// Returns the report as JSON.
pub(super) fn as_json(site: &Site, documents: &[Document], verdicts: &[expect::Verdict]) -> Value {
    let (mut verdicts_left, mut reported, mut unreadable) = (verdicts.iter(), Vec::new(), Vec::new());
    for document in documents {
        match &document.written {
            Err(refusal) => unreadable
                .push(json!({"at": place_json(&refusal.location), "why": refusal.reason.to_string()})),
            Ok(expectations) => {
                for (written, verdict) in expectations.iter().zip(verdicts_left.by_ref()) {
                    let name = &written.expectation.name;
                    reported.push(match verdict {
                        expect::Verdict::Holds { seeds } => {
                            json!({"name": name, "at": place_json(&written.place), "verdict": "holds", "seeds": seeds})
                        }
                        expect::Verdict::Fails { seed, clause: clause_index, why, choices } => json!({
                            "name": name, "at": place_json(&written.place), "verdict": "fails", "seed": seed,
                            "clause": place_json(clause_place(written, *clause_index)), "why": why,
                            "choices": choices.iter().map(|met| choice_json(site, met)).collect::<Vec<_>>()
                        }),
                        expect::Verdict::Undecided { clause: clause_index, why } => json!({
                            "name": name, "at": place_json(&written.place), "verdict": "undecided",
                            "clause": place_json(clause_place(written, *clause_index)), "why": why
                        }),
                    });
                }
            }
        }
    }
    let Counts { hold, fail, undecided, unreadable: documents_unreadable } = Counts::of(documents, verdicts);
    json!({
        "expectations": reported, "refused": unreadable,
        "counts": {"hold": hold, "fail": fail, "undecided": undecided, "documents_refused": documents_unreadable}
    })
}

/// Returns the report as JUnit XML.
pub(super) fn as_junit(
    site: &Site,
    documents: &[Document],
    verdicts: &[expect::Verdict],
) -> Result<String, quick_junit::SerializeError> {
    let mut report = Report::new("birchspur expect");
    let mut verdicts = verdicts.iter();
    for document in documents {
        let mut suite = TestSuite::new(document.source.name.to_string());
        match &document.written {
            Err(refusal) => {
                let mut status = TestCaseStatus::non_success(NonSuccessKind::Error);
                status.set_message(refusal.to_string());
                suite.add_test_case(TestCase::new("the document can be read", status));
            }
            Ok(expectations) => {
                for (written, verdict) in expectations.iter().zip(verdicts.by_ref()) {
                    let status = match verdict {
                        expect::Verdict::Holds { .. } => TestCaseStatus::success(),
                        expect::Verdict::Fails { seed, clause: clause_index, why, choices } => {
                            let mut status = TestCaseStatus::non_success(NonSuccessKind::Failure);
                            status.set_message(format!(
                                "{}: seed {seed}, {why}",
                                clause_place(written, *clause_index)
                            ));
                            if let Some(lines) = lines(site, choices) {
                                status.set_description(lines);
                            }
                            status
                        }
                        expect::Verdict::Undecided { clause: clause_index, why } => {
                            let mut status = TestCaseStatus::non_success(NonSuccessKind::Failure);
                            status
                                .set_type("undecided")
                                .set_message(format!("{}: {why}", clause_place(written, *clause_index)));
                            status
                        }
                    };
                    suite.add_test_case(TestCase::new(written.expectation.name.clone(), status));
                }
            }
        }
        report.add_test_suite(suite);
    }
    report.to_string()
}

/// Prints the report in the given form.
pub(super) fn print_as(form: Form, site: &Site, documents: &[Document], verdicts: &[expect::Verdict]) {
    match form {
        Form::Text => {
            print_text(site, documents, verdicts);
            let Counts { hold, undecided, .. } = Counts::of(documents, verdicts);
            let undecided =
                if undecided > 0 { format!(" ({undecided} of them undecided)") } else { String::new() };
            print(&format!("{hold} hold, {} do not{undecided}\n", verdicts.len() - hold));
        }
        Form::Json => print(&format!("{:#}\n", as_json(site, documents, verdicts))),
        Form::Junit => match as_junit(site, documents, verdicts) {
            Ok(xml) => print(&xml),
            Err(error) => drop(complain(error)),
        },
    }
}
