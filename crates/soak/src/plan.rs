//! Draws the faults of one seed and their start times.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::{VERSIONS, servers_of};

/// Mean pause between two series of faults.
const MEAN_FAULT_GAP_MS: u64 = 600;
/// Number of faults of one process or server in a series, which may overlap.
const SERIES_LENGTH: std::ops::RangeInclusive<u32> = 1..=3;

/// One fault. Faults with a duration end without further action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Freezes a process.
    Freeze { instance: usize, lasts: Duration },
    /// Kills a process and restarts it after `away`.
    Kill { instance: usize, away: Duration },
    /// Stops a process in an orderly way and restarts it once it has exited.
    Terminate { instance: usize },
    /// Makes a process reload its settings.
    Reload { instance: usize },
    /// Kills all processes at once and restarts them after `away`.
    KillAll { away: Duration },
    /// Injects a fault into the link from an instance to the store.
    StoreLink {
        instance: usize,
        harm: Harm,
        lasts: Duration,
    },
    /// Injects a fault into the link from all instances to a server.
    ServerLink {
        server: usize,
        harm: Harm,
        lasts: Duration,
    },
    /// Makes the store refuse calls, or never respond to them.
    Store { is_silent: bool, lasts: Duration },
    /// Makes the store drop all records except the latest one of each key.
    ForgetHistory,
    /// Makes a server misbehave.
    Server {
        server: usize,
        misdeed: Misdeed,
        lasts: Duration,
    },
    /// Registers a server as draining, then replaces it with a new run after `away`.
    Replace { server: usize, away: Duration },
    /// Makes a server announce a request rate limit, in tenths of a request per second.
    Limit {
        server: usize,
        tenths_per_s: u32,
        lasts: Duration,
    },
    /// Makes a server announce in its responses that it leaves, then replaces it with a new run.
    /// The store may be unavailable meanwhile, so that instances can't read the register.
    Leave {
        server: usize,
        is_store_away: bool,
        lasts: Duration,
    },
    /// Makes a server reject all requests and request backoff.
    Backoff {
        server: usize,
        backoff: Duration,
        lasts: Duration,
    },
    /// Replaces engines one after the other by runs with another software version.
    Release {
        first: usize,
        count: usize,
        version: usize,
        gap: Duration,
    },
    /// Publishes a new configuration version with one more route.
    Configure,
    /// Sends most new connections to an instance.
    Crowd {
        instance: usize,
        per_s: u32,
        lasts: Duration,
    },
    /// Connects clients to an instance that stop in the middle of a request.
    StalledClients {
        instance: usize,
        clients: usize,
        lasts: Duration,
    },
}

/// Fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    /// No data passes.
    Cut,
    /// All connections are closed.
    Reset,
    /// Established connections stay open but never pass data again.
    Silence,
    /// All data is delayed.
    Delay,
    /// Responses arrive a second time, whole or in part, in front of the next ones.
    SecondCopies,
}

/// Misbehaviour of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Misdeed {
    Fails,
    IsFull,
    LosesAnswers,
    IsSilent,
    AnswersAnother,
    Unsigned,
    BreaksOff,
    BreaksStreams,
    SilencesStreams,
    EndsWithConnection,
    ClosesInsideEvent,
    EndsInsideEvent,
}

const MISDEEDS: [Misdeed; 9] = [
    Misdeed::Fails,
    Misdeed::IsFull,
    Misdeed::LosesAnswers,
    Misdeed::IsSilent,
    Misdeed::AnswersAnother,
    Misdeed::Unsigned,
    Misdeed::BreaksOff,
    Misdeed::BreaksStreams,
    Misdeed::SilencesStreams,
];
/// Misdeeds that the framing of a response hides.
const FRAMING_MISDEEDS: [Misdeed; 3] = [
    Misdeed::EndsWithConnection,
    Misdeed::ClosesInsideEvent,
    Misdeed::EndsInsideEvent,
];
const HARMS: [Harm; 4] = [Harm::Cut, Harm::Reset, Harm::Silence, Harm::Delay];

/// Limits that servers announce.
const LIMITS_TENTHS_PER_S: [u32; 4] = [0, 5, 10, 40];
/// Mean pause between two series of servers that announce limits.
const MEAN_LIMIT_GAP_MS: u64 = 2_500;
/// Mean pause between two series of servers that leave or request backoff.
const MEAN_SIGNAL_GAP_MS: u64 = 3_000;
/// Mean pause between two series of servers whose framing hides how a response ends.
const MEAN_FRAMING_GAP_MS: u64 = 1_500;

