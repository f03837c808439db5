// Promises 2 to 7 under a series of seeded faults that overlap with load, changes and outages of the
// key-value service. One box at a time is killed, frozen or replaced.
start_engine("engine-1", #{ zone: "a", batch_limit: 128, token_ms: 10, slots: 6 });
start_engine("engine-2", #{ zone: "b", batch_limit: 128, token_ms: 10, slots: 6 });
let zones = #{ "box-1": "a", "box-2": "a", "box-3": "b", "box-4": "b", "box-5": "c" };
for name in zones.keys() {
    start_box(name, zones[name]);
}
await_ready();
check(await_in_force(set_up(8), 7000) >= 0, "a configuration is in force everywhere within 7 s");

let length_ms = 20000;
let resuming = start_load(#{ rate_per_s: 30.0, length_ms: length_ms, adapters: 8, max_tokens: 60, patience_ms: 10000 });
let once = start_load(#{ class: "bid", rate_per_s: 15.0, length_ms: length_ms, adapters: 8, max_tokens: 20, patience_ms: 10000 });
let until_ms = now_ms() + length_ms;
let adapters = 8;
let done = [];
while now_ms() < until_ms {
    sleep_ms(300 + random(1200));
    let name = `box-${1 + random(5)}`;
    let fault = random(6);
    if fault == 0 {
        kill(name);
        sleep_ms(random(4500));
        restart_box(name);
        done += `kill ${name}`;
    } else if fault == 1 {
        freeze(name);
        sleep_ms(300 + random(6000));
        wake(name);
        done += `freeze ${name}`;
    } else if fault == 2 {
        check(stop(name), `${name} ends by itself`);
        restart_box(name);
        done += `replace ${name}`;
    } else if fault == 3 {
        add_adapters(adapters, 2);
        adapters += 2;
        done += "change";
    } else if fault == 4 {
        let mode = if random(2) == 0 { "refuse" } else { "hang" };
        faults("kv", #{ mode: mode });
        kill(name);
        sleep_ms(500 + random(4000));
        faults("kv", #{ mode: "up" });
        restart_box(name);
        done += `kill ${name} while the key-value service is out (${mode})`;
    } else {
        faults("engine-1", #{ break_streams: 5, break_at: random(10) });
        done += "break streams";
    }
}
note(`faults: ${done}`);
let runs = #{};
let sums = [finish_load(resuming), finish_load(once)];
for engine in ["engine-1", "engine-2"] {
    let report = read(engine, "/control/report");
    check(report.unloads_while_serving == 0, "no adapter is unloaded while it serves");
    for name in report.runs.keys() {
        runs[name] = report.runs[name] + if name in runs { runs[name] } else { 0 };
    }
}
for sum in sums {
    note(`${sum.right} right, ${sum.wrong} wrong, ${sum.not_run} not run, ${sum.lost} lost of ${sum.sent}, ${sum.resumed} resumed, ${sum.started_over} started over; slowest first token ${sum.first_token_max_ms} ms; failures ${sum.failures}`);
    check(sum.wrong == 0, "no answer is mixed up");
    for key in sum.not_run_keys {
        check(!(key in runs), "nothing that was told not run has run");
    }
}
for key in sums[1].keys {
    check(!(key in runs) || runs[key] == 1, "no bid runs twice");
}
check(sums[1].started_over == 0, "no caller is told to ask anew for a bid that may have run");
check(sums[0].lost == 0, "no request of a caller that resumes is lost");
