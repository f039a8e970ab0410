//! Readiness endpoint on a listener of its own.

use crate::hub::{Hub, Phase};
use crate::listen;
use crate::tasks::TaskGroup;
use bytes::Bytes;
use error_stack::Report;
use http::{Request, Response, StatusCode};
use monoio::net::TcpListener;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::conn::{serve, ServeConfig, Turn};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Listens at `addr` and answers readiness requests for `path` until `tasks` stop.
///
/// # Errors
/// [`std::io::Error`] if `addr` can't be bound.
pub fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    addr: SocketAddr,
    path: &'static str,
) -> Result<(), Report<std::io::Error>> {
    let listener = listen::bind(addr)?;
    let hub = hub.clone();
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        let connections = Rc::new(TaskGroup::default());
        stop.or(accept(&hub, &connections, listener, path)).await;
        connections.stop();
        connections.join().await;
    });
    Ok(())
}

async fn accept(
    hub: &Rc<Hub>,
    connections: &Rc<TaskGroup>,
    listener: TcpListener,
    path: &'static str,
) {
    let mut turn = Turn::default();
    loop {
        turn.give_way_if_due().await;
        let Ok((stream, _)) = turn.run(listener.accept()).await else {
            monoio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let hub = hub.clone();
        let mut stop = connections.stop_signal();
        connections.spawn(async move {
            let handler = |req: Request<Bytes>| std::future::ready(answer(&hub, &req, path));
            // A client whose connection fails repeats its request.
            let _ = serve(stream, &ServeConfig::default(), stop.wait(), handler).await;
        });
    }
}

fn answer(hub: &Hub, req: &Request<Bytes>, path: &str) -> Response<Bytes> {
    let status = match (req.uri().path() == path, hub.phase()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, Phase::Ready) => StatusCode::OK,
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut resp = Response::new(Bytes::new());
    *resp.status_mut() = status;
    resp
}
