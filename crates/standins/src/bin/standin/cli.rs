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
            /// Weight store to load models from; without it a load takes no time.
            optional --weights addr: SocketAddr
        }
        /// Runs the weight store.
        cmd weights {
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Rate at which it hands out weights, in MB a second.
            optional --mb-per-s mb: u64
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
        /// Runs a network path to one process; prints `control <addr>`, which
        /// takes faults, before its `listening` line.
        cmd relay {
            /// Address to listen on; port 0 takes a free one.
            optional --listen addr: SocketAddr
            /// Process that connections are passed on to.
            required --to addr: SocketAddr
            /// Address for `POST /fault`; port 0 takes a free one.
            optional --control addr: SocketAddr
        }
        /// Sends requests at a rate, checks each answer and prints a report;
        /// fails unless every answer was whole and right.
        cmd load {
            /// Balancer or callers' listener.
            required addr: SocketAddr
            /// Workspace.
            required --workspace name: String
            /// Credential of the workspace.
            required --credential secret: String
            /// Pipeline.
            required --pipeline name: String
            /// Kinds of its stages, such as encode,retrieve,generate:64 with
            /// the most tokens after a colon.
            required --steps kinds: String
            /// Time given to each request, in ms.
            optional --deadline-ms ms: u64
            /// Requests a second.
            optional --rate count: u32
            /// Time for which requests are sent, in ms.
            optional --duration-ms ms: u64
            /// Share of streamed answers, per mille.
            optional --streamed-per-mille share: u32
            /// Uses HTTP/2 with prior knowledge.
            optional --http2
            /// Connections over HTTP/2.
            optional --connections count: usize
            /// Sends an idempotency key with each request.
            optional --with-keys
            /// Gets and sends a ticket with each request.
            optional --with-tickets
            /// Seed of the inputs and request ids.
            optional --seed seed: u64
            /// Takes `not_run` and `not_started` for good answers.
            optional --allow-refusals
        }
        /// Sends one request of a caller and prints its answer with time and
        /// cost by stage; fails unless the answer is whole and right.
        cmd ask {
            /// Balancer or callers' listener.
            required addr: SocketAddr
            /// Workspace.
            required --workspace name: String
            /// Credential of the workspace.
            required --credential secret: String
            /// Pipeline.
            required --pipeline name: String
            /// Kinds of its stages, as for `load`.
            required --steps kinds: String
            /// Time given to the request, in ms.
            optional --deadline-ms ms: u64
            /// Request id.
            required --request-id id: String
            /// Input as JSON.
            required --input json: String
            /// Asks for a streamed answer.
            optional --stream
            /// Idempotency key.
            optional --key key: String
            /// Gets a ticket first.
            optional --ticket
            /// Uses HTTP/2 with prior knowledge.
            optional --http2
        }
        /// Prints the calls that ran on backend servers; fails when an input
        /// ran more than once.
        cmd ran {
            /// Backend server; may be repeated.
            repeated --at addr: SocketAddr
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
            /// Header as `name: value`; may be repeated.
            repeated --header field: String
        }
    }
}
