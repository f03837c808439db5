//! What the scripts of the review share: boxes as processes of the real program, callers, and the
//! record of what was sent, answered and run.

pub mod cut;
pub mod link;

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use tinbay_platform_standin::http::{Message, read_answer};

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/tinbay-node";

/// Memory of a machine in the small deployments (`memoryMb`).
pub const MEMORY_MB: u64 = 260;

/// `contactMs` of the small deployments.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Writes `record.txt` and tells the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Begins the record in the folder of the case.
    pub fn begin(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|_| exit(2));
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.began.elapsed().as_millis();
        let line = format!("{ms:>7} ms  {}\n", text.as_ref());
        let mut file = self.file.lock().expect("no thread panics with the file");
        let _ = file.write_all(line.as_bytes());
    }
}

/// One run of a script.
pub struct Case {
    /// The record.
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    directory: PathBuf,
    boxes: Mutex<Vec<Arc<BoxProcess>>>,
}

impl Case {
    /// Starts a case whose folder is the first argument.
    pub fn start() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| exit(2));
        let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let name = format!("tinbay-review-2-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        if std::fs::create_dir_all(&directory).is_err() {
            exit(2);
        }
        let record = Record::begin(Path::new(&folder));
        record.line(format!("begin, with the disruption: {has_trouble}"));
        Self {
            record,
            has_trouble,
            directory,
            boxes: Mutex::default(),
        }
    }

    /// Starts a box and waits until it is ready.
    pub fn add_box(&self, id: &str, zone: &str, store: SocketAddr) -> Arc<BoxProcess> {
        for _ in 0..5 {
            let started = Arc::new(BoxProcess::start(&self.directory, id, zone, store));
            let is_ready = wait_for(Duration::from_secs(15), || started.is_ready());
            if is_ready {
                self.record.line(format!("box {id} is ready"));
                self.lock().push(Arc::clone(&started));
                return started;
            }
            started.kill();
        }
        self.give_up(&format!("box {id} does not start"))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<BoxProcess>>> {
        self.boxes.lock().expect("no thread panics with the boxes")
    }

    /// Ends the boxes, and exits with 1 if the rule was broken and 0 if it held.
    pub fn end(&self, is_broken: bool, verdict: &str) -> ! {
        self.record.line(format!("verdict: {verdict}"));
        println!("{verdict}");
        self.clean_up();
        exit(i32::from(is_broken))
    }

    /// Ends the boxes, and exits with 2, as the case could not run.
    pub fn give_up(&self, reason: &str) -> ! {
        self.record.line(format!("could not run: {reason}"));
        println!("could not run: {reason}");
        self.clean_up();
        exit(2)
    }

    fn clean_up(&self) {
        for started in self.lock().iter() {
            started.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Drop for Case {
    /// Ends the boxes if the script panics.
    fn drop(&mut self) {
        self.clean_up();
    }
}

/// Waits until a condition holds; returns false at the end of the time.
pub fn wait_for(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// A process of the real program.
pub struct BoxProcess {
    /// Where callers connect.
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Mutex<Child>,
    id: u32,
}

static NEXT_IP: AtomicU32 = AtomicU32::new(0);

impl BoxProcess {
    fn start(directory: &Path, id: &str, zone: &str, store: SocketAddr) -> Self {
        let number = NEXT_IP.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            60 + (process % 100) as u8,
            1 + (process / 100 % 200) as u8,
            1 + number as u8,
        );
        let ports: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind((ip, 0)).unwrap_or_else(|_| exit(2)))
            .collect();
        let address = |index: usize| ports[index].local_addr().unwrap_or_else(|_| exit(2));
        let _udp = UdpSocket::bind(address(4));
        let settings = settings(
            id,
            zone,
            store,
            [address(0), address(1), address(2), address(3), address(4)],
        );
        let (front, ready) = (address(0), address(1));
        drop(_udp);
        drop(ports);
        let path = directory.join(format!("{id}.toml"));
        if std::fs::write(&path, settings).is_err() {
            exit(2);
        }
        let log = File::create(directory.join(format!("{id}.log"))).unwrap_or_else(|_| exit(2));
        let child = Command::new(PROGRAM)
            .env("TINBAY_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|_| exit(2));
        Self {
            front,
            ready,
            id: child.id(),
            child: Mutex::new(child),
        }
    }

    /// Whether the platform's check of readiness gets a 200.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_some_and(|answer| answer.status == 200)
    }

    /// Memory that the process uses now, in kilobytes, as the platform counts it.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let text = line.and_then(|line| line.split_whitespace().next());
        text.and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Stops the process as planned (SIGTERM).
    pub fn stop(&self) {
        let id = self.id.to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&self) {
        let mut child = self
            .child
            .lock()
            .expect("no thread panics with the process");
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn settings(id: &str, zone: &str, store: SocketAddr, at: [SocketAddr; 5]) -> String {
    let [front, ready, directory, control, peer] = at;
    let (ip, peer) = (front.ip(), peer.port());
    format!(
        r#"nodeName = "{id}"
role = "tinbay"
machineClass = "front"
serves = ["front", "directory", "control"]
ip = "{ip}"
zone = "{zone}"
region = "bratislava"
internalPorts = [{peer}, {peer}]
seeds = ["{control}"]
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
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
memoryMb = {MEMORY_MB}
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
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}

fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let text = format!("GET {path} HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&mut stream)
}

/// A caller's request.
#[derive(Clone)]
pub struct Request {
    /// Route, which is also the first part of the path.
    pub route: String,
    /// Id of this try.
    pub id: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Time that the caller waits.
    pub deadline_ms: u64,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without a body on a route.
    pub fn new(route: &str, id: &str, deadline_ms: u64) -> Self {
        Self {
            route: route.into(),
            id: id.into(),
            headers: Vec::new(),
            deadline_ms,
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Its bytes on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "POST /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n",
            self.route,
            self.id,
            self.deadline_ms,
            self.body.len()
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Writes it to a connection; returns whether that succeeded.
    pub fn write(&self, stream: &mut TcpStream) -> bool {
        stream.write_all(&self.bytes()).is_ok()
    }

    /// Sends it on a new connection and reads the answer.
    pub fn call(&self, to: SocketAddr) -> Option<Message> {
        let mut stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 1_000)));
        if !self.write(&mut stream) {
            return None;
        }
        read_answer(&mut stream)
    }
}

/// Reads one more piece of an answer; none at its end or after an error, empty at the time-out.
pub fn read_piece(stream: &mut TcpStream, time: Duration) -> Option<Vec<u8>> {
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    let mut bytes = vec![0; 65_536];
    match stream.read(&mut bytes) {
        Ok(0) => None,
        Ok(count) => {
            bytes.truncate(count);
            Some(bytes)
        }
        Err(error)
            if matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Some(Vec::new())
        }
        Err(_) => None,
    }
}

/// The status of a complete answer, or what happened instead, for the record.
pub fn told(answer: &Option<Message>) -> String {
    match answer {
        Some(answer) if answer.is_whole => format!(
            "{} {}",
            answer.status,
            String::from_utf8_lossy(&answer.body[..answer.body.len().min(70)]).replace('\n', " ")
        ),
        Some(answer) => format!("{}, broken off", answer.status),
        None => "closed without an answer".into(),
    }
}
