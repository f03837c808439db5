// Promise 4: when a caller is told that its request was not run, it was not run.
start_engine("engine-1", #{ zone: "a", batch_limit: 2, token_ms: 10 });
start_engine("engine-2", #{ zone: "b", batch_limit: 2, token_ms: 10 });
start_box("box-1", "a");
start_box("box-2", "b");
await_ready();
check(await_in_force(set_up(8), 7000) >= 0, "a configuration is in force everywhere within 7 s");

// Far more than the engines can do, with failing loads and a dying box.
let load = start_load(#{ rate_per_s: 120.0, length_ms: 5000, adapters: 8, max_tokens: 30, patience_ms: 0 });
sleep_ms(1000);
faults("engine-1", #{ fail_loads: 2, hang_requests: 1 });
sleep_ms(1000);
restart_engine("engine-2");
sleep_ms(1000);
kill("box-2");
let sum = finish_load(load);
note(`${sum.right} right, ${sum.not_run} told not run, ${sum.lost} other ends of ${sum.sent}; refusal p99 ${sum.refusal_p99_ms} ms; failures ${sum.failures}`);
check(sum.not_run > 0, "some requests are refused");
check(sum.wrong == 0, "no answer is wrong");
let ran = 0;
for name in ["engine-1", "engine-2"] {
    let runs = read(name, "/control/report").runs;
    for key in sum.not_run_keys {
        if key in runs { ran += 1; }
    }
}
note(`${ran} of ${sum.not_run} requests told "not run" were run`);
check(ran == 0, "what was told not to have run did not run");
