//! Parsing of the rollout file, the order of restarts, and reasons why a step is not taken.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_rollout::{
    config::Config,
    generation::{Ability, ClusterGeneration, Feature, Order, Orders, Stage},
    restart_order::{self, RestartBlocked},
    state_machine::{Blocker, ClusterView, NodeAnnouncement, NodeState, Output, StateMachine},
    status::{NodeStatus, Status},
};
use proptest::prelude::*;

const FEATURES: &[Feature] = &[
    Feature {
        name: "second",
        since: 2,
        is_reversible: true,
        forms: &[],
    },
    Feature {
        name: "third",
        since: 3,
        is_reversible: false,
        forms: &[],
    },
];

#[test]
fn config_errors_name_the_field_or_line() {
    let error = |text: &str| Config::parse(text, FEATURES).expect_err(text).to_string();
    for (text, named) in [
        ("", "soak_s"),
        ("soak_s = -1", "soak_s"),
        ("soak_s = nan", "soak_s"),
        ("soak_s = 1\nsoak = 2", "line 2"),
        ("soak_s = 1\nmigration_share = 0.9", "migration_share"),
        ("soak_s = 1\nhold = [\"fourth\"]", "fourth"),
        ("soak_s = 1\nreads_most = 9", "reads_most"),
        ("soak_s = 1\nautomatic = 3", "line 2"),
    ] {
        let error = error(text);
        assert!(
            error.contains(named) && error.lines().count() == 1,
            "{error}"
        );
    }
    let config = Config::parse("soak_s = 900\nhold = [\"third\"]", FEATURES).expect("valid");
    assert_eq!(config.soak, Duration::from_secs(900));
    assert_eq!(config.held_to(FEATURES), Some(2));
    let shipped = include_str!("../../../deploy/rollout.toml");
    assert!(Config::parse(shipped, FEATURES).is_ok());
}

fn status() -> Status {
    let node = |name: &str, zone: &str, leads: bool| NodeStatus {
        node: name.into(),
        zone: zone.into(),
        leads,
        here: true,
        gone: false,
        build: Some("1".into()),
        least: 1,
        most: 2,
        features: Vec::new(),
    };
    Status {
        node: "b".into(),
        enabled: true,
        from: 1,
        to: 1,
        stage: Stage::Settled,
        paused: false,
        target: None,
        gone: Default::default(),
        nodes: vec![
            node("b", "x", true),
            node("a", "y", false),
            node("c", "x", false),
        ],
        soaked_ms: None,
        soak_ms: None,
        held: None,
        migrated: None,
        left: None,
        estimate_s: None,
        refuses: None,
        clear: Some(true),
    }
}

#[test]
fn restarts_one_node_at_a_time_and_the_leader_last() {
    let mut current = status();
    let mut order = Vec::new();
    while let Ok(node) = restart_order::next_node(&current, Some("2")) {
        let due = current
            .nodes
            .iter_mut()
            .find(|n| n.node == node)
            .expect("a node");
        due.build = Some("2".into());
        order.push(node);
    }
    assert_eq!(order, ["c", "a", "b"]);
    assert_eq!(
        restart_order::next_node(&current, Some("2")),
        Err(RestartBlocked::AllDone("2".into()))
    );
    let next_after = |change: &dyn Fn(&mut Status)| {
        let mut status = status();
        change(&mut status);
        restart_order::next_node(&status, Some("2"))
    };
    assert_eq!(
        next_after(&|s| s.nodes[1].here = false),
        Err(RestartBlocked::NodeAbsent("a".into()))
    );
    assert_eq!(
        next_after(&|s| s.clear = Some(false)),
        Err(RestartBlocked::MachinesUnreachable)
    );
    assert_eq!(
        next_after(&|s| s.stage = Stage::Migrating),
        Err(RestartBlocked::Migrating)
    );
    assert_eq!(
        next_after(&|s| s.node = "a".into()),
        Err(RestartBlocked::NotLeader)
    );
    assert_eq!(
        next_after(&|s| s.nodes[0].leads = false),
        Err(RestartBlocked::NoLeader)
    );
    // A node declared removed is not waited for.
    let gone = next_after(&|s| (s.nodes[1].here, s.nodes[1].gone) = (false, true));
    assert_eq!(gone, Ok("c".into()));
}

