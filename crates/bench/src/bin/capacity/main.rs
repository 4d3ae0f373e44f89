//! Measures what an instance spends on acting together with the others, at
//! several sizes, and prints the slopes that docs/CAPACITY.md works with.

mod fit;
mod machine;
mod objects;
mod peers;
mod world;

use std::process::ExitCode;

use fit::{Series, print_head};

mod flags {
    xflags::xflags! {
        /// Measures the slopes of docs/CAPACITY.md.
        cmd capacity {
            /// Measures every slope, or one group of them.
            default cmd all {
                /// Group: members, zones, quotas, memory, processor or bytes.
                optional --only only: String
            }
            /// Prints the memory of one thing; run by `all`.
            cmd memory {
                /// What to measure.
                required what: String
                /// How much of it.
                required size: usize
            }
        }
    }
}

/// One group of measurements.
struct Group {
    name: &'static str,
    title: &'static str,
    measure: fn() -> Vec<Series>,
}

const GROUPS: [Group; 9] = [
    Group {
        name: "members",
        title: "Membership in a zone of at most 32, each instance",
        measure: peers::membership_in_small_zones,
    },
    Group {
        name: "members",
        title: "Membership in a zone of at least 32, each instance",
        measure: peers::membership_in_large_zones,
    },
    Group {
        name: "zones",
        title: "Membership over zones, each instance",
        measure: peers::membership_by_zones,
    },
    Group {
        name: "quotas",
        title: "Quotas over six zones, each instance",
        measure: peers::quotas_by_zone_size,
    },
    Group {
        name: "quotas",
        title: "Quotas in a zone of 95 against traffic, each instance",
        measure: peers::quotas_by_traffic,
    },
    Group {
        name: "quotas",
        title: "Quotas in a zone of 95 against workspaces, each instance",
        measure: peers::quotas_by_workspaces,
    },
    Group {
        name: "memory",
        title: "Memory",
        measure: objects::memory,
    },
    Group {
        name: "processor",
        title: "Processor time",
        measure: objects::processor,
    },
    Group {
        name: "bytes",
        title: "Bytes",
        measure: objects::bytes,
    },
];

fn main() -> ExitCode {
    match flags::Capacity::from_env_or_exit().subcommand {
        flags::CapacityCmd::All(all) => {
            measure(all.only.as_deref());
            ExitCode::SUCCESS
        }
        flags::CapacityCmd::Memory(memory) => {
            match objects::measure_memory(&memory.what, memory.size) {
                Some(bytes) => {
                    println!("{bytes}");
                    ExitCode::SUCCESS
                }
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn measure(only: Option<&str>) {
    let asked = GROUPS
        .iter()
        .filter(|group| only.is_none_or(|o| o == group.name));
    for group in asked {
        print_head(group.title);
        for series in (group.measure)() {
            series.print();
        }
    }
}
