//! Cost of the decisions on the request path, over a range of sizes that shows how it grows.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use tinbay_core::config::{Adapter, ConfigObject, ConfigStore};
use tinbay_core::engine::{
    EngineContents, EngineOwner, EngineShape, Event, OwnerSettings, QueuedRequest, Scheduler,
};
use tinbay_core::ids::{BoxId, EngineId, ModelRef, RequestId, ZoneId};
use tinbay_core::keys::{KeyTable, RequestKey};
use tinbay_core::loads::{Allowance, LoadArbiter, LoadRequest};
use tinbay_core::policy::{Policy, PolicyRequest, Treatment};
use tinbay_core::route::Router;
use tinbay_core::sharing::admission::{AdmissionId, AdmissionQueue, AdmissionRequest};
use tinbay_core::sharing::scarcity::ServerLoad;
use tinbay_core::sharing::weights::AccountWeights;
use tinbay_core::view::{BoxRecord, BoxState, View};

fn model(number: usize) -> ModelRef {
    ModelRef::new(format!("adapter-{number}"), "v1")
}

fn ask(id: u64, number: usize) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(id),
        model: model(number),
        organisation: format!("organisation-{}", number % 500),
        rank: (id % 3) as u8 * 50,
        urgent: id.is_multiple_of(3),
        arrived_ms: id,
        start_by_ms: 1_000_000_000 + id,
    }
}

/// An owner whose batch is full, with `queued` requests of 50 models waiting.
fn busy_owner(queued: usize) -> EngineOwner {
    let shape = EngineShape {
        slots: 8,
        batch_limit: 8,
    };
    let mut owner = EngineOwner::new(shape, OwnerSettings::default());
    let loaded: Vec<ModelRef> = (0..8).map(model).collect();
    owner.handle(
        0,
        Event::Learnt(EngineContents {
            loaded: loaded.clone(),
            inherited: loaded,
        }),
    );
    for id in 0..queued {
        owner.handle(1, Event::Submit(ask(id as u64, id % 50)));
    }
    owner
}

fn bench_owner(c: &mut Criterion) {
    let mut group = c.benchmark_group("owner_submit_and_cancel");
    for queued in [10, 100, 1_000, 10_000, 100_000] {
        let mut owner = busy_owner(queued);
        let mut id = 1_000_000;
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            b.iter(|| {
                id += 1;
                black_box(owner.handle(2, Event::Submit(ask(id, id as usize % 50))));
                black_box(owner.handle(2, Event::Cancel(RequestId(id))));
            });
        });
    }
    group.finish();
}

