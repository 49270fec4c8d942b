//! Cost of the calls by which tasks record metrics on the board, and of rendering them.

use criterion::Criterion;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_operator::board::Board;
use std::hint::black_box;
use std::time::Duration;

/// Backend servers per process when six processes share those of the `nafisa` example.
const BACKENDS: usize = 30;

fn add(c: &mut Criterion) {
    let board = Board::new("h".into(), 1, Clock::start());
    let names: Vec<id::Backend> = (0..BACKENDS).map(|n| format!("b-{n}").into()).collect();
    let latency = Duration::from_millis(7);
    let mut number = 0;
    let mut next = move || {
        number = (number + 1) % BACKENDS;
        names[number].clone()
    };
    c.bench_function("board/add", |b| {
        b.iter(|| board.add("dispatches_total", &[("backend", &*next())], black_box(1)));
    });
    c.bench_function("board/observe", |b| {
        b.iter(|| board.observe("seconds", &[("backend", &*next())], black_box(latency)));
    });
    c.bench_function("board/answered", |b| {
        b.iter(|| board.record_answer(&next(), black_box(latency), 1.0));
    });
    c.bench_function("board/metrics", |b| b.iter(|| board.metrics()));
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    add(&mut criterion);
    criterion.final_summary();
}
