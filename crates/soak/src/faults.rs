//! Series of overlapping faults, drawn from a seed.

use std::{rc::Rc, time::Duration};

use error_stack::Report;
use fakes::StoreMood;
use rand::{Rng, rngs::SmallRng};
use tokio::time::{Instant, sleep};

use crate::{
    judge::Broken,
    plan::{DRAIN_BOUND, STOP_BOUND},
    proxy::{FaultProxy, ProxyMood},
    record::FaultScope,
    run::{SoakError, SoakWorld},
};

/// Faults of one round.
const FAULTS_MIN: usize = 2;
const FAULTS_MAX: usize = 5;
/// Time within which the faults of a round begin.
const BEGIN_MS_MAX: u64 = 2_500;
/// Longest time of one fault.
const LAST_MS_MAX: u64 = 4_000;
/// Time in which a gateway that was started serves again.
const START_TIME: Duration = Duration::from_secs(12);
/// Time beyond the bound in which a process that was told to stop is seen to have ended.
const STOP_SLACK: Duration = Duration::from_millis(500);

/// A fault and what it strikes.
#[derive(Debug, Clone, Copy)]
enum SoakFault {
    Stop(usize),
    Kill(usize),
    KillAll,
    Freeze(usize),
    Reload(usize),
    Store(StoreMood),
    Forget,
    StoreCut(usize, ProxyMood),
    Runner(usize, ProxyMood),
    Drain,
    Configure(u64),
    Storm,
}

/// Injects the faults of one round and returns when they are over.
pub(crate) async fn harm(
    world: &Rc<SoakWorld>,
    rng: &mut SmallRng,
) -> Result<(), Report<SoakError>> {
    let count = rng.random_range(FAULTS_MIN..=FAULTS_MAX);
    let mut tasks = Vec::new();
    for _ in 0..count {
        let fault = draw(world, rng);
        let begin = Duration::from_millis(rng.random_range(0..BEGIN_MS_MAX));
        let time = Duration::from_millis(rng.random_range(300..LAST_MS_MAX));
        let world = world.clone();
        tasks.push(tokio::task::spawn_local(async move {
            sleep(begin).await;
            strike(&world, fault, time).await
        }));
    }
    for task in tasks {
        task.await.map_err(|error| Report::new(SoakError).attach(error.to_string()))??;
    }
    Ok(())
}

fn draw(world: &SoakWorld, rng: &mut SmallRng) -> SoakFault {
    let gateway = rng.random_range(0..world.plan.gateways);
    let runner = rng.random_range(0..world.runners.borrow().len());
    let mood = match rng.random_range(0..4) {
        0 => ProxyMood::Delay(Duration::from_millis(rng.random_range(5..80))),
        1 => ProxyMood::Reset,
        2 => ProxyMood::Silent,
        _ => ProxyMood::OneWay,
    };
    match rng.random_range(0..16) {
        0..=2 => SoakFault::Stop(gateway),
        3 | 4 => SoakFault::Kill(gateway),
        5 => SoakFault::KillAll,
        6 => SoakFault::Freeze(gateway),
        7 => SoakFault::Reload(gateway),
        8 => SoakFault::Store(StoreMood::Silent),
        9 => SoakFault::Store(StoreMood::Busy),
        10 => SoakFault::Forget,
        11 => SoakFault::StoreCut(gateway, mood),
        12 => SoakFault::Runner(runner, mood),
        13 => SoakFault::Drain,
        14 => SoakFault::Configure(rng.random_range(1..9)),
        _ => SoakFault::Storm,
    }
}

