// Promise 4: work that runs once is not told "unknown" where the run of a box that it was sent to had ended before.
start_engine("engine-1", #{ zone: "a", token_ms: 10, batch_limit: 512 });
start_box("box-1", "a");
start_box("box-2", "a");
start_box("box-3", "b");
start_box("box-4", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(complete(#{ patience_ms: 4000 }).right, "it serves before");

for round in 0..3 {
    let owner = complete(#{ prompt: `who owns it in round ${round}`, patience_ms: 4000 }).box_id;
    kill(owner);
    // All of it is sent after the owner has ended.
    let near = start_load(#{ rate_per_s: 40.0, length_ms: 4000, adapters: 4, max_tokens: 10, class: "bid", keyed: false, patience_ms: 10000, at: "box-3" });
    let far = start_load(#{ rate_per_s: 40.0, length_ms: 4000, adapters: 4, max_tokens: 10, class: "bid", keyed: false, patience_ms: 10000, at: "box-4" });
    sleep_ms(1500 + random(1000));
    restart_box(owner);
    for load in [near, far] {
        let sum = finish_load(load);
        note(`killed ${owner}: ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}; slowest first token ${sum.first_token_max_ms} ms; failures ${sum.failures}`);
        check(sum.wrong == 0, "no answer is mixed up");
        check(sum.lost == 0, "no bid is told 'unknown' that nobody can have run");
    }
}
