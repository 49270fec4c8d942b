//! Faults of hosts and of the network, with simulated links, clock and configuration service.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use common::Net;
use common::address;
use common::host;
use lentillift_fleet::core::Event;
use std::time::Duration;

/// Hosts of the fleet; host `n` is in failure domain `d(n % 4)`.
const HOSTS: usize = 9;

const SECOND: Duration = Duration::from_secs(1);

/// Time within which all hosts agree again after any fault has ended.
const HEAL: Duration = Duration::from_secs(30);

/// A fleet that has started and is quiet.
fn fleet(seed: u64) -> Net {
    let mut net = Net::fleet(seed, HOSTS);
    let settled = net.wait(HEAL, Net::settled);
    assert!(settled.is_some(), "the fleet did not start");
    net.run(SECOND);
    net
}

fn alive(net: &Net, number: usize) -> Vec<usize> {
    let view = net.view(number);
    let is_alive = |number: &usize| view.alive.contains(&host(*number));
    (0..20).filter(is_alive).collect()
}

/// Number of suspicions that any process has noted.
fn suspicions(net: &Net) -> usize {
    let notes = net.nodes.values().flat_map(|node| &node.notes);
    notes.filter(|(_, note)| note.contains("suspected")).count()
}

cases! {
    /// A switch between two halves of the fleet fails for ten seconds. Each half would go on
    /// sending work to hosts that it can't reach, and after the repair the halves would never
    /// reconnect.
    halves_part_and_meet_again(net) {
        net.cut(&[0, 1, 2, 3], &[4, 5, 6, 7, 8]);
        net.cut(&[4, 5, 6, 7, 8], &[0, 1, 2, 3]);
        net.run(SECOND * 10);
        assert_eq!(alive(&net, 0), [0, 1, 2, 3]);
        assert_eq!(alive(&net, 8), [4, 5, 6, 7, 8]);
        net.cut.clear();
        assert!(net.wait(HEAL, Net::settled).is_some());
    }

    /// Packets pass from one host to another and not back, as after a wrong route. The two would
    /// consider each other dead, and the backend servers of both would move needlessly.
    one_bad_direction_condemns_nobody(net) {
        net.cut(&[0], &[1]);
        for _ in 0..60 {
            net.run(SECOND);
            assert!(net.settled());
        }
        assert_eq!(suspicions(&net), 0);
    }

    /// A host loses its network. Callers that still have a connection to it would get answers from
    /// a view that is minutes old, with work sent to servers that are out of service.
    host_without_any_news_refuses(net) {
        let all: Vec<usize> = (0..HOSTS).collect();
        net.cut(&[3], &all);
        net.cut(&all, &[3]);
        net.unserved.insert(host(3));
        net.run(SECOND * 4);
        assert!(!net.fresh(3));
        assert!(!net.nodes[&host(3)].ready);
        assert!(net.fresh(4));
        net.run(SECOND * 10);
        assert_eq!(alive(&net, 4).len(), HOSTS - 1);
        net.cut.clear();
        net.unserved.clear();
        assert!(net.wait(HEAL, Net::settled).is_some());
    }

    /// A whole failure domain loses its network. Its hosts are dropped; the fault must not affect
    /// other hosts, and the domain must return without intervention.
    failure_domain_is_cut_and_returns(net) {
        let rest = [0, 2, 3, 4, 6, 7, 8];
        net.cut(&[1, 5], &rest);
        net.cut(&rest, &[1, 5]);
        net.run(SECOND * 10);
        assert_eq!(alive(&net, 0), rest);
        net.cut.clear();
        assert!(net.wait(HEAL, Net::settled).is_some());
    }

    /// One packet in ten gets lost for two minutes. Hosts would be considered dead at random, and
    /// their backend servers would move back and forth.
    lossy_links_condemn_nobody(net) {
        net.loss = 0.1;
        for _ in 0..120 {
            net.run(SECOND);
            assert!((0..HOSTS).all(|number| alive(&net, number).len() == HOSTS));
        }
    }

    /// A host dies and its replacement starts under the old name at a new address, before the
    /// published list contains it. Others would go on using the old address.
    host_is_replaced_at_a_new_address(net) {
        net.kill(4);
        net.run(SECOND);
        net.start(4, 50);
        assert!(net.wait(HEAL, Net::settled).is_some());
        let known = net.view(0).hosts[&host(4)].address;
        assert_eq!(known, address(50));
    }

    /// A host that is not published yet starts and contacts the seeds in its settings. It would
    /// stay idle until the list catches up, which takes minutes on a bad day.
    host_joins_before_it_is_published(net) {
        net.start(9, 9);
        assert!(net.wait(SECOND * 5, Net::settled).is_some());
    }

    /// A host has left, and newer revisions of the published list still contain it. It would be
    /// given work again each time the list is published.
    old_list_brings_no_host_back(net) {
        net.handle(&host(5), Event::Leave);
        net.handle(&host(5), Event::End);
        net.publish_hosts(2);
        net.kill(5);
        for _ in 0..200 {
            net.run(SECOND);
            assert!(!alive(&net, 0).contains(&5));
        }
    }

    /// A process leaves in an orderly way. The others would go on giving it work until a probe
    /// fails, and callers would see that work refused.
    leaving_is_known_at_once(net) {
        net.handle(&host(2), Event::Leave);
        assert!(!net.nodes[&host(2)].ready);
        let known = net.wait(SECOND, |net| {
            (0..HOSTS).all(|number| !alive(net, number).contains(&2))
        });
        assert!(known.is_some());
    }

    /// A faulty host restarts ten times in a minute. Each time its old record might win over the
    /// new one, so that it stays out although it runs.
    ten_restarts_in_a_minute(net) {
        for _ in 0..10 {
            net.kill(6);
            net.run(SECOND * 2);
            net.start(6, 6);
            net.run(SECOND * 4);
        }
        assert!(net.wait(HEAL, Net::settled).is_some());
    }

    /// Operators replace half the fleet, one host after the other. At no time may the rest lose
    /// their view, or the new hosts start with older values than those in force.
    half_the_fleet_is_replaced(net) {
        net.publish_config(7, &[], &[]);
        for number in 0..HOSTS / 2 {
            net.handle(&host(number), Event::Leave);
            net.run(SECOND);
            net.kill(number);
            net.start(number, 60 + number as u16);
            net.run(SECOND * 5);
            assert!((0..HOSTS).all(|number| net.nodes[&host(number)].ready));
            assert!(net.in_force(7));
        }
        assert!(net.wait(HEAL, Net::settled).is_some());
    }

    /// A process is stopped for ten seconds and resumes with work at hand. It would send that work
    /// by a view in which it owns backend servers that others now hold.
    paused_process_wakes_up_stale(net) {
        net.pause(7, SECOND * 10);
        net.run(SECOND * 2);
        assert!(!net.fresh(7), "stale before it has done anything");
        net.run(SECOND * 7);
        assert!(!alive(&net, 0).contains(&7));
        net.run(SECOND * 3);
        assert!(net.fresh(7));
        let notes = &net.nodes[&host(7)].notes;
        let suspected = notes.iter().any(|(_, note)| note.contains("suspected"));
        assert!(!suspected, "it blames nobody for its own pause");
        assert!(net.wait(HEAL, Net::settled).is_some());
    }

    /// Eight of nine hosts lose power at once and the last one still reads the service. It must
    /// continue alone, and accept the others when they return.
    one_host_is_left(net) {
        for number in 1..HOSTS {
            net.kill(number);
        }
        net.run(SECOND * 30);
        assert!(net.nodes[&host(0)].ready);
        assert_eq!(alive(&net, 0), [0]);
        for number in 1..HOSTS {
            net.start(number, number as u16);
        }
        assert!(net.wait(HEAL, Net::settled).is_some());
    }
}

