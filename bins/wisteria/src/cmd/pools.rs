//! `wisteria pools list|show|set|delete`.

use operator::Error;
use tables::Kind;

use super::Context;
use super::row::{self, Edition};
use crate::flags::Pools;

pub async fn run(context: &Context, flags: Pools) -> Result<i32, Error> {
    let Pools { action, name, value, expect } = flags;
    row::edit(context, Kind::Pool, Edition { action, name, value, expect }).await
}
