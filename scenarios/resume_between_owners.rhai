// Promise 3: a caller that resumes its answer waits for the next owner, however short its class's wait for a start.
start_engine("engine-1", #{ zone: "a", token_ms: 40, batch_limit: 512 });
start_box("box-1", "a");
start_box("box-2", "a");
start_box("box-3", "b");
await_ready();
check(await_in_force(set_up(4), 7000) >= 0, "a configuration is in force everywhere within 7 s");
check(await_in_force(apply(`
[[class]]
name = "hasty"
rank = 10
max_wait_ms = 1000
`), 7000) >= 0, "a class is in force everywhere within 7 s");
check(complete(#{ patience_ms: 4000 }).right, "it serves before");

// Answers take 2.4 s; the load ends before the owner does, so each of them has begun.
let load = start_load(#{ rate_per_s: 30.0, length_ms: 1500, adapters: 4, max_tokens: 60, class: "hasty", patience_ms: 3000 });
sleep_ms(1900);
let owner = "";
for name in ["box-1", "box-2"] {
    for entry in read(name, "/admin/v1/status").engines {
        owner = entry.owner;
    }
}
kill(owner);
let sum = finish_load(load);
note(`killed ${owner}: ${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}, ${sum.resumed} resumed, ${sum.started_over} started over; failures ${sum.failures}`);
check(sum.wrong == 0, "no answer is mixed up");
check(sum.resumed > 0, "answers under way were resumed by their callers");
check(sum.not_run == 0 && sum.lost == 0, "no answer that had begun is lost between two owners");
