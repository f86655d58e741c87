//! `wisteria server out|return NAME`.

use operator::Error;
use tables::Kind;

use super::{Context, row};
use crate::flags::Server;

pub async fn run(context: &Context, flags: Server) -> Result<i32, Error> {
    row::set_service(context, Kind::Server, flags.action, &flags.name).await
}
