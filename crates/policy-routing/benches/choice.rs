//! Benchmarks one target choice in pools of 12, 150 and 1500 targets.

// The criterion macros generate public functions without doc comments.
#![allow(missing_docs)]

use base_types::TargetKey;
use criterion::{Criterion, criterion_group, criterion_main};
use policy_routing::{ChoiceQuery, FleetPosition, TargetView, affinity_hash, choose_target};

fn views(count: u32) -> Vec<TargetView> {
    (0..count)
        .map(|index| TargetView {
            target: TargetKey(index),
            hash: affinity_hash(format!("runner-{index}").as_bytes()),
            slots: 64,
            own: index % 4,
            told: index % 4,
            others: 10 + index % 7,
            percent: 100,
            calm: true,
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
                    chat_begins: false,
                    max_load_ratio: 1.5,
                    reuse_bias: 0.12,
                    place: FleetPosition { routers: 7, index: 3 },
                    tried: &[],
                };
                choose_target(&query, &views)
            });
        });
    }
}

criterion_group!(benches, bench_choose_target);
criterion_main!(benches);
