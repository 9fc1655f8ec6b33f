//! Callers that open a flow for each request, and what became of each request.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_standin::packet_caller::CallError;
use lagoonproxy_standin::packet_caller::CallerFlow;
use lagoonproxy_standin::packet_caller::PacketCaller;
use lagoonproxy_standin::packet_caller::PacketFabric;

use crate::cluster::CaseResult;
use crate::cluster::Cluster;
use crate::cluster::Record;

const CALLERS_PER_ZONE: usize = 3;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(90);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What became of a request.
pub enum Outcome {
    /// Run and answered by the upstream with this number.
    Answered(u64),
    Reset,
    NoAnswer,
}

/// A request, with its own `X-Request-Id`.
pub struct Attempt {
    pub id: u64,
    /// When its first packet was sent: the first SYN, if it has a flow of its own.
    pub sent: Instant,
    pub ended: Instant,
    pub service: SocketAddrV4,
    /// The host that the fabric sends the flow to; `None` if the flow did not open.
    pub host: Option<SocketAddrV4>,
    pub outcome: Outcome,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Sends a request on an open flow.
pub async fn call(
    caller: &mut PacketCaller,
    fabric: &PacketFabric,
    flow: &mut CallerFlow,
    sent: Instant,
    timeout: Duration,
) -> Attempt {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let host = fabric.select_host((flow.source(), flow.service()));
    let text = format!("GET / HTTP/1.1\r\nHost: ledger\r\nX-Request-Id: {id:016x}\r\n\r\n");
    let outcome = match caller.request(flow, text.as_bytes(), timeout).await {
        Ok(response) => {
            let response = String::from_utf8_lossy(&response);
            let number = response.rsplit(' ').next();
            let number = number.and_then(|text| u64::from_str_radix(text, 16).ok());
            Outcome::Answered(number.unwrap_or_default())
        }
        Err(CallError::Reset) => Outcome::Reset,
        Err(CallError::Timeout) => Outcome::NoAnswer,
    };
    Attempt {
        id,
        sent,
        ended: Instant::now(),
        service: flow.service(),
        host,
        outcome,
    }
}

/// Starts callers in each zone that send requests to a service until the case ends.
pub async fn start(cluster: &mut Cluster, service: SocketAddrV4) -> CaseResult<Attempts> {
    let attempts = Attempts::default();
    for zone in 0..cluster.zones.len() {
        for _caller in 0..CALLERS_PER_ZONE {
            let mut caller = cluster.caller(zone).await?;
            let fabric = cluster.fabrics[zone].clone();
            let attempts = attempts.clone();
            tokio::spawn(async move {
                loop {
                    let sent = Instant::now();
                    let attempt = match caller.open(service).await {
                        Ok(mut flow) => {
                            let timeout = Duration::from_secs(2);
                            let attempt =
                                call(&mut caller, &fabric, &mut flow, sent, timeout).await;
                            caller.close(&flow).await;
                            attempt
                        }
                        Err(error) => Attempt {
                            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
                            sent,
                            ended: Instant::now(),
                            service,
                            host: None,
                            outcome: match error {
                                CallError::Reset => Outcome::Reset,
                                CallError::Timeout => Outcome::NoAnswer,
                            },
                        },
                    };
                    attempts.lock().unwrap().push(attempt);
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
    }
    Ok(attempts)
}

/// Writes the requests sent after a time, and what each upstream has run, to the record.
pub fn write_attempts(record: &Record, cluster: &Cluster, attempts: &[Attempt], after: Instant) {
    let mut written: Vec<&Attempt> = attempts
        .iter()
        .filter(|attempt| attempt.sent > after)
        .collect();
    written.sort_by_key(|attempt| attempt.sent);
    for attempt in written {
        let through = cluster.host_name(attempt.host).unwrap_or("no open flow");
        let took_ms = (attempt.ended - attempt.sent).as_millis();
        let outcome = match attempt.outcome {
            Outcome::Answered(number) => format!("run and answered by i-{number:x}"),
            Outcome::Reset => "reset".to_owned(),
            Outcome::NoAnswer => "no answer".to_owned(),
        };
        let (id, service) = (attempt.id, attempt.service);
        record.line_at(
            attempt.sent,
            format!("sent: request {id:016x} to {service} through {through}: {outcome} after {took_ms} ms"),
        );
    }
    for upstream in &cluster.upstreams {
        let tally = upstream.tally();
        record.line(format!(
            "i-{:x}: {} SYNs, {} requests run, {} packets of flows that it does not hold",
            upstream.number, tally.syns, tally.requests, tally.unknown
        ));
    }
}
