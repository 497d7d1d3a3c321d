//! What came of expectations: for people, as JSON, or as JUnit.

use quick_junit::{NonSuccessKind, Report, TestCase, TestCaseStatus, TestSuite};
use serde_json::{Value, json};

use super::tried::Document;
use crate::documents::expectations::Written;
use crate::documents::read::Source;
use crate::expect::reasons::{self, ObservedChoice};
use crate::expect::{self, Site};
use crate::interface::Cost;
use crate::membership::{Place, Reason, Refusal};
use crate::program::cli::{complain, print, show};

/// The form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum Form {
    /// For people: what fails is underlined in its document
    Text,
    /// JSON, with the candidates of each choice that a failure met
    Json,
    /// JUnit XML, a suite for each document
    Junit,
}

/// How many hold, fail, stay undecided, or could not be read (a document counts once).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub hold: usize,
    pub fail: usize,
    pub undecided: usize,
    pub unread: usize,
}

impl Counts {
    pub(super) fn of(documents: &[Document], verdicts: &[expect::Verdict]) -> Self {
        let unread = documents.iter().filter(|document| document.written.is_err()).count();
        let mut counts = Counts { unread, ..Counts::default() };
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
        (self.fail, self.undecided, self.unread) == (0, 0, 0)
    }
}

fn clause(written: &Written, clause: usize) -> &Place {
    written.clauses.get(clause).unwrap_or(&written.place)
}

fn lines(site: &Site, choices: &[ObservedChoice]) -> Option<String> {
    let lines: Vec<String> = choices.iter().flat_map(|met| reasons::choice_lines(site, met)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Shows what an expectation met, at the place of the clause that it did not meet.
fn tell(place: &Place, message: String, help: Option<String>, source: &Source) {
    let reason = Reason::Document { message, help };
    show(&Refusal::new(reason, place.clone()), Some(source));
}

/// For people: verdicts on standard output, what went wrong on standard error.
pub(super) fn text(site: &Site, documents: &[Document], verdicts: &[expect::Verdict]) {
    let mut verdicts = verdicts.iter();
    for document in documents {
        let written = match &document.written {
            Ok(written) => written,
            Err(refusal) => {
                show(refusal, Some(&document.source));
                continue;
            }
        };
        for (one, verdict) in written.iter().zip(verdicts.by_ref()) {
            let name = &one.expectation.name;
            match verdict {
                expect::Verdict::Holds { seeds } => print(&format!("holds      {name} ({seeds} seeds)\n")),
                expect::Verdict::Fails { seed, clause: at, why, choices } => {
                    print(&format!("FAILS      {name}\n"));
                    let message = format!("{name}: seed {seed}, {why}");
                    tell(clause(one, *at), message, lines(site, choices), &document.source);
                }
                expect::Verdict::Undecided { clause: at, why } => {
                    print(&format!("undecided  {name}\n"));
                    let help = "widen the tolerance, or ask for more requests".to_string();
                    tell(clause(one, *at), format!("{name}: {why}"), Some(help), &document.source);
                }
            }
        }
    }
}

fn place(place: &Place) -> Value {
    json!({"file": &*place.file, "line": place.line, "column": place.column})
}

fn choice(site: &Site, met: &ObservedChoice) -> Value {
    let candidate = |(rank, one): &(Option<usize>, &crate::interface::Candidate)| {
        let cost = match one.cost {
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
            "server": site.name(one.server),
            "weight": site.servers.get(&one.server).map(|(_, entry)| entry.weight),
            "rank": rank.map(|rank| rank + 1),
            "class": one.tier,
            "passed_over": one.ineligible.map(reasons::ineligible_reason),
            "last_resort": one.avoided.map(reasons::avoided_reason),
            "cost": cost,
        })
    };
    let candidates: Vec<Value> = reasons::ordered_candidates(&met.choice).iter().map(candidate).collect();
    let role = if met.choice.reads { "reader" } else { "writer" };
    json!({"request": met.request, "after_us": met.since_arrival, "role": role, "candidates": candidates})
}

/// As JSON.
pub(super) fn as_json(site: &Site, documents: &[Document], verdicts: &[expect::Verdict]) -> Value {
    let (mut verdicts_left, mut all, mut unread) = (verdicts.iter(), Vec::new(), Vec::new());
    for document in documents {
        match &document.written {
            Err(refusal) => {
                unread.push(json!({"at": place(&refusal.place), "why": refusal.reason.to_string()}))
            }
            Ok(written) => {
                for (one, verdict) in written.iter().zip(verdicts_left.by_ref()) {
                    let name = &one.expectation.name;
                    all.push(match verdict {
                        expect::Verdict::Holds { seeds } => {
                            json!({"name": name, "at": place(&one.place), "verdict": "holds", "seeds": seeds})
                        }
                        expect::Verdict::Fails { seed, clause: at, why, choices } => json!({
                            "name": name, "at": place(&one.place), "verdict": "fails", "seed": seed,
                            "clause": place(clause(one, *at)), "why": why,
                            "choices": choices.iter().map(|met| choice(site, met)).collect::<Vec<_>>()
                        }),
                        expect::Verdict::Undecided { clause: at, why } => json!({
                            "name": name, "at": place(&one.place), "verdict": "undecided",
                            "clause": place(clause(one, *at)), "why": why
                        }),
                    });
                }
            }
        }
    }
    let Counts { hold, fail, undecided, unread: documents_unread } = Counts::of(documents, verdicts);
    json!({
        "expectations": all, "refused": unread,
        "counts": {"hold": hold, "fail": fail, "undecided": undecided, "documents_refused": documents_unread}
    })
}

/// As JUnit.
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
            Ok(written) => {
                for (one, verdict) in written.iter().zip(verdicts.by_ref()) {
                    let status = match verdict {
                        expect::Verdict::Holds { .. } => TestCaseStatus::success(),
                        expect::Verdict::Fails { seed, clause: at, why, choices } => {
                            let mut status = TestCaseStatus::non_success(NonSuccessKind::Failure);
                            status.set_message(format!("{}: seed {seed}, {why}", clause(one, *at)));
                            if let Some(lines) = lines(site, choices) {
                                status.set_description(lines);
                            }
                            status
                        }
                        expect::Verdict::Undecided { clause: at, why } => {
                            let mut status = TestCaseStatus::non_success(NonSuccessKind::Failure);
                            status.set_type("undecided").set_message(format!("{}: {why}", clause(one, *at)));
                            status
                        }
                    };
                    suite.add_test_case(TestCase::new(one.expectation.name.clone(), status));
                }
            }
        }
        report.add_test_suite(suite);
    }
    report.to_string()
}

/// Prints a report in its form.
pub(super) fn print_as(form: Form, site: &Site, documents: &[Document], verdicts: &[expect::Verdict]) {
    match form {
        Form::Text => {
            text(site, documents, verdicts);
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
