//! Generates load: open-loop arrivals over long-lived and short flows.
//!
//! A job is one unit of load: a request and its retries, each of which has a request number of its
//! own. A job's latency counts from its intended start, so that a stall of the system shows in the
//! latency of the jobs that arrive during it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::RunOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::answer_content::AnswerIntegrity;
use crate::answer_content::PayloadSpec;
use crate::caller::CallOutcome;
use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::caller::with_jitter;
use crate::fabric::Fabric;
use crate::load_report::JobRecord;
use crate::load_report::JobResult;
use crate::load_report::LoadReport;

/// Bytes of padding after the [`PayloadSpec`] of a payload.
const PADDING_BYTES: usize = 100;
/// Lowest flow number of short flows; those of long-lived flows are smaller.
const FIRST_SHORT_FLOW: FlowId = 1 << 32;

/// The load on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The service's name in the printed table.
    pub name: SmolStr,
    /// The service's address, which callers send to.
    pub address: ServiceAddress,
    /// Weight by which jobs are distributed over the services.
    pub weight: f64,
    /// Share of requests that are idempotent, from 0 to 1.
    pub idempotent: f64,
    /// Length of an answer in bytes.
    pub answer_len: u32,
    /// Share of long requests, from 0 to 1.
    #[serde(default)]
    pub long_share: f64,
    /// Additional service time of a long request in milliseconds.
    #[serde(default)]
    pub long_ms: u64,
    /// Share of requests that open a flow of their own and close it afterwards, from 0 to 1.
    #[serde(default)]
    pub short_flows: f64,
}

/// Settings of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Seed of the arrival times and of the jobs' properties.
    pub seed: u64,
    /// The availability zones over which callers are distributed in turn.
    pub zones: Vec<ZoneName>,
    /// Number of callers, each with an address of its own.
    pub callers: u32,
    /// Number of long-lived flows from each caller to each service.
    pub flows: u64,
    /// Number of jobs to start.
    pub requests: u64,
    /// Mean number of jobs started per second.
    pub rate: f64,
    /// Timeout of a job in milliseconds, retries included.
    pub budget_ms: u64,
    /// The load on each service.
    pub services: Vec<ServiceLoad>,
}

/// A flow of a caller, with the request numbers that it has used.
struct CallerFlow {
    service: usize,
    flow: FlowId,
    next_request: AtomicU64,
    broken: AtomicBool,
}

/// A caller with its long-lived flows.
struct LoadCaller {
    caller: Caller,
    flows: Vec<CallerFlow>,
    next_short_flow: AtomicU64,
}

/// A job that has not started yet.
#[derive(Clone, Copy, Debug)]
struct JobPlan {
    service: usize,
    caller: usize,
    flow: usize,
    idempotent: bool,
    short_flow: bool,
    payload_spec: PayloadSpec,
    /// Time at which the job is due to start.
    intended: Instant,
}

/// A load run whose callers are bound and whose long-lived flows are open.
pub struct LoadRun {
    settings: Arc<LoadSettings>,
    callers: Arc<Vec<LoadCaller>>,
    begun: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
}

/// Progress of a run, readable while it goes on.
#[derive(Clone)]
pub struct LoadProgress {
    begun: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
}