/// Mean pause between two releases of the engines.
const MEAN_RELEASE_GAP_MS: u64 = 3_000;

/// Mean pause between two series of servers whose responses arrive a second time.
const MEAN_COPIES_GAP_MS: u64 = 1_500;

/// Mean pause between the beginnings of two crowds.
const MEAN_CROWD_GAP_MS: u64 = 4_000;
/// New connections a second in a crowd.
const CROWD_PER_S: std::ops::RangeInclusive<u32> = 50..=200;

/// Mean pause between two groups of clients that stop in the middle of a request.
const MEAN_STALL_GAP_MS: u64 = 3_000;
/// Number of clients in such a group: what they send is about the memory of an instance.
const STALLED_CLIENTS: std::ops::RangeInclusive<usize> = 30..=60;

/// Draws the faults of `seed`, sorted by their start times. All faults end within a few
/// seconds after `duration`.
pub(crate) fn draw(
    seed: u64,
    instances: usize,
    servers: usize,
    duration: Duration,
) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at_ms = 300;
    while at_ms < duration.as_millis() as u64 {
        let count = rng.random_range(SERIES_LENGTH);
        let instance = rng.random_range(0..instances);
        let server = rng.random_range(0..servers);
        let kind = rng.random_range(0..17);
        for _ in 0..count {
            let fault = draw_fault(&mut rng, kind, instance, server);
            faults.push((Duration::from_millis(at_ms), fault));
            at_ms += rng.random_range(20..500);
        }
        at_ms += rng.random_range(0..2 * MEAN_FAULT_GAP_MS);
    }
    faults.extend(draw_limits(seed, servers, duration));
    faults.extend(draw_signals(seed, servers, duration));
    faults.extend(draw_framings(seed, servers, duration));
    faults.extend(draw_releases(seed, duration));
    faults.extend(draw_crowds(seed, instances, duration));
    faults.extend(draw_stalled_clients(seed, instances, duration));
    faults.extend(draw_second_copies(seed, servers, duration));
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws series of servers that announce limits, up to all servers of a service at once. Uses a
/// separate generator, so that the other faults of a seed do not depend on the limits.
fn draw_limits(seed: u64, servers: usize, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    let mut limits = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_LIMIT_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let first = rng.random_range(0..servers);
        let tenths_per_s = LIMITS_TENTHS_PER_S[rng.random_range(0..LIMITS_TENTHS_PER_S.len())];
        for offset in 0..rng.random_range(SERIES_LENGTH) as usize {
            let fault = Fault::Limit {
                server: (first + offset) % servers,
                tenths_per_s,
                lasts: Duration::from_millis(rng.random_range(500..4_000)),
            };
            limits.push((Duration::from_millis(at_ms), fault));
        }
        at_ms += rng.random_range(0..2 * MEAN_LIMIT_GAP_MS);
    }
    limits
}

/// Draws series of servers that announce in their responses that they leave or request backoff,
/// up to all servers of a service at once. Uses a separate generator, as `draw_limits` does.
fn draw_signals(seed: u64, servers: usize, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(32) ^ 1);
    let mut signals = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_SIGNAL_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let first = rng.random_range(0..servers);
        let is_leave = rng.random_range(0..2) == 0;
        let is_store_away = rng.random_range(0..2) == 0;
        for offset in 0..rng.random_range(SERIES_LENGTH) as usize {
            let server = (first + offset) % servers;
            let fault = match is_leave {
                true => Fault::Leave {
                    server,
                    is_store_away,
                    lasts: Duration::from_millis(rng.random_range(2_500..5_000)),
                },
                false => Fault::Backoff {
                    server,
                    backoff: Duration::from_millis(rng.random_range(700..3_000)),
                    lasts: Duration::from_millis(rng.random_range(300..2_500)),
                },
            };
            signals.push((Duration::from_millis(at_ms), fault));
        }
        at_ms += rng.random_range(0..2 * MEAN_SIGNAL_GAP_MS);
    }
    signals
}

