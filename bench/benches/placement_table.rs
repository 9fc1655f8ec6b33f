//! Benchmarks the placement table: placing a new flow, and building the table after a change.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::placement_table::PlacementTable;
use lagoonproxy::placement_table::TableMember;
use lagoonproxy_bench::placement_scheme::maglev_table;

const SIZES: [u32; 4] = [14, 100, 1_000, 10_000];

fn members(count: u32) -> Vec<TableMember> {
    (0..count)
        .map(|upstream| TableMember {
            upstream,
            incarnation: 0,
        })
        .collect()
}

fn bench_place(criterion: &mut Criterion) {
    let hasher = FlowHasher::new([3; 16]);
    let service = ([10, 0, 0, 1], 700).into();
    let caller = ([127, 0, 0, 1], 9_000).into();
    let mut group = criterion.benchmark_group("placement_new_flow");
    for size in SIZES {
        let table = PlacementTable::of_members(1, members(size));
        let mut flow = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                flow += 1;
                black_box(table.place(hasher.digest(service, caller, flow)))
            });
        });
    }
    group.finish();
}

fn bench_build(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement_build");
    for size in SIZES {
        let list = members(size);
        group.bench_function(BenchmarkId::new("rendezvous", size), |bencher| {
            bencher.iter(|| black_box(PlacementTable::of_members(1, list.clone())));
        });
        let ids: Vec<u32> = (0..size).collect();
        group.bench_function(BenchmarkId::new("slots", size), |bencher| {
            bencher.iter(|| black_box(maglev_table(&ids)));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = bench_place, bench_build
}
criterion_main!(benches);
