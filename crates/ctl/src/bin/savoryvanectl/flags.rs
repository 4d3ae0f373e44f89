//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates savoryvane: state an intent, see the plan, confirm it.
    ///
    /// Exit codes: 0 done; 1 failed; 2 wrong command line; 3 wrong intent or
    /// plan; 4 no instance reached; 5 conflict; 6 credential refused; 7 not
    /// known whether it was done, repeat it; 8 accepted, but not yet known to be in
    /// force everywhere; 9 declined by the operator.
    cmd savoryvanectl {
        /// Addresses of operator listeners, separated by commas; by default
        /// those in SAVORYVANE_ADMIN. The next is tried when one is unreachable.
        optional --admin addrs: String
        /// File whose first line is the operators' credential.
        optional --credential-file file: PathBuf
        /// Prints JSON instead of tables.
        optional --json
        /// Timeout for one response, in ms (10000).
        optional --timeout-ms ms: u64
        /// Prints the version and exits.
        optional -V, --version

        /// Prints this help.
        default cmd help {}
        /// Shows the state of every given instance.
        cmd status {}
        /// Lists the entry instances, as seen by one of them.
        cmd instances {}
        /// Lists the backend servers, as seen by one instance.
        cmd backends {}
        /// Lists the workspaces.
        cmd workspaces {}
        /// Lists the pipelines.
        cmd pipelines {}
        /// Lists the pools.
        cmd pools {}
        /// Lists the models.
        cmd models {}
        /// Creates a plan from an intent; a confirm puts it in force.
        cmd plan {
            /// File with the intent, in YAML.
            required -f, --file file: PathBuf
            /// File to write the plan to.
            optional -o, --output file: PathBuf
            /// Name of the operator.
            optional --operator name: String
        }
        /// Puts a plan in force; prompts first when standard input is a terminal.
        cmd confirm {
            /// File that `plan -o` wrote.
            required plan: PathBuf
            /// Skips the prompt.
            optional -y, --yes
            /// Maximum time to wait until every listed instance has it, in ms (10000).
            optional --wait-ms ms: u64
        }
        /// Lists the changes, newest first.
        cmd history {}
        /// Reports the costs of the given instances, with wasted work listed separately.
        cmd costs {
            /// Sums by stage, pipeline or workspace.
            optional --by what: String
            /// Prints comma-separated values.
            optional --csv
            /// File to write the report to.
            optional -o, --output file: PathBuf
            /// Reports even if an instance can't be reached.
            optional --partial
        }
        /// Explains a request from the log lines of all instances, which it reads
        /// from standard input; it needs no instance and no credential.
        cmd explain {
            /// Identifier of the request.
            required request: String
        }
        /// Reports from the log lines of all instances, which it reads from standard
        /// input, how requests ended and why some did not end in time; it needs no
        /// instance and no credential.
        cmd account {
            /// Seconds for each row of the second table (2).
            optional --every-s s: u64
            /// File to draw the second table into, as SVG.
            optional --svg file: PathBuf
        }
        /// Drains an instance: it finishes its requests and leaves.
        cmd drain {
            /// Name of the instance.
            required instance: String
        }
    }
}