async fn strike(
    world: &SoakWorld,
    fault: SoakFault,
    time: Duration,
) -> Result<(), Report<SoakError>> {
    match fault {
        SoakFault::Stop(index) => stop(world, index).await?,
        SoakFault::Kill(index) => kill(world, &[index], time).await?,
        SoakFault::KillAll => {
            let all: Vec<usize> = (0..world.plan.gateways).collect();
            kill(world, &all, time).await?;
        }
        SoakFault::Freeze(index) => {
            let key = world.fault(FaultScope::Gateway(index), "freeze");
            world.gateways.borrow()[index].process().inspect(|process| process.freeze());
            sleep(time).await;
            world.gateways.borrow()[index].process().inspect(|process| process.wake());
            world.heal(key);
        }
        SoakFault::Reload(index) => {
            world.gateways.borrow()[index].process().inspect(|process| process.hang_up());
        }
        SoakFault::Store(mood) => {
            let key = world.fault(FaultScope::Store, &format!("{mood:?}"));
            world.store.be(mood);
            sleep(time).await;
            world.store.be(StoreMood::Well);
            world.heal(key);
        }
        SoakFault::Forget => {
            let key = world.fault(FaultScope::Store, "forgotten history");
            world.store.forget();
            world.heal(key);
        }
        SoakFault::StoreCut(index, mood) => {
            let proxy = world.gateways.borrow()[index].store.clone();
            let what = format!("store {mood:?}");
            cut(world, &proxy, FaultScope::Gateway(index), &what, mood, time).await;
        }
        SoakFault::Runner(index, mood) => {
            let proxy = world.runners.borrow()[index].proxy.clone();
            let what = format!("{mood:?}");
            cut(world, &proxy, FaultScope::Runner(index), &what, mood, time).await;
        }
        SoakFault::Drain => drain(world).await?,
        SoakFault::Configure(step) => world.configure(step),
        SoakFault::Storm => {
            for _ in 0..10 {
                world.configure(1);
                sleep(Duration::from_millis(60)).await;
            }
        }
    }
    Ok(())
}

/// Harms the connections through a proxy for a time.
async fn cut(
    world: &SoakWorld,
    proxy: &FaultProxy,
    scope: FaultScope,
    what: &str,
    mood: ProxyMood,
    time: Duration,
) {
    let key = world.fault(scope, what);
    proxy.be(mood);
    sleep(time).await;
    proxy.be(ProxyMood::Well);
    world.heal(key);
}

/// Tells a gateway to stop, waits for its end and starts it anew.
async fn stop(world: &SoakWorld, index: usize) -> Result<(), Report<SoakError>> {
    let told = Instant::now();
    let key = world.fault(FaultScope::Stop(index), "stop");
    let starts = world.gateways.borrow()[index].starts;
    world.gateways.borrow()[index].process().inspect(|process| process.terminate());
    // Another fault may have replaced the process meanwhile.
    while !world.gateways.borrow_mut()[index].has_ended_since(starts) {
        if told.elapsed() > STOP_BOUND + STOP_SLACK {
            let gateway = |scope| scope == FaultScope::Gateway(index);
            // A process that is frozen meanwhile cannot end.
            if !world.book.borrow().any(told, Instant::now(), gateway) {
                let what = format!("g-{index} runs {:?} after its order to stop", told.elapsed());
                world.broken.borrow_mut().push(Broken::new("STOP", what));
            }
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    start(world, index, starts).await?;
    world.heal(key);
    Ok(())
}

async fn kill(
    world: &SoakWorld,
    indexes: &[usize],
    time: Duration,
) -> Result<(), Report<SoakError>> {
    let mut killed = Vec::new();
    for index in indexes {
        let key = world.fault(FaultScope::Gateway(*index), "kill");
        let mut gateways = world.gateways.borrow_mut();
        gateways[*index].kill();
        killed.push((*index, key, gateways[*index].starts));
    }
    sleep(time / 2).await;
    for (index, key, starts) in killed {
        start(world, index, starts).await?;
        world.heal(key);
    }
    Ok(())
}

/// Starts a gateway unless another fault did so meanwhile, and waits until it serves.
async fn start(world: &SoakWorld, index: usize, starts: u32) -> Result<(), Report<SoakError>> {
    if world.gateways.borrow()[index].starts == starts {
        world.gateways.borrow_mut()[index].spawn()?;
    }
    // With the store away it may not serve; that it does in the end is checked after the faults.
    world.ready_within(index, START_TIME).await;
    Ok(())
}

/// A runner leaves, and another one comes.
pub(crate) async fn drain(world: &SoakWorld) -> Result<(), Report<SoakError>> {
    world.add_runner().await?;
    let leaving = {
        let mut runners = world.runners.borrow_mut();
        let Some(runner) = runners.iter_mut().find(|runner| runner.left.is_none()) else {
            return Ok(());
        };
        world.store.put("servers", &runner.stand_in.id, runner.entry("draining"));
        runner.left = Some(Instant::now());
        runner.stand_in.id.clone()
    };
    sleep(DRAIN_BOUND + Duration::from_secs(1)).await;
    world.store.remove("servers", &leaving);
    Ok(())
}
