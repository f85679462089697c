//! Benchmarks one router: added latency, throughput per core, start time, idle memory.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use http::Method;
use local_fleet::{ChatPrompt, FleetPlan, HttpClient, LocalFleet};

use crate::steps::{TaskError, cargo, target_path};

const ENGINES: usize = 12;
const CALL_PAIRS: usize = 1000;
const WARMUP_PAIRS: usize = 50;
const CALLERS: usize = 64;
const LOAD_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(1);
const CHAT_PATH: &str = "/v1/chat/completions";
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Builds and starts a release fleet of one router and 12 engines and prints the measurements.
pub(crate) fn run_bench() -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    runtime.block_on(measure())
}

async fn measure() -> Result<(), Report<TaskError>> {
    let programs = target_path("release")?;
    let plan = FleetPlan::new(&programs, &programs.join("bench"));
    let plan = plan.routers(1).domains(1).engines(ENGINES).services(1);
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    measure_latency(&fleet).await?;
    measure_throughput(&fleet).await?;
    measure_start(&mut fleet).await
}

/// Alternates calls to an engine directly and through the router, on reused connections.
async fn measure_latency(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    let mut direct = histogram()?;
    let mut routed = histogram()?;
    for pair in 0..WARMUP_PAIRS + CALL_PAIRS {
        let engine = fleet.engines[pair % ENGINES].address;
        let first = timed_call(fleet.client(), engine).await?;
        let second = timed_call(fleet.client(), fleet.routers[0].caller_address).await?;
        if pair >= WARMUP_PAIRS {
            direct.record(first).change_context(TaskError)?;
            routed.record(second).change_context(TaskError)?;
        }
    }
    for quantile in [0.5, 0.99] {
        let (direct_us, routed_us) =
            (direct.value_at_quantile(quantile), routed.value_at_quantile(quantile));
        println!(
            "p{:<3} direct {direct_us} us, through the router {routed_us} us, ratio {:.3}",
            quantile * 100.0,
            routed_us as f64 / direct_us as f64,
        );
    }
    Ok(())
}

/// Keeps the router busy with `CALLERS` callers and divides the number of complete answers by its
/// CPU time.
async fn measure_throughput(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    let router = &fleet.routers[0];
    let process = router.process.as_ref().ok_or_else(|| Report::new(TaskError))?.id();
    let completed = Arc::new(AtomicU64::new(0));
    let before = read_cpu_seconds(process)?;
    let deadline = Instant::now() + LOAD_TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            tokio::spawn(call_until(
                fleet.client().clone(),
                router.caller_address,
                deadline,
                completed.clone(),
            ))
        })
        .collect();
    for caller in callers {
        caller.await.change_context(TaskError)?;
    }
    let cpu_seconds = read_cpu_seconds(process)? - before;
    let answers = completed.load(Ordering::Relaxed) as f64;
    println!(
        "{:.0} complete answers per second from {CALLERS} callers; {:.0} per CPU second",
        answers / LOAD_TIME.as_secs_f64(),
        answers / cpu_seconds,
    );
    Ok(())
}

/// Restarts the router, measures the time until it is ready, and reads its memory when idle.
async fn measure_start(fleet: &mut LocalFleet) -> Result<(), Report<TaskError>> {
    fleet.routers[0].process = None;
    let start = Instant::now();
    fleet.start_router(0).change_context(TaskError)?;
    let operator = fleet.routers[0].operator_address;
    loop {
        let ready = fleet.client().call(Method::GET, operator, "/ready", &[], "").await;
        if ready.is_ok_and(|answer| answer.status.is_success()) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("ready {} ms after its start", start.elapsed().as_millis());
    tokio::time::sleep(IDLE_TIME).await;
    let process = fleet.routers[0].process.as_ref().ok_or_else(|| Report::new(TaskError))?.id();
    println!("idle memory {:.1} MB", read_resident_mib(process)?);
    Ok(())
}

async fn timed_call(caller: &HttpClient, address: SocketAddr) -> Result<u64, Report<TaskError>> {
    let prompt = ChatPrompt { text: "A short prompt.".into(), tokens: 1 };
    let start = Instant::now();
    let answer = caller.call(Method::POST, address, CHAT_PATH, &[], prompt.body()).await;
    let elapsed = start.elapsed();
    let answer = answer.change_context(TaskError)?;
    if prompt.check(&answer).is_err() {
        return Err(Report::new(TaskError).attach("an answer is incomplete"));
    }
    u64::try_from(elapsed.as_micros()).change_context(TaskError)
}

async fn call_until(
    caller: HttpClient,
    address: SocketAddr,
    deadline: Instant,
    completed: Arc<AtomicU64>,
) {
    while Instant::now() < deadline {
        if timed_call(&caller, address).await.is_ok() {
            completed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn histogram() -> Result<Histogram<u64>, Report<TaskError>> {
    Histogram::new(3).change_context(TaskError)
}

/// User and system CPU time of a process: fields 14 and 15 of `/proc/PID/stat`.
fn read_cpu_seconds(process: u32) -> Result<f64, Report<TaskError>> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).change_context(TaskError)?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn read_resident_mib(process: u32) -> Result<f64, Report<TaskError>> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).change_context(TaskError)?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.map(|kib| kib / 1024.0).ok_or_else(|| Report::new(TaskError))
}
