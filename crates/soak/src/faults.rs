//! Series of overlapping faults, drawn from a seed.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use error_stack::Report;
use fakes::StoreMode;
use rand::{Rng, rngs::SmallRng};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    judge::Violation,
    plan::{DRAIN_BOUND, STOP_BOUND},
    proxy::{FaultProxy, ProxyMode},
    record::FaultScope,
    run::{SoakCluster, SoakError},
};

/// Least number of faults in one round.
const FAULTS_MIN: usize = 2;
/// Greatest number of faults in one round.
const FAULTS_MAX: usize = 5;
/// Latest start of a fault within its round, in milliseconds.
const START_DELAY_MS_MAX: u64 = 2_500;
/// Longest duration of one fault, in milliseconds.
const DURATION_MS_MAX: u64 = 4_000;
/// Time to wait for a restarted gateway to serve.
const RESTART_TIMEOUT: Duration = Duration::from_secs(12);
/// Time from the start of a round until a runner announces that it leaves.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(1);
/// Time beyond the stop bound after which a process that still runs is a violation.
const STOP_SLACK: Duration = Duration::from_millis(500);

/// A fault, with the index of the gateway or runner and the mode to apply.
#[derive(Debug, Clone, Copy)]
enum SoakFault {
    Stop(usize),
    Kill(usize),
    KillAll,
    Freeze(usize),
    Reload(usize),
    Store(StoreMode),
    CompactHistory,
    StoreLink(usize, ProxyMode),
    RunnerLink(usize, ProxyMode),
    Drain,
    Configure(u64),
    ConfigureBurst,
    Restore,
}

/// Time for which the store is away before it comes back from a copy.
const RESTORE_AWAY_TIME: Duration = Duration::from_millis(500);
/// Time after which the operator and the runners have written again what a restore lost.
const REWRITE_TIME: Duration = Duration::from_millis(300);
/// Time after a restore for which it counts as a fault.
const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Injects the faults of one round and returns once all of them are over.
pub(crate) async fn inject_faults(
    cluster: &Rc<SoakCluster>,
    rng: &mut SmallRng,
) -> Result<(), Report<SoakError>> {
    let count = rng.random_range(FAULTS_MIN..=FAULTS_MAX);
    let mut tasks = Vec::new();
    for number in 0..count {
        let mut fault = draw_fault(cluster, rng);
        if cluster.plan.restores && number == 0 {
            fault = SoakFault::Restore;
        }
        if cluster.plan.foreign_entries && number == 1 {
            fault = SoakFault::KillAll;
        }
        let start_delay = Duration::from_millis(rng.random_range(0..START_DELAY_MS_MAX));
        let duration = Duration::from_millis(rng.random_range(300..DURATION_MS_MAX));
        let cluster = cluster.clone();
        tasks.push(tokio::task::spawn_local(async move {
            sleep(start_delay).await;
            apply_fault(&cluster, fault, duration).await
        }));
    }
    for task in tasks {
        task.await.map_err(|error| Report::new(SoakError).attach(error.to_string()))??;
    }
    Ok(())
}

fn draw_fault(cluster: &SoakCluster, rng: &mut SmallRng) -> SoakFault {
    let gateway = rng.random_range(0..cluster.plan.gateways);
    let runner = rng.random_range(0..cluster.runners.borrow().len());
    let mode = match rng.random_range(0..4) {
        0 => ProxyMode::Delay(Duration::from_millis(rng.random_range(5..80))),
        1 => ProxyMode::Reset,
        2 => ProxyMode::Silent,
        _ => ProxyMode::OneWay,
    };
    match rng.random_range(0..16) {
        0..=2 => SoakFault::Stop(gateway),
        3 | 4 => SoakFault::Kill(gateway),
        5 => SoakFault::KillAll,
        6 => SoakFault::Freeze(gateway),
        7 => SoakFault::Reload(gateway),
        8 => SoakFault::Store(StoreMode::Silent),
        9 => SoakFault::Store(StoreMode::Busy),
        10 => SoakFault::CompactHistory,
        11 => SoakFault::StoreLink(gateway, mode),
        12 => SoakFault::RunnerLink(runner, mode),
        13 => SoakFault::Drain,
        14 => SoakFault::Configure(rng.random_range(1..9)),
        _ => SoakFault::ConfigureBurst,
    }
}

