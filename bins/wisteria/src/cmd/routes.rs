//! `wisteria routes list|show|set|delete`.

use operator::Error;
use tables::Kind;

use super::Context;
use super::row::{self, Arguments};
use crate::flags::Routes;

pub async fn run(context: &Context, flags: Routes) -> Result<i32, Error> {
    let Routes { action, name, value, expect } = flags;
    row::edit(context, Kind::Route, Arguments { action, name, value, expect }).await
}
