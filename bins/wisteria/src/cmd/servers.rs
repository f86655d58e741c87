//! `wisteria servers list|show`.

use operator::Error;
use tables::Kind;

use super::{Context, row};
use crate::flags::Servers;

pub async fn run(context: &Context, flags: Servers) -> Result<i32, Error> {
    row::view(context, Kind::Server, flags.action, flags.name).await
}
