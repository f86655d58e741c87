//! `wisteria accounts list|show|set|delete`.

use operator::Error;
use tables::Kind;

use super::Context;
use super::row::{self, Edition};
use crate::flags::Accounts;

pub async fn run(context: &Context, flags: Accounts) -> Result<i32, Error> {
    let Accounts { action, name, value, expect } = flags;
    row::edit(context, Kind::Account, Edition { action, name, value, expect }).await
}
