//! Development tool: stand-ins for other systems, load generator, benchmarks,
//! policy experiments and a demonstration.

mod cmd;

use std::process::ExitCode;

use cmd::flags::{Lab, LabCmd};

fn main() -> ExitCode {
    let flags = match Lab::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match flags.subcommand {
        LabCmd::Platform(flags) => cmd::platform::run(flags),
        LabCmd::Engine(flags) => cmd::engine::run(flags),
        LabCmd::Service(flags) => cmd::service::run(flags),
        LabCmd::Bench(flags) => cmd::bench::run(flags),
        LabCmd::Experiment(flags) => cmd::experiment::run(flags),
        LabCmd::Load(flags) => cmd::load::run(flags),
        LabCmd::Demo(flags) => cmd::demo::run(flags),
    }
}
