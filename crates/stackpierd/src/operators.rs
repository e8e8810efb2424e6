// SPDX-License-Identifier: Apache-2.0
//! What this daemon answers to operators.

use std::sync::Arc;

use serde::Serialize;
use stackpier_coordination::accept::{Change, Wanted};
use stackpier_core::{Error, Kind, Name, Result, key};
use stackpier_protocol::{
    codec::{from_json, to_json},
    operator::{Cancel, Listed, Status, Submit, TaskStatus},
};
use stackpier_state::{
    Page,
    homes::Home,
    intent::{Intent, Object},
    ledger::{Header, Reply},
    page::{Fetched, Key},
    work::Run,
};
use stackpier_transport::operators::{Request, Service};

use crate::{
    backend::Backend,
    daemon::{Daemon, lock},
};

/// Operators is the service behind the operators' port.
pub struct Operators<B> {
    daemon: Arc<Daemon<B>>,
}

impl<B: Backend> Operators<B> {
    /// new serves operators of a daemon.
    pub fn new(daemon: Arc<Daemon<B>>) -> Operators<B> {
        Operators { daemon }
    }

    fn submit(&self, body: &[u8]) -> Result<Reply> {
        let submit: Submit = from_json(body)?;
        let intent = Intent::try_from(submit.intent)?;
        let accepted = self.daemon.accept(Change {
            submission: submit.submission,
            expect: submit.expect,
            wanted: Wanted::Submit(intent),
        })?;
        json(&accepted)
    }

    fn cancel(&self, name: Name, body: &[u8]) -> Result<Reply> {
        let cancel: Cancel = from_json(body)?;
        let accepted = self.daemon.accept(Change {
            submission: cancel.submission,
            expect: cancel.expect,
            wanted: Wanted::Cancel(name),
        })?;
        json(&accepted)
    }

    fn list(&self) -> Result<Reply> {
        let objects = lock(&self.daemon.catalogue).objects().cloned().collect();
        json(&Listed { objects })
    }

    fn object(&self, name: Name) -> Result<Object> {
        let found = lock(&self.daemon.catalogue).object(name).cloned();
        found.ok_or_else(|| Error::new(Kind::NotFound, format!("no intent '{name}'")))
    }

    fn status(&self, name: Name) -> Result<Reply> {
        let object = self.object(name)?;
        let data_centres = lock(&self.daemon.table).data_centres();
        let mut tasks = Vec::new();
        for data_centre in data_centres {
            self.tasks(&object, data_centre, &mut tasks)?;
        }
        json(&Status { object, tasks })
    }

    fn tasks(&self, object: &Object, data_centre: Name, tasks: &mut Vec<TaskStatus>) -> Result<()> {
        let job = object.job.within(data_centre);
        let shard = key::shard(job, self.daemon.settings.placer.shards);
        let page = match self.daemon.backend.read(Key::Homes(data_centre, shard)) {
            Fetched::Found(_, Page::Homes(page)) => page,
            Fetched::Absent => return Ok(()),
            Fetched::Found(..) | Fetched::Failed => {
                return Err(Error::new(
                    Kind::StoreUnavailable,
                    "the store gave no answer",
                ));
            }
        };
        let ours = page.homes.iter().filter(|home| home.work.task.job == job);
        tasks.extend(ours.map(|home| self.task(home, data_centre)));
        Ok(())
    }

    fn task(&self, home: &Home, data_centre: Name) -> TaskStatus {
        TaskStatus {
            data_centre,
            index: home.work.task.index,
            attempt: home.attempt,
            place: home.place,
            running: self.runs(home.run()),
        }
    }

    fn runs(&self, run: Run) -> bool {
        let racks = lock(&self.daemon.racks);
        let mut endpoints = racks.values().flat_map(|report| &report.endpoints);
        endpoints.any(|endpoint| endpoint.run == run)
    }

    /// ready tells the platform's balancer whether to send callers here.
    fn ready(&self) -> Result<Reply> {
        if self.daemon.stopping() {
            return Err(Error::new(Kind::Stopping, "this entry VM is stopping"));
        }
        if lock(&self.daemon.table).data_centres().is_empty() {
            return Err(Error::new(Kind::StoreUnavailable, "no list of VMs yet"));
        }
        Ok(text(b"ready\n".to_vec()))
    }

    fn metrics(&self) -> Result<Reply> {
        let text_of = |error: anyhow::Error| Error::new(Kind::Internal, error.to_string());
        self.daemon.metrics.text().map(text).map_err(text_of)
    }
}

impl<B: Backend> Service for Operators<B> {
    fn serve(&self, request: Request) -> Result<Reply> {
        let path = request.path.split('?').next().unwrap_or_default();
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["healthz"]) => Ok(text(b"ok\n".to_vec())),
            ("GET", ["readyz"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics(),
            ("GET", ["intents"]) => self.list(),
            ("POST", ["intents"]) => self.submit(&request.body),
            ("GET", ["intents", name]) => json(&self.object(named(name)?)?),
            ("GET", ["intents", name, "status"]) => self.status(named(name)?),
            ("POST", ["intents", name, "cancel"]) => self.cancel(named(name)?, &request.body),
            (_, ["healthz" | "readyz" | "metrics" | "intents", ..]) => {
                let text = format!("{} is not allowed at {path}", request.method);
                Err(Error::new(Kind::WrongMethod, text))
            }
            _ => Err(Error::new(Kind::NotFound, format!("nothing at {path}"))),
        }
    }
}

fn named(text: &str) -> Result<Name> {
    let reason = |reason| stackpier_core::field::invalid("name", format!("'{text}'"), reason);
    Ok(Name::try_from(text).map_err(reason)?)
}

fn json<T: Serialize>(value: &T) -> Result<Reply> {
    Ok(reply("application/json", to_json(value)?))
}

fn text(body: Vec<u8>) -> Reply {
    reply("text/plain; charset=utf-8", body)
}

fn reply(kind: &str, body: Vec<u8>) -> Reply {
    Reply {
        status: 200,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: kind.to_owned(),
        }],
        body,
    }
}