fn view(cluster: ClusterGeneration) -> ClusterView {
    let node_state = |started| NodeState {
        ability: Some(Ability {
            build: "1".into(),
            least: 1,
            most: 3,
            features: Vec::new(),
            held_to: None,
        }),
        record_revision: started,
        announcement: Some(NodeAnnouncement { started, knows: 9 }),
    };
    ClusterView {
        cluster,
        revision: 9,
        orders: Orders::default(),
        nodes: BTreeMap::from([("a".into(), node_state(3)), ("b".into(), node_state(4))]),
        no_old_records: false,
    }
}

fn moving(from: u32, to: u32, stage: Stage) -> ClusterGeneration {
    ClusterGeneration { from, to, stage }
}

fn machine() -> StateMachine {
    let config = Config::parse("soak_s = 10", FEATURES).expect("a valid file");
    StateMachine::new(config, FEATURES)
}

fn stored(outputs: &[Output]) -> Option<(ClusterGeneration, usize)> {
    outputs.iter().find_map(|output| match output {
        Output::Store { cluster, nodes, .. } => Some((*cluster, nodes.len())),
        _ => None,
    })
}

#[test]
fn interrupted_soak_restarts() {
    let s = Duration::from_secs;
    let soaking = view(moving(1, 2, Stage::Soaking));
    let mut machine = machine();
    assert_eq!(machine.step(s(100), &soaking), [Output::SoakStarted]);
    assert!(machine.step(s(109), &soaking).is_empty());
    // A node restarts within the soak: its record and its announcement are new.
    let mut restarted = soaking.clone();
    restarted.nodes.get_mut("b").expect("b").record_revision = 12;
    let interrupted = machine.step(s(109), &restarted);
    assert!(matches!(&interrupted[..], [Output::SoakRestarted(why)] if why.starts_with("b ")));
    let announcement = NodeAnnouncement {
        started: 12,
        knows: 9,
    };
    restarted.nodes.get_mut("b").expect("b").announcement = Some(announcement);
    assert_eq!(machine.step(s(110), &restarted), [Output::SoakStarted]);
    assert_eq!(machine.blocker, Blocker::Soaking(s(120)));
    assert!(machine.step(s(119), &restarted).is_empty());
    let switch = machine.step(s(120), &restarted);
    // The activation is conditional on the records of both processes.
    assert_eq!(stored(&switch), Some((moving(1, 2, Stage::Active), 2)));
}

#[test]
fn moves_one_generation_at_a_time_and_only_where_possible() {
    let mut machine = machine();
    let settled = |generation| view(ClusterGeneration::settled(generation));
    let mut step = |view: &ClusterView| {
        (
            stored(&machine.step(Duration::ZERO, view)),
            machine.blocker.clone(),
        )
    };
    let prepared = |from, to| Some((moving(from, to, Stage::Prepared), 0));
    assert_eq!(step(&settled(1)).0, prepared(1, 2));
    assert_eq!(step(&settled(2)).0, prepared(2, 3));
    assert_eq!(step(&settled(3)), (None, Blocker::AtTarget));
    let mut down = settled(3);
    down.orders.apply(&Order::Target(1));
    assert_eq!(step(&down), (None, Blocker::Irreversible("third")));
    down.cluster = ClusterGeneration::settled(2);
    assert_eq!(step(&down).0, prepared(2, 1));
    // A feature held back by one node is held back for all.
    let mut held_back = settled(2);
    let ability = held_back.nodes.get_mut("b").expect("b").ability.as_mut();
    ability.expect("an ability").held_to = Some(2);
    assert_eq!(step(&held_back), (None, Blocker::AtTarget));
    let mut paused = settled(1);
    paused.orders.paused = true;
    assert_eq!(step(&paused), (None, Blocker::Paused));
    let mut undeclared = settled(1);
    undeclared.nodes.get_mut("a").expect("a").ability = None;
    assert_eq!(step(&undeclared), (None, Blocker::NoRecord("a".into())));
    undeclared.orders.apply(&Order::Forget("a".into()));
    assert_eq!(step(&undeclared).0, prepared(1, 2));
}

