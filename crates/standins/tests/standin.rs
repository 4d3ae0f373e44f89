//! The binary: every server announces itself and stops at SIGTERM with 0.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use http::{Method, StatusCode};
use savoryvane_standins::client;

fn standin(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin"));
    command.args(arguments);
    command
}

/// A process that is killed when its test fails.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        // It has ended already when the test went well.
        let _ = self.0.kill();
    }
}

fn start(arguments: &[&str]) -> (Running, SocketAddr) {
    let child = standin(arguments).stdout(Stdio::piped()).spawn().unwrap();
    let mut running = Running(child);
    let mut line = String::new();
    BufReader::new(running.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let addr = line.trim_end().strip_prefix("listening ").unwrap();
    (running, addr.parse().unwrap())
}

fn terminate(child: &Child) {
    // A shell's own `kill` needs no further program.
    let script = format!("kill -TERM {}", child.id());
    let status = Command::new("sh").args(["-c", &script]).status().unwrap();
    assert!(status.success());
}

#[test]
fn every_server_listens_and_stops_at_sigterm_with_0() {
    for arguments in [
        &["log"][..],
        &["list"],
        &["engine", "--name", "engine-1"],
        &["service", "--name", "calendar-1", "--kind", "call"],
        &["weights", "--mb-per-s", "500"],
        &["balancer", "--to", "127.0.0.1:9"],
    ] {
        let (mut running, addr) = start(arguments);
        assert_ne!(addr.port(), 0);
        terminate(&running.0);
        let status = running.0.wait().unwrap();
        assert_eq!(status.code(), Some(0), "{arguments:?}");
    }
}

#[test]
fn bad_arguments_are_refused() {
    for arguments in [
        &["service", "--name", "x", "--kind", "unheard-of"][..],
        &["service", "--name", "x"],
        &["log", "--listen", "nowhere"],
        &["unheard-of"],
    ] {
        let output = standin(arguments).output().unwrap();
        assert!(!output.status.success(), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[tokio::test]
async fn a_taken_address_is_an_error() {
    let (running, addr) = start(&["log"]);
    let output = standin(&["log", "--listen", &addr.to_string()])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let read = client::exchange(addr, Method::GET, "/v1/streams/config/records?from=0", "");
    assert_eq!(read.await.unwrap().0, StatusCode::OK);
    drop(running);
}
