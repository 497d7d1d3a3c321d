//! What a reader is believed to keep of prompts: a data structure below the module. What is concluded from it
//! stands there.

use std::collections::BTreeMap;

use crate::interface::{Micros, PrefixKey, Request, SessionKey};

/// What an entry stands for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A session's prompts so far.
    Session(SessionKey),
    /// A beginning that sessions share.
    Prefix(PrefixKey),
}

/// The keys under which a request's prompt is kept, and the tokens that each stands for.
pub fn keys(request: &Request) -> impl Iterator<Item = (Key, u64)> {
    let session = request.session.map(|key| (Key::Session(key), request.prompt_tokens));
    let prefix =
        request.prefix.map(|key| (Key::Prefix(key), request.prefix_tokens.min(request.prompt_tokens)));
    session.into_iter().chain(prefix)
}

/// The tokens believed to be kept under each key, and when they were last used.
#[derive(Default)]
pub struct Kept(BTreeMap<Key, (u64, Micros)>);

impl Kept {
    /// Tokens of the request's prompt that an entry used since then stands for.
    pub fn promised(&self, since: Micros, request: &Request) -> u64 {
        let kept = keys(request).filter_map(|(key, most)| Some((self.0.get(&key)?, most)));
        let fresh = kept.filter(|((_, used), _)| *used > since);
        fresh.map(|((tokens, _), most)| most.min(*tokens)).max().unwrap_or(0)
    }

    /// Notes that the request's prompt is kept, or will be.
    pub fn record(&mut self, now: Micros, request: &Request) {
        for (key, tokens) in keys(request) {
            let (known, used) = self.0.entry(key).or_insert((tokens, now));
            (*known, *used) = ((*known).max(tokens), now);
        }
    }

    /// Whether there is an entry.
    pub fn holds(&self, key: &Key) -> bool {
        self.0.contains_key(key)
    }

    /// Drops what was not used since then.
    pub fn forget(&mut self, since: Micros) {
        self.0.retain(|_, (_, used)| *used > since);
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
