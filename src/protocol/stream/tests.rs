use super::*;

#[test]
fn cached_tokens_and_load_are_found_in_a_stream_split_across_reads() {
    let mut inspector = StreamInspector::default();
    let text = concat!(
        "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n",
        "data: [DONE]\n\n: X-Backend-Load: TEXT x0=0.5\n\n",
    );
    let mut passed = Vec::new();
    for part in text.as_bytes().chunks(7) {
        let complete = inspector.feed(Bytes::copy_from_slice(part)).expect("events");
        assert!(complete.is_empty() || complete.ends_with(b"\n\n"), "{complete:?}");
        passed.extend_from_slice(&complete);
    }
    assert_eq!((passed.as_slice(), inspector.finish()), (text.as_bytes(), Ok(Bytes::new())));
    assert_eq!((inspector.kept_tokens, inspector.load.as_deref()), (4096, Some("TEXT x0=0.5")));
}

#[test]
fn stream_with_bytes_outside_events_is_malformed() {
    let feed = |text: &str| StreamInspector::default().feed(Bytes::from(text.to_string()));
    assert_eq!(feed("data: 1\n\n2a\r\ndata: 2\n\n"), Err(MalformedStream));
    assert_eq!(
        feed("data: 1\n\n: X-Backend-Load: TEXT what=?\n\nda"),
        Ok("data: 1\n\n: X-Backend-Load: TEXT what=?\n\n".into())
    );
    let mut inspector = StreamInspector::default();
    let endless = std::iter::repeat_with(|| inspector.feed("data: xxxxxxxx".repeat(1024).into())).take(40);
    assert_eq!(endless.last(), Some(Err(MalformedStream)));
}

/// Failure: what has no content, or follows the stream's own end, counts as an event and keeps the stream going.
#[test]
fn only_data_with_content_before_the_end_is_an_event() {
    let mut inspector = StreamInspector::default();
    let mut events = |text: &str| {
        inspector.feed(Bytes::from(text.to_string())).expect("events");
        (inspector.events, inspector.has_ended, inspector.is_within_event())
    };
    assert_eq!(events("data:\n\ndata: \n\ndata\n\n: x\n\nevent: x\n\n"), (0, false, false));
    assert_eq!(events("data: 1\ndata: 2\n\n"), (1, false, false));
    assert_eq!(events("da"), (1, false, false));
    assert_eq!(events("ta: "), (1, false, false));
    assert_eq!(events("3"), (1, false, true));
    assert_eq!(events("\n"), (1, false, true));
    assert_eq!(events("\n: comm"), (2, false, false));
    assert_eq!(events("ent\n\ndata: [DONE]\n\n"), (3, true, false));
    assert_eq!(events("data: 4\n\ndata: 5"), (3, true, false));
}

proptest::proptest! {
    /// Failure: a cut between two pieces changes what is passed on, or what is read from it.
    #[test]
    fn cuts_change_nothing(cuts in proptest::collection::vec(1..40_usize, 1..60)) {
        let text = "data: {\"a\":1}\n\n: c\n\ndata: x\ndata: y\n\ndata:\n\ndata: [DONE]\n\n: X-Backend-Load: TEXT x0=1\n\n";
        let mut inspector = StreamInspector::default();
        let (mut rest, mut passed) = (text.as_bytes(), Vec::new());
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            passed.extend_from_slice(&inspector.feed(Bytes::copy_from_slice(piece)).expect("events"));
            rest = later;
        }
        passed.extend_from_slice(&inspector.feed(Bytes::copy_from_slice(rest)).expect("events"));
        passed.extend_from_slice(&inspector.finish().expect("events"));
        proptest::prop_assert_eq!(passed.as_slice(), text.as_bytes());
        proptest::prop_assert_eq!((inspector.events, inspector.has_ended), (3, true));
        proptest::prop_assert_eq!(inspector.load.as_deref(), Some("TEXT x0=1"));
    }
}
