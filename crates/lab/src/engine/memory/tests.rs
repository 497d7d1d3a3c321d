use proptest::prelude::*;

use super::*;

/// A text of a family: the opening's blocks, then its own.
fn text(family: u64, own: u64, opening: usize, length: usize) -> Vec<BlockId> {
    let block = |n: usize| {
        let whose = if n < opening { family } else { 1_000 + family * 10 + own };
        BlockId(whose * 1_000 + n as u64)
    };
    (0..length).map(block).collect()
}

#[test]
fn a_shared_opening_is_held_once_and_the_oldest_text_goes_first() {
    let mut memory = Memory::new(10);
    let (one, two, three) = (text(1, 1, 3, 6), text(1, 2, 3, 6), text(2, 3, 3, 5));
    assert_eq!(memory.hold(1, &one), Some(0));
    assert_eq!(memory.hold(2, &two), Some(3));
    assert_eq!(memory.in_use(), 9);
    assert_eq!(memory.hold(3, &three), None, "5 blocks have no room while 9 are in use");
    assert_eq!(memory.in_use(), 9);
    memory.release(&one);
    assert_eq!((memory.idle(), memory.kept(&one)), (3, 6));
    assert!(memory.grow(2));
    assert_eq!((memory.kept(&one), memory.kept(&two)), (5, 6), "the end goes before the opening");
    memory.release(&two);
    assert_eq!(memory.hold(4, &three), Some(0));
    assert_eq!(memory.kept(&two), 3, "the older text's rest has gone, then the end of the other");
}

proptest! {
    /// Invariants: *bounded* (never more blocks than there are), *conserved* (what is used is what was held and
    /// not released), *rooted* (a kept block's predecessors are kept).
    #[test]
    fn any_sequence_keeps_the_invariants(
        steps in prop::collection::vec((0u8..4, 0u64..3, 0u64..6, 1usize..12), 1..80),
    ) {
        let mut memory = Memory::new(24);
        let (mut held, mut private) = (Vec::<Vec<BlockId>>::new(), 0);
        for (now, (what, family, own, length)) in steps.into_iter().enumerate() {
            match what {
                0 | 1 => {
                    let text = text(family, own, 4, length);
                    if memory.hold(now as Micros, &text).is_some() {
                        held.push(text);
                    }
                }
                2 if !held.is_empty() => memory.release(&held.swap_remove(own as usize % held.len())),
                _ if memory.grow(length) => private += length,
                _ => {
                    memory.shrink(private);
                    private = 0;
                }
            }
            let used: BTreeSet<BlockId> = held.iter().flatten().copied().collect();
            prop_assert_eq!(memory.in_use(), used.len() + private, "conserved");
            prop_assert!(memory.in_use() + memory.idle() <= memory.capacity(), "bounded");
            for family in 0..3 {
                for own in 0..6 {
                    for length in 1..12 {
                        let text = text(family, own, 4, length);
                        let any = text.iter().rposition(|id| memory.shared.contains_key(id));
                        prop_assert_eq!(any.map_or(0, |at| at + 1), memory.kept(&text), "rooted");
                    }
                }
            }
        }
    }
}
