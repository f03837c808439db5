// Promise 3: a stream that passes through another box goes on when the engine's owner dies.
start_engine("engine-1", #{ zone: "a", token_ms: 40, batch_limit: 512 });
start_box("box-1", "a");
start_box("box-2", "a");
start_box("box-3", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");

// Without a key a caller can't resume by itself: the box it is connected to has to.
let load = start_load(#{ rate_per_s: 30.0, length_ms: 1500, adapters: 4, max_tokens: 60, keyed: false, patience_ms: 4000, at: "box-3" });
sleep_ms(1500);
let owner = complete(#{ prompt: "who owns it", patience_ms: 4000 }).box_id;
check(owner != "box-3", "a box of the engine's zone owns it");
kill(owner);
let sum = finish_load(load);
note(`killed ${owner}: ${sum.right} right, ${sum.wrong} wrong, ${sum.lost} lost of ${sum.sent}, ${sum.started_over} started over; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is mixed up");
check(sum.lost == 0, "no answer is lost");
check(sum.started_over == 0, "no caller is told that the rest is gone while the engine has it");
