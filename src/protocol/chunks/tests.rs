use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n";

fn follow(pieces: &[&str]) -> ChunkFollower {
    let mut follower = ChunkFollower::default();
    pieces.iter().for_each(|piece| follower.feed(piece.as_bytes()));
    follower
}

/// Failure: a chunk that never ends is taken for one that is being written.
#[test]
fn chunk_larger_than_any_event_is_found_behind_good_ones() {
    let good = follow(&["HTTP/1.1 100 Continue\r\n\r\n", HEAD, "5\r\nhello\r\nA;x=y\r\n0123456789\r\n"]);
    assert_eq!((good.oversized_after(), good.is_within_chunk()), (None, false));
    for size in ["c0000000", "100001", "ffffffffffffffff", "fffffffffffffffffffff"] {
        let oversized = follow(&[HEAD, "5\r\nhello\r\n", size, "\r\nda"]);
        assert_eq!(oversized.oversized_after(), Some(5), "{size}");
    }
    assert_eq!(follow(&[HEAD, "100000\r\nx"]).oversized_after(), None);
}

/// Failure: a server that writes a chunk slowly counts as silent, or one that has finished it as writing.
#[test]
fn server_is_within_a_chunk_until_its_last_byte() {
    assert!(follow(&[HEAD, "5\r\nhell"]).is_within_chunk());
    assert!(!follow(&[HEAD, "5\r\nhello"]).is_within_chunk());
    assert!(!follow(&[HEAD, "5\r\nhello\r\n5"]).is_within_chunk());
    assert!(!follow(&[HEAD, "5\r\nhello\r\n0\r\n\r\n"]).is_within_chunk());
    assert!(follow(&["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhell"]).is_within_chunk());
    assert!(!follow(&["HTTP/1.1 200 OK\r\nTransf"]).is_within_chunk());
}

proptest::proptest! {
    /// Failure: a cut between two pieces hides a chunk that is too large, or invents one.
    #[test]
    fn cuts_change_nothing(cuts in proptest::collection::vec(1..30_usize, 1..40), is_oversized: bool) {
        let last = if is_oversized { "7fffffff\r\nmore" } else { "4\r\nmore" };
        let text = format!("{HEAD}3\r\nabc\r\n10;ext\r\n0123456789abcdef\r\n{last}");
        let mut follower = ChunkFollower::default();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            follower.feed(piece);
            rest = later;
        }
        follower.feed(rest);
        proptest::prop_assert_eq!(follower.oversized_after(), is_oversized.then_some(19));
        proptest::prop_assert_eq!(follower.is_within_chunk(), is_oversized);
    }
}
