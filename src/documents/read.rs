//! Reads KDL with places: nodes, their arguments, properties and children, each value asked for by its type.
//! Whatever is not asked for is refused, with the nearest known name.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kdl::{KdlDocument, KdlNode, KdlValue};

use crate::interface::Micros;
use crate::membership::check::nearest;
use crate::membership::{Located, Location, Reason, Refusal};

/// A document's text, and where its lines begin.
#[derive(Clone, Debug)]
pub struct Source {
    /// The file's name.
    pub name: Arc<str>,
    /// Its text.
    pub text: Arc<str>,
    lines: Arc<[usize]>,
}

impl Source {
    /// A document by its name and text.
    pub fn new(name: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        let lines = std::iter::once(0).chain(breaks).collect();
        Source { name: name.into(), text, lines }
    }

    /// The place of some bytes.
    pub fn place(&self, offset: usize, length: usize) -> Location {
        let offset = offset.min(self.text.len());
        let line = self.lines.partition_point(|start| *start <= offset);
        let start = self.lines[line - 1];
        let column = self.text.get(start..offset).map_or(offset - start, |part| part.chars().count()) + 1;
        Location { file: self.name.clone(), line: line as u32, column: column as u32, offset, length }
    }

    /// A refusal of some bytes.
    pub fn refuse(&self, at: (usize, usize), message: impl Into<String>, help: Option<String>) -> Refusal {
        let reason = Reason::InvalidDocument { message: message.into(), help };
        Refusal::new(reason, self.place(at.0, at.1))
    }

    /// The document, or its first mistake.
    pub fn parse(&self) -> Result<KdlDocument, Refusal> {
        KdlDocument::parse_v2(&self.text).map_err(|error| match error.diagnostics.first() {
            Some(first) => {
                let message = first.message.clone().or(first.label.clone());
                let at = (first.span.offset(), first.span.len());
                self.refuse(at, message.unwrap_or_else(|| "is no KDL".into()), first.help.clone())
            }
            None => self.refuse((0, 0), "is no KDL", None),
        })
    }
}

/// A value in a document.
#[derive(Clone, Copy)]
pub struct Value<'a> {
    source: &'a Source,
    value: &'a KdlValue,
    span: (usize, usize),
}

fn shown(value: &KdlValue) -> String {
    value.to_string()
}

impl<'a> Value<'a> {
    /// Where it stands.
    pub fn place(&self) -> Location {
        self.source.place(self.span.0, self.span.1)
    }

    /// Refuses it.
    pub fn refuse(&self, message: impl Into<String>, help: Option<String>) -> Refusal {
        self.source.refuse(self.span, message, help)
    }

    fn wanted(&self, what: &str) -> Refusal {
        self.refuse(format!("{} is not {what}", shown(self.value)), None)
    }

