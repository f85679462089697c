//! Benchmarks one target choice in pools of 12, 150 and 1500 targets.

// The criterion macros generate public functions without doc comments.
#![allow(missing_docs)]

use base_types::TargetKey;
use criterion::{Criterion, criterion_group, criterion_main};
use policy_routing::{ChoiceQuery, FleetPosition, TargetView, choose_target, stable_hash};

fn views(count: u32) -> Vec<TargetView> {
    (0..count)
        .map(|index| TargetView {
            target: TargetKey(index),
            target_hash: stable_hash(format!("runner-{index}").as_bytes()),
            slots: 64,
            own_in_flight: index % 4,
            reported_in_flight: index % 4,
            peer_in_flight: 10 + index % 7,
            weight_percent: 100,
            is_healthy: true,
        })
        .collect()
}

fn bench_choose_target(criterion: &mut Criterion) {
    for count in [12, 150, 1500] {
        let views = views(count);
        let mut affinity = 0;
        criterion.bench_function(&format!("choose among {count} targets"), |bencher| {
            bencher.iter(|| {
                affinity += 1;
                let query = ChoiceQuery {
                    affinity,
                    placement: None,
                    is_first_turn: false,
                    max_load_ratio: 1.5,
                    reuse_bias: 0.12,
                    position: FleetPosition { routers: 7, index: 3 },
                    attempted_targets: &[],
                };
                choose_target(&query, &views)
            });
        });
    }
}

criterion_group!(benches, bench_choose_target);
criterion_main!(benches);
