// Promises 3 and 5: requests that waited in the queue of a box that died run at the next owner.
start_engine("engine-1", #{ zone: "a", token_ms: 5, batch_limit: 12, prefill_ms: 200 });
start_box("box-1", "a");
start_box("box-2", "a");
start_box("box-3", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ prompt: "first", patience_ms: 4000 }).right, "an answer is whole");

// All pass through one box and are cut off at once, many more than it has earned retries.
let load = start_load(#{ class: "batch", rate_per_s: 40.0, length_ms: 2000, adapters: 4, max_tokens: 20, keyed: false, patience_ms: 0, at: "box-3" });
let once = start_load(#{ class: "bid", rate_per_s: 10.0, length_ms: 2000, adapters: 4, max_tokens: 20, keyed: false, patience_ms: 0, at: "box-3" });
sleep_ms(1800);
let owner = "";
for name in ["box-1", "box-2"] {
    for entry in read(name, "/admin/v1/status").engines {
        owner = entry.owner;
    }
}
check(owner != "", "a box of the engine's zone owns it");
kill(owner);
let sum = finish_load(load);
note(`killed ${owner}: ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is mixed up");
check(sum.lost == 0, "no request that waited at a box that died is lost");
let bids = finish_load(once);
note(`bids: ${bids.right} right, ${bids.not_run} not run, ${bids.lost} lost of ${bids.sent}, ${bids.started_over} started over; failures ${bids.failures}`);
check(bids.wrong == 0, "no answer is mixed up");
check(bids.started_over == 0, "no caller is told to ask anew for a bid that may have run");