    /// A text.
    pub fn text(&self) -> Result<&'a str, Refusal> {
        match self.value {
            KdlValue::String(text) => Ok(text),
            _ => Err(self.wanted("a text")),
        }
    }

    /// A text with its place.
    pub fn text_at(&self) -> Result<Located<String>, Refusal> {
        Ok(Located { value: self.text()?.to_string(), location: self.place() })
    }

    /// A whole number that fits.
    pub fn whole<T: TryFrom<i128>>(&self) -> Result<T, Refusal> {
        match self.value {
            KdlValue::Integer(whole) => T::try_from(*whole).map_err(|_| self.wanted("a number in range")),
            _ => Err(self.wanted("a whole number")),
        }
    }

    /// A whole number with its place.
    pub fn whole_at<T: TryFrom<i128>>(&self) -> Result<Located<T>, Refusal> {
        Ok(Located { value: self.whole()?, location: self.place() })
    }

    /// A number; what is no finite number is left to whoever checks ranges.
    pub fn number(&self) -> Result<f64, Refusal> {
        match self.value {
            KdlValue::Integer(whole) => Ok(*whole as f64),
            KdlValue::Float(number) => Ok(*number),
            _ => Err(self.wanted("a number")),
        }
    }

    /// A number from 0 to a bound.
    pub fn number_to(&self, most: f64) -> Result<f64, Refusal> {
        let number = self.number()?;
        if (0.0..=most).contains(&number) {
            Ok(number)
        } else {
            Err(self.wanted(&format!("a number from 0 to {most}")))
        }
    }

    /// Yes or no.
    pub fn flag(&self) -> Result<bool, Refusal> {
        match self.value {
            KdlValue::Bool(flag) => Ok(*flag),
            _ => Err(self.wanted("#true or #false")),
        }
    }

    /// A time in words, such as "1200ms" or "5s".
    pub fn time(&self) -> Result<Duration, Refusal> {
        humantime::parse_duration(self.text()?).map_err(|error| {
            let help = "write a time with its unit, such as \"1200ms\" or \"5s\"".to_string();
            self.refuse(format!("{} is no time: {error}", shown(self.value)), Some(help))
        })
    }

    /// The same in microseconds.
    pub fn micros(&self) -> Result<Micros, Refusal> {
        Micros::try_from(self.time()?.as_micros()).map_err(|_| self.wanted("a time in range"))
    }

    /// A time that is more than none.
    pub fn some_time(&self) -> Result<Duration, Refusal> {
        match self.time()? {
            Duration::ZERO => Err(self.refuse("the time must not be 0", None)),
            time => Ok(time),
        }
    }

    /// A size in words, such as "256KiB".
    pub fn size(&self) -> Result<u64, Refusal> {
        self.text()?.parse::<bytesize::ByteSize>().map(|size| size.as_u64()).map_err(|error| {
            let help = "write a size with its unit, such as \"256KiB\"".to_string();
            self.refuse(format!("{} is no size: {error}", shown(self.value)), Some(help))
        })
    }

    /// One of a few words.
    pub fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, Refusal> {
        let text = self.text()?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Ok(*value);
        }
        let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let help = match nearest(text, all.iter().copied()) {
            Some(word) => format!("did you mean \"{word}\"?"),
            None => format!("one of {}", all.join(", ")),
        };
        Err(self.refuse(format!("\"{text}\" is not known here"), Some(help)))
    }
}

/// A node: what stands in it is taken out piece by piece, and what is left over at the end is refused.
pub struct Node<'a> {
    source: &'a Source,
    node: &'a KdlNode,
    known: BTreeSet<&'static str>,
}

impl<'a> Node<'a> {
    /// One node of a document.
    pub fn new(source: &'a Source, node: &'a KdlNode) -> Self {
        Node { source, node, known: BTreeSet::new() }
    }

