//! `wisteria status`.

use operator::Error;

use super::Context;

pub async fn run(context: &Context) -> Result<i32, Error> {
    context.print(&context.session.status().await?);
    Ok(0)
}
