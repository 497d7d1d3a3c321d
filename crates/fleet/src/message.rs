//! Messages between processes of a fleet, and the form in which they travel.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use thiserror::Error;

use crate::book::Document;
use crate::ids::{ProcessId, ProcessName, Term};
use crate::{council, ledger, membership, shares, verdicts};

/// The form of messages. One that a process does not know is refused, and harms nothing.
pub const VERSION: u16 = 1;
/// The longest message: a list of grants is cut into several.
pub const MOST: usize = 1 << 20;
/// The longest message that may go as a datagram.
pub const MOST_DATAGRAM: usize = 1_200;

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Who is there.
    Membership(membership::Packet),
    /// Verdicts, told on.
    Verdicts(Vec<verdicts::Verdict>),
    /// Between keepers.
    Council(council::Packet),
    /// A process to the leader: what it wants of limits.
    Ask(shares::Ask),
    /// The leader's answer.
    Lend(shares::Lend),
    /// A process to the leader: what it has spent and wants of tokens.
    Draw(ledger::Draw),
    /// The leader's answer.
    Granted(ledger::Granted),
    /// A process to a keeper: the versions that it has of the fleet's documents, timeline and contracts.
    Have(u64, u64),
    /// A keeper's answer: newer ones.
    Documents(Vec<Document>),
    /// An operator's document for the log.
    Publish(Document),
    /// What became of it.
    Published(Result<u64, String>),
    /// Whoever was asked does not lead; who may, and in which term.
    Elsewhere(Option<ProcessName>, Term),
    /// The sender leaves and holds nothing any more; its seat and its unspent grants are free.
    Leave,
}

/// A message with who sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: ProcessId,
    /// What.
    pub message: Message,
}

/// Why bytes are no message of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum Refused {
    /// Too short or too long to be one.
    #[error("{0} bytes are no message: look for something else that speaks to the fleet's address")]
    Length(usize),
    /// Another form.
    #[error("its form is {0}, this process speaks {VERSION}: run the same release at all processes")]
    Version(u16),
    /// Another fleet's, or spoilt on its way.
    #[error(
        "it is another fleet's, or was spoilt on its way: check the fleet's name in each operator's document"
    )]
    Foreign,
    /// The seal is right and the content is not: a defect of the sender.
    #[error("its content can't be read: run the same release at all processes")]
    Content,
}

impl Envelope {
    /// As bytes: form, seal by the fleet's name, content.
    pub fn seal(&self, fleet: &str) -> Result<Vec<u8>, Refused> {
        let content = postcard::to_stdvec(self).map_err(|_| Refused::Content)?;
        let mut bytes = Vec::with_capacity(content.len() + 10);
        bytes.extend(VERSION.to_be_bytes());
        bytes.extend(seal(fleet, &content).to_be_bytes());
        bytes.extend(content);
        if bytes.len() > MOST { Err(Refused::Length(bytes.len())) } else { Ok(bytes) }
    }

    /// Out of bytes.
    ///
    /// # Errors
    ///
    /// Whatever is not a whole message of this fleet.
    pub fn open(fleet: &str, bytes: &[u8]) -> Result<Envelope, Refused> {
        let (Some((form, rest)), true) = (bytes.split_first_chunk::<2>(), bytes.len() <= MOST) else {
            return Err(Refused::Length(bytes.len()));
        };
        let form = u16::from_be_bytes(*form);
        if form != VERSION {
            return Err(Refused::Version(form));
        }
        let Some((sum, content)) = rest.split_first_chunk::<8>() else {
            return Err(Refused::Length(bytes.len()));
        };
        if u64::from_be_bytes(*sum) != seal(fleet, content) {
            return Err(Refused::Foreign);
        }
        postcard::from_bytes(content).map_err(|_| Refused::Content)
    }
}

/// A sum over the content under the fleet's name. It guards against chance, not against an enemy: who can reach the
/// fleet's addresses is the operator's to bound.
fn seal(fleet: &str, content: &[u8]) -> u64 {
    let mut name = SipHasher13::new();
    name.write(fleet.as_bytes());
    let mut sum = SipHasher13::new_with_keys(name.finish(), u64::from(VERSION));
    sum.write(content);
    sum.finish()
}

#[cfg(test)]
mod tests;
