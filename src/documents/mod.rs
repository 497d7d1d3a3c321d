//! The operators' documents, in KDL 2: the files of servers, their manifest, and the operator's own document.
//! They are read into plain data; a document that can't be taken is refused with file, line and column and a
//! remedy. This room opens no file and decides nothing about members: that is [`crate::membership`].

mod cases;
pub mod expectations;
pub mod kept;
pub mod operator;
pub mod read;
pub mod report;
pub mod seal;
pub mod servers;

pub use operator::Operator;
pub use read::Source;
