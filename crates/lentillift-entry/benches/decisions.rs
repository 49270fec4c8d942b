//! Time of each decision at two sizes of the fleet, to show what grows with it.

use criterion::Criterion;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Load;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use lentillift_entry::answer::SearchRequest;
use lentillift_entry::core as entry;
use lentillift_entry::core::Entry;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::view::View;
use lentillift_owner::core as owner;
use lentillift_owner::core::Owner;
use lentillift_policy::admission;
use lentillift_policy::admission::Admission;
use lentillift_policy::choice::Candidate;
use lentillift_policy::choice::Loads;
use lentillift_policy::queue::Job;
use lentillift_policy::queue::Queue;
use lentillift_policy::queue::Slot;
use lentillift_settings::policy::Policy;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;

#[path = "../tests/bench/setup.rs"]
#[allow(dead_code, unreachable_pub)]
mod setup;

/// Shards, each with two backend servers, and hosts: the current and the target size.
const SIZES: [(u32, usize); 2] = [(68, 9), (2300, 760)];

const NOW: Time = Duration::from_secs(100);

fn view(shards: u32, hosts: usize) -> Arc<View> {
    let setup = setup::Setup {
        shards,
        ..setup::Setup::default()
    };
    let values = lentillift_fleet::view::Values {
        config: Some(Arc::new(setup::config(&setup))),
        placements: [(setup::SERVICE.into(), Arc::new(setup::placement(&setup)))].into(),
        ..Default::default()
    };
    let hosts = (0..hosts).map(|n| format!("h{n}").into()).collect();
    Arc::new(View::new(values, hosts))
}

fn load() -> Load {
    Load {
        queued: 1,
        running: 2,
        limit: 2,
        cold: false,
        wait: Duration::from_millis(3),
        run: Duration::from_millis(5),
    }
}

fn choice(c: &mut Criterion) {
    let options = Policy::default().choice;
    for (shards, hosts) in SIZES {
        let mut loads = Loads::default();
        let names: Vec<id::Backend> = (0..2 * shards).map(|n| format!("b{n}").into()).collect();
        for name in &names {
            loads.record(NOW, name, load());
        }
        let mut rng = StdRng::seed_from_u64(1);
        let mut at = 0;
        c.bench_function(&format!("choose a replica, {hosts} hosts"), |b| {
            b.iter(|| {
                at = (at + 7) % (names.len() - 1);
                let candidate = |backend| Candidate {
                    backend,
                    same_domain: false,
                };
                let two = [candidate(&names[at]), candidate(&names[at + 1])];
                let chosen = loads.choose(&options, NOW, &mut rng, &two).cloned();
                loads.record_sent(chosen.as_ref().unwrap_or(&names[0]));
            });
        });
    }
}

fn admission(c: &mut Criterion) {
    let options = Policy::default().admission;
    for callers in [10_u32, 1000] {
        let mut admission = Admission::default();
        let asks: Vec<admission::Request> = (0..callers)
            .map(|n| admission::Request {
                rank: 0,
                caller: n.to_string().into(),
                weight: 1,
                cost: 68,
            })
            .collect();
        let mut now = NOW;
        let mut at = 0;
        c.bench_function(&format!("admit a query, {callers} callers"), |b| {
            b.iter(|| {
                at = (at + 1) % asks.len();
                now += Duration::from_micros(100);
                let next = admission.decide(&options, now, &asks[at]);
                let done = admission::Completion {
                    rank: 0,
                    answered: 34,
                    refused: true,
                };
                admission.record_completion(&options, now, &done);
                next
            });
        });
    }
}

