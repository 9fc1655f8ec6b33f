//! The load tool: open-loop arrivals over held and short flows.
//!
//! A job's latency counts from the time it was meant to begin, so that a stall of the system does
//! not hide the jobs that would have arrived during it.

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

use crate::answer_content::AnswerVerdict;
use crate::answer_content::JobOrder;
use crate::caller::CallOutcome;
use crate::caller::CallSpec;
use crate::caller::Caller;
use crate::caller::with_jitter;
use crate::fabric::Fabric;
use crate::load_report::JobRecord;
use crate::load_report::JobResult;
use crate::load_report::LoadReport;

/// Bytes of payload beyond what states the job.
const FILLER: usize = 100;
/// Flow numbers from here on are those of short flows.
const FIRST_SHORT_FLOW: FlowId = 1 << 32;

/// Load on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// Its name in the table.
    pub name: SmolStr,
    /// Where callers send to.
    pub address: ServiceAddress,
    /// Its weight among the services.
    pub weight: f64,
    /// Share of requests that may run twice.
    pub idempotent: f64,
    /// Bytes of an answer.
    pub answer_len: u32,
    /// Share of long requests.
    #[serde(default)]
    pub long_share: f64,
    /// Milliseconds of work that a long request asks for.
    #[serde(default)]
    pub long_ms: u64,
    /// Share of requests that open a flow of their own and close it.
    #[serde(default)]
    pub short_flows: f64,
}

/// Settings of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Seed of arrivals and of what they are.
    pub seed: u64,
    /// The availability zones that callers are near, in turn.
    pub zones: Vec<ZoneName>,
    /// Callers, each with an address of its own.
    pub callers: u32,
    /// Flows that each caller holds to each service.
    pub flows: u64,
    /// Jobs to begin.
    pub requests: u64,
    /// Jobs begun a second, on average.
    pub rate: f64,
    /// Milliseconds that a caller waits for a job, retries included.
    pub budget_ms: u64,
    /// The services.
    pub services: Vec<ServiceLoad>,
}

/// A flow that a caller holds.
struct HeldFlow {
    service: usize,
    flow: FlowId,
    next_request: AtomicU64,
    broken: AtomicBool,
}

/// A caller with its flows.
struct LoadCaller {
    caller: Caller,
    flows: Vec<HeldFlow>,
    next_short_flow: AtomicU64,
}

/// One job before it begins.
#[derive(Clone, Copy, Debug)]
struct JobPlan {
    service: usize,
    caller: usize,
    flow: usize,
    idempotent: bool,
    short_flow: bool,
    order: JobOrder,
    /// When it is meant to begin.
    intended: Instant,
}

/// A load run whose callers are bound and whose flows are open.
pub struct LoadRun {
    settings: Arc<LoadSettings>,
    callers: Arc<Vec<LoadCaller>>,
    begun: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
}

/// How far a run has come; to be read while it goes on.
#[derive(Clone)]
pub struct LoadProgress {
    begun: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
}

