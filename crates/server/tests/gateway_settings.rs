//! Settings of a gateway that the platform fills in from the limits of its machine.

use savoryvane_server::GatewaySettings;

const REQUIRED: &str = "instance: entry-1\nzone: hal-utrecht\nregion: nl-midden\n\
    listen: {caller: '127.0.0.1:1', ready: '127.0.0.1:2', peer: '127.0.0.1:3', admin: '127.0.0.1:4'}\n\
    store: 127.0.0.1:5\nseeds: []\ncores: 1\nrepeats: {ratio: 0.2, slack: 100, instances: 4}\n\
    drain: {kill_after_s: 2.6}\n";

fn parse(lines: &str) -> Result<GatewaySettings, String> {
    let parsed = GatewaySettings::parse(&format!("{REQUIRED}{lines}"));
    parsed.map_err(|problems| format!("{problems:?}"))
}

#[test]
fn the_limits_of_a_machine_are_those_of_the_smallest_unless_set() {
    let settings = parse("").unwrap();

    assert_eq!((settings.memory_mb, settings.max_descriptors), (160, 4_100));
}

#[test]
fn the_limits_of_a_machine_may_be_small_and_memory_a_fraction() {
    let settings = parse("memory_mb: 24.5\nmax_descriptors: 64").unwrap();

    assert_eq!((settings.memory_mb, settings.max_descriptors), (24, 64));
}

#[test]
fn limits_of_a_machine_without_sense_are_named() {
    for line in [
        "memory_mb: 0",
        "memory_mb: many",
        "max_descriptors: 3",
        "max_descriptors: -1",
    ] {
        let field = line.split(':').next().unwrap();

        let problems = parse(line).unwrap_err();

        assert!(problems.contains(field), "{problems}");
    }
}
