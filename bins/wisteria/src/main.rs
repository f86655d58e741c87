//! The operators' command-line tool: dispatches to one module per command.

mod action;
mod cmd;
mod flags;

use flags::{Wisteria, WisteriaCmd};

fn main() {
    let flags = Wisteria::from_env_or_exit();
    // The check of a file needs no settings and no platform.
    if let WisteriaCmd::Config(config) = &flags.subcommand {
        std::process::exit(cmd::config::run(flags.json, config));
    }
    let result = actix_rt::System::new().block_on(dispatch(flags));
    let code = result.unwrap_or_else(cmd::report_error);
    std::process::exit(code);
}

async fn dispatch(flags: Wisteria) -> Result<i32, operator::Error> {
    let context = cmd::Context::new(&flags)?;
    match flags.subcommand {
        WisteriaCmd::Routes(routes) => cmd::routes::run(&context, routes).await,
        WisteriaCmd::Pools(pools) => cmd::pools::run(&context, pools).await,
        WisteriaCmd::Accounts(accounts) => cmd::accounts::run(&context, accounts).await,
        WisteriaCmd::Zones(zones) => cmd::zones::run(&context, zones).await,
        WisteriaCmd::Servers(servers) => cmd::servers::run(&context, servers).await,
        WisteriaCmd::Suspects(suspects) => cmd::suspects::run(&context, suspects).await,
        WisteriaCmd::Apply(apply) => cmd::apply::run(&context, apply).await,
        WisteriaCmd::Zone(zone) => cmd::zone::run(&context, zone).await,
        WisteriaCmd::Server(server) => cmd::server::run(&context, server).await,
        WisteriaCmd::Config(config) => Ok(cmd::config::run(flags.json, &config)),
        WisteriaCmd::Status(_) => cmd::status::run(&context).await,
        WisteriaCmd::Dump(dump) => cmd::dump::run(&context, dump).await,
        WisteriaCmd::Explain(explain) => cmd::explain::run(&context, explain).await,
    }
}
