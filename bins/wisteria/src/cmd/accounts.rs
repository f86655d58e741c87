//! `wisteria accounts list|show|set|delete`.

use operator::Error;
use tables::Kind;

use super::Context;
use super::row::{self, Arguments};
use crate::flags::Accounts;

pub async fn run(context: &Context, flags: Accounts) -> Result<i32, Error> {
    let Accounts { action, name, value, expect } = flags;
    row::edit(context, Kind::Account, Arguments { action, name, value, expect }).await
}
