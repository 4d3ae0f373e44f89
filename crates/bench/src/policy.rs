//! The policies that the bench compares.

use savoryvane_core::settings::{
    Admission, Affinity, Budgets, Ejection, Fairness, Hedging, PolicySettings, Reports, Routing,
    Spill,
};

/// A policy to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin over all backend servers, no admission, fixed retries.
    Baseline,
    /// The defaults of the core.
    Current,
    /// The defaults without one part.
    Without(Part),
}

/// A part of the policy that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Choosing by load.
    Routing,
    /// Leaving the own availability zone by wait.
    Spill,
    /// Letting load reports fade.
    FadingReports,
    /// Ejecting backend servers that fail.
    Ejection,
    /// Refusing what cannot be answered in time.
    Admission,
    /// Repeating overdue calls elsewhere.
    Hedging,
    /// Weighted shares of the workspaces.
    Fairness,
    /// Giving up what its later stages have no time for.
    Budgets,
    /// Preferring engines that may have a prefix cached.
    Affinity,
}

impl Part {
    /// Every part.
    pub const ALL: [Self; 4] = [
        Self::Routing,
        Self::Spill,
        Self::FadingReports,
        Self::Ejection,
    ];

    /// Returns the name used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Spill => "spill",
            Self::FadingReports => "fading_reports",
            Self::Ejection => "ejection",
            Self::Admission => "admission",
            Self::Hedging => "hedging",
            Self::Fairness => "fairness",
            Self::Budgets => "budgets",
            Self::Affinity => "affinity",
        }
    }
}

impl Policy {
    /// Returns the settings of an instance under this policy.
    pub fn settings(self) -> PolicySettings {
        match self {
            Self::Baseline => baseline(),
            Self::Current => PolicySettings::default(),
            Self::Without(part) => without(part),
        }
    }
}

fn baseline() -> PolicySettings {
    PolicySettings {
        routing: Routing::RoundRobin,
        ejection: Ejection::Off,
        admission: Admission::Off,
        hedging: Hedging::Off,
        fairness: Fairness::Off,
        budgets: Budgets::AtDeadline,
        affinity: Affinity::Off,
        retry_percent: 1_000,
        retry_burst: 1_000_000,
        ..PolicySettings::default()
    }
}

fn without(part: Part) -> PolicySettings {
    let settings = PolicySettings::default();
    match part {
        Part::Routing => PolicySettings {
            routing: Routing::RoundRobin,
            ..settings
        },
        Part::Spill => PolicySettings {
            spill: Spill::WhenEmpty,
            ..settings
        },
        Part::FadingReports => PolicySettings {
            reports: Reports::Trusted,
            ..settings
        },
        Part::Ejection => PolicySettings {
            ejection: Ejection::Off,
            ..settings
        },
        Part::Admission => PolicySettings {
            admission: Admission::Off,
            ..settings
        },
        Part::Hedging => PolicySettings {
            hedging: Hedging::Off,
            ..settings
        },
        Part::Fairness => PolicySettings {
            fairness: Fairness::Off,
            ..settings
        },
        Part::Budgets => PolicySettings {
            budgets: Budgets::AtDeadline,
            ..settings
        },
        Part::Affinity => PolicySettings {
            affinity: Affinity::Off,
            ..settings
        },
    }
}
