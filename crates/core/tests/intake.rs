//! An instance that gets more new connections than it can serve, on a simulated machine.

use quickcheck::{QuickCheck, TestResult};
use savoryvane_core::intake::{Intake, IntakeChange, LoadSample};

/// Interval between two samples, in ms.
const SAMPLE_MS: u64 = 50;
/// Time after which callers must not notice a crowd, in ms.
const STABLE_MS: u64 = 4_000;
/// Time for which a request may wait at the instance, in ms: an eighth of a usual deadline.
const MAX_WAIT_MS: f64 = 500.0;

/// A machine with one processor and one link, both of which work on one request after the other.
#[derive(Clone, Copy, Debug)]
struct Machine {
    /// Processor time of a request, in ms of the machine's own share.
    request_ms: f64,
    request_bytes: f64,
    link_bytes_per_s: Option<u64>,
}

/// What a machine did in one run.
#[derive(Debug, Default)]
struct Seen {
    taken: u64,
    turned_away: u64,
    max_wait_ms: f64,
    longest_without_ms: u64,
}

impl Machine {
    /// Returns how many requests the machine can serve a second.
    fn capacity_per_s(&self) -> f64 {
        let by_processor = 1_000.0 / self.request_ms;
        let by_link = self
            .link_bytes_per_s
            .map(|link| link as f64 / self.request_bytes);
        by_link.map_or(by_processor, |by_link| by_link.min(by_processor))
    }

    /// Runs `intake` from `from_ms` to `to_ms` while `per_s` connections come, one request each.
    fn run(
        &self,
        intake: &mut Intake,
        queues: &mut Queues,
        span_ms: (u64, u64),
        per_s: f64,
    ) -> Seen {
        let mut seen = Seen::default();
        let (from_ms, to_ms) = span_ms;
        let mut arrivals = 0.0;
        let mut last_taken_ms = from_ms;
        for now_ms in from_ms..to_ms {
            arrivals += per_s / 1_000.0;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                if intake.pause_ms(now_ms) > 0 {
                    seen.turned_away += 1;
                    continue;
                }
                intake.on_taken(now_ms);
                queues.to_link.push(now_ms);
                seen.taken += 1;
                seen.longest_without_ms = seen.longest_without_ms.max(now_ms - last_taken_ms);
                last_taken_ms = now_ms;
            }
            queues.step(self, intake, now_ms);
            seen.max_wait_ms = seen.max_wait_ms.max(queues.wait_ms(self));
        }
        seen
    }
}

/// Requests that wait for the link or for the processor.
#[derive(Debug, Default)]
struct Queues {
    to_link: Vec<u64>,
    carried_bytes: f64,
    to_process: f64,
    read: u64,
    read_at_sample: u64,
}

impl Queues {
    fn step(&mut self, machine: &Machine, intake: &mut Intake, now_ms: u64) {
        let carried = match machine.link_bytes_per_s {
            None => self.to_link.len(),
            Some(link) => {
                let most = self.to_link.len() as f64 * machine.request_bytes;
                self.carried_bytes = (self.carried_bytes + link as f64 / 1_000.0).min(most);
                (self.carried_bytes / machine.request_bytes) as usize
            }
        };
        self.carried_bytes -= carried as f64 * machine.request_bytes;
        self.carried_bytes = self.carried_bytes.max(0.0);
        self.to_link.drain(..carried);
        for _ in 0..carried {
            intake.on_request(now_ms, true);
            self.read += 1;
        }
        self.to_process = (self.to_process + carried as f64 * machine.request_ms - 1.0).max(0.0);
        if now_ms.is_multiple_of(SAMPLE_MS) {
            let bytes = ((self.read - self.read_at_sample) as f64 * machine.request_bytes) as u64;
            self.read_at_sample = self.read;
            intake.on_sample(
                now_ms,
                LoadSample {
                    delay_ms: self.to_process as u64,
                    caller_bytes: bytes,
                    link_bytes: bytes,
                },
            );
        }
    }

