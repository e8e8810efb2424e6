// SPDX-License-Identifier: Apache-2.0
//! The HTTP port for operators, on `tiny_http`.

use std::{io::Read, net::TcpListener, sync::Arc, thread};

use stackpier_core::{Error, Kind};
use stackpier_state::ledger::Reply;
use tiny_http::{Header, Request as Raw, Response, Server};

use crate::callers::failure;

/// MAX_BODY is the maximum size of the body of an operator's request, in bytes.
pub const MAX_BODY: usize = 1024 * 1024;
/// THREADS is the number of threads that serve operators.
const THREADS: usize = 4;

/// Request is an operator's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Service answers operators' requests. It may block.
pub trait Service: Send + Sync + 'static {
    /// serve returns the answer to a request, or why there is none.
    fn serve(&self, request: Request) -> Result<Reply, Error>;
}

/// start serves operators on threads of its own, which run as long as the
/// process.
pub fn start<S: Service>(listener: TcpListener, service: Arc<S>) -> anyhow::Result<()> {
    let server = Server::from_listener(listener, None).map_err(|error| anyhow::anyhow!(error))?;
    let server = Arc::new(server);
    for number in 0..THREADS {
        let server = Arc::clone(&server);
        let service = Arc::clone(&service);
        thread::Builder::new()
            .name(format!("operators-{number}"))
            .spawn(move || serve(&server, service.as_ref()))?;
    }
    Ok(())
}

fn serve<S: Service>(server: &Server, service: &S) {
    while let Ok(mut raw) = server.recv() {
        let reply = read(&mut raw)
            .and_then(|request| service.serve(request))
            .unwrap_or_else(failure);
        respond(raw, reply);
    }
}

fn read(raw: &mut Raw) -> Result<Request, Error> {
    let mut body = Vec::new();
    let limit = MAX_BODY as u64 + 1;
    raw.as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .map_err(|error| Error::new(Kind::BadInput, format!("the body ended early: {error}")))?;
    if body.len() > MAX_BODY {
        let text = format!("a body has at most {MAX_BODY} bytes");
        return Err(Error::new(Kind::TooLarge, text));
    }
    Ok(Request {
        method: raw.method().to_string(),
        path: raw.url().to_owned(),
        body,
    })
}

fn respond(raw: Raw, reply: Reply) {
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    for header in &reply.headers {
        let built = Header::from_bytes(header.name.as_bytes(), header.value.as_bytes());
        if let Ok(header) = built {
            response.add_header(header);
        }
    }
    // An error means that the operator has closed the connection.
    let _ = raw.respond(response);
}
