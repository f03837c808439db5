//! Boxes: processes of the project's program with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// The program that `deploy/system.toml` names.
const PROGRAM: &str = "target/release/tinbay-node";

pub struct Box {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Box {
    /// Writes the settings of a box at its own loopback address.
    pub fn prepare(folder: &Path, number: u8, zone: &str, store: SocketAddr, extra_bounds: &str) -> Box {
        let name = format!("front-{zone}-{number}");
        let ip = Ipv4Addr::new(127, 0, (std::process::id() % 200) as u8 + 1, number);
        let held: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let port = |index: usize| held[index].local_addr().expect("an address");
        let _peer = UdpSocket::bind(port(4)).expect("the port is free for UDP too");
        let internal = port(4).port();
        let (front, ready, control, directory) = (port(0), port(1), port(2), port(3));
        let text = format!(
            r#"nodeName = "{name}"
role = "tinbay"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "bratislava"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
ba-hall-a = "bratislava"
ba-hall-b = "bratislava"
ba-hall-c = "bratislava"
[listen]
front = "{front}"
readyAddr = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 52
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
originOvershoot = 1.1
version_ms = 5000
ttl_max_s = 5
{extra_bounds}
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Box {
            name,
            zone: zone.to_string(),
            front,
            ready,
            directory,
            settings,
            log,
            starts: 0,
            child: None,
        }
    }

    pub fn start(&mut self) -> bool {
        if self.starts == 1 {
            let text = fs::read_to_string(&self.settings).unwrap_or_default();
            let text = text.replace("bootstrap = true", "bootstrap = false");
            let _ = fs::write(&self.settings, text);
        }
        self.starts += 1;
        let Ok(log) = File::options().create(true).append(true).open(&self.log) else {
            return false;
        };
        let Ok(errors) = log.try_clone() else {
            return false;
        };
        let child = Command::new(PROGRAM)
            .env("TINBAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = child.ok();
        self.child.is_some()
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so that its id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            None => true,
            Some(child) => match child.try_wait() {
                Ok(Some(_)) | Err(_) => {
                    self.child = None;
                    true
                }
                Ok(None) => false,
            },
        }
    }

    /// Memory that the process holds, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let text = fs::read_to_string(format!("/proc/{}/statm", child.id())).unwrap_or_default();
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * 4_096
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Box {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
