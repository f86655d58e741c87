//! `wisteria dump ADDRESS`.

use operator::Error;

use super::Context;
use crate::flags::Dump;

pub async fn run(context: &Context, flags: Dump) -> Result<i32, Error> {
    // A dump is always printed as JSON, regardless of --json.
    super::print_json(&context.session.dump(&flags.address).await?);
    Ok(0)
}