async fn apply_fault(
    cluster: &SoakCluster,
    fault: SoakFault,
    duration: Duration,
) -> Result<(), Report<SoakError>> {
    match fault {
        SoakFault::Stop(index) => stop_gateway(cluster, index).await?,
        SoakFault::Kill(index) => kill_gateways(cluster, &[index], duration).await?,
        SoakFault::KillAll => {
            let all: Vec<usize> = (0..cluster.plan.gateways).collect();
            kill_gateways(cluster, &all, duration).await?;
        }
        SoakFault::Freeze(index) => {
            let fault_id = cluster.start_fault(FaultScope::Gateway(index), "freeze");
            cluster.gateways.borrow()[index].process().inspect(|process| process.freeze());
            sleep(duration).await;
            cluster.gateways.borrow()[index].process().inspect(|process| process.resume());
            cluster.finish_fault(fault_id);
        }
        SoakFault::Reload(index) => {
            cluster.gateways.borrow()[index].process().inspect(|process| process.reload());
        }
        SoakFault::Store(mode) => {
            let fault_id = cluster.start_fault(FaultScope::Store, &format!("{mode:?}"));
            cluster.store.set_mode(mode);
            sleep(duration).await;
            cluster.store.set_mode(StoreMode::Healthy);
            cluster.finish_fault(fault_id);
        }
        SoakFault::CompactHistory => {
            let fault_id = cluster.start_fault(FaultScope::Store, "compacted history");
            cluster.store.compact_history();
            cluster.finish_fault(fault_id);
        }
        SoakFault::StoreLink(index, mode) => {
            let proxy = cluster.gateways.borrow()[index].store_proxy.clone();
            let description = format!("store {mode:?}");
            disturb_link(cluster, &proxy, FaultScope::Gateway(index), &description, mode, duration)
                .await;
        }
        SoakFault::RunnerLink(index, mode) => {
            let proxy = cluster.runners.borrow()[index].proxy.clone();
            let description = format!("{mode:?}");
            disturb_link(cluster, &proxy, FaultScope::Runner(index), &description, mode, duration)
                .await;
        }
        SoakFault::Restore => restore_store(cluster, duration).await,
        SoakFault::Drain => replace_runner(cluster).await?,
        SoakFault::Configure(step) => cluster.configure(step),
        SoakFault::ConfigureBurst => {
            for _ in 0..10 {
                cluster.configure(1);
                sleep(Duration::from_millis(60)).await;
            }
        }
    }
    Ok(())
}

/// Disturbs the connections through a proxy for a duration.
async fn disturb_link(
    cluster: &SoakCluster,
    proxy: &FaultProxy,
    scope: FaultScope,
    description: &str,
    mode: ProxyMode,
    duration: Duration,
) {
    let fault_id = cluster.start_fault(scope, description);
    proxy.set_mode(mode);
    sleep(duration).await;
    proxy.set_mode(ProxyMode::Forward);
    cluster.finish_fault(fault_id);
}

/// Restores the store from a copy of some time before; then the operator and the runners write again what was lost.
async fn restore_store(cluster: &SoakCluster, age: Duration) {
    let copy = cluster.store.copy();
    sleep(age).await;
    let fault_id = cluster.start_fault(FaultScope::Store, "restored from a copy");
    cluster.store.set_mode(StoreMode::Silent);
    sleep(RESTORE_AWAY_TIME).await;
    let objects = || ["config", "servers"].map(|kind| (kind, cluster.store.objects(kind)));
    let written = objects();
    cluster.store.restore(copy);
    let restored = objects();
    cluster.store.set_mode(StoreMode::Healthy);
    sleep(REWRITE_TIME).await;
    for ((kind, written), (_, restored)) in written.into_iter().zip(restored) {
        let written: BTreeMap<String, Value> = written.into_iter().collect();
        let restored: BTreeMap<String, Value> = restored.into_iter().collect();
        let present: BTreeMap<String, Value> = cluster.store.objects(kind).into_iter().collect();
        let names: BTreeSet<&String> = written.keys().chain(restored.keys()).collect();
        // What was written since the restore stays.
        for name in names.into_iter().filter(|name| present.get(*name) == restored.get(*name)) {
            match written.get(name) {
                Some(spec) => cluster.store.put(kind, name, spec.clone()),
                None => cluster.store.remove(kind, name),
            }
        }
    }
    sleep(RESTORE_SETTLE_TIME).await;
    cluster.finish_fault(fault_id);
}

