//! Time as the machine gives it. Stories hold the program to spans of some hundred milliseconds, and a machine that
//! others use as well, or a virtual one, may stand still for longer than that: no program does anything then, and no
//! bound on one is broken.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The watching thread sleeps for this, over and over.
const NAP: Duration = Duration::from_millis(2);
/// A nap that is longer by less than this is no standstill: timers are as late as that where nothing is wrong.
const LATE: Duration = Duration::from_millis(10);

/// Microseconds since the first stopwatch.
struct Watch {
    start: Instant,
    /// The watching thread ran last.
    ran: AtomicU64,
    /// Nothing ran for so long in all.
    stood: AtomicU64,
}

/// The thread is not the program's: one that holds up its own work is not excused by it.
fn watch() -> &'static Watch {
    static WATCH: OnceLock<Watch> = OnceLock::new();
    static THREAD: OnceLock<()> = OnceLock::new();
    let watch = WATCH.get_or_init(|| Watch {
        start: Instant::now(),
        ran: AtomicU64::new(0),
        stood: AtomicU64::new(0),
    });
    THREAD.get_or_init(|| {
        std::thread::spawn(|| {
            loop {
                std::thread::sleep(NAP);
                let overslept = watch.overslept();
                watch.stood.fetch_add(overslept.as_micros() as u64, Ordering::SeqCst);
                watch.ran.store(watch.start.elapsed().as_micros() as u64, Ordering::SeqCst);
            }
        });
    });
    watch
}

impl Watch {
    /// The standstill that the watching thread is in, or comes out of.
    fn overslept(&self) -> Duration {
        let ran = Duration::from_micros(self.ran.load(Ordering::SeqCst));
        let late = self.start.elapsed().saturating_sub(ran + NAP);
        if late < LATE { Duration::ZERO } else { late }
    }

    fn stood(&self) -> Duration {
        self.overslept() + Duration::from_micros(self.stood.load(Ordering::SeqCst))
    }
}

/// Measures a span without the time in which the machine stood still.
#[derive(Clone)]
pub struct Stopwatch {
    began: Instant,
    stood: Duration,
}

impl Stopwatch {
    pub fn start() -> Self {
        let stood = watch().stood();
        Stopwatch { began: Instant::now(), stood }
    }

    pub fn elapsed(&self) -> Duration {
        let stood = watch().stood().saturating_sub(self.stood);
        self.began.elapsed().saturating_sub(stood)
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
