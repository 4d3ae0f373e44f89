//! Processes of the project, the record of a case, and its verdict.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{request, Conn, Message};

/// Writes `record.txt`, and to standard output.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at_s = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at_s:8.3} s  {text}");
    }

    /// Returns the time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// Addresses of an instance.
#[derive(Clone, Debug)]
pub struct Ports {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

impl Ports {
    /// Finds free ports below those that the system gives to outgoing connections.
    pub fn find() -> Self {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let first = 20_000 + (process::id() % 200) as u16 * 60;
        let mut found = Vec::new();
        while found.len() < 4 {
            let port = 20_000 + (first - 20_000 + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
            let addr = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(addr).is_ok() {
                found.push(addr);
            }
        }
        Self {
            caller: found[0],
            ready: found[1],
            peer: found[2],
            admin: found[3],
        }
    }
}

/// Limits of a machine.
pub struct Limits {
    pub cores: f64,
    pub link_mbps: f64,
    pub memory_mb: u64,
}

/// An instance of the program as a process, which ends with this.
pub struct Instance {
    pub name: String,
    pub ports: Ports,
    settings: PathBuf,
    child: Option<Child>,
    log: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Instance {
    /// Starts an instance with the settings of the sheet of a small deployment.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr, peers: &[SocketAddr], ports: Ports) -> Self {
        let limits = Limits {
            cores: 0.25,
            link_mbps: 1_000.0,
            memory_mb: 260,
        };
        Self::start_with(folder, name, zone, store, peers, ports, limits)
    }

    /// Starts an instance on a machine with `limits`.
    pub fn start_with(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        peers: &[SocketAddr],
        ports: Ports,
        limits: Limits,
    ) -> Self {
        let Limits {
            cores,
            link_mbps,
            memory_mb,
        } = limits;
        let seeds: Vec<String> = peers.iter().map(|addr| format!("\"{addr}\"")).collect();
        let text = format!(
            "instance: \"{name}\"\nzone: \"{zone}\"\nregion: \"nl-midden\"\nlisten:\n  caller: \"{}\"\n  ready: \"{}\"\n  \
             peer: \"{}\"\n  admin: \"{}\"\nstore: \"{store}\"\nseeds: [{}]\nfirst_start: true\ncores: {cores:?}\n\
             link_mbps: {link_mbps:?}\nmemory_mb: {memory_mb}\nmax_descriptors: 4100\nrepeats:\n  ratio: 0.2\n  slack: 58\n  \
             instances: 16\n  window_s: 10\nin_force:\n  configuration_ms: 2000\n  leaving_ms: 2000\nlog:\n  form: json\n  \
             level: info\ndrain:\n  grace_ms: 2500\n  kill_after_s: 8\n",
            ports.caller, ports.ready, ports.peer, ports.admin, seeds.join(", "),
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings");
        let mut instance = Self {
            name: name.to_owned(),
            ports,
            settings,
            child: None,
            log: folder.join(format!("{name}.log")),
        };
        instance.spawn();
        instance
    }

    /// Starts the process, with the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/savoryvane")
            .arg("--gateway")
            .arg(&self.settings)
            .env_clear()
            .env("SAVORYVANE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => {
                self.note_process(&child);
                self.child = Some(child);
            }
            Err(err) => {
                eprintln!("savoryvane does not start: {err}");
                std::process::exit(2);
            }
        }
    }

    /// Notes the number of a process for the script, which ends what is left.
    fn note_process(&self, child: &Child) {
        let folder = self.log.parent().unwrap_or(Path::new("."));
        let file = File::options().create(true).append(true).open(folder.join("processes"));
        if let Ok(mut file) = file {
            let _ = writeln!(file, "{}", child.id());
        }
    }

    /// Returns the number of the process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether it has not been killed.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ports.ready, Duration::from_millis(300)) else {
            return false;
        };
        let mut conn = Conn::new(stream);
        conn.set_timeout(Some(Duration::from_millis(500)));
        let host = self.ports.ready.to_string();
        let sent = conn.write(&request("GET", "/savoryvane/readyz", &[("Host", &host)], b""));
        sent.is_ok() && matches!(conn.read(true), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Waits until it is ready; the case can't run otherwise.
    pub fn wait_ready(&self) {
        for _ in 0..100 {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        eprintln!("{} does not become ready", self.name);
        std::process::exit(2);
    }
}

/// Sends one request over a new connection and reads its answer; `None` without one.
pub fn call(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let mut conn = Conn::new(stream);
    conn.set_timeout(Some(timeout));
    conn.write(bytes).ok()?;
    conn.read(true).ok().flatten()
}
