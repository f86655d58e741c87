//! The stand-in as a server on a thread of its own.

use std::net::SocketAddr;

use actix_web::web::{Data, ServiceConfig};
use tables::Name;

use super::shared::Shared;
use super::{Calls, Fault, Settings, handler};
use crate::server;

pub use crate::server::ServeError;

/// A running stand-in. It stops when the handle is dropped.
pub struct Handle {
    /// The address that it serves.
    pub address: SocketAddr,
    shared: Data<Shared>,
    server: server::Handle,
}

/// Starts the stand-in on `listen`; port 0 takes any free port.
///
/// ```
/// let listen = "127.0.0.1:0".parse().unwrap();
/// let handle = lab::platform::serve(listen, Default::default()).unwrap();
/// assert_ne!(handle.address.port(), 0);
/// handle.stop();
/// ```
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve(listen: SocketAddr, settings: Settings) -> Result<Handle, ServeError> {
    let shared = Data::new(Shared::new(&settings));
    let data = shared.clone();
    let configure = move |config: &mut ServiceConfig| {
        config.app_data(data.clone()).configure(handler::configure);
    };
    let server = server::start(listen, configure, std::future::ready(()))?;
    Ok(Handle { address: server.address, shared, server })
}

impl Handle {
    /// The URL for clients.
    pub fn url(&self) -> Name {
        format!("http://{}", self.address).into()
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// The counters of calls.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.shared.lock().store.revision()
    }

    /// Stops serving at once and waits for the thread.
    pub fn stop(self) {
        self.server.stop();
    }
}
