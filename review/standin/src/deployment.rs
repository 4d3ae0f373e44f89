//! A small deployment: the store, runners, gateway instances as processes, and their clients.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, runners::Runner, store::Store, world::World};

/// Interval between two heartbeats of a runner.
pub const BEAT: Duration = Duration::from_millis(1_200);
/// Longest wait until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

pub const ZONES: [&str; 3] = ["hal-utrecht", "hal-amersfoort", "hal-gouda"];

/// A gateway instance, started as the deploy file says.
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

/// All processes of a deployment; ends them when dropped.
pub struct Deployment {
    pub world: Arc<World>,
    pub store: Store,
    pub instances: Vec<Instance>,
    runners: Arc<Mutex<Vec<Arc<Runner>>>>,
    is_over: Arc<AtomicBool>,
}

impl Deployment {
    /// Writes `config`, registers `runners`, and starts an instance in each zone.
    pub fn start(
        world: &Arc<World>,
        config: &str,
        runners: &[Arc<Runner>],
    ) -> Result<Self, String> {
        let store = Store::start().map_err(|err| format!("store: {err}"))?;
        store.put("keyed.op", "config", config.as_bytes());
        let mut deployment = Self {
            world: Arc::clone(world),
            store,
            instances: Vec::new(),
            runners: Arc::new(Mutex::new(runners.to_vec())),
            is_over: Arc::default(),
        };
        deployment.send_heartbeats();
        deployment
            .start_instances()
            .map_err(|err| format!("instances: {err}"))?;
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn send_heartbeats(&self) {
        let (store, is_over) = (self.store.clone(), Arc::clone(&self.is_over));
        let runners = Arc::clone(&self.runners);
        let mut beat = 1;
        let mut beat_all = move || {
            for runner in runners.lock().expect("runners").iter() {
                if !runner.is_down() {
                    store.put("keyed.servers", &runner.id, runner.entry(beat).as_bytes());
                }
            }
            beat += 1;
        };
        beat_all();
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(BEAT);
                beat_all();
            }
        });
    }

    /// Registers a runner that has just started.
    pub fn register(&self, runner: &Arc<Runner>) {
        self.store
            .put("keyed.servers", &runner.id, runner.entry(1).as_bytes());
        self.runners
            .lock()
            .expect("runners")
            .push(Arc::clone(runner));
    }

    /// Removes the entry of a runner that has been silent for three heartbeats.
    pub fn expire(&self, id: &str) {
        self.store.put("keyed.servers", id, b"");
    }

    fn start_instances(&mut self) -> io::Result<()> {
        let folder = PathBuf::from(std::env::var("REVIEW_TMP").unwrap_or_else(|_| ".".to_owned()));
        // Four addresses for each instance; the listeners are closed before the processes start.
        let free: Vec<TcpListener> = (0..4 * ZONES.len())
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let addrs: Vec<SocketAddr> = free
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        drop(free);
        let seeds: Vec<String> = addrs
            .chunks(4)
            .map(|own| format!("\"{}\"", own[2]))
            .collect();
        for (zone, own) in ZONES.iter().zip(addrs.chunks(4)) {
            let name = format!("edge-{zone}-1");
            let settings = format!(
                "instance: \"{name}\"\nzone: \"{zone}\"\nregion: \"nl-midden\"\nlisten:\n  \
                 caller: \"{}\"\n  ready: \"{}\"\n  peer: \"{}\"\n  admin: \"{}\"\n\
                 store: \"{}\"\nseeds: [{}]\nfirst_start: true\ncores: 0.25\nlink_mbps: 1000.0\n\
                 repeats:\n  ratio: 0.2\n  slack: 58\n  instances: 16\n  window_s: 10\n\
                 in_force:\n  configuration_ms: 2000\n  leaving_ms: 2000\n\
                 log:\n  form: json\n  level: info\ndrain:\n  grace_ms: 2500\n  kill_after_s: 8\n",
                own[0],
                own[1],
                own[2],
                own[3],
                self.store.addr,
                seeds.join(","),
            );
            let file = folder.join(format!("{name}.yaml"));
            fs::write(&file, settings)?;
            let log = File::create(folder.join(format!("{name}.log")))?;
            let process = Command::new("target/release/savoryvane")
                .arg("--gateway")
                .arg(&file)
                .stdin(Stdio::null())
                .stderr(log.try_clone()?)
                .stdout(log)
                .spawn()?;
            // For the script, which ends what is left if this process is ended.
            let mut pids = OpenOptions::new()
                .create(true)
                .append(true)
                .open(folder.join("pids"))?;
            writeln!(pids, "{}", process.id())?;
            self.world.note(format!("{name} started at {}", own[0]));
            self.instances.push(Instance {
                name,
                caller: own[0],
                ready: own[1],
                process,
            });
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        let probe = b"GET /savoryvane/readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
        for instance in &self.instances {
            loop {
                let answer = http::fetch(instance.ready, probe, Duration::from_millis(500));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not ready", instance.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.world.note("all instances are ready");
        Ok(())
    }

    /// Returns the names of the instances whose process has ended by itself.
    pub fn ended_instances(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for instance in &mut self.instances {
            if !matches!(instance.process.try_wait(), Ok(None)) {
                ended.push(instance.name.clone());
            }
        }
        ended
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for instance in &mut self.instances {
            // Errors mean that the process has ended already.
            let _ = instance.process.kill();
            let _ = instance.process.wait();
        }
    }
}
