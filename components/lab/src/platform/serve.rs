//! The stand-in as a server on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use tables::Name;

use super::shared::Shared;
use super::{Calls, Fault, Settings, handler};

/// Idle time after which the server closes a connection.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// The stand-in could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address can't be listened on.
    #[error("platform stand-in on {listen}: {source}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The server's thread ended before it served.
    #[error("platform stand-in: its thread ended at once")]
    Thread,
}

/// A running stand-in. It stops when the handle is dropped.
pub struct Handle {
    /// The address that it serves.
    pub address: SocketAddr,
    shared: Data<Shared>,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

/// Starts the stand-in on `listen`; port 0 takes any free port.
///
/// ```
/// let listen = "127.0.0.1:0".parse().unwrap();
/// let handle = lab::platform::serve(listen, Default::default()).unwrap();
/// assert_ne!(handle.address.port(), 0);
/// handle.stop();
/// ```
pub fn serve(listen: SocketAddr, settings: Settings) -> Result<Handle, ServeError> {
    let failed = |source| ServeError::Listen { listen, source };
    let listener = TcpListener::bind(listen).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let shared = Data::new(Shared::new(&settings));
    let (sender, receiver) = std::sync::mpsc::channel();
    let data = shared.clone();
    let thread = std::thread::spawn(move || {
        actix_web::rt::System::new().block_on(async move {
            let app = move || App::new().app_data(data.clone()).configure(handler::configure);
            let server = HttpServer::new(app).workers(1).keep_alive(KEEP_ALIVE).disable_signals();
            let Ok(server) = server.listen(listener) else { return };
            let server = server.run();
            // The receiver waits for just this message.
            let _ = sender.send(server.handle());
            let _ = server.await;
        });
    });
    let server = receiver.recv().map_err(|_| ServeError::Thread)?;
    Ok(Handle { address, shared, server, thread: Some(thread) })
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
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // The stop is on its way as soon as this call returns.
        drop(self.server.stop(false));
        if let Some(thread) = self.thread.take() {
            // A panic there has been printed already.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end();
    }
}
