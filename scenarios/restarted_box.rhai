// Promise 7: a box that is replaced leaves none of its engines without an owner.
start_engine("engine-1", #{ zone: "a", batch_limit: 128, token_ms: 10, slots: 8 });
start_box("box-1", "a");
start_box("box-2", "b");
start_box("box-3", "c");
await_ready();
check(await_in_force(set_up(6), 7000) >= 0, "a configuration is in force everywhere within 7 s");

// box-1 is the only box of the engine's zone, so each of its runs is the engine's owner. Callers have
// less patience than a box that finds nobody takes to go on alone.
let load = start_load(#{ rate_per_s: 30.0, length_ms: 17000, adapters: 6, max_tokens: 10, keyed: false, patience_ms: 1000 });
sleep_ms(500);
for round in 0..4 {
    check(stop("box-1"), "box-1 ends by itself");
    restart_box("box-1");
    sleep_ms(1500);
}
let sum = finish_load(load);
note(`${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} cut off of ${sum.sent}; slowest first token ${sum.first_token_max_ms} ms; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is wrong");
check(sum.lost == 0, "a planned stop cuts no request off");
check(sum.not_run == 0, "no request finds its engine without an owner after a restart");
