//! The files of servers, one a data centre, and their manifest.

use std::sync::Arc;

use super::read::{Node, Source};
use super::seal::{self, SEAL};
use crate::interface::Micros;
use crate::membership::{Confirmation, DeclaredServer, Digest, Located, Manifest, Reason, Refusal, SetFile};
use crate::protocol::platform::server_number;

/// The name of the manifest in its directory.
pub const MANIFEST: &str = "manifest.kdl";
/// What a file of servers may hold.
const NODES: [&str; 4] = ["servers", "server", "meant", SEAL];
/// A weight where the file says nothing.
const WEIGHT: f64 = 1.0;

/// Checks a seal against what it seals.
fn check_seal(source: &Source, node: &mut Node, count: usize) -> Result<(), Refusal> {
    let refuse = |node: &Node, problem: String| Err(Refusal::new(Reason::InvalidSeal(problem), node.place()));
    let (Some(counted), Some(digest)) = (node.get("count")?, node.get("sha256")?) else {
        return refuse(node, "it is cut off".into());
    };
    node.end(0)?;
    let (counted, written) = (counted.whole::<u64>()?, digest.text()?);
    let Some(body) = seal::unsealed(&source.text).filter(|body| body.len() <= node.span().0) else {
        return refuse(node, "it is not the last line".into());
    };
    if counted != count as u64 {
        return refuse(node, format!("it counts {counted}, there are {count}"));
    }
    let found = seal::digest(body.as_bytes());
    if seal::parse_digest(written) != Some(found) {
        return refuse(node, format!("what stands before it has the digest {found}"));
    }
    Ok(())
}

/// Reads a file of servers.
pub fn parse(source: &Source) -> Result<SetFile, Refusal> {
    let document = source.parse()?;
    let (mut head, mut meant, mut servers, mut sealed) = (None, None, Vec::new(), false);
    for mut node in Node::all(source, &document) {
        if sealed {
            return Err(Refusal::new(Reason::InvalidSeal("something follows it".into()), node.place()));
        }
        match node.name() {
            "servers" if head.is_none() => {
                let (zone, revision) = (node.need("zone")?.text_at()?, node.need("revision")?.whole_at()?);
                let rollback_of = node.get("rollback-of")?.map(|value| value.whole_at()).transpose()?;
                node.end(0)?;
                head = Some((zone, revision, rollback_of));
            }
            "meant" if meant.is_none() => {
                let (revision, reason) = (node.need("revision")?, node.need("reason")?);
                let value = Confirmation { revision: revision.whole()?, reason: reason.text()?.to_string() };
                node.end(0)?;
                meant = Some(Located { value, location: node.place() });
            }
            "servers" | "meant" => {
                return Err(node.refuse(format!("'{}' stands twice", node.name()), None));
            }
            "server" => servers.push(server(&mut node)?),
            SEAL => {
                check_seal(source, &mut node, servers.len())?;
                sealed = true;
            }
            _ => return Err(node.unknown(&NODES)),
        }
    }
    let Some((zone, revision, rollback_of)) = head else {
        let help = "begin with: servers zone=\"...\" revision=1".to_string();
        return Err(source.refuse((0, 0), "the node 'servers' is missing", Some(help)));
    };
    let (name, digest) = (source.name.clone(), seal::digest(source.text.as_bytes()));
    let text = source.text.clone();
    Ok(SetFile { name, text, digest, sealed, zone, revision, rollback_of, meant, servers })
}

/// Reads one `server`.
pub(super) fn server(node: &mut Node) -> Result<DeclaredServer, Refusal> {
    let id = node.argument()?.text_at()?;
    if id.value.is_empty() {
        return Err(Refusal::new(
            Reason::InvalidDocument { message: "the id is empty".into(), help: None },
            id.location,
        ));
    }
    let value = node.need("address")?;
    let address = value.text_at()?;
    if address.value.parse::<http::uri::Authority>().ok().and_then(|a| a.port_u16()).is_none() {
        let help = "write host and port, such as \"10.0.0.7:8000\"".to_string();
        return Err(value.refuse(format!("\"{}\" is no address", address.value), Some(help)));
    }
    let kind = node.need("kind")?.text_at()?;
    let cell = match node.get("cell")? {
        Some(cell) => cell.whole_at()?,
        None => Located { value: 0, location: node.place() },
    };
    let weight = match node.get("weight")? {
        Some(weight) => Located { value: weight.number()?, location: weight.place() },
        None => Located { value: WEIGHT, location: node.place() },
    };
    let draining = match node.get("state")? {
        Some(state) => state.one_of(&[("in-service", false), ("draining", true)])?,
        None => false,
    };
    node.end(1)?;
    Ok(DeclaredServer { number: server_number(&id.value), id, address, kind, cell, weight, draining })
}

/// Reads a manifest.
pub fn parse_manifest(source: &Source) -> Result<Manifest, Refusal> {
    let document = source.parse()?;
    let (mut files, mut sealed) = (Vec::<(Located<String>, Digest)>::new(), false);
    for mut node in Node::all(source, &document) {
        if sealed {
            return Err(Refusal::new(Reason::InvalidSeal("something follows it".into()), node.place()));
        }
        match node.name() {
            "file" => {
                let name = node.argument()?.text_at()?;
                let wanted = node.need("sha256")?;
                node.end(1)?;
                let Some(digest) = seal::parse_digest(wanted.text()?) else {
                    return Err(wanted.refuse("this is no SHA-256 in 64 hexadecimal digits", None));
                };
                if files.iter().any(|(other, _)| other.value == name.value) {
                    return Err(node.refuse(format!("'{}' stands twice", name.value), None));
                }
                files.push((name, digest));
            }
            SEAL => {
                check_seal(source, &mut node, files.len())?;
                sealed = true;
            }
            _ => return Err(node.unknown(&["file", SEAL])),
        }
    }
    if files.is_empty() {
        return Err(source.refuse((0, 0), "the manifest names no file", None));
    }
    Ok(Manifest { name: source.name.clone(), digest: seal::digest(source.text.as_bytes()), sealed, files })
}

/// The text of a manifest for these files, sealed.
pub fn manifest(files: &[(Arc<str>, Digest)]) -> String {
    let lines: String =
        files.iter().map(|(name, digest)| format!("file {} sha256=\"{digest}\"\n", quoted(name))).collect();
    seal::sealed(&lines, files.len())
}

fn quoted(text: &str) -> String {
    kdl::KdlValue::String(text.to_string()).to_string()
}

/// A time of the event clock as operators read it.
pub fn seconds(span: Micros) -> String {
    humantime::format_duration(std::time::Duration::from_millis(span / 1000)).to_string()
}
