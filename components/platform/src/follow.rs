//! Runs a [`Watch`] with a [`Client`].

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use tables::Kind;

use crate::update::{kind_names, row_names};
use crate::watch::{Input, Output, Settings};
use crate::{Client, Error, Update, Watch};

/// Longest sleep when the watch requests no tick.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Passes every update of tables and host list to `on_update` until the future
/// is dropped.
///
/// ```no_run
/// # async fn example(client: platform::Client) {
/// let mut table = tables::Table::default();
/// platform::follow(client, Default::default(), move |update| {
///     update.apply(&mut table);
/// })
/// .await;
/// # }
/// ```
pub async fn follow(client: Client, settings: Settings, mut on_update: impl FnMut(Update)) {
    let started = Instant::now();
    let mut watch = Watch::new(settings);
    let mut calls: FuturesUnordered<LocalBoxFuture<'static, Input>> = FuturesUnordered::new();
    let mut input = Input::Tick;
    loop {
        for output in watch.step(started.elapsed(), input) {
            match output {
                Output::Update(update) => {
                    log_update(&update);
                    on_update(update);
                }
                call => calls.push(Box::pin(execute(client.clone(), call))),
            }
        }
        let timeout =
            watch.next_tick().map_or(MAX_SLEEP, |at| at.saturating_sub(started.elapsed()));
        input = next_input(&mut calls, timeout).await;
    }
}

/// Waits for the next call to complete; returns a tick after `timeout`.
async fn next_input(
    calls: &mut FuturesUnordered<LocalBoxFuture<'static, Input>>,
    timeout: Duration,
) -> Input {
    let sleep = Box::pin(actix_rt::time::sleep(timeout));
    if calls.is_empty() {
        sleep.await;
        return Input::Tick;
    }
    match select(calls.next(), sleep).await {
        Either::Left((Some(input), _)) => input,
        _ => Input::Tick,
    }
}

async fn execute(client: Client, call: Output) -> Input {
    match call {
        Output::List => Input::Listed(list(&client).await),
        Output::Watch { since, wait } => {
            Input::Changed(client.watch(&kind_names(), since, wait).await)
        }
        Output::Hosts { since, wait } => Input::Hosts(client.hosts(since, wait).await),
        Output::Update(_) => Input::Tick,
    }
}

async fn list(client: &Client) -> Result<Update, Error> {
    let mut listings = Vec::with_capacity(Kind::ALL.len());
    for kind in Kind::ALL {
        listings.push((kind, client.list(kind.as_str()).await?));
    }
    Ok(Update::from_listings(listings))
}

fn log_update(update: &Update) {
    match update {
        Update::Stale => {
            log::warn!("no reply from the platform: tables and host list may be outdated")
        }
        Update::Fresh => log::info!("platform replies: tables and host list are up to date"),
        Update::Listing { malformed, .. } | Update::Delta { malformed, .. }
            if !malformed.is_empty() =>
        {
            log::warn!("skipping rows that can't be decoded: {:?}", row_names(malformed));
        }
        _ => {}
    }
}
