//! `wisteria suspects list|show|delete`.

use operator::Error;
use tables::Kind;

use super::Context;
use super::row::{self, Arguments};
use crate::action::{Edit, Review, View};
use crate::flags::Suspects;

pub async fn run(context: &Context, flags: Suspects) -> Result<i32, Error> {
    let Suspects { action, name } = flags;
    match action {
        Review::List => row::view(context, Kind::Suspect, View::List, name).await,
        Review::Show => row::view(context, Kind::Suspect, View::Show, name).await,
        Review::Delete => {
            let arguments = Arguments { action: Edit::Delete, name, value: None, expect: None };
            row::edit(context, Kind::Suspect, arguments).await
        }
    }
}
