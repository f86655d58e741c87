//! Connections to the backend server on which a premature end is an error.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP stream that reports its end as [`io::ErrorKind::UnexpectedEof`]. The HTTP client
/// takes the end of a connection for the end of any body, also of one in chunks.
#[derive(Debug)]
pub struct Stream(TcpStream);

/// Whether an error of a body is the end of its connection.
pub fn is_end(error: &awc::error::PayloadError) -> bool {
    matches!(error, awc::error::PayloadError::Io(error)
        if error.kind() == io::ErrorKind::UnexpectedEof)
}

/// A connector for [`Stream`]s.
pub fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, Stream>, Error = ConnectError> + Clone
{
    fn_service(|target: ConnectInfo<Uri>| async move {
        let connection = Connector::default().service().call(target).await?;
        let (stream, connection) = connection.replace_io(());
        Ok(connection.replace_io(Stream(stream)).1)
    })
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.0).poll_read(cx, buffer);
        if matches!(result, Poll::Ready(Ok(()))) && buffer.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for Stream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
