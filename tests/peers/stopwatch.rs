//! Time as the machine gives it. Stories hold the program to spans of some hundred milliseconds, and a machine that
//! others use as well, or a virtual one, may stand still for longer than that: no program does anything then, and no
//! bound on one is broken.

use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The watching thread sleeps for this, over and over.
const NAP: Duration = Duration::from_millis(2);
/// A nap that is longer by less than this is no standstill: timers are as late as that where nothing is wrong.
const LATE: Duration = Duration::from_millis(10);

/// The time in which the machine did not stand still, from the observations of a thread that should run all the time.
///
/// Invariant: it never goes back, and never runs faster than the clock.
#[derive(Default)]
pub struct MachineTime {
    /// When the watching thread ran last.
    ran: Duration,
    /// For how long the machine has stood still in all, as known when that thread ran last.
    stood: Duration,
}

impl MachineTime {
    /// Returns the machine's time at a time of the clock.
    pub fn at(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stood + self.standstill(now))
    }

    /// Records that the watching thread runs.
    pub fn thread_runs(&mut self, now: Duration) {
        self.stood += self.standstill(now);
        self.ran = now;
    }

    /// Returns how long the standstill is that the watching thread is in, or comes out of.
    fn standstill(&self, now: Duration) -> Duration {
        now.saturating_sub(self.ran + NAP + LATE)
    }
}

/// The machine's time since the first stopwatch.
struct Watch {
    start: Instant,
    time: Mutex<MachineTime>,
}

/// The thread is not the program's: one that holds up its own work is not excused by it.
fn watch() -> &'static Watch {
    static WATCH: OnceLock<Watch> = OnceLock::new();
    static THREAD: OnceLock<()> = OnceLock::new();
    let watch = WATCH.get_or_init(|| Watch { start: Instant::now(), time: Mutex::default() });
    THREAD.get_or_init(|| {
        std::thread::spawn(|| {
            loop {
                std::thread::sleep(NAP);
                let mut time = watch.time();
                time.thread_runs(watch.start.elapsed());
            }
        });
    });
    watch
}

impl Watch {
    fn time(&self) -> MutexGuard<'_, MachineTime> {
        self.time.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        // The clock is read under the lock, so that no thread reads a later time before an earlier one.
        let time = self.time();
        time.at(self.start.elapsed())
    }
}

/// Measures a span without the time in which the machine stood still.
#[derive(Clone)]
pub struct Stopwatch {
    began: Duration,
}

impl Stopwatch {
    pub fn start() -> Self {
        Stopwatch { began: watch().now() }
    }

    pub fn elapsed(&self) -> Duration {
        watch().now() - self.began
    }
}

/// What comes of it within such a span of the machine's time.
pub async fn within<T>(span: Duration, future: impl Future<Output = T>) -> Option<T> {
    let stopwatch = Stopwatch::start();
    let mut future = std::pin::pin!(future);
    loop {
        let left = span.saturating_sub(stopwatch.elapsed());
        match tokio::time::timeout(left, &mut future).await {
            Ok(came) => return Some(came),
            Err(_) if left.is_zero() => return None,
            Err(_) => {}
        }
    }
}
