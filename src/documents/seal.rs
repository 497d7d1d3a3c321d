//! The seal: a last line that counts the servers and digests all bytes before it. A KDL text that is cut off
//! between two nodes still reads well; one with its seal can't have been cut.

use sha2::{Digest as _, Sha256};

use crate::membership::Digest;

/// The name of the node.
pub const SEAL: &str = "seal";

/// SHA-256 of some bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

/// A digest written in hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<Digest> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(Digest(bytes))
}

/// The text before its seal line, if its last line that is not blank is one.
pub fn unsealed(text: &str) -> Option<&str> {
    let ends = text.trim_end();
    let start = ends.rfind('\n').map_or(0, |at| at + 1);
    let first = ends[start..].split([' ', '\t']).next();
    (first == Some(SEAL)).then_some(&text[..start])
}

/// The text with a fresh seal in place of one that it may have. `count` is how many nodes it counts.
pub fn sealed(text: &str, count: usize) -> String {
    let mut body = unsealed(text).unwrap_or(text).to_string();
    if !body.is_empty() && !body.ends_with('\n') {
        body.push('\n');
    }
    let digest = digest(body.as_bytes());
    body + &format!("{SEAL} count={count} sha256=\"{digest}\"\n")
}