fn queue(c: &mut Criterion) {
    let options = Policy::default().queue;
    for waiting in [10_u64, 10_000] {
        let mut queue = Queue::default();
        let job = |n: u64| Job {
            rank: (n % 3) as u8,
            caller: format!("c{}", n % 50).into(),
            weight: 1,
            cost: Duration::from_millis(5),
            long: false,
            expiry: NOW + Duration::from_micros(n),
        };
        let jobs: Vec<Job> = (0..150).map(job).collect();
        for n in 0..waiting {
            queue.push(n, jobs[(n % 150) as usize].clone(), n);
        }
        let mut n = waiting;
        c.bench_function(
            &format!("queue and take a sub-request, {waiting} wait"),
            |b| {
                b.iter(|| {
                    n += 1;
                    let job = jobs[(n % 150) as usize].clone();
                    let ahead = queue.work_ahead(&job);
                    queue.push(n, job, n);
                    (ahead, queue.pop(&options, NOW, Slot::Open))
                });
            },
        );
    }
}

fn sub_request(shard: u32, id: id::Sub) -> Sub {
    Sub {
        id,
        service: setup::SERVICE.into(),
        backend: setup::backend(shard, 0),
        caller: "reader".into(),
        work: Work::Search { snapshot: 1, shard },
        allowance: Duration::from_millis(130),
        body: [].into(),
        hedge: false,
    }
}

/// One owner of all backend servers, which is more than any owner has in a real fleet.
fn owner(c: &mut Criterion) {
    for (shards, hosts) in SIZES {
        let mut owner = Owner::new();
        let view = view(shards, 1);
        owner.handle(NOW, owner::Event::View(view.clone()));
        for backend in view.backends.keys().cloned() {
            let hold = LeaseState::Until(Duration::MAX);
            owner.handle(NOW, owner::Event::Hold { backend, hold });
        }
        let from: id::Host = "h1".into();
        let mut id = 0;
        c.bench_function(
            &format!("owner: take, send and answer, {hosts} hosts"),
            |b| {
                b.iter(|| {
                    id += 1;
                    let sub = sub_request((id % u64::from(shards)) as u32, id);
                    let from = from.clone();
                    let effects = owner.handle(NOW, owner::Event::Sub { from, sub });
                    let mut sent = effects.into_iter().filter_map(|effect| match effect {
                        owner::Effect::Dispatch { ticket, .. } => Some(ticket),
                        _ => None,
                    });
                    let ticket = sent.next().unwrap_or_default();
                    let done = owner::Event::Done {
                        ticket,
                        result: sub::Result::Hits(Vec::new()),
                        report: Report::default(),
                    };
                    owner.handle(NOW, done)
                });
            },
        );
    }
}

fn entry(c: &mut Criterion) {
    for (shards, hosts) in SIZES {
        let mut entry = Entry::new(StdRng::seed_from_u64(1)).with_cache_bytes(0);
        // The query itself goes to 68 shards at either size.
        let whole = view(shards, hosts);
        let mut values = (*whole.values).clone();
        let placement = values.placements.get_mut(setup::SERVICE);
        let placement = Arc::make_mut(placement.expect("the service"));
        placement.maps[0].parts.truncate(68);
        let hosts_alive = whole.alive.to_vec();
        entry.handle(
            NOW,
            entry::Event::View(Arc::new(View::new(values, hosts_alive))),
        );
        let mut request = 0;
        c.bench_function(
            &format!("entry: a query of 68 shards, {hosts} hosts"),
            |b| {
                b.iter(|| {
                    request += 1;
                    let ask = SearchRequest {
                        service: setup::SERVICE.into(),
                        caller: "reader".into(),
                        allowance: Duration::from_millis(130),
                        limit: 10,
                        least_coverage: 0.0,
                        body: [].into(),
                    };
                    let sent = entry.handle(NOW, entry::Event::Ask { request, ask });
                    for effect in sent {
                        if let entry::Effect::Send { sub, .. } = effect {
                            let reply = entry::Event::Reply {
                                id: sub.id,
                                result: sub::Result::Hits(Vec::new()),
                                load: Some(load()),
                            };
                            entry.handle(NOW, reply);
                        }
                    }
                });
            },
        );
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choice(&mut criterion);
    admission(&mut criterion);
    queue(&mut criterion);
    owner(&mut criterion);
    entry(&mut criterion);
    criterion.final_summary();
}
