use super::*;

const S: Micros = 1_000_000;
const NOTHING: Arrived = Arrived { completes_event: false, writes_event: false, says_complete: false };
const EVENT: Arrived = Arrived { completes_event: true, ..NOTHING };
const WRITING: Arrived = Arrived { writes_event: true, ..NOTHING };
const DONE: Arrived = Arrived { completes_event: true, says_complete: true, ..NOTHING };

/// Failure: an answer whose server writes an event slowly is cut off.
#[test]
fn answer_goes_on_while_an_event_is_written() {
    let mut answer = AnswerProgress::begin(0);
    for at in (0..7 * S).step_by(500_000) {
        assert!(answer.record(at, WRITING), "{at}");
    }
    assert!(answer.record(7 * S, EVENT));
    assert_eq!(answer.due(), 11 * S);
    assert!(answer.record(10 * S, WRITING));
    assert_eq!(answer.due(), 14 * S);
}

/// Failure: an event that never becomes complete keeps its client for ever.
#[test]
fn event_that_never_ends_is_given_up() {
    let mut answer = AnswerProgress::begin(0);
    answer.record(0, EVENT);
    let given_up = (0..100 * S).step_by(100_000).find(|at| !answer.record(*at, WRITING));
    assert_eq!(given_up, Some(EVENT_WRITTEN_WITHIN));
}

/// Failure: what follows the stream's own end, or is no event, keeps its client for ever.
#[test]
fn what_is_no_event_does_not_keep_an_answer() {
    let mut answer = AnswerProgress::begin(0);
    assert!(answer.record(S / 2, NOTHING));
    assert!(!answer.record(S, NOTHING), "no first event");
    let mut answer = AnswerProgress::begin(0);
    answer.record(0, EVENT);
    assert!(answer.record(4 * S - 1, NOTHING));
    assert!(!answer.record(4 * S, NOTHING));
    let mut answer = AnswerProgress::begin(0);
    answer.record(0, DONE);
    assert!(answer.record(3 * S, EVENT));
    assert!(!answer.record(4 * S, WRITING));
}

/// Failure: a server that could not be read while its client took nothing counts as silent for that time.
#[test]
fn time_in_which_the_client_took_nothing_is_not_the_servers() {
    let mut answer = AnswerProgress::begin(0);
    answer.record(0, EVENT);
    answer.was_held_back(9 * S);
    assert_eq!(answer.due(), 13 * S);
}