    /// What stands in its braces.
    pub fn inside(&self) -> Option<&'a KdlDocument> {
        self.node.children()
    }

    /// The nodes of a document, or the children of a node.
    pub fn all(source: &'a Source, document: &'a KdlDocument) -> impl Iterator<Item = Node<'a>> {
        document.nodes().iter().map(move |node| Node::new(source, node))
    }

    /// The node's name.
    pub fn name(&self) -> &'a str {
        self.node.name().value()
    }

    /// The bytes of its name.
    pub fn span(&self) -> (usize, usize) {
        let span = self.node.name().span();
        (span.offset(), span.len())
    }

    /// Where it begins.
    pub fn place(&self) -> Location {
        let (offset, length) = self.span();
        self.source.place(offset, length)
    }

    /// Refuses it.
    pub fn refuse(&self, message: impl Into<String>, help: Option<String>) -> Refusal {
        self.source.refuse(self.span(), message, help)
    }

    /// Refuses a name that is not among the known ones.
    pub fn unknown(&self, known: &[&str]) -> Refusal {
        self.source.refuse(
            self.span(),
            format!("'{}' is not known here", self.name()),
            offer(self.name(), known),
        )
    }

    fn value(&self, entry: &'a kdl::KdlEntry) -> Value<'a> {
        let span = entry.span();
        Value { source: self.source, value: entry.value(), span: (span.offset(), span.len()) }
    }

    /// The arguments.
    pub fn arguments(&self) -> impl Iterator<Item = Value<'a>> + '_ {
        self.node.entries().iter().filter(|entry| entry.name().is_none()).map(|entry| self.value(entry))
    }

    /// The one argument.
    pub fn argument(&self) -> Result<Value<'a>, Refusal> {
        let mut all = self.arguments();
        match (all.next(), all.next()) {
            (Some(value), None) => Ok(value),
            (_, Some(second)) => Err(second.refuse(format!("'{}' takes one value", self.name()), None)),
            (None, None) => Err(self.refuse(format!("'{}' wants a value", self.name()), None)),
        }
    }

    /// A property, or a child of that name with one value: both ways of writing are the same.
    pub fn get(&mut self, name: &'static str) -> Result<Option<Value<'a>>, Refusal> {
        self.known.insert(name);
        let of_name = |entry: &&kdl::KdlEntry| entry.name().is_some_and(|n| n.value() == name);
        let mut properties = self.node.entries().iter().filter(of_name).map(|entry| self.value(entry));
        let (first, second) = (properties.next(), properties.next());
        let children = self.node.children().into_iter().flat_map(|all| Node::all(self.source, all));
        let mut children = children.filter(|child| child.name() == name);
        let twice = "is given twice";
        match (first, second.map(|v| v.span), children.next(), children.next()) {
            (_, Some(span), _, _) => Err(self.source.refuse(span, format!("'{name}' {twice}"), None)),
            (Some(_), None, Some(child), _) | (None, None, Some(_), Some(child)) => {
                Err(child.refuse(format!("'{name}' {twice}"), None))
            }
            (Some(value), None, None, _) => Ok(Some(value)),
            (None, None, Some(child), None) => child.argument().map(Some),
            (None, None, None, _) => Ok(None),
        }
    }

    /// A property that has to be there.
    pub fn need(&mut self, name: &'static str) -> Result<Value<'a>, Refusal> {
        self.get(name)?.ok_or_else(|| {
            self.refuse(format!("'{}' lacks '{name}'", self.name()), Some(format!("add {name}=...")))
        })
    }

    /// The children with these names, in their order.
    pub fn children(&mut self, names: &[&'static str]) -> Vec<Node<'a>> {
        self.known.extend(names);
        let all = self.node.children().into_iter().flat_map(|all| Node::all(self.source, all));
        all.filter(|child| names.contains(&child.name())).collect()
    }

    /// The child with this name.
    pub fn child(&mut self, name: &'static str) -> Result<Option<Node<'a>>, Refusal> {
        let mut all = self.children(&[name]).into_iter();
        match (all.next(), all.next()) {
            (_, Some(second)) => Err(second.refuse(format!("'{name}' is given twice"), None)),
            (first, None) => Ok(first),
        }
    }

    /// Refuses what was not asked for; `arguments` is how many may stand there.
    pub fn end(&self, arguments: usize) -> Result<(), Refusal> {
        if let Some(value) = self.arguments().nth(arguments) {
            let message = format!("'{}' takes {arguments} values without a name", self.name());
            return Err(value.refuse(message, None));
        }
        let known: Vec<&str> = self.known.iter().copied().collect();
        for entry in self.node.entries() {
            if let Some(name) = entry.name().filter(|name| !self.known.contains(name.value())) {
                let at = (entry.span().offset(), entry.span().len());
                let message = format!("'{}' is not known here", name.value());
                return Err(self.source.refuse(at, message, offer(name.value(), &known)));
            }
        }
        let children = self.node.children().into_iter().flat_map(|all| Node::all(self.source, all));
        match { children }.find(|child| !self.known.contains(child.name())) {
            Some(child) => Err(child.unknown(&known)),
            None => Ok(()),
        }
    }
}

fn offer(name: &str, known: &[&str]) -> Option<String> {
    match nearest(name, known.iter().copied()) {
        Some(near) => Some(format!("did you mean '{near}'?")),
        None if known.is_empty() => None,
        None => Some(format!("known here: {}", known.join(", "))),
    }
}
