//! Command-line flags.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins and load for the development of wisteriastream.
    ///
    /// Exit codes: 0 done, 1 failed, 2 bad command line or settings.
    cmd lab {
        /// Serve a stand-in for the platform's service.
        cmd platform {
            /// Settings in JSON.
            required --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
        /// Serve a stand-in for a model engine.
        cmd engine {
            /// Settings in JSON.
            required --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
        /// Serve a stand-in for a plain service.
        cmd service {
            /// Settings in JSON.
            required --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
        /// Run the whole system in one process under load, take a zone out and
        /// back, and print a short table.
        ///
        /// Exit code 0 only if nothing was lost or doubled.
        cmd demo {
            /// Seed of the load (1).
            optional --seed seed: u64
        }
        /// Measure all figures, print them with their targets, and write them
        /// to bench.jsonl. A missed target is printed and is no failure.
        cmd bench {
            /// Directory for the results (target/bench).
            optional --out directory: PathBuf
            /// One seed and short runs, only to see that it works.
            optional --quick
        }
        /// Run the deciding code against small fakes and compare policies.
        ///
        /// Writes experiment.jsonl and a plot of each measure.
        cmd experiment {
            /// Settings in JSON.
            required file: PathBuf
            /// Directory for the results (target/experiment).
            optional --out directory: PathBuf
            /// Check the settings and exit.
            optional --check
        }
        /// Send an open-loop load to an entry and print JSON lines.
        ///
        /// Exit code 1 if an answer was lost or wrong.
        cmd load {
            /// URL of the entry.
            required --url url: String
            /// Seed of all that is drawn (1).
            optional --seed seed: u64
            /// Requests a second (50).
            optional --rate rate: f64
            /// Seconds during which requests start (5).
            optional --seconds seconds: f64
            /// Share of bookings, 0 to 1; the rest is chat (0.2).
            optional --booking-share share: f64
            /// Path of bookings (/bookings).
            optional --booking-path path: String
            /// Least tokens of an answer (8).
            optional --tokens-min tokens: u32
            /// Most tokens of an answer (64).
            optional --tokens-max tokens: u32
            /// Model asked for (stand-in).
            optional --model model: String
            /// Bearer key of the client account.
            optional --key key: String
            /// Seconds after which a request counts as lost (30).
            optional --timeout seconds: f64
        }
    }
}
