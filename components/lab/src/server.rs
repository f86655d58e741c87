//! HTTP servers on threads of their own, for tests and the binary alike.

use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};

/// Idle time after which the server closes a connection.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// A stand-in could not be started.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServeError {
    /// The address can't be listened on.
    #[error("can't listen on {listen}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The server's thread ended before it served.
    #[error("the server's thread ended at once")]
    Thread,
}

/// A running stand-in. It stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// The address that it serves.
    pub address: SocketAddr,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// The URL for clients, without a slash at the end.
    ///
    /// ```
    /// let handle = lab::engine::serve(Default::default()).unwrap();
    /// assert_eq!(handle.to_url(), format!("http://{}", handle.address));
    /// ```
    pub fn to_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops serving at once and waits for the thread.
    ///
    /// ```
    /// lab::service::serve(Default::default()).unwrap().stop();
    /// ```
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

/// Serves what `configure` sets up, with `task` running beside it.
pub(crate) fn start(
    listen: SocketAddr,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    task: impl Future<Output = ()> + Send + 'static,
) -> Result<Handle, ServeError> {
    let failed = |source| ServeError::Listen { listen, source };
    let listener = TcpListener::bind(listen).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let app = move || App::new().configure(configure.clone());
            let server = HttpServer::new(app)
                .workers(1)
                .tcp_nodelay(true)
                .keep_alive(KEEP_ALIVE)
                .disable_signals();
            let Ok(server) = server.listen(listener) else { return };
            let server = server.run();
            actix_rt::spawn(task);
            // The receiver waits for just this message.
            let _ = sender.send(server.handle());
            // Errors after the start mean that it has ended.
            let _ = server.await;
        });
    });
    let server = receiver.recv().map_err(|_| ServeError::Thread)?;
    Ok(Handle { address, server, thread: Some(thread) })
}
