//! The rank on this host: its reports, what it holds and orders to it.

use std::net::SocketAddr;
use std::time::Duration;

use adapter::rank;
use bytes::Bytes;
use connection::Pool;
use group::switch::{Order, Report};
use http::Method;

/// Longest wait for an answer of a rank. On the same host it takes about a
/// millisecond; an order whose answer is lost is seen in the next report.
const TIMEOUT: Duration = Duration::from_millis(80);

/// Why nothing was learned from a rank.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer.
    #[error(transparent)]
    Connection(#[from] connection::Error),
    /// The answer can't be read.
    #[error(transparent)]
    Unreadable(#[from] rank::Error),
    /// The rank answers with another status than 200.
    #[error("status {0}")]
    Status(u16),
}

/// Reads a rank's report.
///
/// # Errors
///
/// If it can't be had.
pub async fn report(pool: &Pool, address: SocketAddr) -> Result<Report, Error> {
    Ok(rank::decode_report(&get(pool, address, rank::REPORT_PATH).await?)?)
}

/// Reads how often each expert was chosen since the rank's start.
///
/// # Errors
///
/// If it can't be had.
pub async fn choices(
    pool: &Pool,
    address: SocketAddr,
    sets: usize,
) -> Result<Vec<Vec<u64>>, Error> {
    Ok(rank::decode_choices(&get(pool, address, rank::CHOICES_PATH).await?, sets)?)
}

/// Reads the version of the map in use and the experts that the rank holds.
///
/// # Errors
///
/// If it can't be had.
pub async fn holdings(pool: &Pool, address: SocketAddr) -> Result<(u64, Vec<Vec<u16>>), Error> {
    Ok(rank::decode_holdings(&get(pool, address, rank::HOLDINGS_PATH).await?)?)
}

async fn get(pool: &Pool, address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    let answer = connection::call(pool, address, Method::GET, path, Bytes::new(), TIMEOUT).await?;
    if answer.status == 200 { Ok(answer.body) } else { Err(Error::Status(answer.status)) }
}

/// Gives an order unless a fresh report shows that it is done or that the
/// group has another epoch. Returns the report afterwards.
///
/// # Errors
///
/// If no report can be had. Whether the order arrived then shows later.
pub async fn give(
    pool: &Pool,
    address: SocketAddr,
    epoch: u64,
    order: &Order,
) -> Result<Report, Error> {
    let before = report(pool, address).await?;
    if before.epoch != epoch || order.is_done(&before) {
        return Ok(before);
    }
    self::order(pool, address, epoch, before.sequence, order).await;
    report(pool, address).await
}

/// Sends an order to a rank that is taken to have carried out `sequence`
/// orders. Whether it was carried out shows in the rank's reports alone.
pub async fn order(pool: &Pool, address: SocketAddr, epoch: u64, sequence: u64, order: &Order) {
    let body = rank::encode_order(order, epoch, sequence).to_string();
    let sent =
        connection::call(pool, address, Method::POST, rank::ORDER_PATH, body.into(), TIMEOUT).await;
    let outcome = match &sent {
        Ok(answer) => answer.status.to_string(),
        Err(error) => error.to_string(),
    };
    log::info!(target: "order", address:% = address, epoch = epoch, sequence = sequence,
        order:% = name(order), outcome:% = outcome; "order given");
}

/// An order in short, for logs.
pub fn name(order: &Order) -> String {
    match order {
        Order::Prepare { version, .. } => format!("prepare {version}"),
        Order::Hold { step } => format!("hold {step}"),
        Order::Arm { version, step } => format!("arm {version} at {step}"),
        Order::Disarm { version } => format!("disarm {version}"),
        Order::Release { step } => format!("release {step}"),
    }
}
