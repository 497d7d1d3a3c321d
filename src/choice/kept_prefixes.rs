//! The text that a reader is presumed to keep, by session and by shared prefix.

use std::collections::BTreeMap;

use crate::interface::*;

/// How long an unused entry stays valid. The reader may have dropped its tokens since.
const ENTRY_TTL: Micros = 30_000_000;
/// The most entries of one reader. Clients choose the names of sessions and prefixes, so their number is no bound.
const MAX_ENTRIES: usize = 2_048;

/// The key of a table entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum KeptKey {
    Session(SessionKey),
    Prefix(PrefixKey),
}

/// Tokens presumed to be kept at a reader, and when they were last used.
pub(super) struct KeptEntry {
    pub(super) tokens: u64,
    pub(super) last_used: Micros,
}

/// The table of the text that one reader is presumed to keep.
#[derive(Default)]
pub(super) struct KeptPrefixes(BTreeMap<KeptKey, KeptEntry>);

impl KeptPrefixes {
    /// Returns the number of the request's prompt tokens that the table holds.
    pub(super) fn tokens_of(&self, now: Micros, request: &Request) -> u64 {
        let valid_tokens = |(key, key_tokens): (KeptKey, u64)| {
            let kept = self.0.get(&key).filter(|kept| kept.last_used + ENTRY_TTL > now)?;
            Some(kept.tokens.min(key_tokens))
        };
        kept_keys(request).filter_map(valid_tokens).max().unwrap_or(0)
    }

    /// Records that the reader keeps the request's prompt, or will once it has read it. While the table is full, only known
    /// keys are recorded.
    pub(super) fn record(&mut self, now: Micros, request: &Request) {
        for (key, tokens) in kept_keys(request) {
            if self.0.len() >= MAX_ENTRIES && !self.has(&key) {
                continue;
            }
            let kept = self.0.entry(key).or_insert(KeptEntry { tokens, last_used: now });
            (kept.tokens, kept.last_used) = (kept.tokens.max(tokens), now);
        }
    }

    /// Returns true if there is an entry for the key, whatever its age.
    pub(super) fn has(&self, key: &KeptKey) -> bool {
        self.0.contains_key(key)
    }

    /// Drops expired entries.
    pub(super) fn expire(&mut self, now: Micros) {
        self.0.retain(|_, kept| kept.last_used + ENTRY_TTL > now);
    }

    /// Drops all entries, because the reader's process is down.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// Returns the keys under which a request's prompt is kept, and the number of tokens that each covers.
pub(super) fn kept_keys(request: &Request) -> impl Iterator<Item = (KeptKey, u64)> {
    let session = request.session.map(|key| (KeptKey::Session(key), request.prompt_tokens));
    let prefix =
        request.prefix.map(|key| (KeptKey::Prefix(key), request.prefix_tokens.min(request.prompt_tokens)));
    session.into_iter().chain(prefix)
}