/// Draws series of servers whose framing hides how a response ends. Uses a separate generator,
/// as `draw_limits` does.
fn draw_framings(seed: u64, servers: usize, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(16) ^ 2);
    let mut framings = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_FRAMING_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let first = rng.random_range(0..servers);
        let misdeed = FRAMING_MISDEEDS[rng.random_range(0..FRAMING_MISDEEDS.len())];
        for offset in 0..rng.random_range(SERIES_LENGTH) as usize {
            let fault = Fault::Server {
                server: (first + offset) % servers,
                misdeed,
                lasts: Duration::from_millis(rng.random_range(300..2_000)),
            };
            framings.push((Duration::from_millis(at_ms), fault));
        }
        at_ms += rng.random_range(0..2 * MEAN_FRAMING_GAP_MS);
    }
    framings
}

/// Draws releases of some or all engines, also back to earlier versions. Uses a separate
/// generator, as `draw_limits` does.
fn draw_releases(seed: u64, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(8) ^ 3);
    let engines = servers_of("engine").len();
    let mut releases = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_RELEASE_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let fault = Fault::Release {
            first: rng.random_range(0..engines),
            count: rng.random_range(1..=engines),
            version: rng.random_range(0..VERSIONS.len()),
            gap: Duration::from_millis(rng.random_range(50..800)),
        };
        releases.push((Duration::from_millis(at_ms), fault));
        at_ms += rng.random_range(0..2 * MEAN_RELEASE_GAP_MS);
    }
    releases
}

/// Draws groups of clients that stop in the middle of a request. Uses a separate generator, as
/// `draw_limits` does.
fn draw_stalled_clients(seed: u64, instances: usize, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(32) ^ 6);
    let mut groups = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_STALL_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let fault = Fault::StalledClients {
            instance: rng.random_range(0..instances),
            clients: rng.random_range(STALLED_CLIENTS),
            lasts: Duration::from_millis(rng.random_range(1_000..3_000)),
        };
        groups.push((Duration::from_millis(at_ms), fault));
        at_ms += rng.random_range(0..2 * MEAN_STALL_GAP_MS);
    }
    groups
}

/// Draws crowds at one instance after the other. Uses a separate generator, as `draw_limits` does.
fn draw_crowds(seed: u64, instances: usize, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(24) ^ 4);
    let mut crowds = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_CROWD_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let fault = Fault::Crowd {
            instance: rng.random_range(0..instances),
            per_s: rng.random_range(CROWD_PER_S),
            lasts: Duration::from_millis(rng.random_range(500..3_000)),
        };
        crowds.push((Duration::from_millis(at_ms), fault));
        at_ms += rng.random_range(0..2 * MEAN_CROWD_GAP_MS);
    }
    crowds
}

/// Draws series of servers whose responses arrive a second time. Uses a separate generator, as
/// `draw_limits` does.
fn draw_second_copies(seed: u64, servers: usize, duration: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(40) ^ 5);
    let mut copies = Vec::new();
    let mut at_ms = rng.random_range(0..MEAN_COPIES_GAP_MS);
    while at_ms < duration.as_millis() as u64 {
        let first = rng.random_range(0..servers);
        for offset in 0..rng.random_range(SERIES_LENGTH) as usize {
            let fault = Fault::ServerLink {
                server: (first + offset) % servers,
                harm: Harm::SecondCopies,
                lasts: Duration::from_millis(rng.random_range(500..3_000)),
            };
            copies.push((Duration::from_millis(at_ms), fault));
        }
        at_ms += rng.random_range(0..2 * MEAN_COPIES_GAP_MS);
    }
    copies
}

fn draw_fault(rng: &mut Pcg64Mcg, kind: u32, instance: usize, server: usize) -> Fault {
    let lasts = Duration::from_millis(rng.random_range(100..3_000));
    let harm = HARMS[rng.random_range(0..HARMS.len())];
    match kind {
        0 | 1 => Fault::Freeze { instance, lasts },
        2 | 3 => Fault::Kill {
            instance,
            away: lasts,
        },
        4 | 5 => Fault::Terminate { instance },
        6 => Fault::Reload { instance },
        7 => Fault::KillAll { away: lasts / 2 },
        8 => Fault::StoreLink {
            instance,
            harm,
            lasts,
        },
        9 | 10 => Fault::ServerLink {
            server,
            harm,
            lasts,
        },
        11 => Fault::Store {
            is_silent: rng.random_range(0..2) == 0,
            lasts,
        },
        12 => Fault::ForgetHistory,
        13 | 14 => Fault::Server {
            server,
            misdeed: MISDEEDS[rng.random_range(0..MISDEEDS.len())],
            lasts,
        },
        15 => Fault::Replace {
            server,
            away: lasts / 2,
        },
        _ => Fault::Configure,
    }
}
