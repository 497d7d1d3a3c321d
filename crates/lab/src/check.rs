//! Checks a run by the rules, whoever decides: one final answer for each request, nothing twice that must not run
//! twice, nothing held at the end. A violation names the request and its whole way.

use std::collections::BTreeMap;

use milletseam::interface::Micros;

/// What was seen of requests.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    ways: BTreeMap<usize, Vec<(Micros, String)>>,
    answers: BTreeMap<usize, u32>,
    /// How often a request was taken by a writer.
    runs: BTreeMap<usize, u32>,
}

impl Ledger {
    /// Notes a step of a request's way.
    pub fn note(&mut self, now: Micros, request: usize, what: impl Into<String>) {
        self.ways.entry(request).or_default().push((now, what.into()));
    }

    /// Notes a final answer.
    pub fn answered(&mut self, now: Micros, request: usize, what: &str) {
        self.note(now, request, what);
        *self.answers.entry(request).or_default() += 1;
    }

    /// Notes that a writer has taken it, so that it may have run.
    pub fn ran(&mut self, now: Micros, request: usize, server: u32) {
        self.note(now, request, format!("taken by writer {server}"));
        *self.runs.entry(request).or_default() += 1;
    }

    /// Notes that the writer that took it has turned it away unbegun.
    pub fn turned_away(&mut self, request: usize) {
        if let Some(runs) = self.runs.get_mut(&request) {
            *runs -= 1;
        }
    }

    fn way(&self, request: usize) -> String {
        let steps = self.ways.get(&request).into_iter().flatten();
        steps.map(|(at, what)| format!("{:.1} ms {what}", *at as f64 / 1e3)).collect::<Vec<_>>().join("; ")
    }

    /// The first violation, if there is one. `came` is how many requests came, `unsafe_class` which of them must not
    /// run twice, and `held` how many states servers still hold.
    pub fn violation(
        &self,
        came: usize,
        unsafe_class: impl Fn(usize) -> bool,
        held: usize,
    ) -> Option<String> {
        for request in 0..came {
            let answers = self.answers.get(&request).copied().unwrap_or(0);
            if answers != 1 {
                return Some(format!("request {request} has {answers} final answers: {}", self.way(request)));
            }
            let runs = self.runs.get(&request).copied().unwrap_or(0);
            if runs > 1 && unsafe_class(request) {
                return Some(format!("booking {request} may have run {runs} times: {}", self.way(request)));
            }
        }
        (held > 0).then(|| format!("{held} states are held at the end"))
    }
}

#[cfg(test)]
mod tests;
