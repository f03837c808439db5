// Every response comes from exactly the adapter and version that its caller named.
start_engine("engine-1", #{ zone: "a", slots: 2 });
start_engine("engine-2", #{ zone: "b", slots: 2 });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
set_up(10);
let revision = apply(`
[[version]]
adapter = "adapter-0"
name = "v2"
weights = "store://adapter-0/v2"
`);
check(await_in_force(revision, 7000) >= 0, "a new version is in force on every box within 7 s");
check(complete(#{ model: "adapter-0@v2", patience_ms: 4000 }).right, "a new version is served");
check(complete(#{ model: "adapter-0@v1", patience_ms: 4000 }).right, "the old version is still served");

// If an engine's response names another version, the caller gets an error and never that text.
faults("engine-1", #{ wrong_models: 1 });
faults("engine-2", #{ wrong_models: 1 });
let answer = complete(#{ model: "adapter-1@v1" });
check(!answer.whole && answer.failure.code == "wrong_answer", "a response by another version is an error");
faults("engine-1", #{});
faults("engine-2", #{});

// Under load: far too few slots, engines that restart empty, and adapter loads that fail.
let load = start_load(#{ rate_per_s: 80.0, length_ms: 6000, adapters: 10, skew: 0.7, patience_ms: 8000 });
sleep_ms(1000);
faults("engine-1", #{ fail_loads: 3 });
sleep_ms(700);
restart_engine("engine-2");
sleep_ms(1500);
restart_engine("engine-1");
faults("engine-2", #{ fail_loads: 2 });
let summary = finish_load(load);
note(`${summary.right} right, ${summary.wrong} wrong, ${summary.not_run} not run, ${summary.lost} lost of ${summary.sent}; failures ${summary.failures}`);
check(summary.wrong == 0, "no response is by another adapter or version");
check(summary.right > summary.sent / 2, "more than half of the requests are answered although engines restart");
