//! Runs the `savoryvane` binary as a separate process.

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
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Writes a settings file with a unique name.
pub fn settings_file(text: &str) -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("savoryvane-{}-{number}.yaml", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Runs the binary until it exits.
pub fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().unwrap()
}

/// Checks settings with the `--check` flag of the binary.
pub fn check(text: &str) -> Output {
    let path = settings_file(text);
    run(&["--config", path.to_str().unwrap(), "--check"])
}

/// A running entry instance process, killed on drop.
pub struct Entry {
    child: Child,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

impl Entry {
    /// Starts the binary. Its log output is not read until [`Self::logged`].
    pub fn start(settings: &str) -> Self {
        let path = settings_file(settings);
        let mut child = Command::new(BINARY)
            .args(["--config", path.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        stdout.read_line(&mut line).unwrap();
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

    /// Returns the identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends a signal to this process only.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for the exit and returns the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(
                Instant::now() < deadline,
                "the process did not exit in time"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the log output; call it after the exit.
    pub fn logged(&mut self) -> String {
        let mut text = String::new();
        let mut stderr = self.child.stderr.take().unwrap();
        stderr.read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
