//! Benchmarks the flow table: a hit on the fast path, an insertion, and a tick of expiry.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use lagoonproxy::flow_binding::FlowBinding;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::flow_table::FlowRecord;
use lagoonproxy::flow_table::FlowTable;
use lagoonproxy::ids::FlowDigest;

const SIZES: [u64; 4] = [20_000, 100_000, 500_000, 1_000_000];
const IDLE: Duration = Duration::from_secs(3_600);

fn digests(count: u64) -> Vec<FlowDigest> {
    let hasher = FlowHasher::new([3; 16]);
    let service = ([10, 0, 0, 1], 700).into();
    let caller = ([127, 0, 0, 1], 9_000).into();
    (0..count)
        .map(|flow| hasher.digest(service, caller, flow))
        .collect()
}

fn record(now: Instant, flow: usize) -> FlowRecord {
    FlowRecord {
        binding: FlowBinding {
            service: 1,
            upstream: flow as u32 % 14,
            incarnation: 0,
        },
        idle_deadline: now + IDLE,
    }
}

fn filled(now: Instant, digests: &[FlowDigest]) -> FlowTable {
    let mut table = FlowTable::default();
    for (flow, digest) in digests.iter().enumerate() {
        table.insert(now, *digest, record(now, flow));
    }
    table
}

fn bench_hit(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("flow_table_hit");
    for size in SIZES {
        let digests = digests(size);
        let mut table = filled(now, &digests);
        println!("{size} flows: {} bytes each", table.bytes() / table.len());
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                // A large step accesses flows far apart, as datagrams of many callers do.
                next = (next + 7_919) % digests.len();
                black_box(table.touch(now, digests[next], now + IDLE))
            });
        });
    }
    group.finish();
}

fn bench_insert(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("flow_table_insert");
    for size in SIZES {
        let digests = digests(2 * size);
        let (held, new) = digests.split_at(size as usize);
        let mut table = filled(now, held);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % new.len();
                black_box(table.insert(now, new[next], record(now, next)));
                table.remove(new[next])
            });
        });
    }
    group.finish();
}

fn bench_expire(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("flow_table_expire_tick");
    for size in SIZES {
        let mut table = filled(now, &digests(size));
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(table.expire(now)));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(1));
    targets = bench_hit, bench_insert, bench_expire
}
criterion_main!(benches);
