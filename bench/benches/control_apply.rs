//! Benchmarks applying a configuration change on one host, with the configuration of a whole zone.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use lagoonproxy::config_store::ConfigStore;
use lagoonproxy::config_value::KeyValue;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::Version;
use lagoonproxy::snapshot_compiler::SnapshotCompiler;
use lagoonproxy::snapshot_compiler::published_config;
use lagoonproxy_bench::lab_config::LabConfig;
use lagoonproxy_bench::lab_config::LabSize;
use lagoonproxy_bench::lab_platform::LabPlatform;

/// A host's store of a zone's configuration, and the platform on which it changes.
struct ZoneBench {
    platform: LabPlatform,
    config: LabConfig,
    store: ConfigStore,
    read: Version,
}

impl ZoneBench {
    fn new(upstreams: u32) -> Self {
        let mut platform = LabPlatform::default();
        let size = LabSize {
            upstreams,
            ..LabSize::large_zone(8)
        };
        let config = LabConfig::publish(size, &mut platform);
        let mut bench = Self {
            platform,
            config,
            store: ConfigStore::default(),
            read: 0,
        };
        bench.read_changes();
        bench
    }

    /// Merges the changes published since the last call into the store.
    fn read_changes(&mut self) {
        for published in self.platform.changes("", self.read) {
            let json = published.value.unwrap_or_default();
            let value = Arc::new(KeyValue::parse(&published.key, &json));
            self.store
                .join(&published.key, published.version, Some(value));
        }
        self.read = self.platform.revision();
        self.store.complete(self.read);
    }

    fn change(&mut self) {
        self.config.change_one(&mut self.platform);
        self.read_changes();
    }
}

fn bench_compile(criterion: &mut Criterion) {
    for upstreams in [500, 5_000, 16_000] {
        let mut zone = ZoneBench::new(upstreams);
        let mut compiler = SnapshotCompiler::default();
        let mut compile = |zone: &ZoneBench| {
            let snapshot = compiler.compile(&zone.store, zone.read);
            black_box(snapshot.expect("the lab's configuration is valid"))
        };
        compile(&zone);
        // Only the compilation is timed, since a change costs more than its compilation.
        criterion.bench_function(&format!("compile after change/{upstreams}"), |bencher| {
            bencher.iter_custom(|iterations| {
                let mut spent = std::time::Duration::ZERO;
                for _iteration in 0..iterations {
                    zone.change();
                    let begin = std::time::Instant::now();
                    compile(&zone);
                    spent += begin.elapsed();
                }
                spent
            });
        });
        let snapshot = compile(&zone);
        criterion.bench_function(&format!("encode snapshot/{upstreams}"), |bencher| {
            bencher.iter(|| {
                let mut bytes = Vec::new();
                ciborium::into_writer(&*snapshot, &mut bytes)
                    .expect("a snapshot can always be encoded");
                black_box(bytes.len())
            });
        });
    }
    let zone = ZoneBench::new(5_000);
    let config = published_config(&zone.store, 1);
    criterion.bench_function("compile everything/5000", |bencher| {
        bencher.iter(|| black_box(config.compile().is_ok()));
    });
}

fn bench_relay(criterion: &mut Criterion) {
    let mut zone = ZoneBench::new(5_000);
    let behind = zone.store.clone();
    let after = zone.read;
    zone.change();
    let none: BTreeMap<ConfigKey, Version> = BTreeMap::new();
    criterion.bench_function("find updates for a peer/5000", |bencher| {
        bencher.iter(|| black_box(zone.store.updates_after(after, &none)));
    });
    let updates = zone.store.updates_after(after, &none);
    criterion.bench_function("join an update/5000", |bencher| {
        bencher.iter_batched_ref(
            || behind.clone(),
            |store| black_box(store.join_update(&updates[0])),
            criterion::BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, bench_compile, bench_relay);
criterion_main!(benches);
