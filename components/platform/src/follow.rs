//! The driver that joins client and watch.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use tables::Kind;

use crate::update::{kinds, names};
use crate::watch::{Input, Output, Settings};
use crate::{Client, Error, Update, Watch};

/// Longest sleep when the watch asks for no tick.
const IDLE: Duration = Duration::from_secs(3600);

/// Keeps its owner up to date until the future is dropped.
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
pub async fn follow(client: Client, settings: Settings, mut on_change: impl FnMut(Update)) {
    let started = Instant::now();
    let mut watch = Watch::new(settings);
    let mut calls: FuturesUnordered<LocalBoxFuture<'static, Input>> = FuturesUnordered::new();
    let mut input = Input::Tick;
    loop {
        for output in watch.step(started.elapsed(), input) {
            match output {
                Output::Update(update) => {
                    log_change(&update);
                    on_change(update);
                }
                call => calls.push(Box::pin(make(client.clone(), call))),
            }
        }
        let wake = watch.wake().map_or(IDLE, |at| at.saturating_sub(started.elapsed()));
        input = next(&mut calls, wake).await;
    }
}

/// The next call that comes back, or a tick at the wake-up time.
async fn next(
    calls: &mut FuturesUnordered<LocalBoxFuture<'static, Input>>,
    wake: Duration,
) -> Input {
    let sleep = Box::pin(actix_rt::time::sleep(wake));
    if calls.is_empty() {
        sleep.await;
        return Input::Tick;
    }
    match select(calls.next(), sleep).await {
        Either::Left((Some(input), _)) => input,
        _ => Input::Tick,
    }
}

async fn make(client: Client, call: Output) -> Input {
    match call {
        Output::List => Input::Listed(list(&client).await),
        Output::Watch { since, wait } => Input::Changed(client.watch(&kinds(), since, wait).await),
        Output::Hosts { since, wait } => Input::Hosts(client.hosts(since, wait).await),
        Output::Update(_) => Input::Tick,
    }
}

async fn list(client: &Client) -> Result<Update, Error> {
    let mut listings = Vec::with_capacity(Kind::ALL.len());
    for kind in Kind::ALL {
        listings.push((kind, client.list(kind.as_str()).await?));
    }
    Ok(Update::of_listings(listings))
}

fn log_change(update: &Update) {
    match update {
        Update::Stale => log::warn!("platform not heard: tables and hosts may be old"),
        Update::Fresh => log::info!("platform heard: tables and hosts are up to date"),
        Update::Listing { malformed, .. } | Update::Delta { malformed, .. }
            if !malformed.is_empty() =>
        {
            log::warn!("rows that can't be decoded are passed over: {:?}", names(malformed));
        }
        _ => {}
    }
}
