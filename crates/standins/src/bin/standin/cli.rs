//! The command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Stand-ins for the systems around savoryvane. Every server prints
    /// `listening <addr>` when it is ready and stops at SIGTERM.
    cmd standin {
        /// Runs the platform's append-only log.
        cmd log {
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Age up to which records are kept, in ms.
            optional --retention-ms ms: u64
            /// Records that a stream keeps at most.
            optional --retention-records count: usize
            /// Appends accepted in a second.
            optional --appends-per-s count: u32
        }
        /// Runs the platform's list of instances.
        cmd list {
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Age of the state that reads describe, in ms.
            optional --lag-ms ms: u64
        }
        /// Runs a model engine.
        cmd engine {
            /// Name that it reports.
            required --name name: String
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Calls that it works on at the same time.
            optional --slots count: u32
            /// Calls that may wait.
            optional --queue count: usize
            /// Seed of service times and random faults.
            optional --seed seed: u64
            /// Mean time before the first token, in µs.
            optional --service-us us: u64
            /// Time between two tokens, in µs.
            optional --token-us us: u64
            /// Age of reported load, in ms.
            optional --load-lag-ms ms: u64
            /// Model loaded at the start; may be repeated.
            repeated --model name: String
            /// Checks fencing numbers of orders.
            optional --check-fence
            /// Size of a model's weights, in MB.
            optional --model-mb mb: u64
            /// Rate of the weight store, in MB a second; 0 for no limit.
            optional --weights-mb-per-s mb: u64
        }
        /// Runs an encoder, retriever, reranker or plain service.
        cmd service {
            /// Name that it reports.
            required --name name: String
            /// Work that it does: encode, retrieve, rerank or call.
            required --kind kind: String
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Calls that it works on at the same time.
            optional --slots count: u32
            /// Calls that may wait.
            optional --queue count: usize
            /// Seed of service times and random faults.
            optional --seed seed: u64
            /// Mean time of a call, in µs.
            optional --service-us us: u64
            /// Age of reported load, in ms.
            optional --load-lag-ms ms: u64
        }
        /// Runs the platform's balancer.
        cmd balancer {
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Callers' listener of an entry instance; may be repeated.
            repeated --to addr: SocketAddr
            /// Time between health checks, in ms.
            optional --check-ms ms: u64
        }
        /// Sends one HTTP request and prints the answer's body.
        cmd send {
            /// Server to send it to.
            required addr: SocketAddr
            /// Method.
            required method: String
            /// Path, with its query.
            required path: String
            /// File with the body.
            optional --body-file file: PathBuf
            /// Body.
            optional --body text: String
        }
    }
}
