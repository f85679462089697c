//! Load of this process: delay of the event loop, processor time, open descriptors.

use std::time::Duration;

use core_forward::LoadSample;
use tokio::time::Instant;

use crate::ForwardState;

/// Interval of the timer whose delay is measured.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Probes per sample that is given to the core.
const PROBES_PER_SAMPLE: u32 = 10;

/// Ticks per second in which Linux reports processor time, on all architectures in use.
const TICKS_PER_SECOND: f64 = 100.0;

/// Observes the load of this process until it ends, if the settings state its resources. A line is logged
/// when the class of the load changes, which is at most once in five seconds.
pub async fn watch_load(state: ForwardState) {
    if state.with_core(|core, _| core.own_capacity()).is_none() {
        return;
    }
    let mut cpu_before = cpu_seconds();
    loop {
        let started_at = Instant::now();
        let mut delay = Duration::ZERO;
        for _ in 0..PROBES_PER_SAMPLE {
            let due_at = Instant::now() + PROBE_INTERVAL;
            tokio::time::sleep_until(due_at).await;
            delay += due_at.elapsed();
        }
        let cpu_now = cpu_seconds();
        let elapsed = started_at.elapsed().as_secs_f64();
        let cpu_use = cpu_before.zip(cpu_now).map(|(before, now)| (now - before) / elapsed);
        cpu_before = cpu_now;
        let sample = LoadSample {
            loop_delay: delay / PROBES_PER_SAMPLE,
            cpu_use,
            descriptors: open_descriptors(),
            calls: 0,
        };
        let changed = state.with_core(|core, now| {
            core.on_load_sample(now, sample).map(|class| (class, core.own_capacity()))
        });
        if let Some((class, capacity)) = changed {
            log::info!(
                class = class.name(),
                load_percent = capacity.map_or(0, |capacity| capacity.load_percent),
                weight = capacity.map_or(0, |capacity| capacity.weight),
                loop_delay_ms = sample.loop_delay.as_millis() as u64;
                "load class of this router changed"
            );
        }
    }
}

/// Processor time that the process has used; `None` where `/proc` does not report it.
fn cpu_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The name of the program, in parentheses, may contain spaces. User and system time are the 12th
    // and 13th fields after it.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks: Vec<u64> =
        fields.split_whitespace().skip(11).take(2).map_while(|field| field.parse().ok()).collect();
    match ticks[..] {
        [user, system] => Some((user + system) as f64 / TICKS_PER_SECOND),
        _ => None,
    }
}

fn open_descriptors() -> Option<usize> {
    std::fs::read_dir("/proc/self/fd").ok().map(Iterator::count)
}
