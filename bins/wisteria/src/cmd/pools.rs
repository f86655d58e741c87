//! `wisteria pools list|show|set|delete`.

use operator::Error;
use tables::Kind;

use super::Context;
use super::row::{self, Arguments};
use crate::flags::Pools;

pub async fn run(context: &Context, flags: Pools) -> Result<i32, Error> {
    let Pools { action, name, value, expect } = flags;
    row::edit(context, Kind::Pool, Arguments { action, name, value, expect }).await
}