/// Two regions lose contact for three minutes. Each must continue with its own hosts, and both must
/// become one fleet again when the link is back.
#[test]
fn partitioned_regions_continue_and_reunite() {
    let mut net = Net::regions(5, 16, 2);
    assert!(net.wait(HEAL, Net::settled).is_some());
    let here = |number: &usize| number % 8 < 4;
    let (east, west): (Vec<usize>, Vec<usize>) = (0..16).partition(here);
    net.cut(&east, &west);
    net.cut(&west, &east);
    for _ in 0..180 {
        net.run(SECOND);
        assert!(net.nodes.values().all(|node| node.ready));
        for number in &east {
            let alive = alive(&net, *number);
            assert!(east.iter().all(|near| alive.contains(near)));
        }
    }
    net.cut.clear();
    assert!(net.wait(HEAL * 2, Net::settled).is_some());
}

/// Hosts hear from none of their peers and still read the configuration service. Without calls of
/// their own they would miss that operators take a failure domain out of service, or refuse
/// everything.
#[test]
fn hosts_without_peers_read_the_service() {
    let mut net = Net::fleet(6, 40);
    assert!(net.wait(HEAL, Net::settled).is_some());
    // All hosts of one failure domain, of which some watch the service at present and most don't.
    let all: Vec<usize> = (0..40).collect();
    let cut: Vec<usize> = (0..40).step_by(4).collect();
    net.cut(&cut, &all);
    net.cut(&all, &cut);
    for _ in 0..100 {
        net.run(SECOND / 10);
        assert!(cut.iter().all(|number| net.fresh(*number)));
    }
    net.publish_config(2, &["d1"], &[]);
    net.run(SECOND * 3);
    assert!(net.in_force(2));
}
