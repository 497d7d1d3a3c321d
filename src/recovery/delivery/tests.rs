//! Tests of the schedule of deliveries.

use proptest::prelude::*;

use super::*;

const SECOND: Micros = 1_000_000;

/// Plays a delivery whose tries end like this, each after the given time or when its time is over. Returns when each try
/// began, and when and how the delivery ended.
fn play(
    expires_at: Micros,
    tries: impl IntoIterator<Item = (TryOutcome, Micros)>,
) -> (Vec<Micros>, Micros, DeliveryOutcome) {
    let (mut now, mut began) = (0, Vec::new());
    let mut schedule = DeliverySchedule::new(now, expires_at);
    let mut tries = tries.into_iter();
    loop {
        match schedule.step(now) {
            DeliveryStep::End(outcome) => return (began, now, outcome),
            DeliveryStep::Wait { until } => {
                assert!(until > now, "a wait ends later");
                now = until;
            }
            DeliveryStep::Try { answer_within } => {
                assert!(answer_within > 0);
                began.push(now);
                let (outcome, took) = tries.next().unwrap_or((TryOutcome::TimedOut, Micros::MAX));
                let outcome = if took > answer_within { TryOutcome::TimedOut } else { outcome };
                now += took.min(answer_within);
                schedule.record(now, outcome);
            }
        }
    }
}

#[test]
fn message_is_sent_again_until_it_is_accepted() {
    let tries = [TryOutcome::Failed, TryOutcome::Busy, TryOutcome::Failed, TryOutcome::Accepted];
    let (began, ended_at, outcome) = play(10 * SECOND, tries.map(|outcome| (outcome, 0)));
    assert_eq!(began, [0, 50_000, 150_000, 350_000]);
    assert_eq!((ended_at, outcome), (350_000, DeliveryOutcome::Delivered));
}

#[test]
fn rejected_message_is_not_sent_again() {
    let (began, _, outcome) = play(10 * SECOND, [(TryOutcome::Rejected, 5)]);
    assert_eq!((began.len(), outcome), (1, DeliveryOutcome::Rejected));
}

#[test]
fn silent_server_is_asked_ever_more_rarely_until_the_time_is_over() {
    let (began, ended_at, outcome) = play(10 * SECOND, []);
    assert_eq!(began, [0, 1_050_000, 3_150_000, 5_350_000, 7_750_000]);
    assert_eq!((ended_at, outcome), (10 * SECOND, DeliveryOutcome::Expired));
}

#[test]
fn nothing_is_sent_once_the_server_is_gone_or_the_time_is_over() {
    let mut schedule = DeliverySchedule::new(5, 10);
    schedule.server_gone();
    assert_eq!(schedule.step(5), DeliveryStep::End(DeliveryOutcome::ServerGone));
    let mut schedule = DeliverySchedule::new(10, 10);
    assert_eq!(schedule.step(10), DeliveryStep::End(DeliveryOutcome::Expired));
}

proptest! {
    /// However its tries end, a delivery ends in time, after few tries, and is accepted only if a try was.
    #[test]
    fn delivery_ends_in_time_and_is_tried_seldom(
        expires_at in 0..30 * SECOND,
        tries in prop::collection::vec((0..5_u8, 0..3 * SECOND), 0..200),
    ) {
        let tries = tries.into_iter().map(|(outcome, took)| {
            let outcome = match outcome {
                0 => TryOutcome::Busy,
                1 => TryOutcome::TimedOut,
                2 if took % 7 == 0 => TryOutcome::Accepted,
                _ => TryOutcome::Failed,
            };
            (outcome, took)
        });
        let (began, ended_at, outcome) = play(expires_at, tries);
        prop_assert!(ended_at <= expires_at);
        prop_assert!(began.iter().all(|at| *at < expires_at));
        let seconds = expires_at / SECOND;
        prop_assert!(began.len() as Micros <= seconds + 6, "{} tries in {seconds} s", began.len());
        match outcome {
            DeliveryOutcome::Delivered => prop_assert!(!began.is_empty()),
            _ => prop_assert_eq!((outcome, ended_at), (DeliveryOutcome::Expired, expires_at)),
        }
    }
}
