//! Shows a refusal as people read it: the document's own line, underlined, with the reason and a remedy.

use std::fmt;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode};

use super::read::Source;
use crate::membership::Refusal;

/// A refusal with the text that it speaks of.
#[derive(Debug)]
pub struct Shown<'a> {
    refusal: &'a Refusal,
    source: Option<NamedSource<String>>,
}

impl<'a> Shown<'a> {
    /// The refusal beside its document, if that could be read.
    pub fn new(refusal: &'a Refusal, source: Option<&Source>) -> Self {
        let named = |source: &Source| NamedSource::new(&*source.name, source.text.to_string());
        Shown { refusal, source: source.filter(|_| refusal.location.line > 0).map(named) }
    }

    /// The report, with colours only where a terminal shows them.
    pub fn render(&self, colours: bool) -> String {
        let theme = if colours { GraphicalTheme::unicode() } else { GraphicalTheme::unicode_nocolor() };
        let mut text = String::new();
        // Writing to a String can't fail.
        let _ = GraphicalReportHandler::new_themed(theme).render_report(&mut text, self);
        text
    }
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.refusal.location, self.refusal.reason)
    }
}

impl std::error::Error for Shown<'_> {}

impl Diagnostic for Shown<'_> {
    fn help<'b>(&'b self) -> Option<Box<dyn fmt::Display + 'b>> {
        self.refusal.reason.remedy().map(|remedy| Box::new(remedy) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let at = &self.refusal.location;
        let here = LabeledSpan::new(Some("here".into()), at.offset, at.length.max(1));
        let other = self.refusal.related.as_ref().filter(|other| other.file == at.file);
        let other = other.map(|o| LabeledSpan::new(Some("and here".into()), o.offset, o.length.max(1)));
        Some(Box::new(std::iter::once(here).chain(other)))
    }
}
