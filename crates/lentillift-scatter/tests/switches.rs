//! Mechanisms that operators switch off.

mod common;

use common::MS;
use common::START;
use common::core;
use common::route;
use common::scatter;
use common::server;
use common::view;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Kind;
use lentillift_scatter::core::Core;
use lentillift_scatter::ledger::Purpose;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::switch::Mechanism;
use lentillift_scatter::switch::Switches;

fn host(off: &str) -> Core {
    let route = route(scatter(2, 0.5), Kind::Idempotent);
    let servers = vec![server("x", "s0", "a"), server("y", "s1", "b")];
    let mut core = core(view(route, servers));
    core.options.switches = off.parse().expect("known names");
    core
}

fn plan(core: &mut Core) -> Plan {
    let view = core.view.clone().expect("a view");
    let route = view.config.routes().next().expect("a route");
    let services = vec!["s0".into(), "s1".into()];
    common::plan(core, &mut Caller::default(), route, services, MS * 900)
}

#[test]
fn all_mechanisms_work_unless_they_are_switched_off() {
    let on = Switches::default();
    assert!(Mechanism::ALL.iter().all(|mechanism| on.is_on(*mechanism)));
    for mechanism in Mechanism::ALL {
        let switches: Switches = mechanism.name().parse().expect("its own name");
        assert!(!switches.is_on(*mechanism));
        assert_eq!(switches.off().count(), 1);
    }
}

/// An operator mistypes a name. If it were ignored, the mechanism that does harm would stay on.
#[test]
fn an_unknown_name_is_refused_with_those_that_are_known() {
    let error = "reserve, hedges"
        .parse::<Switches>()
        .expect_err("hedges is no name");
    assert!(error.contains("\"hedges\""), "{error}");
    assert!(error.contains("repeats"), "{error}");
    assert_eq!("".parse::<Switches>(), Ok(Switches::default()));
}

#[test]
fn without_repeats_the_budget_denies_all() {
    let paid = |off| host(off).spend(&"s0".into(), START, Purpose::Answer);
    assert!(paid(""));
    assert!(!paid("repeats"));
}

#[test]
fn without_partial_answers_a_search_waits_for_its_deadline() {
    let (on, off) = (plan(&mut host("")), plan(&mut host("partial-answers")));
    assert!(on.soft_deadline < on.deadline);
    assert_eq!(off.soft_deadline, off.deadline);
}

#[test]
fn without_branches_no_other_host_is_asked() {
    assert!(plan(&mut host("")).branches);
    assert!(!plan(&mut host("branches")).branches);
}
