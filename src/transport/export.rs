//! Exports the metrics to Graphite and collectd, as the operator's file says.

use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::hub::message::Hub;
use crate::documents::operator::{Collectd, Graphite};
use crate::protocol::{collectd, graphite};

/// An export that takes longer is dropped.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn ticker(span: Duration) -> tokio::time::Interval {
    let mut interval = interval(span);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

/// Exports to Graphite for as long as the program runs. Counters are totals, so an export that was missed is made up
/// for by the next one.
pub async fn to_graphite(target: Graphite, hub: Hub) {
    let mut tick = ticker(target.every);
    loop {
        tick.tick().await;
        let text = graphite::lines(&target.prefix, &hub.counters().await.all_metrics(), unix_s());
        let sending = async {
            let mut stream = TcpStream::connect(&target.address).await?;
            stream.write_all(text.as_bytes()).await?;
            stream.shutdown().await
        };
        log_failure(
            "graphite",
            timeout(EXPORT_TIMEOUT, sending).await.unwrap_or_else(|elapsed| Err(elapsed.into())),
        );
    }
}

/// Exports to collectd for as long as the program runs.
pub async fn to_collectd(target: Collectd, hub: Hub) {
    let mut tick = ticker(target.every);
    loop {
        tick.tick().await;
        let counters = hub.counters().await.all_metrics();
        let text = collectd::putvals(&target.host, &counters, target.every.as_secs_f64(), unix_s());
        let sending = async {
            let (reader, mut writer) = UnixStream::connect(&target.socket).await?.into_split();
            let mut answers = BufReader::new(reader).lines();
            for command in text.split_inclusive('\n') {
                writer.write_all(command.as_bytes()).await?;
                match answers.next_line().await? {
                    Some(answer) if collectd::accepted(&answer) => {}
                    answer => return Err(io::Error::other(answer.unwrap_or("no reply before close".into()))),
                }
            }
            Ok(())
        };
        log_failure(
            "collectd",
            timeout(EXPORT_TIMEOUT, sending).await.unwrap_or_else(|elapsed| Err(elapsed.into())),
        );
    }
}

fn log_failure(exporter_name: &str, result: io::Result<()>) {
    if let Err(error) = result {
        tracing::warn!(exporter = exporter_name, %error, "failed to export the metrics");
    }
}
