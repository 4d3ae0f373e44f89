//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates savoryvane: state an intent, see the plan, confirm it.
    ///
    /// Exit codes: 0 done; 1 failed; 2 wrong command line; 3 wrong intent or
    /// plan; 4 no instance reached; 5 conflict; 6 credential refused; 7 not
    /// known whether it was done, repeat it; 8 accepted, but not yet seen in force
    /// everywhere; 9 not agreed to.
    cmd savoryvanectl {
        /// Addresses of operator listeners, separated by commas; by default
        /// those in SAVORYVANE_ADMIN. The next is tried when one is unreachable.
        optional --admin addrs: String
        /// File whose first line is the operators' credential.
        optional --credential-file file: PathBuf
        /// Prints JSON instead of tables.
        optional --json
        /// Longest time for one answer, in ms (10000).
        optional --timeout-ms ms: u64
        /// Prints the version and exits.
        optional -V, --version

        /// Prints this help.
        default cmd help {}
        /// Shows the state of every instance that was given.
        cmd status {}
        /// Lists the entry instances as one of them sees the others.
        cmd instances {}
        /// Lists the backend servers as one instance sees them.
        cmd backends {}
        /// Lists the workspaces.
        cmd workspaces {}
        /// Lists the pipelines.
        cmd pipelines {}
        /// Lists the pools.
        cmd pools {}
        /// Lists the models.
        cmd models {}
        /// Makes a plan from an intent; nothing is in force before its confirm.
        cmd plan {
            /// File with the intent, in YAML.
            required -f, --file file: PathBuf
            /// File to write the plan to.
            optional -o, --output file: PathBuf
            /// Name of who asks for it.
            optional --operator name: String
        }
        /// Puts a plan in force; asks first when standard input is a terminal.
        cmd confirm {
            /// File that `plan -o` wrote.
            required plan: PathBuf
            /// Does not ask.
            optional -y, --yes
            /// Longest wait for every listed instance to have it, in ms (10000).
            optional --wait-ms ms: u64
        }
        /// Lists the changes, newest first.
        cmd history {}
        /// Reports what the given instances have booked, with wasted work apart.
        cmd costs {
            /// Sums by stage, pipeline or workspace.
            optional --by what: String
            /// Prints comma-separated values.
            optional --csv
            /// File to write the report to.
            optional -o, --output file: PathBuf
            /// Reports also when an instance can't be reached.
            optional --partial
        }
        /// Explains a request from the log lines of all instances, which it reads
        /// from standard input; it needs no instance and no credential.
        cmd explain {
            /// Identifier of the request.
            required request: String
        }
        /// Tells from the log lines of all instances, which it reads from standard
        /// input, how requests ended and why those that were not in time were not;
        /// it needs no instance and no credential.
        cmd account {
            /// Seconds for each row of the second table (2).
            optional --every-s s: u64
            /// File to draw the second table into, as SVG.
            optional --svg file: PathBuf
        }
        /// Asks an instance to leave gracefully.
        cmd drain {
            /// Name of the instance.
            required instance: String
        }
    }
}
