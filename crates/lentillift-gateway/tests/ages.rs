//! How old a host takes its knowledge for, over ways that are late.

mod common;

use common::Act;
use common::Backend;
use common::Memory;
use common::Served;
use common::Shared;
use common::ask;
use common::backend;
use common::get;
use common::host;
use common::introduce;
use common::item;
use common::listener;
use common::read_message;
use common::run;
use common::serve;
use common::serve_from;
use common::singles;
use common::whole;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::Origin;
use lentillift_gateway::feed;
use lentillift_gateway::listen;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::News;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time between two looks at a host.
const LOOK: Duration = Duration::from_millis(10);

/// Changes that are published, and the pause before each; it is no multiple of any time between two
/// messages.
const CHANGES: u64 = 10;
const PAUSE: Duration = Duration::from_millis(270);

/// Time for which a host that does not hear of a change is watched.
const PATIENCE: Duration = Duration::from_millis(500);

/// How late bytes are on a way, by the time since it was opened.
type Lag = fn(Duration) -> Duration;

/// Accepts connections to `to` whose bytes are late by `lag`.
async fn late_way(listener: TcpListener, to: SocketAddr, lag: Lag) {
    let opened = Instant::now();
    while let Ok((near, _)) = listener.accept().await {
        let far = TcpStream::connect(to).await.expect("connected");
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::task::spawn_local(carry(near_in, far_out, opened, lag));
        tokio::task::spawn_local(carry(far_in, near_out, opened, lag));
    }
}

