// Three times what the engines can do: counter work keeps its share, refusals come at once.
start_engine("engine-1", #{ zone: "a", batch_limit: 4, token_ms: 10, slots: 4 });
start_box("box-1", "a");
start_box("box-2", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");

// One request takes about 0.2 s, so the engine does about 20 a second. A quarter of the
// load is counter work, 15 a second of 60: it fits, the batch work does not.
let before = usage("box-1").memory_kib + usage("box-2").memory_kib;
let load = start_load(#{ rate_per_s: 60.0, length_ms: 8000, adapters: 4, max_tokens: 18, counter_share: 0.25, keyed: false, patience_ms: 0 });
let sum = finish_load(load);
note(`${sum.counter_right} of ${sum.counter_sent} counter requests answered; ${sum.right} of ${sum.sent} in all, ${sum.not_run} refused; overloaded: p99 ${sum.overloaded_p99_ms} ms to the refusal; failures ${sum.failures}`);
let after = usage("box-1").memory_kib + usage("box-2").memory_kib;
note(`memory of both boxes: ${before} KiB before, ${after} KiB after`);
check(sum.counter_right * 10 >= sum.counter_sent * 9, "nine in ten counter requests are answered under overload");
check(sum.wrong == 0 && sum.lost == 0, "every other request is refused as not run");
