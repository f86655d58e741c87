//! Runner of the scenario scripts: maps commands to events of a simulation.

use std::error::Error;
use std::time::Duration;

use goldenscript::{Command, Context, Runner};
use tables::Name;

use super::World;

/// Runs one script against its own simulation.
#[derive(Default)]
pub struct Script {
    world: Option<World>,
}

/// An invalid or failed command.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("unknown command {0}")]
    Command(String),
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("invalid duration {0}: expected for example 20ms or 3s")]
    Time(String),
    #[error("the platform refused the change")]
    Refused,
    #[error("no simulation yet: the first command must be world")]
    World,
    #[error("invariant violated: {0}")]
    Broken(String),
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let output = self.command(command)?;
        Ok(output)
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        let world = self.world.as_ref().ok_or(Fault::World)?;
        match world.journal.violations.first() {
            Some(violation) => Err(Fault::Broken(violation.clone()).into()),
            None => Ok(()),
        }
    }
}

impl Script {
    fn command(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        if command.name == "world" {
            let entries = args.take_key("entries").ok_or(Fault::Missing("entries"))?;
            let agents = args.take_key("agents").ok_or(Fault::Missing("agents"))?;
            let seed = args.take_key("seed").unwrap_or("1").parse()?;
            args.reject_next()?;
            let entries: Vec<&str> = entries.split(',').collect();
            let agents: Vec<(&str, &str, &str)> = agents
                .split(',')
                .filter_map(|agent| {
                    let mut parts = agent.split('/');
                    Some((parts.next()?, parts.next()?, parts.next()?))
                })
                .collect();
            let mut world = World::new(seed, &entries, &agents);
            world.run(Duration::from_secs(2));
            self.world = Some(world);
            return Ok(String::new());
        }
        let world = self.world.as_mut().ok_or(Fault::World)?;
        execute(world, command)
    }
}

