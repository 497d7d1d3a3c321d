//! Sends the counters to Graphite and collectd, as the operator's file says.

use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::hub::message::Hub;
use crate::documents::operator::{Collectd, Graphite};
use crate::protocol::{collectd, graphite};

/// Whoever does not take the counters within this time misses them.
const WITHIN: Duration = Duration::from_secs(5);

fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn every(span: Duration) -> tokio::time::Interval {
    let mut interval = interval(span);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

/// Sends to Graphite for as long as the program runs; what it misses is in the next counters.
pub async fn to_graphite(to: Graphite, hub: Hub) {
    let mut tick = every(to.every);
    loop {
        tick.tick().await;
        let text = graphite::lines(&to.prefix, &hub.counters().await.all_metrics(), unix_s());
        let sending = async {
            let mut stream = TcpStream::connect(&to.address).await?;
            stream.write_all(text.as_bytes()).await?;
            stream.shutdown().await
        };
        log("graphite", timeout(WITHIN, sending).await.unwrap_or_else(|late| Err(late.into())));
    }
}

/// Sends to collectd for as long as the program runs.
pub async fn to_collectd(to: Collectd, hub: Hub) {
    let mut tick = every(to.every);
    loop {
        tick.tick().await;
        let counters = hub.counters().await.all_metrics();
        let text = collectd::putvals(&to.host, &counters, to.every.as_secs_f64(), unix_s());
        let sending = async {
            let (reader, mut writer) = UnixStream::connect(&to.socket).await?.into_split();
            let mut answers = BufReader::new(reader).lines();
            for command in text.split_inclusive('\n') {
                writer.write_all(command.as_bytes()).await?;
                match answers.next_line().await? {
                    Some(answer) if collectd::accepted(&answer) => {}
                    answer => return Err(io::Error::other(answer.unwrap_or("it hung up".into()))),
                }
            }
            Ok(())
        };
        log("collectd", timeout(WITHIN, sending).await.unwrap_or_else(|late| Err(late.into())));
    }
}

fn log(to: &str, result: io::Result<()>) {
    if let Err(error) = result {
        tracing::warn!(exporter = to, %error, "counters were not taken");
    }
}
