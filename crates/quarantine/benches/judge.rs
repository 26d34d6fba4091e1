//! Cost of the quarantine per request, without suspects and with many.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use olivegate_quarantine::{ContentDigest, FatalRun, QuarantinePolicy, SuspectedContent, Suspects};
use olivegate_types::{InstanceName, Moment};

const TARGET: &[u8] = b"/catalogue/search/?title=the+tempest&page=3";

fn suspects(count: u32) -> Suspects {
    let mut suspects = Suspects::default();
    let now = Moment::from_millis(1_000_000);
    for number in 0..count {
        let digest = ContentDigest::of(b"GET", &number.to_le_bytes(), b"desk", b"");
        let content = SuspectedContent { digest, prefix: None, was_answered: false };
        let run = FatalRun { ended: now, began: now };
        suspects.note_end(&QuarantinePolicy::default(), content, &InstanceName::new("instance-1"), run);
    }
    suspects
}

fn decide(suspects: &mut Suspects, body: &[u8]) {
    if black_box(&*suspects).is_empty() {
        return;
    }
    let digest = ContentDigest::of(b"GET", black_box(TARGET), b"desk", body);
    let now = Moment::from_millis(1_000_100);
    black_box(suspects.decide(&QuarantinePolicy::default(), &digest, false, now));
}

fn benchmarks(criterion: &mut Criterion) {
    let body = vec![7; 4_096];
    criterion.bench_function("nothing suspected", |bencher| {
        let mut suspects = suspects(0);
        bencher.iter(|| decide(&mut suspects, &[]));
    });
    criterion.bench_function("1,000 suspects, no body", |bencher| {
        let mut suspects = suspects(1_000);
        bencher.iter(|| decide(&mut suspects, &[]));
    });
    criterion.bench_function("1,000 suspects, body of 4 KB", |bencher| {
        let mut suspects = suspects(1_000);
        bencher.iter(|| decide(&mut suspects, &body));
    });
}

criterion_group!(benches, benchmarks);
criterion_main!(benches);
