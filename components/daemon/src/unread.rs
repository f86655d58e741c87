//! Answers to requests whose body is not read to its end.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::web::Bytes;

/// The body of an answer, with what is dropped after it.
struct Holder<P> {
    body: BoxBody,
    _held: P,
}

impl<P: Unpin> MessageBody for Holder<P> {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

/// Keeps `held` until the body is sent or dropped.
pub fn hold<P: Unpin + 'static>(body: BoxBody, held: P) -> BoxBody {
    BoxBody::new(Holder { body, _held: held })
}

/// Keeps the unread `payload` until the response is sent, so that the server then
/// closes the connection. If the payload of a chunked request is dropped earlier,
/// the server reads the rest of it without a limit on size or time.
pub fn close_after<P: Unpin + 'static>(response: HttpResponse, payload: P) -> HttpResponse {
    response.map_body(|_, body| hold(body, payload))
}
