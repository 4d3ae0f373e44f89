//! The real binary as a process of its own.

use std::{
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_savoryvane");
const WAIT: Duration = Duration::from_secs(20);

static FILES: AtomicU32 = AtomicU32::new(0);

/// Writes a settings file that no other test uses.
pub fn settings_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("savoryvane-{}-{number}.yaml", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Runs the binary to its end.
pub fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().unwrap()
}

/// Runs the binary with a settings file to its end.
pub fn check(text: &str) -> Output {
    let path = settings_file(text);
    run(&["--config", path.to_str().unwrap(), "--check"])
}

/// A running entry instance; killed when dropped.
pub struct Entry {
    child: Child,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

impl Entry {
    /// Starts the binary; nobody reads what it logs.
    pub fn start(settings: &str) -> Self {
        let path = settings_file(settings);
        let mut child = Command::new(BINARY)
            .args(["--config", path.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let addr = |name: &str| {
            let field = line.split(' ').find_map(|field| field.strip_prefix(name));
            field.unwrap().trim().parse().unwrap()
        };
        Self {
            caller: addr("caller="),
            peer: addr("peer="),
            admin: addr("admin="),
            child,
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process where it stands.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends a signal to this process, and to no other.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for the end and returns the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns what it logged; call it after the end.
    pub fn logged(&mut self) -> String {
        let mut text = String::new();
        let mut err = self.child.stderr.take().unwrap();
        err.read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