    /// Returns the time that a request waits that comes now, in ms.
    fn wait_ms(&self, machine: &Machine) -> f64 {
        let on_link = machine.link_bytes_per_s.map_or(0.0, |link| {
            let bytes = self.to_link.len() as f64 * machine.request_bytes;
            bytes * 1_000.0 / link as f64
        });
        on_link + self.to_process
    }
}

fn crowd_is_borne(machine: Machine, times: f64) -> TestResult {
    let capacity = machine.capacity_per_s();
    if capacity < 60.0 {
        return TestResult::discard();
    }
    let mut intake = Intake::new(0, machine.link_bytes_per_s);
    let mut queues = Queues::default();
    let usual = machine.run(&mut intake, &mut queues, (0, 10_000), capacity / 5.0);
    let crowd_per_s = capacity * times;
    let starts = 10_000 + STABLE_MS;
    machine.run(&mut intake, &mut queues, (10_000, starts), crowd_per_s);
    let crowd = machine.run(
        &mut intake,
        &mut queues,
        (starts, starts + 6_000),
        crowd_per_s,
    );
    let back = starts + 6_000;
    machine.run(
        &mut intake,
        &mut queues,
        (back, back + 1_000),
        capacity / 5.0,
    );
    let after = machine.run(
        &mut intake,
        &mut queues,
        (back + 1_000, back + 4_000),
        capacity / 5.0,
    );
    let is_useful = crowd.taken as f64 / 6.0 >= capacity / 5.0;
    let holds = usual.turned_away == 0
        && crowd.max_wait_ms <= MAX_WAIT_MS
        && crowd.longest_without_ms <= 500
        && is_useful
        && after.turned_away == 0;
    if !holds {
        println!("{machine:?} x{times} of {capacity}: {usual:?} {crowd:?} {after:?}");
    }
    TestResult::from_bool(holds)
}