/// Carries bytes one way; none overtakes another.
async fn carry<R, W>(mut from: R, mut to: W, opened: Instant, lag: Lag)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin + 'static,
{
    let (sender, mut receiver) = mpsc::unbounded_channel::<(tokio::time::Instant, Vec<u8>)>();
    tokio::task::spawn_local(async move {
        while let Some((due, bytes)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let due = tokio::time::Instant::now() + lag(opened.elapsed());
        if sender.send((due, buffer[..length].to_vec())).is_err() {
            return;
        }
    }
}

/// A name under which a host learns from the one named `origin`.
fn follower_of(origin: &str) -> String {
    let candidate = |name: &str| Candidate {
        host: name.into(),
        domain: "a".into(),
    };
    let others = [candidate(origin)];
    let best = |name: &String| {
        follow::rank_origins(&candidate(name), &others, follow::FANOUT, 0).remove(0)
    };
    let mut names = (0..).map(|number| format!("follower-{number}"));
    let name = names.find(|name| best(name) == Origin::Host(origin.into()));
    name.expect("some name ranks below the origin")
}

fn config(revision: u64) -> Item {
    Item {
        revision,
        ..item("config", format!("s{revision}"))
    }
}

/// A host that has just read revision 1, and one that follows it over a way that is late by `lag`.
async fn pair(lag: Lag) -> (Shared, Shared) {
    let (inner, inside) = listener().await;
    let (outer, outside) = listener().await;
    let origin = host("origin", "a", outside, Memory::default());
    let items = vec![config(1)];
    origin.learn(Some(News::All { revision: 1, items }), Duration::ZERO);
    origin.swim.borrow_mut().serve();
    tokio::task::spawn_local(listen::nodes(origin.clone(), inner));
    tokio::task::spawn_local(late_way(outer, inside, lag));
    let away = Memory {
        away: true,
        ..Memory::default()
    };
    let (_, unused) = listener().await;
    let follower = host(&follower_of("origin"), "a", unused, away);
    introduce(&origin, &follower);
    tokio::task::spawn_local(feed::follow(follower.clone()));
    (origin, follower)
}

/// Has `origin` know at all times that nothing has changed.
async fn keep_proved(origin: Shared) {
    loop {
        origin.learn(None, Duration::ZERO);
        tokio::time::sleep(LOOK).await;
    }
}

async fn until_known(host: &Shared, revision: u64) {
    while host.catalog.borrow().revision() < revision {
        tokio::time::sleep(LOOK).await;
    }
}

/// Watches `host` until it knows of the revision that has just been published, or for a while: it must not
/// hold what it knows for fresher than that revision.
async fn until_heard(host: &Shared, revision: u64) {
    let published = Instant::now();
    while published.elapsed() < PATIENCE {
        let outdated = published.elapsed();
        let age = host.age().expect("the host knows something");
        if host.catalog.borrow().revision() >= revision {
            return;
        }
        assert!(age >= outdated, "{age:?}, and outdated for {outdated:?}");
        tokio::time::sleep(LOOK).await;
    }
}

/// A way gets later little by little, as one on which a queue builds up; each message tells an age that was
/// true when it was written. A host that goes by that alone stays with its origin and answers callers by a
/// configuration that was replaced seconds ago.
macro_rules! knowledge_is_at_least_as_old_as_it_is_held_for {
    ($($name:ident: $lag:expr;)*) => {$(
        #[test]
        fn $name() {
            run(async {
                let (origin, follower) = pair($lag).await;
                tokio::task::spawn_local(keep_proved(origin.clone()));
                until_known(&follower, 1).await;
                for revision in 2..=CHANGES {
                    tokio::time::sleep(PAUSE).await;
                    let items = vec![config(revision)];
                    origin.learn(Some(News::Changes { revision, items }), Duration::ZERO);
                    until_heard(&follower, revision).await;
                }
            });
        }
    )*};
}

knowledge_is_at_least_as_old_as_it_is_held_for! {
    over_a_way_that_gets_later: |open| open / 2;
    over_a_way_that_is_late_all_the_time: |_| Duration::from_millis(150);
    over_a_way_that_is_late_by_turns: |open| Duration::from_millis(open.as_millis() as u64 % 700);
}

/// Word that the service was away is late on its way. Taken for younger than it is, it hides that entries of
/// backend servers lapsed after the service had come back, and servers that are gone are asked.
#[test]
fn word_that_the_service_was_away_is_as_old_as_its_way() {
    run(async {
        let (origin, follower) = pair(|_| Duration::from_millis(150)).await;
        tokio::task::spawn_local(keep_proved(origin.clone()));
        until_known(&follower, 1).await;
        origin.note_away(Duration::ZERO);
        let back = Instant::now();
        let mut looks = 0;
        while looks < 50 {
            let outdated = back.elapsed();
            if let Some(away) = follower.away() {
                assert!(away >= outdated, "{away:?}, and back for {outdated:?}");
                looks += 1;
            }
            tokio::time::sleep(LOOK).await;
        }
    });
}

/// An answer of the service that nothing has changed waits before its first byte arrives. A host that takes it
/// for fresh holds what was published meanwhile for not published.
#[test]
fn a_late_answer_of_the_service_is_not_fresh() {
    run(async {
        let source = Memory {
            items: vec![config(1)],
            lag: Duration::from_millis(400),
            ..Memory::default()
        };
        let left = Rc::clone(&source.left);
        let (_, unused) = listener().await;
        let reader = host("reader", "a", unused, source);
        tokio::task::spawn_local(feed::follow(reader.clone()));
        until_known(&reader, 1).await;
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(4) {
            if let Some(left) = left.get() {
                let outdated = left.elapsed();
                let age = reader.age().expect("the reader knows something");
                assert!(
                    age >= outdated,
                    "{age:?}, and the answer left {outdated:?} ago"
                );
            }
            tokio::time::sleep(LOOK).await;
        }
    });
}

/// A host that knows of the first of two backend servers, and has heard nothing for longer than news may take.
async fn outdated() -> (Served, Backend, Backend) {
    let first = backend(vec![Act::Write(whole("first"))]).await;
    let second = backend(vec![Act::Write(whole("second"))]).await;
    let served = serve(singles(&[first.address])).await;
    tokio::time::sleep(served.host.news.bound + LOOK).await;
    (served, first, second)
}

/// What a host that stood still missed: its server has left, and another one has taken its place.
fn missed(second: &Backend) -> News {
    let entry = format!("s {} a", second.address);
    let left = Item {
        revision: 2,
        value: None,
        ..item("b0", String::new())
    };
    let came = Item {
        revision: 2,
        ..item("b1", entry)
    };
    News::Changes {
        revision: 2,
        items: vec![left, came],
    }
}

/// The answer to a request that comes shortly before the news.
async fn ask_before_news(served: &Served, news: News) -> String {
    let front = served.front;
    let answer = tokio::task::spawn_local(async move { ask(front, &get("/one/x", "i")).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    served.host.learn(Some(news), Duration::ZERO);
    answer.await.expect("an answer")
}

/// A process stands still for longer than news may take. When it runs again, requests wait in its sockets beside
/// the news that it missed; answered first, they go by what was replaced meanwhile.
#[test]
fn a_host_that_stood_still_hears_the_news_before_it_serves() {
    run(async {
        let (served, _first, second) = outdated().await;
        let answer = ask_before_news(&served, missed(&second)).await;
        assert!(answer.ends_with("second"), "{answer}");
    });
}

/// The reader of the service stood still, and a call of its own timed out meanwhile. Taken for a service that is away,
/// this had it serve by what it knew.
#[test]
fn a_call_that_timed_out_while_the_host_stood_still_is_made_again() {
    run(async {
        let first = backend(vec![Act::Write(whole("first"))]).await;
        let second = backend(vec![Act::Write(whole("second"))]).await;
        let source = Memory {
            is_silent: Rc::new(Cell::new(true)),
            news: Rc::new(RefCell::new(Some(missed(&second)))),
            ..Memory::default()
        };
        let served = serve_from(singles(&[first.address]), source).await;
        tokio::task::spawn_local(feed::follow(served.host.clone()));
        let is_outdated = || {
            served
                .host
                .age()
                .is_some_and(|age| age > served.host.news.bound)
        };
        while !is_outdated() {
            tokio::time::sleep(LOOK).await;
        }
        let answer = ask(served.front, &get("/one/x", "i")).await;
        assert!(answer.ends_with("second"), "{answer}");
    });
}

/// The service is away for all. Nobody can know more, and callers are served by what there is, without a wait.
#[test]
fn a_host_serves_by_old_knowledge_while_the_service_is_away() {
    run(async {
        let (served, _first, second) = outdated().await;
        served.host.note_away(Duration::ZERO);
        let answer = ask_before_news(&served, missed(&second)).await;
        assert!(answer.ends_with("first"), "{answer}");
    });
}

/// A host is cut off from all that could tell it news. Its callers are served by what it knows.
#[test]
fn a_host_that_hears_no_news_serves_by_what_it_knows() {
    run(async {
        let (served, _first, _second) = outdated().await;
        let answer = ask(served.front, &get("/one/x", "i")).await;
        assert!(answer.ends_with("first"), "{answer}");
    });
}

/// A caller sends the body of its search slowly, and meanwhile the index is cut anew. The search went to the shards of
/// the time when its head came.
#[test]
fn a_search_goes_to_the_shards_of_the_time_when_it_is_complete() {
    run(async {
        let old = backend(vec![Act::Write(whole("old old old old!"))]).await;
        let new = backend(vec![Act::Write(whole("new new new new!"))]).await;
        let published = |shard: &str, server: &Backend, revision: u64| {
            let entry = format!("{shard} {} a", server.address);
            let items = [
                item("config", shard.to_owned()),
                item(&format!("b-{shard}"), entry),
            ];
            items.map(|item| Item { revision, ..item }).to_vec()
        };
        let served = serve(published("s1", &old, 1)).await;
        let mut caller = TcpStream::connect(served.front).await.expect("connected");
        let head =
            "POST /all/x HTTP/1.1\r\nHost: search.example\r\nx-id: i\r\nContent-Length: 4\r\n\r\n";
        caller.write_all(head.as_bytes()).await.expect("written");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let items = published("s2", &new, 2);
        let news = News::Changes { revision: 2, items };
        served.host.learn(Some(news), Duration::ZERO);
        caller.write_all(b"body").await.expect("written");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.ends_with("new new new new!"), "{answer}");
    });
}
