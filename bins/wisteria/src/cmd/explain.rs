//! `wisteria explain REQUEST-ID`.

use std::fmt::{self, Display, Formatter};

use operator::{Answer, Error};
use serde::Serialize;

use super::Context;
use crate::flags::Explain;

/// The answers of all processes.
#[derive(Serialize)]
#[serde(transparent)]
struct Answers(Vec<Answer>);

impl Display for Answers {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for Answer { address, explanation, reached } in &self.0 {
            match explanation {
                Some(explanation) => writeln!(f, "{address}: {explanation:#}")?,
                None if *reached => writeln!(f, "{address}: does not know the request")?,
                None => writeln!(f, "{address}: did not answer")?,
            }
        }
        Ok(())
    }
}

pub async fn run(context: &Context, flags: Explain) -> Result<i32, Error> {
    context.print(&Answers(context.session.explain(&flags.id).await?));
    Ok(0)
}
