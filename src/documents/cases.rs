//! Fixtures and cases of expectations, written out: what follows reads a document without either. Each node keeps
//! the place at which it was written.
//!
//! `fixture "NAME" { ... }` stands at the top and holds nodes of a given; `use "NAME"` within a given puts them in
//! its place. `cases { case a="x" b=2 ... }` within an expectation makes one expectation of each case, with the
//! texts "$a" and "$b" replaced by the case's values.

use std::collections::BTreeMap;

use kdl::{KdlDocument, KdlNode, KdlValue};

use super::read::{Node, Source};
use crate::membership::Refusal;
use crate::membership::check::nearest;

/// The values of one case by name.
type Case = BTreeMap<String, KdlValue>;

/// Writes a document out.
pub(super) fn written_out(source: &Source, document: &KdlDocument) -> Result<KdlDocument, Refusal> {
    let fixtures = fixtures(source, document)?;
    let mut out = KdlDocument::new();
    for node in document.nodes().iter().filter(|node| node.name().value() != "fixture") {
        let mut node = node.clone();
        put_in(source, &mut node, &fixtures)?;
        let cases = take_cases(source, &mut node)?;
        if cases.is_empty() {
            out.nodes_mut().push(node.clone());
        }
        for case in cases {
            let mut one = node.clone();
            let mut used = Vec::new();
            fill(source, &mut one, &case, &mut used)?;
            if let Some(name) = case.keys().find(|name| !used.contains(name)) {
                let message = format!("no \"${name}\" stands in the expectation");
                return Err(Node::new(source, &node).refuse(message, None));
            }
            label(&mut one, &case);
            out.nodes_mut().push(one);
        }
    }
    Ok(out)
}

fn fixtures(source: &Source, document: &KdlDocument) -> Result<BTreeMap<String, Vec<KdlNode>>, Refusal> {
    let mut found = BTreeMap::new();
    for node in Node::all(source, document).filter(|node| node.name() == "fixture") {
        let name = node.argument()?;
        let nodes = node.inside().map_or(Vec::new(), |inside| inside.nodes().to_vec());
        if nodes.is_empty() {
            return Err(node.refuse("the fixture holds nothing", None));
        }
        if found.insert(name.text()?.to_string(), nodes).is_some() {
            return Err(name.refuse("a fixture of this name stands above", None));
        }
    }
    Ok(found)
}

/// Puts the nodes of fixtures in the places where a given uses them.
fn put_in(
    source: &Source,
    node: &mut KdlNode,
    fixtures: &BTreeMap<String, Vec<KdlNode>>,
) -> Result<(), Refusal> {
    let Some(children) = node.children_mut() else { return Ok(()) };
    for given in children.nodes_mut().iter_mut().filter(|child| child.name().value() == "given") {
        let Some(inside) = given.children_mut() else { continue };
        let mut nodes = Vec::new();
        for node in inside.nodes() {
            if node.name().value() != "use" {
                nodes.push(node.clone());
                continue;
            }
            let used = Node::new(source, node);
            let name = used.argument()?;
            let Some(fixture) = fixtures.get(name.text()?) else {
                let near = nearest(name.text()?, fixtures.keys().map(String::as_str));
                let help = near.map(|near| format!("did you mean \"{near}\"?"));
                return Err(name.refuse(format!("there is no fixture \"{}\"", name.text()?), help));
            };
            nodes.extend(fixture.iter().cloned());
        }
        *inside.nodes_mut() = nodes;
    }
    Ok(())
}

/// Takes the cases out of an expectation.
fn take_cases(source: &Source, node: &mut KdlNode) -> Result<Vec<Case>, Refusal> {
    let Some(children) = node.children_mut() else { return Ok(Vec::new()) };
    let (cases, rest): (Vec<_>, Vec<_>) =
        children.nodes().iter().cloned().partition(|child| child.name().value() == "cases");
    *children.nodes_mut() = rest;
    let [cases] = &cases[..] else {
        return match cases.get(1) {
            Some(second) => Err(Node::new(source, second).refuse("'cases' is given twice", None)),
            None => Ok(Vec::new()),
        };
    };
    let mut found: Vec<Case> = Vec::new();
    for case in cases.children().map_or(&[][..], KdlDocument::nodes) {
        let seen = Node::new(source, case);
        if seen.name() != "case" {
            return Err(seen.unknown(&["case"]));
        }
        let named = |entry: &kdl::KdlEntry| {
            let name = entry.name()?.value().to_string();
            Some((name, entry.value().clone()))
        };
        let values: Case = case.entries().iter().filter_map(named).collect();
        if values.len() != case.entries().len() || values.is_empty() {
            let help = "write: case name=\"value\"".to_string();
            return Err(seen.refuse("a case has values with names, each once", Some(help)));
        }
        if found.first().is_some_and(|first| !first.keys().eq(values.keys())) {
            return Err(seen.refuse("this case names other values than the first", None));
        }
        if found.contains(&values) {
            return Err(seen.refuse("this case stands above", None));
        }
        found.push(values);
    }
    match found.is_empty() {
        true => Err(Node::new(source, cases).refuse("'cases' holds no case", None)),
        false => Ok(found),
    }
}

/// Replaces "$name" by the case's value, everywhere in a node.
fn fill(source: &Source, node: &mut KdlNode, case: &Case, used: &mut Vec<String>) -> Result<(), Refusal> {
    for entry in node.entries_mut() {
        let Some(name) = entry.value().as_string().and_then(|text| text.strip_prefix('$')) else { continue };
        let Some(value) = case.get(name) else {
            let known: Vec<_> = case.keys().map(|name| format!("\"${name}\"")).collect();
            let message = format!("no case gives a value for \"${name}\"");
            let span = entry.span();
            return Err(source.refuse(
                (span.offset(), span.len()),
                message,
                Some(format!("known here: {}", known.join(", "))),
            ));
        };
        used.push(name.to_string());
        *entry.value_mut() = value.clone();
    }
    for child in node.children_mut().iter_mut().flat_map(|inside| inside.nodes_mut()) {
        fill(source, child, case, used)?;
    }
    Ok(())
}

/// Tells an expectation from those of the other cases by its name.
fn label(node: &mut KdlNode, case: &Case) {
    let values: Vec<_> = case.iter().map(|(name, value)| format!("{name}={}", plain(value))).collect();
    if let Some(entry) = node.entries_mut().iter_mut().find(|entry| entry.name().is_none())
        && let KdlValue::String(name) = entry.value()
    {
        let name = format!("{name} [{}]", values.join(" "));
        *entry.value_mut() = KdlValue::String(name);
    }
}

fn plain(value: &KdlValue) -> String {
    value.as_string().map_or_else(|| value.to_string(), str::to_string)
}
