//! What goes wrong in one seed, and when.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean time between two faults.
const MEAN_FAULT_GAP_MS: u64 = 600;
/// Faults of one process in a series: some end before the one before has.
const SERIES_LENGTH: std::ops::RangeInclusive<u32> = 1..=3;

/// One fault; those that last end by themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A process stands still for a while.
    Freeze { instance: usize, lasts: Duration },
    /// A process is killed and started again after a while.
    Kill { instance: usize, away: Duration },
    /// A process is asked to stop, and started again when it has.
    Terminate { instance: usize },
    /// A process is told that its settings have changed.
    Reload { instance: usize },
    /// All processes are killed at the same moment and started again.
    KillAll { away: Duration },
    /// The way from an instance to the store is harmed.
    StoreLink {
        instance: usize,
        harm: Harm,
        lasts: Duration,
    },
    /// The way from all instances to a server is harmed.
    ServerLink {
        server: usize,
        harm: Harm,
        lasts: Duration,
    },
    /// The store refuses calls, or never answers them.
    Store { is_silent: bool, lasts: Duration },
    /// The store forgets what is not the newest record of its key.
    ForgetHistory,
    /// A server misbehaves.
    Server {
        server: usize,
        misdeed: Misdeed,
        lasts: Duration,
    },
    /// A server says that it leaves, is gone, and comes back as another run.
    Replace { server: usize, away: Duration },
    /// A server names a limit of requests a second, in tenths of one.
    Limit {
        server: usize,
        tenths_per_s: u32,
        lasts: Duration,
    },
    /// A server says in its answers that it leaves, which nobody can read in the register
    /// while the store is away; then it is gone, and comes back as another run.
    Leave {
        server: usize,
        is_store_away: bool,
        lasts: Duration,
    },
    /// A server rejects all requests and asks for backoff.
    Backoff {
        server: usize,
        backoff: Duration,
        lasts: Duration,
    },
    /// A new version with one more route.
    Configure,
}

/// What happens to a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    /// Nothing moves.
    Cut,
    /// Connections are closed.
    Reset,
    /// Connections that are established fall silent for good.
    Silence,
    /// Everything takes longer.
    Delay,
}

/// What a server does wrong.
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
const HARMS: [Harm; 4] = [Harm::Cut, Harm::Reset, Harm::Silence, Harm::Delay];

/// Limits that servers name, in tenths of a request a second.
const LIMITS_TENTHS_PER_S: [u32; 4] = [0, 5, 10, 40];
/// Mean time between two limits that servers name.
const MEAN_LIMIT_GAP_MS: u64 = 2_500;
/// Mean time between two series of servers that leave or ask for backoff.
const MEAN_SIGNAL_GAP_MS: u64 = 3_000;

/// Draws the faults of `seed`, in their order, each with the time at which it
/// begins. All end by themselves within a few seconds after `length`.
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
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws the servers that name limits, of one series after the other: up to all of a
/// service at the same time. Drawn apart, so that a seed keeps its other faults.
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

/// Draws the servers that leave or ask for backoff in their answers, of one series after the
/// other: up to all of a service at the same time. Drawn apart, as limits are.
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