#[test]
fn a_crowd_beyond_the_processor_keeps_no_request_waiting() {
    fn property(request_us: u16, times: u8) -> TestResult {
        let machine = Machine {
            request_ms: 1.0 + f64::from(request_us % 12_000) / 1_000.0,
            request_bytes: 4_000.0,
            link_bytes_per_s: None,
        };
        crowd_is_borne(machine, 1.5 + f64::from(times % 20) / 2.0)
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(property as fn(u16, u8) -> TestResult);
}

#[test]
fn a_crowd_beyond_the_link_keeps_no_request_waiting() {
    fn property(request_bytes: u16, times: u8) -> TestResult {
        let machine = Machine {
            request_ms: 0.1,
            request_bytes: 500.0 + f64::from(request_bytes % 8_000),
            link_bytes_per_s: Some(1_250_000),
        };
        crowd_is_borne(machine, 1.5 + f64::from(times % 20) / 2.0)
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(property as fn(u16, u8) -> TestResult);
}

#[test]
fn without_load_of_its_own_an_instance_takes_all() {
    let mut intake = Intake::new(0, None);
    for now_ms in (0..20_000).step_by(SAMPLE_MS as usize) {
        for _ in 0..100 {
            assert_eq!(intake.pause_ms(now_ms), 0);
            intake.on_taken(now_ms);
            assert!(!intake.on_request(now_ms, true));
        }
        intake.on_sample(now_ms, LoadSample::default());
    }
    assert_eq!(intake.limit_per_s(), None);
}

/// Returns the change after samples with `delays_ms`, at 200 requests per second.
fn change_after(delays_ms: &[u64]) -> IntakeChange {
    let mut intake = Intake::new(0, None);
    let mut change = IntakeChange::None;
    for (index, &delay_ms) in delays_ms.iter().enumerate() {
        let now_ms = (index as u64 + 1) * SAMPLE_MS;
        for _ in 0..10 {
            intake.on_taken(now_ms);
            intake.on_request(now_ms, true);
        }
        change = intake.on_sample(
            now_ms,
            LoadSample {
                delay_ms,
                ..LoadSample::default()
            },
        );
    }
    change
}

#[test]
fn a_single_long_task_bounds_nothing() {
    assert_eq!(change_after(&[0, 0, 0, 0, 900, 0]), IntakeChange::None);
    assert_eq!(change_after(&[0, 0, 0, 0, 0, 900]), IntakeChange::None);
    assert!(matches!(
        change_after(&[0, 0, 0, 90, 90, 90]),
        IntakeChange::Bounded(_)
    ));
}

#[test]
fn requests_on_open_connections_are_counted_and_close_them_beyond_the_bound() {
    let mut intake = Intake::new(0, Some(100_000));
    let sample = |requests: u64| LoadSample {
        delay_ms: 0,
        caller_bytes: requests * 1_000,
        link_bytes: requests * 1_000,
    };
    let mut closed = 0;
    let mut now_ms = 0;
    // 40 requests per second, 70 of which the link carries.
    for _ in 0..200 {
        now_ms += SAMPLE_MS;
        for _ in 0..2 {
            closed += u64::from(intake.on_request(now_ms, false));
        }
        intake.on_sample(now_ms, sample(2));
    }
    assert_eq!(closed, 0);
    assert_eq!(intake.pause_ms(now_ms), 0);
    // 120 per second.
    for _ in 0..40 {
        now_ms += SAMPLE_MS;
        for _ in 0..6 {
            closed += u64::from(intake.on_request(now_ms, false));
        }
        intake.on_sample(now_ms, sample(6));
    }
    assert!(closed > 50, "{closed} connections are to be closed");
    intake.on_taken(now_ms);
    assert!(intake.pause_ms(now_ms) > 0);
}

#[test]
fn an_instance_in_rotation_takes_a_connection_every_half_second() {
    let mut intake = Intake::new(0, Some(50_000));
    let mut last_taken_ms = 0;
    // Requests on open connections take more than the link carries.
    for now_ms in 1..20_000_u64 {
        if now_ms.is_multiple_of(5) {
            intake.on_request(now_ms, false);
        }
        if now_ms.is_multiple_of(SAMPLE_MS) {
            intake.on_sample(
                now_ms,
                LoadSample {
                    delay_ms: 200,
                    caller_bytes: 20_000,
                    link_bytes: 20_000,
                },
            );
        }
        if intake.pause_ms(now_ms) == 0 {
            intake.on_taken(now_ms);
            last_taken_ms = now_ms;
        }
        assert!(now_ms - last_taken_ms <= 500);
    }
}

#[test]
fn requests_that_are_larger_than_before_are_bounded_within_a_second() {
    let mut intake = Intake::new(0, Some(500_000));
    let mut now_ms = 0;
    let mut send = |intake: &mut Intake, samples: u64, requests: u64, bytes: u64| {
        for _ in 0..samples {
            now_ms += SAMPLE_MS;
            for _ in 0..requests {
                intake.on_request(now_ms, true);
            }
            intake.on_sample(
                now_ms,
                LoadSample {
                    delay_ms: 0,
                    caller_bytes: requests * bytes,
                    link_bytes: requests * bytes,
                },
            );
        }
        intake.limit_per_s().expect("a bound")
    };
    let small = send(&mut intake, 400, 3, 600);
    assert!(small > 500.0, "{small} small requests per second");
    let large = send(&mut intake, 20, 10, 3_500);
    assert!(large < 150.0, "{large} large requests per second");
}

#[test]
fn delays_turn_nothing_away_that_an_instance_usually_gets() {
    let mut intake = Intake::new(0, None);
    let mut now_ms = 0;
    let mut run = |intake: &mut Intake, seconds: u64, delay_ms: u64| {
        let mut turned_away = 0;
        for _ in 0..seconds * 1_000 / SAMPLE_MS {
            now_ms += SAMPLE_MS;
            // 100 requests per second.
            for _ in 0..5 {
                if intake.pause_ms(now_ms) > 0 {
                    turned_away += 1;
                    continue;
                }
                intake.on_taken(now_ms);
                intake.on_request(now_ms, true);
            }
            let sample = LoadSample {
                delay_ms,
                ..LoadSample::default()
            };
            intake.on_sample(now_ms, sample);
        }
        turned_away
    };
    assert_eq!(run(&mut intake, 300, 0), 0);
    let turned_away = run(&mut intake, 20, 200);
    assert!(turned_away < 100, "{turned_away} of 2,000");
}
