//! Tests of deliveries to stand-ins for servers.

use std::sync::atomic::AtomicUsize;

use futures_util::future::FutureExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::*;

const MAX_TRIES: usize = 8;
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// A server that says nothing, or takes each message at once.
#[derive(Debug)]
struct StandIn {
    is_silent: AtomicBool,
    gate: PostGate,
    is_listed: watch::Sender<bool>,
    in_flight: AtomicUsize,
    /// How many tries were in flight, told as each of them begins.
    begun: mpsc::UnboundedSender<usize>,
}

impl StandIn {
    fn new(is_silent: bool) -> (Arc<Self>, mpsc::UnboundedReceiver<usize>) {
        let (begun, begins) = mpsc::unbounded_channel();
        let stand_in = StandIn {
            is_silent: AtomicBool::new(is_silent),
            gate: PostGate::new(MAX_TRIES),
            is_listed: watch::Sender::new(true),
            in_flight: AtomicUsize::new(0),
            begun,
        };
        (Arc::new(stand_in), begins)
    }
}

impl PostTarget for StandIn {
    fn try_post<'a>(&'a self, _: &'a Post, within: Duration) -> BoxFuture<'a, TryOutcome> {
        async move {
            let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
            let _ = self.begun.send(in_flight);
            let outcome = match self.is_silent.load(Ordering::Relaxed) {
                true => {
                    tokio::time::sleep(within).await;
                    TryOutcome::TimedOut
                }
                false => TryOutcome::Accepted,
            };
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
            outcome
        }
        .boxed()
    }

    fn address(&self) -> Arc<str> {
        "stand-in".into()
    }

    fn unlisted(&self) -> BoxFuture<'static, ()> {
        let mut is_listed = self.is_listed.subscribe();
        async move { drop(is_listed.wait_for(|is_listed| !is_listed).await) }.boxed()
    }

    fn gate(&self) -> &PostGate {
        &self.gate
    }
}

fn delivery(target: &Arc<StandIn>, call: &watch::Sender<CallState>) -> Delivery {
    let post = Post {
        id: "c-1".into(),
        path: "/rpc".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
    };
    Delivery { target: target.clone(), post, expires_at: Instant::now() + TIME_LIMIT, call: call.subscribe() }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(test);
}

/// Guards against a silent server that takes all places from the others, and against tries without a bound.
#[test]
fn silent_server_has_few_tries_in_flight_and_keeps_no_others_waiting() {
    run(async {
        let deliveries = Arc::new(Deliveries::new(MAX_TRIES));
        let call = watch::Sender::new(CallState::Open);
        let ((silent, mut silent_begins), (sound, _begins)) = (StandIn::new(true), StandIn::new(false));
        let mut tasks = JoinSet::new();
        for _ in 0..50 {
            let (deliveries, delivery) = (deliveries.clone(), delivery(&silent, &call));
            tasks.spawn(async move { deliveries.deliver(delivery).await });
        }
        assert_eq!(silent_begins.recv().await, Some(1));
        assert_eq!(silent_begins.recv().await, Some(2));
        let began = Instant::now();
        for _ in 0..50 {
            assert_eq!(deliveries.deliver(delivery(&sound, &call)).await, DeliveryOutcome::Delivered);
        }
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
        assert_eq!(deliveries.totals().in_progress, 50);
        // Once tries have had no answer, there is one at a time.
        silent_begins.recv().await.expect("a try");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!((silent.in_flight.load(Ordering::Relaxed), deliveries.totals().tries), (1, 53));
        // When the server answers again, all are delivered.
        silent.is_silent.store(false, Ordering::Relaxed);
        let outcomes = tasks.join_all().await;
        let delivered = outcomes.iter().filter(|outcome| **outcome == DeliveryOutcome::Delivered).count();
        assert_eq!(delivered, 50, "{outcomes:?}");
        let totals = deliveries.totals();
        assert_eq!((totals.delivered, totals.expired, totals.in_progress), (100, 0, 0));
    });
}

/// A delivery to a silent server ends in time, and counts as expired.
#[test]
fn delivery_ends_when_its_time_is_over() {
    run(async {
        let deliveries = Deliveries::new(MAX_TRIES);
        let call = watch::Sender::new(CallState::Open);
        let (silent, _begins) = StandIn::new(true);
        let expires_at = Instant::now() + Duration::from_millis(50);
        let delivery = Delivery { expires_at, ..delivery(&silent, &call) };
        assert_eq!(deliveries.deliver(delivery).await, DeliveryOutcome::Expired);
        let totals = deliveries.totals();
        assert_eq!((totals.expired, totals.tries, totals.in_progress), (1, 1, 0));
    });
}

/// Guards against messages that are posted again though their server is gone: its answer broke off, or it has answered and
/// is no longer listed.
#[test]
fn delivery_ends_when_its_server_is_gone() {
    run(async {
        for state in [CallState::BrokenOff, CallState::Ended] {
            let deliveries = Deliveries::new(MAX_TRIES);
            let call = watch::Sender::new(CallState::Open);
            let (silent, mut begins) = StandIn::new(true);
            let delivering = deliveries.deliver(delivery(&silent, &call));
            let server_ends = async {
                begins.recv().await.expect("a try");
                call.send_replace(state);
                if state == CallState::Ended {
                    // A server that has only answered its call still gets its message.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    assert_eq!(deliveries.totals().in_progress, 1);
                    silent.is_listed.send_replace(false);
                }
            };
            let (outcome, ()) = tokio::join!(delivering, server_ends);
            assert_eq!(outcome, DeliveryOutcome::ServerGone, "{state:?}");
        }
    });
}
