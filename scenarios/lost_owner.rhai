// Promise 3: requests for an engine whose owner has died wait for the next owner.
start_engine("engine-1", #{ zone: "a", token_ms: 5, batch_limit: 512 });
start_box("box-1", "a");
start_box("box-2", "a");
start_box("box-3", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");

// The first callers have less patience than others take to hold a box to be dead, so the boxes have to
// bridge it. More requests come to the boxes that are left than they may try again.
let hasty = start_load(#{ rate_per_s: 50.0, length_ms: 5000, adapters: 4, max_tokens: 10, counter_share: 0.0, patience_ms: 1000 });
let urgent = start_load(#{ rate_per_s: 30.0, length_ms: 5000, adapters: 4, max_tokens: 10, counter_share: 1.0, patience_ms: 8000 });
sleep_ms(1500);
let owner = complete(#{ prompt: "who owns it", patience_ms: 4000 }).box_id;
kill(owner);
for load in [hasty, urgent] {
    let sum = finish_load(load);
    note(`killed ${owner}: ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}, ${sum.resumed} resumed; slowest first token ${sum.first_token_max_ms} ms; failures ${sum.failures}`);
    check(sum.wrong == 0, "no answer is mixed up");
    check(sum.not_run == 0, "no request is refused while the next owner can still be in time");
    check(sum.lost == 0, "no request is lost between two owners");
}
