//! The text that a reader is believed to keep, by session and by shared prefix.

use std::collections::BTreeMap;

use crate::interface::*;

/// How long an entry is believed that is not used: the reader may have dropped its tokens since.
const KEPT_FOR: Micros = 30_000_000;

/// What a table entry stands for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Key {
    Session(SessionKey),
    Prefix(PrefixKey),
}

/// Tokens believed to be kept at a reader, and when they were last used.
pub(super) struct Kept {
    pub(super) tokens: u64,
    pub(super) used: Micros,
}

/// The table of one reader.
#[derive(Default)]
pub(super) struct KeptPrefixes(BTreeMap<Key, Kept>);

impl KeptPrefixes {
    /// Prompt tokens that the table holds for the request.
    pub(super) fn tokens_of(&self, now: Micros, request: &Request) -> u64 {
        let believed = |(key, most): (Key, u64)| {
            let kept = self.0.get(&key).filter(|kept| kept.used + KEPT_FOR > now)?;
            Some(kept.tokens.min(most))
        };
        keys(request).filter_map(believed).max().unwrap_or(0)
    }

    /// Notes that the reader keeps the request's prompt, or will.
    pub(super) fn record(&mut self, now: Micros, request: &Request) {
        for (key, tokens) in keys(request) {
            let kept = self.0.entry(key).or_insert(Kept { tokens, used: now });
            (kept.tokens, kept.used) = (kept.tokens.max(tokens), now);
        }
    }

    /// Whether there is an entry, however old.
    pub(super) fn has(&self, key: &Key) -> bool {
        self.0.contains_key(key)
    }

    /// Drops what has not been used for long.
    pub(super) fn expire(&mut self, now: Micros) {
        self.0.retain(|_, kept| kept.used + KEPT_FOR > now);
    }

    /// Drops everything: the reader has started anew.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// The keys under which a request's prompt is kept, and the tokens that each stands for.
pub(super) fn keys(request: &Request) -> impl Iterator<Item = (Key, u64)> {
    let session = request.session.map(|key| (Key::Session(key), request.prompt_tokens));
    let prefix =
        request.prefix.map(|key| (Key::Prefix(key), request.prefix_tokens.min(request.prompt_tokens)));
    session.into_iter().chain(prefix)
}