fn bench_route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route_known_model");
    for models in [500, 5_000, 50_000, 500_000] {
        let mut router = Router::default();
        let engines = || {
            (0..8)
                .map(|n| EngineId::new(format!("engine-{n}")))
                .collect()
        };
        for number in 0..models {
            router.ranking(&model(number), engines);
        }
        let wanted = model(models / 2);
        group.bench_function(BenchmarkId::from_parameter(models), |b| {
            b.iter(|| {
                let ranking = router.ranking(black_box(&wanted), engines);
                black_box(router.order(&ranking, true, 5))
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("rank_engines_once_a_fleet_change");
    for count in [18, 180, 1_800, 18_000] {
        let engines: Vec<EngineId> = (0..count)
            .map(|n| EngineId::new(format!("engine-{n}")))
            .collect();
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter_batched(
                Router::default,
                |mut router| black_box(router.ranking(&model(1), || engines.clone())),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn bench_config(c: &mut Criterion) {
    let mut group = c.benchmark_group("config_apply_one_change");
    for objects in [1_000, 10_000, 100_000, 1_000_000] {
        let store = ConfigStore::default();
        let adapter = |number: usize| {
            ConfigObject::Adapter(Adapter {
                name: format!("adapter-{number}"),
                organisation: "organisation".to_owned(),
                base_model: "base".to_owned(),
            })
        };
        for number in 0..objects {
            let object = adapter(number);
            store.apply(&object.key(), 1, Some(object));
        }
        let changed = adapter(objects / 2);
        let key = changed.key();
        let mut revision = 1;
        group.bench_function(BenchmarkId::from_parameter(objects), |b| {
            b.iter(|| {
                revision += 1;
                black_box(store.apply(&key, revision, Some(changed.clone())))
            });
        });
    }
    group.finish();
}

fn bench_view(c: &mut Criterion) {
    let mut group = c.benchmark_group("owner_of_an_engine");
    for boxes in [7, 70, 700, 7_000] {
        let mut view = View::default();
        for number in 0..boxes {
            view.merge(BoxRecord {
                id: BoxId::new(format!("box-{number}")),
                zone: ZoneId::new(format!("zone-{}", number % 11)),
                region: format!("region-{}", number % 11 % 5),
                address: format!("10.0.0.1:{number}"),
                control_address: format!("10.0.0.1:{number}"),
                incarnation: 1,
                state: BoxState::Live,
            });
        }
        let (engine, zone) = (EngineId::new("engine-1"), ZoneId::new("zone-3"));
        group.bench_function(BenchmarkId::from_parameter(boxes), |b| {
            b.iter(|| black_box(view.succession(&engine, &zone, "region-3").len()));
        });
    }
    group.finish();
}

fn bench_keys(c: &mut Criterion) {
    let mut group = c.benchmark_group("claim_a_key");
    for keys in [1_000, 10_000, 100_000, 1_000_000] {
        let mut table = KeyTable::new(BoxId::new("box-1"), 1);
        let key = |nonce: u64| RequestKey {
            home: BoxId::new("box-1"),
            incarnation: 1,
            minted_ms: 1_000,
            nonce,
        };
        for nonce in 0..keys {
            table.claim(&key(nonce), 1_000);
        }
        let mut nonce = keys;
        group.bench_function(BenchmarkId::from_parameter(keys), |b| {
            b.iter(|| {
                nonce += 1;
                black_box(table.claim(&key(nonce), 1_000))
            });
        });
    }
    group.finish();
}

fn bench_loads(c: &mut Criterion) {
    let mut group = c.benchmark_group("ask_and_end_a_load");
    for waiting in [10, 100, 1_000, 10_000] {
        let mut arbiter = LoadArbiter::new(Allowance {
            loads_per_s: 0.001,
            at_once: 1,
        });
        let request = |number: usize| LoadRequest {
            rank: (number % 3) as u8,
            since_ms: number as u64,
            engine: EngineId::new(format!("engine-{}", number % 100)),
            model: model(number),
        };
        for number in 0..waiting {
            arbiter.ask(request(number));
        }
        let wanted = request(waiting + 1);
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                arbiter.ask(wanted.clone());
                arbiter.done(&wanted.engine, &wanted.model);
            });
        });
    }
    group.finish();
}

fn bench_policy(c: &mut Criterion) {
    let request = PolicyRequest {
        class: "counter",
        organisation: "organisation",
        adapter: "adapter",
        prompt_bytes: 1_200,
        max_tokens: 64,
        base: Treatment {
            rank: 0,
            urgent: true,
            max_wait_ms: 2_000,
            repeatable: true,
        },
    };
    let example = "fn classify(request) {
        if request.class == \"statements\" {
            return #{ rank: if request.prompt_bytes > 8000 { 60 } else { 50 } };
        }
        if request.class == \"entitlement\" { return #{ rank: 0, repeatable: false }; }
        #{}
    }";
    let policy = Policy::compile(example).expect("compiles");
    c.bench_function("policy_on", |b| {
        b.iter(|| black_box(policy.classify(&request)))
    });
    c.bench_function("policy_off", |b| b.iter(|| black_box(request.base)));
}

fn bench_sharing(c: &mut Criterion) {
    let mut group = c.benchmark_group("sharing_ask_and_decide");
    let weights = AccountWeights::default();
    let full = ServerLoad {
        running: 15,
        slots: 12,
        backlog_ms: 0.0,
        objective_ms: 800,
    };
    let ask = |number: u32| AdmissionRequest {
        id: AdmissionId { box_key: 1, number },
        account: number % 16,
        rank: (number % 3) as u8,
        units: 1_600.0,
        prefill_ms: 0.0,
        in_time_ms: 60_000,
        digest: u64::from(number),
    };
    for waiting in [4, 16, 64] {
        let mut admission = AdmissionQueue::default();
        for number in 0..waiting {
            admission.ask(ask(number), 1_000);
        }
        admission.decide(full, &weights, 1_000);
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter_batched_ref(
                || admission.clone(),
                |admission| {
                    admission.ask(ask(waiting), 1_001);
                    black_box(admission.decide(full, &weights, 1_001))
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = bench_owner, bench_route, bench_config, bench_view, bench_keys, bench_loads,
        bench_policy, bench_sharing
}
criterion_main!(decisions);
