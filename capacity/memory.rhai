// Measures a box's memory and start time for growing numbers of adapters and engines in the
// configuration.
start_box("box-0", "a");
await_ready();
set_up(10);
sleep_ms(1000);
note(`10 adapters: ${usage("box-0").memory_kib} KiB`);
let adapters = 10;
for size in [1000, 5000, 11000] {
    let start_ms = now_ms();
    add_adapters(adapters, size - adapters);
    let elapsed_ms = now_ms() - start_ms;
    adapters = size;
    sleep_ms(1000);
    note(`${size} adapters with one version each: ${usage("box-0").memory_kib} KiB, written in ${elapsed_ms} ms`);
}
let engines = 0;
for size in [1000, 7700] {
    add_distant_engines(engines, size - engines);
    engines = size;
    sleep_ms(1000);
    let cpu_before_ms = usage("box-0").cpu_ms;
    sleep_ms(5000);
    note(`${size} engines in addition: ${usage("box-0").memory_kib} KiB, ${(usage("box-0").cpu_ms - cpu_before_ms) / 50.0} % of a core at rest`);
}
let start_ms = now_ms();
start_box("box-1", "a");
await_ready();
let revision = 0.0 + metric("box-0", "tinbay_config_revision");
while metric("box-1", "tinbay_config_revision") < revision { sleep_ms(5); }
note(`a new box has this configuration in force after ${now_ms() - start_ms} ms, uses ${usage("box-1").memory_kib} KiB and has exchanged ${metric("box-1", "tinbay_control_bytes")} control bytes`);
