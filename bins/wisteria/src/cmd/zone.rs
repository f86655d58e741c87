//! `wisteria zone out|return NAME`.

use operator::Error;
use tables::Kind;

use super::{Context, row};
use crate::flags::Zone;

pub async fn run(context: &Context, flags: Zone) -> Result<i32, Error> {
    row::set_service(context, Kind::Zone, flags.action, &flags.name).await
}
