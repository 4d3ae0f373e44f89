//! What happens in a run: load, faults and the quality of reports.

use crate::deployment::{Deployment, LM_POOL};

/// Length of a run, in µs.
pub const RUN_US: u64 = 60 * SECOND_US;
/// Begin of the time over which figures are taken, in µs.
pub const MEASURE_FROM_US: u64 = 10 * SECOND_US;
/// Begin of a fault, in µs.
pub const FAULT_FROM_US: u64 = 20 * SECOND_US;

pub(crate) const SECOND_US: u64 = 1_000_000;
const FAULT_US: u64 = 20 * SECOND_US;
const BURST_US: u64 = 10 * SECOND_US;
/// Load of a normal day, as a share of the full load.
const NORMAL_LOAD: f64 = 0.6;
const BURST_LOAD: f64 = 3.0;
/// Factor on the traffic of the workspace that floods the others.
const FLOOD_FACTOR: f64 = 25.0;
/// Workspace that floods the others, as an index.
pub const FLOODING: usize = 3;

/// Scenarios, each run for both deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// As many requests as the language model runners can take.
    FullLoad,
    /// Well below the capacity, nothing fails.
    NormalDay,
    /// Three times the capacity for ten seconds.
    Burst,
    /// One stage takes five times as long.
    SlowStage,
    /// One runner takes five times as long.
    SlowServer,
    /// One runner fails each call at once.
    FailingServer,
    /// One server of a plain service fails each call at once.
    FailingService,
    /// Load reports come five seconds late.
    StaleReports,
    /// The first availability zone is cut off from the others.
    ZoneCut,
    /// One workspace sends far more than its share.
    Flood,
    /// Chats share long prefixes; cache events come late and with gaps.
    PrefixChat,
    /// One entry instance is killed.
    InstanceKilled,
}

/// A fault, in force between two times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A server works slower by a factor.
    Slow {
        /// The server, as an index.
        server: usize,
        /// The factor.
        factor: f64,
    },
    /// A server fails each call at once.
    Failing {
        /// The server, as an index.
        server: usize,
    },
    /// Nothing passes between a zone and the others.
    Cut {
        /// The zone, as an index.
        zone: usize,
    },
    /// An instance dies with everything it has in flight.
    Killed {
        /// The instance, as an index.
        instance: usize,
    },
}

impl Scenario {
    /// Every scenario, in the order of the report.
    pub const ALL: [Self; 12] = [
        Self::FullLoad,
        Self::NormalDay,
        Self::Burst,
        Self::SlowStage,
        Self::SlowServer,
        Self::FailingServer,
        Self::FailingService,
        Self::StaleReports,
        Self::ZoneCut,
        Self::Flood,
        Self::PrefixChat,
        Self::InstanceKilled,
    ];

    /// Returns the name used in figures.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FullLoad => "full_load",
            Self::NormalDay => "normal_day",
            Self::Burst => "burst",
            Self::SlowStage => "slow_stage",
            Self::SlowServer => "slow_server",
            Self::FailingServer => "failing_server",
            Self::FailingService => "failing_service",
            Self::StaleReports => "stale_reports",
            Self::ZoneCut => "zone_cut",
            Self::Flood => "flood",
            Self::PrefixChat => "prefix_chat",
            Self::InstanceKilled => "instance_killed",
        }
    }

    /// Returns the load at a time as a share of the full load.
    pub fn load(self, at_us: u64) -> f64 {
        match self {
            Self::FullLoad => 1.0,
            Self::Burst if self.is_disturbed(at_us) => BURST_LOAD,
            _ => NORMAL_LOAD,
        }
    }

    /// Returns the factor on a workspace's traffic at a time.
    pub fn workspace_factor(self, workspace: usize, at_us: u64) -> f64 {
        if self == Self::Flood && workspace == FLOODING && self.is_disturbed(at_us) {
            FLOOD_FACTOR
        } else {
            1.0
        }
    }

    /// Returns the time at which the disturbance ends, in µs.
    pub fn fault_until_us(self) -> u64 {
        match self {
            Self::Burst => FAULT_FROM_US + BURST_US,
            _ => FAULT_FROM_US + FAULT_US,
        }
    }

    fn is_disturbed(self, at_us: u64) -> bool {
        (FAULT_FROM_US..self.fault_until_us()).contains(&at_us)
    }

    /// Returns the faults of the disturbed time.
    pub fn faults(self, deployment: &Deployment) -> Vec<Fault> {
        let of_pool = |pool: &str| {
            deployment
                .servers
                .iter()
                .enumerate()
                .filter(move |(_, server)| server.backend.pool.as_str() == pool)
                .map(|(index, _)| index)
                .collect::<Vec<usize>>()
        };
        let slow = |server| Fault::Slow {
            server,
            factor: 5.0,
        };
        match self {
            Self::SlowStage => of_pool(deployment.slow_pool)
                .into_iter()
                .map(slow)
                .collect(),
            Self::SlowServer => vec![slow(of_pool(LM_POOL)[0])],
            Self::FailingServer => vec![Fault::Failing {
                server: of_pool(LM_POOL)[0],
            }],
            Self::FailingService => vec![Fault::Failing {
                server: of_pool(deployment.slow_pool)[0],
            }],
            Self::ZoneCut => vec![Fault::Cut { zone: 0 }],
            Self::InstanceKilled => vec![Fault::Killed { instance: 0 }],
            Self::FullLoad
            | Self::NormalDay
            | Self::Burst
            | Self::StaleReports
            | Self::Flood
            | Self::PrefixChat => Vec::new(),
        }
    }

    /// Returns how late load reports arrive, in µs.
    pub fn report_lag_us(self) -> u64 {
        match self {
            Self::StaleReports => 5 * SECOND_US,
            _ => SECOND_US / 2,
        }
    }

    /// Returns how late cache events arrive, in µs.
    pub fn cache_event_lag_us(self) -> u64 {
        match self {
            Self::PrefixChat => 3 * SECOND_US,
            _ => SECOND_US,
        }
    }

    /// Returns the share of cache events that are lost.
    pub fn cache_event_loss(self) -> f64 {
        match self {
            Self::PrefixChat => 0.3,
            _ => 0.05,
        }
    }

    /// Returns the share of requests whose prompt has a shared prefix.
    pub fn prefix_share(self) -> f64 {
        match self {
            Self::PrefixChat => 0.9,
            _ => 0.2,
        }
    }
}
