//! Cost per request of remembering its content as answered.

use std::hint::black_box;

use bytes::Bytes;
use criterion::{Criterion, criterion_group, criterion_main};
use olivegate_sidecar::gate::quarantine::run_content::RunContent;
use olivegate_sidecar::gate::quarantine::run_history::AnsweredContents;

fn content(number: u64, body: usize) -> RunContent {
    let target = Bytes::from(format!("/catalogue/search/?title=the+tempest&page={number}"));
    RunContent::whole(Bytes::from_static(b"GET"), target, Bytes::from_static(b"desk"), vec![7; body].into())
}

fn benchmarks(criterion: &mut Criterion) {
    for (name, body) in [("no body", 0), ("body of 1 KB", 1_024), ("body of 2 KB, not remembered", 2_048)] {
        let contents: Vec<RunContent> = (0..8_192).map(|number| content(number, body)).collect();
        let answered = AnsweredContents::default();
        let mut next = 0;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                next = (next + 1) % contents.len();
                answered.insert(black_box(&contents[next]));
            });
        });
    }
}

criterion_group!(benches, benchmarks);
criterion_main!(benches);
