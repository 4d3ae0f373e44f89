//! Runs the subcommands.

use std::{
    fmt,
    io::{self, Write},
    net::SocketAddr,
};

use http::{HeaderName, HeaderValue};
use savoryvane_core::{
    ids::ModelName,
    objects::{Fencing, StageKind},
};
use savoryvane_standins::{
    BackendServer, BackendSettings, Balancer, BalancerSettings, Error, ListServer, ListSettings,
    LogServer, LogSettings, Relay, RelaySettings, Result, WeightServer, WeightSource, WeightStore,
    client,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{calls, cli, kinds};

/// Time between two health checks of the balancer, in ms.
const DEFAULT_CHECK_MS: u64 = 200;

/// Rate of the weight store, in MB a second.
const DEFAULT_MB_PER_S: u64 = 1000;

/// Runs a subcommand; servers run until SIGTERM.
pub(crate) async fn run(command: cli::StandinCmd) -> Result<()> {
    match command {
        cli::StandinCmd::Log(flags) => log(flags).await,
        cli::StandinCmd::List(flags) => list(flags).await,
        cli::StandinCmd::Engine(flags) => backend(engine_settings(flags)).await,
        cli::StandinCmd::Service(flags) => backend(service_settings(flags)?).await,
        cli::StandinCmd::Weights(flags) => weights(flags).await,
        cli::StandinCmd::Balancer(flags) => balancer(flags).await,
        cli::StandinCmd::Relay(flags) => relay(flags).await,
        cli::StandinCmd::Load(flags) => calls::load(flags).await,
        cli::StandinCmd::Ask(flags) => calls::ask(flags).await,
        cli::StandinCmd::Ran(flags) => calls::ran(flags).await,
        cli::StandinCmd::Send(flags) => send(flags).await,
    }
}

async fn log(flags: cli::Log) -> Result<()> {
    let mut terminate = terminations()?;
    let defaults = LogSettings::default();
    let server = LogServer::start(LogSettings {
        addr: listen(flags.listen),
        retention_ms: flags.retention_ms.unwrap_or(defaults.retention_ms),
        retention_records: flags
            .retention_records
            .unwrap_or(defaults.retention_records),
        appends_per_s: flags.appends_per_s.unwrap_or(defaults.appends_per_s),
        ..defaults
    })
    .await?;
    announce(server.addr());
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

async fn list(flags: cli::List) -> Result<()> {
    let mut terminate = terminations()?;
    let defaults = ListSettings::default();
    let server = ListServer::start(ListSettings {
        addr: listen(flags.listen),
        lag_ms: flags.lag_ms.unwrap_or(defaults.lag_ms),
    })
    .await?;
    announce(server.addr());
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

async fn backend(settings: BackendSettings) -> Result<()> {
    let mut terminate = terminations()?;
    let server = BackendServer::start(settings).await?;
    announce(server.addr());
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

fn engine_settings(flags: cli::Engine) -> BackendSettings {
    let defaults = BackendSettings::new(flags.name.as_str(), StageKind::Generate);
    let fencing = if flags.check_fence {
        Fencing::Checked
    } else {
        Fencing::Ignored
    };
    BackendSettings {
        addr: listen(flags.listen),
        slots: flags.slots.unwrap_or(defaults.slots),
        queue_limit: flags.queue.unwrap_or(defaults.queue_limit),
        seed: flags.seed.unwrap_or(defaults.seed),
        service_us: flags.service_us.unwrap_or(defaults.service_us),
        token_us: flags.token_us.unwrap_or(defaults.token_us),
        load_lag_ms: flags.load_lag_ms.unwrap_or(defaults.load_lag_ms),
        models: flags.model.iter().map(ModelName::new).collect(),
        fencing,
        model_mb: flags.model_mb.unwrap_or(defaults.model_mb),
        weights: flags.weights.map_or(defaults.weights, WeightSource::Remote),
        ..defaults
    }
}

fn service_settings(flags: cli::Service) -> Result<BackendSettings> {
    let defaults = BackendSettings::new(flags.name.as_str(), stage_kind(&flags.kind)?);
    Ok(BackendSettings {
        addr: listen(flags.listen),
        slots: flags.slots.unwrap_or(defaults.slots),
        queue_limit: flags.queue.unwrap_or(defaults.queue_limit),
        seed: flags.seed.unwrap_or(defaults.seed),
        service_us: flags.service_us.unwrap_or(defaults.service_us),
        load_lag_ms: flags.load_lag_ms.unwrap_or(defaults.load_lag_ms),
        ..defaults
    })
}

async fn weights(flags: cli::Weights) -> Result<()> {
    let mut terminate = terminations()?;
    let store = WeightStore::new(flags.mb_per_s.unwrap_or(DEFAULT_MB_PER_S));
    let server = WeightServer::start(listen(flags.listen), store).await?;
    announce(server.addr());
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

async fn balancer(flags: cli::Balancer) -> Result<()> {
    let mut terminate = terminations()?;
    let server = Balancer::start(BalancerSettings {
        addr: listen(flags.listen),
        targets: flags.to,
        check_ms: flags.check_ms.unwrap_or(DEFAULT_CHECK_MS),
    })
    .await?;
    announce(server.addr());
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

async fn relay(flags: cli::Relay) -> Result<()> {
    let mut terminate = terminations()?;
    let server = Relay::start(RelaySettings {
        addr: listen(flags.listen),
        to: flags.to,
        control: listen(flags.control),
    })
    .await?;
    print(format_args!("control {}", server.control_addr()));
    announce(server.addr());
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

async fn send(flags: cli::Send) -> Result<()> {
    let body = match (flags.body_file, flags.body) {
        (Some(file), _) => std::fs::read(file)?,
        (None, Some(text)) => text.into_bytes(),
        (None, None) => Vec::new(),
    };
    let method = flags.method.parse().map_err(http::Error::from)?;
    let mut request = client::request(flags.addr, method, &flags.path, body)?;
    for field in &flags.header {
        let (name, value) = parse_header(field)?;
        request.headers_mut().append(name, value);
    }
    let (status, answer) = client::send(flags.addr, request).await?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    if !status.is_success() {
        return Err(Error::Status(status, answer));
    }
    println!("{answer}");
    Ok(())
}

fn parse_header(field: &str) -> Result<(HeaderName, HeaderValue)> {
    let unclear = || Error::Argument(format!("--header {field}: must be `name: value`"));
    let (name, value) = field.split_once(':').ok_or_else(unclear)?;
    let name = name.trim().parse().map_err(|_| unclear())?;
    let value = value.trim().parse().map_err(|_| unclear())?;
    Ok((name, value))
}

fn stage_kind(kind: &str) -> Result<StageKind> {
    kinds::parse(kind)
        .filter(|kind| *kind != StageKind::Generate)
        .ok_or_else(|| {
            Error::Argument(format!(
                "--kind {kind}: must be encode, retrieve, rerank or call"
            ))
        })
}

fn listen(addr: Option<SocketAddr>) -> SocketAddr {
    addr.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn terminations() -> Result<Signal> {
    Ok(signal(SignalKind::terminate())?)
}

/// Scripts read the port that was taken from this line.
fn announce(addr: SocketAddr) {
    print(format_args!("listening {addr}"));
}

fn print(line: fmt::Arguments<'_>) {
    let mut out = io::stdout().lock();
    // A reader that has gone is no reason to stop.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}
