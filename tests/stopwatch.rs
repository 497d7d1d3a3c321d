//! Tests of the clock by which other tests hold the program to spans of time.

mod peers;

use std::time::Duration;

use peers::stopwatch::MachineTime;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// Guards against a clock that goes back when its watching thread is late, so that an event seems to come before its
/// cause.
#[test]
fn machine_time_does_not_go_back_while_the_watching_thread_is_late() {
    let mut time = MachineTime::default();
    time.thread_runs(100 * MS);
    let while_late: Vec<Duration> = (100..200).map(|now| time.at(now * MS)).collect();
    assert!(while_late.is_sorted(), "{while_late:?}");
    time.thread_runs(200 * MS);
    assert_eq!(time.at(200 * MS), while_late[99], "the same standstill is not counted twice");
}

/// Guards against excuses for more than the machine stood still, and against a standstill that is not excused.
#[test]
fn standstill_is_left_out_of_the_machine_time() {
    let mut time = MachineTime::default();
    time.thread_runs(2 * MS);
    time.thread_runs(4 * MS);
    assert_eq!(time.at(16 * MS), 16 * MS, "timers are late by some milliseconds where nothing is wrong");
    time.thread_runs(304 * MS);
    assert_eq!(time.at(304 * MS), 16 * MS, "288 ms of 300 ms are left out");
    assert_eq!(time.at(314 * MS), 26 * MS);
}

proptest! {
    /// Invariant: whenever the thread runs, and whenever the time is read, it goes neither back nor faster than the clock.
    #[test]
    fn machine_time_is_monotonic_and_no_faster_than_the_clock(
        steps in prop::collection::vec((0u32..40, any::<bool>()), 1..200),
    ) {
        let mut time = MachineTime::default();
        let (mut now, mut last) = (Duration::ZERO, Duration::ZERO);
        for (passed, thread_runs) in steps {
            now += passed * MS;
            if thread_runs {
                time.thread_runs(now);
            }
            let machine_time = time.at(now);
            prop_assert!(machine_time >= last, "back from {:?} to {:?}", last, machine_time);
            prop_assert!(machine_time - last <= passed * MS, "faster than the clock");
            last = machine_time;
        }
    }
}