impl LoadProgress {
    /// Returns the number of jobs started.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Returns the number of jobs that have ended.
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Waits until at least `jobs` jobs have ended.
    pub async fn wait_for_ended(&self, jobs: u64) {
        while self.ended() < jobs {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

impl LoadRun {
    /// Binds the callers and opens their long-lived flows; returns an error if a flow cannot be
    /// opened.
    pub async fn open(settings: LoadSettings, fabric: &Fabric) -> std::io::Result<Self> {
        let settings = Arc::new(settings);
        let mut opening = JoinSet::new();
        for number in 0..settings.callers as usize {
            let zone = settings.zones[number % settings.zones.len()].clone();
            let caller = Caller::bind(fabric, &zone).await?;
            opening.spawn(open_flows(Arc::clone(&settings), caller));
        }
        let mut callers = Vec::new();
        while let Some(opened) = opening.join_next().await {
            callers.push(opened.map_err(std::io::Error::other)??);
        }
        callers.sort_unstable_by_key(|caller| caller.caller.address());
        Ok(Self {
            settings,
            callers: Arc::new(callers),
            begun: Arc::default(),
            ended: Arc::default(),
        })
    }

    /// Returns a handle on the progress of the run.
    pub fn progress(&self) -> LoadProgress {
        LoadProgress {
            begun: Arc::clone(&self.begun),
            ended: Arc::clone(&self.ended),
        }
    }

    /// Starts every job at its intended time and waits for all of them.
    pub async fn run(self) -> LoadReport {
        let names = self.settings.services.iter().map(|load| load.name.clone());
        let mut report = LoadReport::new(names);
        let (sender, mut records) = mpsc::unbounded_channel();
        let arrivals = tokio::spawn(self.start_jobs(sender));
        while let Some(record) = records.recv().await {
            report.add(&record);
        }
        if let Err(error) = arrivals.await {
            log::error!("the task that starts jobs failed: {error}");
        }
        report
    }

    async fn start_jobs(self, sender: mpsc::UnboundedSender<JobRecord>) {
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let mut intended = Instant::now();
        for _job in 0..self.settings.requests {
            let gap = -(1.0 - random.random::<f64>()).ln() / self.settings.rate;
            intended += Duration::from_secs_f64(gap);
            tokio::time::sleep_until(intended.into()).await;
            let plan = self.plan_job(&mut random, intended);
            self.begun.fetch_add(1, Ordering::Relaxed);
            let settings = Arc::clone(&self.settings);
            let callers = Arc::clone(&self.callers);
            let ended = Arc::clone(&self.ended);
            let sender = sender.clone();
            tokio::spawn(async move {
                let record = run_job(&settings, &callers[plan.caller], plan).await;
                let _receiver_dropped = sender.send(record);
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
    }

    fn plan_job(&self, random: &mut StdRng, intended: Instant) -> JobPlan {
        let services = &self.settings.services;
        let weights: f64 = services.iter().map(|load| load.weight).sum();
        let mut drawn = random.random::<f64>() * weights;
        let mut service = 0;
        while service + 1 < services.len() && drawn >= services[service].weight {
            drawn -= services[service].weight;
            service += 1;
        }
        let load = &services[service];
        let long = random.random::<f64>() < load.long_share;
        let work = if long { load.long_ms } else { 0 };
        let first_flow = service * self.settings.flows as usize;
        JobPlan {
            service,
            caller: random.random_range(0..self.callers.len()),
            flow: first_flow + random.random_range(0..self.settings.flows as usize),
            idempotent: random.random::<f64>() < load.idempotent,
            short_flow: random.random::<f64>() < load.short_flows,
            payload_spec: PayloadSpec {
                answer_len: load.answer_len,
                work: Duration::from_millis(work),
            },
            intended,
        }
    }
}

async fn open_flows(settings: Arc<LoadSettings>, caller: Caller) -> std::io::Result<LoadCaller> {
    let deadline = Instant::now() + Duration::from_millis(settings.budget_ms);
    let mut flows = Vec::new();
    for (service, load) in settings.services.iter().enumerate() {
        for number in 0..settings.flows {
            let flow = service as u64 * settings.flows + number + 1;
            let opened = caller.open(load.address, flow, deadline).await;
            if let Err(refusal) = opened {
                let reason = format!("cannot open a flow to service {}: {refusal:?}", load.name);
                return Err(std::io::Error::other(reason));
            }
            flows.push(CallerFlow {
                service,
                flow,
                next_request: AtomicU64::new(1),
                broken: AtomicBool::new(false),
            });
        }
    }
    Ok(LoadCaller {
        caller,
        flows,
        next_short_flow: AtomicU64::new(FIRST_SHORT_FLOW),
    })
}

async fn run_job(settings: &LoadSettings, caller: &LoadCaller, plan: JobPlan) -> JobRecord {
    let deadline = plan.intended + Duration::from_millis(settings.budget_ms);
    if !plan.short_flow {
        let flow = &caller.flows[plan.flow];
        return call_with_retries(settings, caller, flow, plan, deadline).await;
    }
    let address = settings.services[plan.service].address;
    let flow = CallerFlow {
        service: plan.service,
        flow: caller.next_short_flow.fetch_add(1, Ordering::Relaxed),
        next_request: AtomicU64::new(1),
        broken: AtomicBool::new(false),
    };
    if let Err(refusal) = caller.caller.open(address, flow.flow, deadline).await {
        let result = refusal.map_or(JobResult::Lost, |refusal| JobResult::Refused(refusal.code));
        return JobRecord {
            service: plan.service,
            result,
            latency: plan.intended.elapsed(),
            retries: 0,
            reported_not_run: Vec::new(),
            broken_flow: None,
        };
    }
    let record = call_with_retries(settings, caller, &flow, plan, deadline).await;
    caller.caller.close(address, flow.flow).await;
    record
}

/// Sends a job's request until it has an outcome other than a refusal, under a new request number
/// after each refusal.
///
/// A request that ran, or may have run, is repeated only if it is idempotent.
async fn call_with_retries(
    settings: &LoadSettings,
    caller: &LoadCaller,
    flow: &CallerFlow,
    plan: JobPlan,
    deadline: Instant,
) -> JobRecord {
    let mut record = JobRecord {
        service: flow.service,
        result: JobResult::Lost,
        latency: Duration::ZERO,
        retries: 0,
        reported_not_run: Vec::new(),
        broken_flow: None,
    };
    loop {
        let call = CallSpec {
            service: settings.services[flow.service].address,
            flow: flow.flow,
            request: flow.next_request.fetch_add(1, Ordering::Relaxed),
            idempotent: plan.idempotent,
            payload: plan.payload_spec.payload(PADDING_BYTES),
            deadline,
        };
        let outcome = caller.caller.call(&call).await;
        record.result = job_result(&outcome);
        let CallOutcome::Refused(refusal) = outcome else {
            break;
        };
        if refusal.code == ResultCode::FlowUnknown {
            flow.broken.store(true, Ordering::Relaxed);
            record.broken_flow = Some((caller.caller.address(), flow.flow));
            let _refused = caller.caller.open(call.service, flow.flow, deadline).await;
        }
        if refusal.outcome == RunOutcome::NotRun {
            record.reported_not_run.push(caller.caller.identity(&call));
        }
        let may_repeat = match refusal.outcome {
            RunOutcome::NotRun => true,
            RunOutcome::Run | RunOutcome::Unknown => plan.idempotent,
        };
        let pause = with_jitter(refusal.retry_after.max(Duration::from_millis(1)));
        if !may_repeat || Instant::now() + pause >= deadline {
            break;
        }
        tokio::time::sleep(pause).await;
        record.retries += 1;
    }
    record.latency = plan.intended.elapsed();
    record
}

fn job_result(outcome: &CallOutcome) -> JobResult {
    match outcome {
        CallOutcome::Answered(AnswerIntegrity::Whole) => JobResult::Whole,
        CallOutcome::Answered(AnswerIntegrity::Truncated) => JobResult::Truncated,
        CallOutcome::Answered(AnswerIntegrity::Foreign) => JobResult::Foreign,
        CallOutcome::TimedOut => JobResult::Lost,
        CallOutcome::Refused(refusal) => match refusal.outcome {
            RunOutcome::NotRun => JobResult::Refused(refusal.code),
            RunOutcome::Run => JobResult::AnswerGone(refusal.code),
            RunOutcome::Unknown => JobResult::Unknown(refusal.code),
        },
    }
}

/// Returns the demonstration's load on the ledger and certdocs services.
pub fn demo_load(
    services: &BTreeMap<SmolStr, ServiceAddress>,
    zones: &[&str],
    requests: u64,
) -> LoadSettings {
    let service_load = |name: &str, weight, idempotent, answer_len| ServiceLoad {
        name: name.into(),
        address: services[name],
        weight,
        idempotent,
        answer_len,
        long_share: 0.01,
        long_ms: 20,
        short_flows: 0.1,
    };
    LoadSettings {
        seed: 1,
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
        callers: 48,
        flows: 4,
        requests,
        rate: 1_000.0,
        budget_ms: 10_000,
        services: vec![
            service_load("ledger", 3.0, 0.5, 2_500),
            service_load("certdocs", 1.0, 1.0, 9_000),
        ],
    }
}