fn execute(world: &mut World, command: &Command) -> Result<String, Box<dyn Error>> {
    let mut args = command.consume_args();
    let mut next = |what| args.next_pos().ok_or(Fault::Missing(what));
    let mut output = String::new();
    match command.name.as_str() {
        "run" => world.run(parse_duration(next("time")?)?),
        "send" => {
            let request = next("request")?;
            let via = args.take_key("via").ok_or(Fault::Missing("via"))?;
            let route = args.take_key("route").ok_or(Fault::Missing("route"))?;
            let body = args.take_key("body").unwrap_or("hello");
            let key = args.take_key("key");
            let timeout = args.take_key("timeout").map(parse_duration).transpose()?;
            world.send_within(request, via, route, key, body, timeout);
        }
        "hang-up" => world.disconnect_caller(next("request")?),
        "excuses" => world.journal.exempt_isolated = true,
        "exits" => world.exit_when_drained = true,
        "race" => {
            let (pool, first, second) = (next("pool")?, next("limit")?, next("limit")?);
            output = race_limit_changes(world, pool, first.parse()?, second.parse()?);
        }
        "limit" => {
            for process in args.by_ref() {
                let name = process.to_string();
                let limit = world.limit(&name).ok_or(Fault::Missing("agent"))?;
                output.push_str(&format!("{name}: {limit}\n"));
            }
        }
        "send-many" => {
            let number: usize = next("number")?.parse()?;
            let prefix = next("prefix")?;
            let via = args.take_key("via").ok_or(Fault::Missing("via"))?;
            let route = args.take_key("route").ok_or(Fault::Missing("route"))?;
            let body = args.take_key("body").unwrap_or("hello");
            let gap = parse_duration(args.take_key("gap").ok_or(Fault::Missing("gap"))?)?;
            let entries: Vec<&str> = via.split(',').collect();
            for index in 0..number {
                let entry = entries[index % entries.len()];
                // `#` stands for the index, so that each body differs.
                let body = body.replace('#', &index.to_string());
                world.send(&format!("{prefix}{index}"), entry, route, None, &body);
                world.run(gap);
            }
        }
        "tally" => {
            let prefix = next("prefix")?;
            let mut tally = std::collections::BTreeMap::new();
            for (_, caller) in world.callers.iter().filter(|(name, _)| name.starts_with(prefix)) {
                *tally.entry(caller.summary()).or_insert(0u32) += 1;
            }
            output = tally.iter().map(|(end, count)| format!("{count} {end}\n")).collect();
        }
        "last" => {
            let number: usize = next("number")?.parse()?;
            let prefix = next("prefix")?;
            let names = world.callers.iter().filter(|(name, _)| name.starts_with(prefix));
            let mut ends: Vec<(std::time::Duration, String)> =
                names.map(|(_, caller)| (caller.sent, caller.summary())).collect();
            ends.sort();
            let ends: std::collections::BTreeSet<String> =
                ends.into_iter().rev().take(number).map(|(_, end)| end).collect();
            output = ends.into_iter().map(|end| format!("{end}\n")).collect();
        }
        "blind" => world.set_isolated(&next("entry")?.into(), true),
        "see" => world.set_isolated(&next("entry")?.into(), false),
        "unlist" => world.set_listed(&next("host")?.into(), false),
        "list" => world.set_listed(&next("host")?.into(), true),
        "server-out" => require_accepted(world.set_server(next("server")?, true))?,
        "server-return" => require_accepted(world.set_server(next("server")?, false))?,
        "show" => {
            for request in args.by_ref() {
                let name = request.to_string();
                let caller = world.callers.get(&name).ok_or(Fault::Missing("request"))?;
                output.push_str(&format!("{name}: {}\n", caller.summary()));
            }
        }
        "runs" => {
            let key = next("key")?;
            output = format!("{key} ran {}\n", world.journal.count(key));
        }
        "kill" => world.kill(&next("process")?.into()),
        "start" => {
            let name: Name = next("process")?.into();
            if world.entries.contains_key(&name) {
                world.start_entry(&name);
            } else {
                world.start_agent(&name);
            }
        }
        "freeze" => world.set_frozen(&next("process")?.into(), true),
        "thaw" => world.set_frozen(&next("process")?.into(), false),
        "stop" => world.stop(&next("process")?.into()),
        "drained" => {
            let name = next("process")?;
            let entry = world.entry(name).map(|entry| entry.drained);
            let drained = entry.or_else(|| world.agent(name).map(|agent| agent.drained));
            output = format!("{name} drained: {}\n", drained.unwrap_or(false));
        }
        "cut" => {
            world.network.set_partitioned(&next("process")?.into(), &next("process")?.into(), true)
        }
        "join" => {
            world.network.set_partitioned(&next("process")?.into(), &next("process")?.into(), false)
        }
        "network" => {
            if let Some(jitter) = args.take_key("jitter") {
                world.network.jitter = parse_duration(jitter)?;
            }
            if let Some(loss) = args.take_key("loss") {
                world.network.loss = loss.parse()?;
            }
            if let Some(double) = args.take_key("double") {
                world.network.duplication = double.parse()?;
            }
        }
        "heal" => world.network.clear_faults(),
        "platform" => set_platform_state(world, next("state")?)?,
        "lose-reply" => world.platform.lose_replies = next("number")?.parse()?,
        "watch-delay" => world.platform.watch_delay = parse_duration(next("time")?)?,
        "zone" => {
            let out = next("out or return")? == "out";
            require_accepted(world.set_zone(next("zone")?, out))?;
        }
        "crash" => {
            let name = Name::from(next("server")?);
            world.crash_server(&name);
        }
        "chill" => {
            let server = next("server")?;
            world.agent(server).ok_or(Fault::Missing("server"))?;
            world.make_cold(server);
        }
        "running" => {
            for server in args.by_ref() {
                let name = server.to_string();
                let running = world.server(&name).map_or(0, |server| server.running());
                output.push_str(&format!("{name} runs {running}\n"));
            }
        }
        "crashes" => {
            let servers = world.agents.keys().filter_map(|name| world.server(name));
            let crashes: u32 = servers.map(|server| server.crashes).sum();
            output = format!("crashes {crashes}\n");
        }
        "begun" => {
            let zone = next("zone")?;
            let since = world.journal.zones_out.get(zone).copied().unwrap_or_default();
            let in_zone = |run: &&super::check::Run| run.zone == zone && run.at > since;
            let begun = world.journal.runs.iter().filter(in_zone).count();
            output = format!("begun in {zone} since it was out: {begun}\n");
        }
        "served" => {
            let request = next("request")?;
            let caller = world.callers.get(request).ok_or(Fault::Missing("request"))?;
            let runs = world.journal.runs.iter().filter(|run| run.id == caller.id);
            let servers: Vec<&str> = runs.map(|run| run.server.as_str()).collect();
            output = format!("{request} on {}\n", servers.join(" then "));
        }
        "in-force" => {
            let newest = world.latest_row_version();
            for process in args.by_ref() {
                let name = process.to_string();
                let has = world.revision(&name).is_some_and(|revision| revision >= newest);
                output.push_str(&format!("{name}: {}\n", if has { "yes" } else { "no" }));
            }
        }
        "promises" => {
            let violations = &world.journal.violations;
            output = if violations.is_empty() {
                "kept\n".to_owned()
            } else {
                violations.iter().map(|violation| format!("BROKEN {violation}\n")).collect()
            };
        }
        other => return Err(Fault::Command(other.to_owned()).into()),
    }
    args.reject_next()?;
    Ok(output)
}

fn require_accepted(version: Option<u64>) -> Result<(), Box<dyn Error>> {
    version.map(|_| ()).ok_or_else(|| Fault::Refused.into())
}

/// Two operators change the limit of a pool, based on the same version.
fn race_limit_changes(world: &mut World, pool: &str, first: u32, second: u32) -> String {
    let seen = world.row_version("pool", pool);
    let mut change = |limit: u32| {
        let value = serde_json::json!({"kind": "service", "limit": limit});
        match world.put_row_if("pool", pool, seen, value) {
            Some(_) => format!("limit {limit} accepted\n"),
            None => format!("limit {limit} refused\n"),
        }
    };
    change(first) + &change(second)
}

fn set_platform_state(world: &mut World, state: &str) -> Result<(), Box<dyn Error>> {
    match state {
        "down" => world.platform.down = true,
        "up" => {
            world.platform.down = false;
            world.platform.extra_delay = Duration::ZERO;
        }
        other => world.platform.extra_delay = parse_duration(other)?,
    }
    Ok(())
}

fn parse_duration(text: &str) -> Result<Duration, Box<dyn Error>> {
    let fault = || Fault::Time(text.to_owned());
    if let Some(number) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(number.parse()?));
    }
    let number = text.strip_suffix('s').ok_or_else(fault)?;
    Ok(Duration::from_secs(number.parse()?))
}
