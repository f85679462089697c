//! Target choice respects affinity, the load bound and closed targets.

use base_types::{TargetKey, test_cases};
use policy_routing::{ChoiceQuery, FleetPosition, TargetView, choose_target, stable_hash};

fn views(loads: &[u32], open: &[bool]) -> Vec<TargetView> {
    loads
        .iter()
        .zip(open)
        .enumerate()
        .map(|(index, (load, open))| TargetView {
            target: TargetKey(index as u32),
            target_hash: stable_hash(format!("target-{index}").as_bytes()),
            slots: 16,
            own_in_flight: 0,
            reported_in_flight: 0,
            peer_in_flight: *load,
            weight_percent: if *open { 100 } else { 0 },
            is_healthy: true,
        })
        .collect()
}

fn query(affinity: u64) -> ChoiceQuery<'static> {
    ChoiceQuery {
        affinity,
        placement: None,
        is_first_turn: false,
        max_load_ratio: 1.5,
        reuse_bias: 0.5,
        position: FleetPosition { routers: 1, index: 0 },
        attempted_targets: &[],
    }
}

fn check_choices(loads: &[u32], open: &[bool], has_choice: bool) {
    for affinity in 0..1000 {
        let choice = choose_target(&query(affinity), &views(loads, open));
        assert_eq!(choice.is_some(), has_choice);
        let Some(choice) = choice else { continue };
        assert!(open[choice.target.0 as usize]);
        assert!(loads[choice.target.0 as usize] < choice.bound);
    }
}

test_cases! {
    check_choices:
    idle_targets(&[0, 0, 0], &[true, true, true], true);
    one_busy_target(&[9, 1, 1], &[true, true, true], true);
    closed_targets_are_never_chosen(&[0, 5, 5], &[false, true, true], true);
    no_target_is_open(&[0, 0], &[false, false], false);
    all_slots_are_taken(&[16, 16], &[true, true], false);
    no_targets(&[], &[], false);
}

#[test]
fn closing_a_target_moves_only_its_affinities() {
    let all_open = views(&[0; 12], &[true; 12]);
    let mut open = [true; 12];
    open[3] = false;
    let one_closed = views(&[0; 12], &open);
    for affinity in 0..1000 {
        let before = choose_target(&query(affinity), &all_open).unwrap().target;
        let after = choose_target(&query(affinity), &one_closed).unwrap().target;
        assert!(before == after || before == TargetKey(3));
    }
}
