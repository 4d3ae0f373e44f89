//! Runs one instance as a child process, which is only signalled by its own process ID.

use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use tokio::time;

use crate::error::Result;

/// Interval between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a process has to exit after SIGTERM, as the platform grants.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(8);

/// Listen addresses of one instance, which stay the same across restarts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// An instance and its process, which is killed on drop.
#[derive(Debug)]
pub(crate) struct Instance {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of times the process was started.
    pub(crate) start_count: u32,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // A process that can't be killed can't be handled in any other way here.
        let _ = self.kill();
    }
}

impl Instance {
    pub(crate) fn new(program: &Path, folder: &Path, name: &str, settings: &str) -> Result<Self> {
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings)?;
        Ok(Self {
            program: program.to_owned(),
            settings: file,
            log: folder.join(format!("{name}.log")),
            child: None,
            start_count: 0,
        })
    }

    /// Starts the process if it is not running.
    pub(crate) fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let mut log = File::options();
        let log = log.create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--gateway")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.start_count += 1;
        Ok(())
    }

    /// Restarts the process if it has exited without being stopped or killed here.
    pub(crate) fn restart_if_exited(&mut self) -> Result<()> {
        let has_exited = match &mut self.child {
            Some(child) => child.try_wait()?.is_some(),
            None => false,
        };
        if has_exited {
            self.child = None;
            self.start()?;
        }
        Ok(())
    }

    /// Kills the process if it is running.
    pub(crate) fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&self, signal: &str) -> Result<()> {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            Command::new("kill").args([signal, &id]).status()?;
        }
        Ok(())
    }

    /// Returns the memory that the process has taken at most, in bytes, and the number of
    /// descriptors that it has open; `None` if it is not running.
    pub(crate) fn usage(&self) -> Option<(u64, usize)> {
        let folder = format!("/proc/{}", self.child.as_ref()?.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("{folder}/fd")).ok()?.count();
        Some((kilobytes * 1_024, descriptors))
    }

    /// Takes the process out of the instance, to wait for its exit.
    pub(crate) fn take_process(&mut self) -> Option<StoppingProcess> {
        self.child.take().map(StoppingProcess)
    }
}

/// A process that has received SIGTERM, and is killed on drop.
#[derive(Debug)]
pub(crate) struct StoppingProcess(Child);

impl Drop for StoppingProcess {
    fn drop(&mut self) {
        // Fails in most cases because the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl StoppingProcess {
    /// Waits for the process to exit, and kills it after [`STOP_GRACE`].
    pub(crate) async fn wait(mut self) -> Result<()> {
        let deadline = time::Instant::now() + STOP_GRACE;
        while time::Instant::now() < deadline {
            if self.0.try_wait()?.is_some() {
                return Ok(());
            }
            time::sleep(EXIT_POLL_INTERVAL).await;
        }
        Ok(())
    }
}