/// Asks a gateway to stop, waits for the process to exit, and starts a new one.
async fn stop_gateway(cluster: &SoakCluster, index: usize) -> Result<(), Report<SoakError>> {
    let signalled_at = Instant::now();
    let fault_id = cluster.start_fault(FaultScope::Stop(index), "stop");
    let starts = cluster.gateways.borrow()[index].starts;
    cluster.gateways.borrow()[index].process().inspect(|process| process.terminate());
    // Another fault may already have replaced the process.
    while !cluster.gateways.borrow_mut()[index].has_exited_since(starts) {
        if signalled_at.elapsed() > STOP_BOUND + STOP_SLACK {
            let is_gateway_fault = |scope| scope == FaultScope::Gateway(index);
            // Any fault of the gateway, such as a freeze, may have delayed the exit.
            if !cluster.fault_log.borrow().any_active(
                signalled_at,
                Instant::now(),
                is_gateway_fault,
            ) {
                let description =
                    format!("g-{index} still runs {:?} after SIGTERM", signalled_at.elapsed());
                cluster.violations.borrow_mut().push(Violation::new("STOP", description));
            }
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    restart_gateway(cluster, index, starts).await?;
    cluster.finish_fault(fault_id);
    Ok(())
}

async fn kill_gateways(
    cluster: &SoakCluster,
    indexes: &[usize],
    duration: Duration,
) -> Result<(), Report<SoakError>> {
    let mut killed = Vec::new();
    for index in indexes {
        let fault_id = cluster.start_fault(FaultScope::Gateway(*index), "kill");
        let mut gateways = cluster.gateways.borrow_mut();
        gateways[*index].kill();
        killed.push((*index, fault_id, gateways[*index].starts));
    }
    sleep(duration / 2).await;
    for (index, fault_id, starts) in killed {
        restart_gateway(cluster, index, starts).await?;
        cluster.finish_fault(fault_id);
    }
    Ok(())
}

/// Restarts a gateway unless another fault already did, and waits until it serves.
async fn restart_gateway(
    cluster: &SoakCluster,
    index: usize,
    starts: u32,
) -> Result<(), Report<SoakError>> {
    if cluster.gateways.borrow()[index].starts == starts {
        cluster.gateways.borrow_mut()[index].spawn()?;
    }
    // The gateway may not serve while the store is unavailable; recovery is checked after all
    // faults are over.
    cluster.ready_within(index, RESTART_TIMEOUT).await;
    Ok(())
}

/// Adds a runner, drains the oldest one that is not draining yet, and removes its entry after the
/// drain bound plus 1 s.
pub(crate) async fn replace_runner(cluster: &SoakCluster) -> Result<(), Report<SoakError>> {
    cluster.add_runner().await?;
    let draining = {
        let mut runners = cluster.runners.borrow_mut();
        let Some(runner) = runners.iter_mut().find(|runner| runner.stays()) else {
            return Ok(());
        };
        cluster.store.put("servers", &runner.stand_in.id, runner.entry("draining"));
        runner.drain_started_at = Some(Instant::now());
        runner.stand_in.id.clone()
    };
    sleep(DRAIN_BOUND + Duration::from_secs(1)).await;
    cluster.store.remove("servers", &draining);
    Ok(())
}

/// Adds a runner, and has the oldest one that stays announce in its answers that it leaves. Its entry
/// does not say so; it is removed after the drain bound plus 2 s.
pub(crate) async fn announce_leaving(cluster: Rc<SoakCluster>) -> Result<(), Report<SoakError>> {
    cluster.add_runner().await?;
    sleep(ANNOUNCEMENT_DELAY).await;
    let leaving = {
        let mut runners = cluster.runners.borrow_mut();
        let Some(runner) = runners.iter_mut().find(|runner| runner.stays()) else {
            return Ok(());
        };
        runner.announces_leaving = true;
        runner.stand_in.announce_leaving(Some("1"));
        runner.stand_in.id.clone()
    };
    sleep(DRAIN_BOUND + Duration::from_secs(2)).await;
    cluster.store.remove("servers", &leaving);
    Ok(())
}
