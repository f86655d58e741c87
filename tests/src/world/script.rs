//! The small test language: a script's commands become events of a world.

use std::error::Error;
use std::time::Duration;

use goldenscript::{Command, Context, Runner};
use tables::Name;

use super::World;

/// Runs one script against a world of its own.
#[derive(Default)]
pub struct Script {
    world: Option<World>,
}

/// A command that makes no sense.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("unknown command {0}")]
    Command(String),
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} is not a time; say 20ms or 3s")]
    Time(String),
    #[error("the platform refused the change")]
    Refused,
    #[error("there is no world yet")]
    World,
    #[error("broken: {0}")]
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
        act(world, command)
    }
}

fn act(world: &mut World, command: &Command) -> Result<String, Box<dyn Error>> {
    let mut args = command.consume_args();
    let mut next = |what| args.next_pos().ok_or(Fault::Missing(what));
    let mut output = String::new();
    match command.name.as_str() {
        "run" => world.run(time(next("time")?)?),
        "send" => {
            let request = next("request")?;
            let via = args.take_key("via").ok_or(Fault::Missing("via"))?;
            let route = args.take_key("route").ok_or(Fault::Missing("route"))?;
            let body = args.take_key("body").unwrap_or("hello");
            let key = args.take_key("key");
            let timeout = args.take_key("timeout").map(time).transpose()?;
            world.send_within(request, via, route, key, body, timeout);
        }
        "hang-up" => world.hang_up(next("request")?),
        "excuses" => world.journal.excuses = true,
        "exits" => world.exits = true,
        "race" => {
            let (pool, first, second) = (next("pool")?, next("limit")?, next("limit")?);
            output = race(world, pool, first.parse()?, second.parse()?);
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
            let gap = time(args.take_key("gap").ok_or(Fault::Missing("gap"))?)?;
            let entries: Vec<&str> = via.split(',').collect();
            for index in 0..number {
                let entry = entries[index % entries.len()];
                // A body with # differs from request to request.
                let body = body.replace('#', &index.to_string());
                world.send(&format!("{prefix}{index}"), entry, route, None, &body);
                world.run(gap);
            }
        }
        "tally" => {
            let prefix = next("prefix")?;
            let mut tally = std::collections::BTreeMap::new();
            for (_, caller) in world.callers.iter().filter(|(name, _)| name.starts_with(prefix)) {
                *tally.entry(caller.show()).or_insert(0u32) += 1;
            }
            output = tally.iter().map(|(end, count)| format!("{count} {end}\n")).collect();
        }
        "last" => {
            let number: usize = next("number")?.parse()?;
            let prefix = next("prefix")?;
            let names = world.callers.iter().filter(|(name, _)| name.starts_with(prefix));
            let mut ends: Vec<(std::time::Duration, String)> =
                names.map(|(_, caller)| (caller.sent, caller.show())).collect();
            ends.sort();
            let ends: std::collections::BTreeSet<String> =
                ends.into_iter().rev().take(number).map(|(_, end)| end).collect();
            output = ends.into_iter().map(|end| format!("{end}\n")).collect();
        }
        "blind" => world.blind(&next("entry")?.into(), true),
        "see" => world.blind(&next("entry")?.into(), false),
        "unlist" => world.list(&next("host")?.into(), false),
        "list" => world.list(&next("host")?.into(), true),
        "server-out" => accepted(world.set_server(next("server")?, true))?,
        "server-return" => accepted(world.set_server(next("server")?, false))?,
        "show" => {
            for request in args.by_ref() {
                let name = request.to_string();
                let caller = world.callers.get(&name).ok_or(Fault::Missing("request"))?;
                output.push_str(&format!("{name}: {}\n", caller.show()));
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
        "freeze" => world.freeze(&next("process")?.into(), true),
        "thaw" => world.freeze(&next("process")?.into(), false),
        "stop" => world.stop(&next("process")?.into()),
        "drained" => {
            let name = next("process")?;
            let entry = world.entry(name).map(|entry| entry.drained);
            let drained = entry.or_else(|| world.agent(name).map(|agent| agent.drained));
            output = format!("{name} drained: {}\n", drained.unwrap_or(false));
        }
        "cut" => world.network.cut(&next("process")?.into(), &next("process")?.into(), true),
        "join" => world.network.cut(&next("process")?.into(), &next("process")?.into(), false),
        "network" => {
            if let Some(jitter) = args.take_key("jitter") {
                world.network.jitter = time(jitter)?;
            }
            if let Some(loss) = args.take_key("loss") {
                world.network.loss = loss.parse()?;
            }
            if let Some(double) = args.take_key("double") {
                world.network.double = double.parse()?;
            }
        }
        "heal" => world.network.heal(),
        "platform" => platform(world, next("state")?)?,
        "lose-reply" => world.platform.lose_replies = next("number")?.parse()?,
        "watch-delay" => world.platform.watch_delay = time(next("time")?)?,
        "zone" => {
            let out = next("out or return")? == "out";
            accepted(world.set_zone(next("zone")?, out))?;
        }
        "crash" => {
            let name = Name::from(next("server")?);
            world.crash_server(&name);
        }
        "chill" => {
            let server = next("server")?;
            world.agent(server).ok_or(Fault::Missing("server"))?;
            world.chill(server);
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
            let newest = world.newest_row();
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

fn accepted(version: Option<u64>) -> Result<(), Box<dyn Error>> {
    version.map(|_| ()).ok_or_else(|| Fault::Refused.into())
}

/// Two operators read a pool at the same time and change its limit.
fn race(world: &mut World, pool: &str, first: u32, second: u32) -> String {
    let seen = world.expect("pool", pool);
    let mut change = |limit: u32| {
        let value = serde_json::json!({"kind": "service", "limit": limit});
        match world.change_if("pool", pool, seen, value) {
            Some(_) => format!("limit {limit} accepted\n"),
            None => format!("limit {limit} refused\n"),
        }
    };
    change(first) + &change(second)
}

fn platform(world: &mut World, state: &str) -> Result<(), Box<dyn Error>> {
    match state {
        "down" => world.platform.down = true,
        "up" => {
            world.platform.down = false;
            world.platform.slow = Duration::ZERO;
        }
        other => world.platform.slow = time(other)?,
    }
    Ok(())
}

fn time(text: &str) -> Result<Duration, Box<dyn Error>> {
    let fault = || Fault::Time(text.to_owned());
    if let Some(number) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(number.parse()?));
    }
    let number = text.strip_suffix('s').ok_or_else(fault)?;
    Ok(Duration::from_secs(number.parse()?))
}
