//! `wisteria apply FILE`.

use operator::Error;

use super::Context;
use crate::flags::Apply;

pub async fn run(context: &Context, flags: Apply) -> Result<i32, Error> {
    let path = flags.file;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(Error::Read { path, source }),
    };
    let report = context.session.apply(&path.display().to_string(), &text).await?;
    Ok(context.finish(report).await)
}
