// Promise 1: every answer is by exactly the adapter and version its caller named.
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
check(await_in_force(revision, 7000) >= 0, "a new version is in force everywhere within 7 s");
check(complete(#{ model: "adapter-0@v2", patience_ms: 4000 }).right, "a new version answers as itself");
check(complete(#{ model: "adapter-0@v1", patience_ms: 4000 }).right, "the old version still answers as itself");

// An engine that names another version: the caller gets an error, never that text.
faults("engine-1", #{ wrong_models: 1 });
faults("engine-2", #{ wrong_models: 1 });
let mixed = complete(#{ model: "adapter-1@v1" });
check(!mixed.whole && mixed.failure.code == "wrong_answer", "an answer by another version is an error");
faults("engine-1", #{});
faults("engine-2", #{});

// Slots far too few, engines restarting empty, loads failing, all under load.
let load = start_load(#{ rate_per_s: 80.0, length_ms: 6000, adapters: 10, skew: 0.7, patience_ms: 8000 });
sleep_ms(1000);
faults("engine-1", #{ fail_loads: 3 });
sleep_ms(700);
restart_engine("engine-2");
sleep_ms(1500);
restart_engine("engine-1");
faults("engine-2", #{ fail_loads: 2 });
let sum = finish_load(load);
note(`${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is by another adapter or version");
check(sum.right > sum.sent / 2, "most requests are answered although engines restart");