fn any_view() -> impl Strategy<Value = ClusterView> {
    let heard = prop::option::of((1..3u64, 8..10u64));
    let heard =
        heard.prop_map(|heard| heard.map(|(started, knows)| NodeAnnouncement { started, knows }));
    let state =
        (prop::option::of(1..4u32), 1..3u64, heard).prop_map(|(most, started, heard)| NodeState {
            ability: most.map(|most| Ability {
                build: String::new(),
                least: 1,
                most,
                features: Vec::new(),
                held_to: None,
            }),
            record_revision: started,
            announcement: heard,
        });
    let stages = prop::sample::select(vec![
        Stage::Prepared,
        Stage::Soaking,
        Stage::Active,
        Stage::Migrating,
    ]);
    let cluster = prop_oneof![
        (1..4u32).prop_map(ClusterGeneration::settled),
        (1..3u32, any::<bool>(), stages).prop_map(|(low, up, stage)| match up {
            true => moving(low, low + 1, stage),
            false => moving(low + 1, low, stage),
        }),
    ];
    let nodes = prop::collection::vec(state, 1..4);
    let orders = (any::<bool>(), prop::option::of(1..4u32), any::<bool>());
    (cluster, nodes, orders, any::<bool>()).prop_map(|(cluster, nodes, orders, no_old_records)| {
        let named = nodes.into_iter().enumerate();
        let gone = orders.2.then(|| "0".to_owned());
        ClusterView {
            cluster,
            revision: 9,
            orders: Orders {
                paused: orders.0,
                target: orders.1,
                gone: gone.into_iter().collect(),
            },
            nodes: named.map(|(at, state)| (at.to_string(), state)).collect(),
            no_old_records,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Checks each step of the state machine against the rules, stated independently.
    #[test]
    fn steps_follow_the_rules(view in any_view(), soaked in any::<bool>()) {
        let mut machine = machine();
        machine.step(Duration::ZERO, &view);
        let later = Duration::from_secs(if soaked { 10 } else { 9 });
        if let Some((next, condition_count)) = stored(&machine.step(later, &view)) {
            let current = view.cluster;
            let active_nodes: Vec<&NodeState> = view
                .nodes
                .iter()
                .filter(|(node, _)| !view.orders.gone.contains(*node))
                .map(|(_, state)| state)
                .collect();
            let all_support = |generation| active_nodes.iter().all(|state| {
                state.ability.as_ref().is_some_and(|a| a.supports(generation))
            });
            let all_current = active_nodes.iter().all(|state| {
                state.announcement
                    == Some(NodeAnnouncement { started: state.record_revision, knows: 9 })
            });
            prop_assert!(!view.orders.paused && next.is_valid());
            prop_assert!(next.from.abs_diff(next.to) <= 1);
            if next.is_mixed() && !current.is_mixed() {
                prop_assert!(all_support(next.to) && all_current && condition_count == active_nodes.len());
                prop_assert!(soaked || next.to < next.from);
            }
            if current.is_mixed() && !next.is_mixed() {
                prop_assert!(view.no_old_records && next == ClusterGeneration::settled(current.to));
            }
            if next.stage == Stage::Prepared {
                prop_assert!(all_support(next.to));
            }
        }
    }
}
