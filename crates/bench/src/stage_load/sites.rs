//! The deployments and days that [`super::play`] plays.

use super::{Burst, Day, KindLoad, ServiceLoad, SiteLoad, SlowReads, StageLoad};

const fn stage(
    service: usize,
    after: Option<usize>,
    pieces: (u32, u32),
    share_percent: u32,
    result_bytes: u64,
    piece_factor: f64,
) -> StageLoad {
    StageLoad {
        service,
        after,
        pieces,
        share_percent,
        result_bytes,
        piece_factor,
    }
}

const DRAFT: &[StageLoad] = &[stage(0, None, (1, 4), 70, 1_500_000, 1.0)];
const QUOTATION: &[StageLoad] = &[
    stage(0, None, (1, 1), 100, 8_000, 0.3),
    stage(1, Some(0), (6, 6), 100, 60_000, 1.0),
    stage(2, Some(1), (5, 15), 100, 6_000, 1.0),
];
const DESCRIPTION: &[StageLoad] = &[
    stage(0, None, (1, 2), 40, 1_500_000, 1.0),
    stage(0, None, (1, 1), 100, 8_000, 0.3),
    stage(1, Some(1), (6, 6), 100, 60_000, 1.0),
    stage(2, Some(2), (5, 15), 100, 6_000, 1.0),
];

/// The kinds of the sign makers, with the requests a second of each and the goal of
/// their quotations.
const fn kinds_of_signs(rates_per_s: [f64; 3], offerte_goal_ms: u64) -> [KindLoad; 3] {
    let dossier = KindLoad {
        name: "dossier",
        rate_per_s: rates_per_s[0],
        goal_ms: 1_000,
        deadline_ms: 6_000,
        worth: 3.2,
        late_worth: 0.48,
        priority: 1,
        rest_ms: 160,
        stages: DRAFT,
    };
    let offerte = KindLoad {
        name: "offerte",
        rate_per_s: rates_per_s[1],
        goal_ms: offerte_goal_ms,
        worth: 2.0,
        late_worth: 0.3,
        priority: 0,
        rest_ms: 120,
        stages: QUOTATION,
        ..dossier
    };
    let letter = KindLoad {
        name: "letter",
        rate_per_s: rates_per_s[2],
        goal_ms: 1_800,
        deadline_ms: 20_000,
        worth: 0.83,
        late_worth: 0.12,
        priority: 2,
        rest_ms: 100,
        stages: DESCRIPTION,
    };
    [dossier, offerte, letter]
}

const fn service(
    name: &'static str,
    servers: usize,
    batch_pieces: usize,
    piece_ms: f64,
    room_mb: f64,
) -> ServiceLoad {
    ServiceLoad {
        name,
        servers,
        batch_pieces,
        piece_ms,
        room_mb,
    }
}

/// The sign makers' deployment of 9 instances.
pub const SIGNS: SiteLoad = SiteLoad {
    name: "signs",
    services: &[
        service("archive", 5, 10, 17.0, 22.0),
        service("agenda", 5, 28, 6.1, 3.6),
        service("invoices", 5, 46, 3.7, 0.6),
    ],
    kinds: &kinds_of_signs([19.5, 20.9, 10.3], 1_800),
};

/// The same, grown to 68 instances.
pub const SIGNS_GROWN: SiteLoad = SiteLoad {
    name: "signs-grown",
    services: &[
        service("archive", 17, 20, 8.6, 45.0),
        service("agenda", 15, 68, 2.5, 8.9),
        service("invoices", 15, 94, 1.8, 1.2),
    ],
    kinds: &kinds_of_signs([166.0, 178.0, 88.3], 1_900),
};

/// A deployment whose servers of the first stage hold a dozen large results
/// each, so that their memory bounds what they make.
pub const PORTAL: SiteLoad = SiteLoad {
    name: "portal",
    services: &[
        service("pages", 4, 8, 21.0, 18.0),
        service("ledger", 5, 18, 9.5, 2.3),
        service("delivery", 5, 30, 5.7, 0.39),
    ],
    kinds: &[
        KindLoad {
            name: "digest",
            rate_per_s: 12.1,
            goal_ms: 1_600,
            deadline_ms: 6_000,
            worth: 4.2,
            late_worth: 0.63,
            priority: 0,
            rest_ms: 350,
            stages: DRAFT,
        },
        KindLoad {
            name: "explanation",
            rate_per_s: 13.3,
            goal_ms: 3_100,
            deadline_ms: 6_000,
            worth: 1.1,
            late_worth: 0.17,
            priority: 1,
            rest_ms: 250,
            stages: QUOTATION,
        },
        KindLoad {
            name: "note",
            rate_per_s: 7.06,
            goal_ms: 3_600,
            deadline_ms: 20_000,
            worth: 0.66,
            late_worth: 0.099,
            priority: 2,
            rest_ms: 150,
            stages: DESCRIPTION,
        },
    ],
};

/// A day with the bursts of the users' days: one kind after the other, then all
/// together.
pub fn day_of_bursts() -> Day {
    let burst = |at_ms, for_ms, kind, times| Burst {
        at_ms,
        for_ms,
        kind,
        times,
    };
    Day {
        length_ms: 44_000,
        bursts: vec![
            burst(4_000, 5_900, Some(0), 2.5),
            burst(16_000, 5_400, Some(1), 3.1),
            burst(26_000, 4_000, None, 1.9),
            burst(36_000, 5_000, Some(2), 2.8),
        ],
        read_ms: 100,
        slow_reads: None,
    }
}

/// A day on which engines read results a second late for some seconds.
pub fn day_of_slow_reads() -> Day {
    Day {
        length_ms: 18_000,
        bursts: Vec::new(),
        read_ms: 100,
        slow_reads: Some(SlowReads {
            at_ms: 4_000,
            for_ms: 6_000,
            read_ms: 1_100,
        }),
    }
}
