//! Client of a rank's HTTP interface: reads its reports, choices and holdings and
//! sends it orders.

use std::net::SocketAddr;
use std::time::Duration;

use adapter::rank;
use bytes::Bytes;
use connection::Pool;
use group::switch::{Order, Report};
use http::Method;

/// Timeout of a call. A rank on the same host answers in about a millisecond. If
/// the answer to an order is lost, the next report shows the order's effect.
const CALL_TIMEOUT: Duration = Duration::from_millis(80);

/// Failure of a call to a rank.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed without an answer.
    #[error(transparent)]
    Connection(#[from] connection::Error),
    /// The answer can't be decoded.
    #[error(transparent)]
    Malformed(#[from] rank::Error),
    /// The rank answered with a status other than 200.
    #[error("rank answered with status {0}")]
    Status(u16),
}

/// Reads a rank's report.
///
/// # Errors
///
/// If the call fails or the answer can't be decoded.
pub async fn report(pool: &Pool, address: SocketAddr) -> Result<Report, Error> {
    Ok(rank::decode_report(&get(pool, address, rank::REPORT_PATH).await?)?)
}

/// Reads how often each expert of each of the `sets` was chosen since the rank's
/// start.
///
/// # Errors
///
/// If the call fails or the answer can't be decoded.
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
/// If the call fails or the answer can't be decoded.
pub async fn holdings(pool: &Pool, address: SocketAddr) -> Result<(u64, Vec<Vec<u16>>), Error> {
    Ok(rank::decode_holdings(&get(pool, address, rank::HOLDINGS_PATH).await?)?)
}

async fn get(pool: &Pool, address: SocketAddr, path: &str) -> Result<Bytes, Error> {
    let answer =
        connection::call(pool, address, Method::GET, path, Bytes::new(), CALL_TIMEOUT).await?;
    if answer.status == 200 { Ok(answer.body) } else { Err(Error::Status(answer.status)) }
}

/// Sends an order unless a new report shows that it is done or that the group has
/// another epoch. Returns the latest report.
///
/// # Errors
///
/// If a report can't be read. A later report then shows whether the order arrived.
pub async fn execute_order(
    pool: &Pool,
    address: SocketAddr,
    epoch: u64,
    order: &Order,
) -> Result<Report, Error> {
    let before = report(pool, address).await?;
    if before.epoch != epoch || order.is_done(&before) {
        return Ok(before);
    }
    send_order(pool, address, epoch, before.sequence, order).await;
    report(pool, address).await
}

/// Sends an order to a rank that is assumed to have executed `sequence` orders.
/// Only the rank's later reports show whether it executed this one.
pub async fn send_order(
    pool: &Pool,
    address: SocketAddr,
    epoch: u64,
    sequence: u64,
    order: &Order,
) {
    let body = rank::encode_order(order, epoch, sequence).to_string();
    let sent =
        connection::call(pool, address, Method::POST, rank::ORDER_PATH, body.into(), CALL_TIMEOUT)
            .await;
    let outcome = match &sent {
        Ok(answer) => answer.status.to_string(),
        Err(error) => error.to_string(),
    };
    log::info!(target: "order", address:% = address, epoch = epoch, sequence = sequence,
        order:% = describe(order), outcome:% = outcome; "order given");
}

/// Returns a short description of an order for logs.
pub fn describe(order: &Order) -> String {
    match order {
        Order::Prepare { version, .. } => format!("prepare {version}"),
        Order::Hold { step } => format!("hold {step}"),
        Order::Arm { version, step } => format!("arm {version} at {step}"),
        Order::Disarm { version } => format!("disarm {version}"),
        Order::Release { step } => format!("release {step}"),
    }
}