impl LoadProgress {
    /// Jobs begun.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Jobs that have ended.
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Waits until this many jobs have ended.
    pub async fn wait_for_ended(&self, jobs: u64) {
        while self.ended() < jobs {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

impl LoadRun {
    /// Binds the callers and opens the flows that they hold; an error if one cannot be opened.
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

    /// How far the run has come.
    pub fn progress(&self) -> LoadProgress {
        LoadProgress {
            begun: Arc::clone(&self.begun),
            ended: Arc::clone(&self.ended),
        }
    }

    /// Begins every job at its time and waits for all of them.
    pub async fn run(self) -> LoadReport {
        let names = self.settings.services.iter().map(|load| load.name.clone());
        let mut report = LoadReport::new(names);
        let (sender, mut records) = mpsc::unbounded_channel();
        let arrivals = tokio::spawn(self.begin_jobs(sender));
        while let Some(record) = records.recv().await {
            report.add(&record);
        }
        if let Err(error) = arrivals.await {
            log::error!("arrivals ended: {error}");
        }
        report
    }

    async fn begin_jobs(self, sender: mpsc::UnboundedSender<JobRecord>) {
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let mut intended = Instant::now();
        for _job in 0..self.settings.requests {
            let gap = -(1.0 - random.random::<f64>()).ln() / self.settings.rate;
            intended += Duration::from_secs_f64(gap);
            tokio::time::sleep_until(intended.into()).await;
            let plan = self.plan(&mut random, intended);
            self.begun.fetch_add(1, Ordering::Relaxed);
            let settings = Arc::clone(&self.settings);
            let callers = Arc::clone(&self.callers);
            let ended = Arc::clone(&self.ended);
            let sender = sender.clone();
            tokio::spawn(async move {
                let record = run_job(&settings, &callers[plan.caller], plan).await;
                let _report_gone = sender.send(record);
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
    }

    fn plan(&self, random: &mut StdRng, intended: Instant) -> JobPlan {
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
            order: JobOrder {
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
                let reason = format!("cannot open a flow to {}: {refusal:?}", load.name);
                return Err(std::io::Error::other(reason));
            }
            flows.push(HeldFlow {
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
        return call_on(settings, caller, flow, plan, deadline).await;
    }
    let address = settings.services[plan.service].address;
    let flow = HeldFlow {
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
            told_not_run: Vec::new(),
            broken_flow: None,
        };
    }
    let record = call_on(settings, caller, &flow, plan, deadline).await;
    caller.caller.close(address, flow.flow).await;
    record
}

/// Calls until an outcome other than a refusal, coming back under a further number when told to.
async fn call_on(
    settings: &LoadSettings,
    caller: &LoadCaller,
    flow: &HeldFlow,
    plan: JobPlan,
    deadline: Instant,
) -> JobRecord {
    let mut record = JobRecord {
        service: flow.service,
        result: JobResult::Lost,
        latency: Duration::ZERO,
        retries: 0,
        told_not_run: Vec::new(),
        broken_flow: None,
    };
    loop {
        let call = CallSpec {
            service: settings.services[flow.service].address,
            flow: flow.flow,
            request: flow.next_request.fetch_add(1, Ordering::Relaxed),
            idempotent: plan.idempotent,
            payload: plan.order.payload(FILLER),
            deadline,
        };
        let outcome = caller.caller.call(&call).await;
        record.result = result_of(&outcome);
        let CallOutcome::Refused(refusal) = outcome else {
            break;
        };
        if refusal.code == ResultCode::FlowUnknown {
            flow.broken.store(true, Ordering::Relaxed);
            record.broken_flow = Some((caller.caller.address(), flow.flow));
            let _refused_again = caller.caller.open(call.service, flow.flow, deadline).await;
        }
        if refusal.outcome == RunOutcome::NotRun {
            record.told_not_run.push(caller.caller.identity(&call));
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

fn result_of(outcome: &CallOutcome) -> JobResult {
    match outcome {
        CallOutcome::Answered(AnswerVerdict::Whole) => JobResult::Whole,
        CallOutcome::Answered(AnswerVerdict::Truncated) => JobResult::Truncated,
        CallOutcome::Answered(AnswerVerdict::Foreign) => JobResult::Foreign,
        CallOutcome::TimedOut => JobResult::Lost,
        CallOutcome::Refused(refusal) => match refusal.outcome {
            RunOutcome::NotRun => JobResult::Refused(refusal.code),
            RunOutcome::Run => JobResult::AnswerGone(refusal.code),
            RunOutcome::Unknown => JobResult::Unknown(refusal.code),
        },
    }
}

/// The demonstration's load on the ledger and on certdocs.
pub fn demo_load(
    services: &BTreeMap<SmolStr, ServiceAddress>,
    zones: &[&str],
    requests: u64,
) -> LoadSettings {
    let load_of = |name: &str, weight, idempotent, answer_len| ServiceLoad {
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
            load_of("ledger", 3.0, 0.5, 2_500),
            load_of("certdocs", 1.0, 1.0, 9_000),
        ],
    }
}
