//! A request router for disaggregated LLM serving. It decides which reader reads a prompt, which writer answers it,
//! and what happens when either fails.
//!
//! [`interface`] holds the input and output of the decisions as plain data, [`choice`] the decisions themselves, and
//! [`wire`] the adapter to the simulator's line protocol. A dispatcher links this crate, feeds [`choice::Router`] one
//! event at a time and carries out the actions that it returns:
//!
//! ```
//! use milletseam::choice::Router;
//! use milletseam::interface::*;
//!
//! let mut settings = Settings::plain(3);
//! settings.kinds = vec![
//!     Kind { role: Role::Reader, memory_tokens: 200_000 },
//!     Kind { role: Role::Writer, memory_tokens: 150_000 },
//! ];
//! settings.classes = vec![Class { aim: 1_000_000, deadline: 4_000_000, ..Class::plain() }];
//! let mut router = Router::new(settings, 7, 0).expect("valid settings");
//!
//! let mut actions = Vec::new();
//! let server = |id, kind| ServerEntry { id: ServerId(id), kind: KindId(kind), ..ServerEntry::plain() };
//! let list = ListUpdate { scope: ListScope::Cached, entries: vec![server(1, 0), server(2, 1)] };
//! router.handle(0, Event::List(list), &mut actions);
//!
//! let request = Request { expires: 4_000_000, prompt_tokens: 1_500, max_tokens: 200, ..Request::plain() };
//! actions.clear();
//! router.handle(1_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```

#![deny(unsafe_code)]

pub mod choice;
pub mod documents;
pub mod expect;
pub mod interface;
pub mod limits;
pub mod membership;
pub mod pace;
pub mod program;
pub mod protocol;
pub mod recovery;
pub mod roster;
pub mod routing;
pub mod slow_start;
pub mod transport;
pub mod wire;

/// Compiles and runs the example in README.md as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
