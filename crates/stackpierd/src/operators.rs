// SPDX-License-Identifier: Apache-2.0
//! The HTTP service for operators: intents, status, health and metrics.

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
use stackpier_transport::{
    operators::{Request, Service},
    platform::Store,
};

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
};

/// Operators serves requests on the operators' port.
pub struct Operators<B> {
    daemon: Arc<Daemon<B>>,
}

impl<B: Backend> Operators<B> {
    /// new returns the service of a daemon.
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
        json_reply(&accepted)
    }

    fn cancel(&self, name: Name, body: &[u8]) -> Result<Reply> {
        let cancel: Cancel = from_json(body)?;
        let accepted = self.daemon.accept(Change {
            submission: cancel.submission,
            expect: cancel.expect,
            wanted: Wanted::Cancel(name),
        })?;
        json_reply(&accepted)
    }

    fn list_intents(&self) -> Result<Reply> {
        let objects = lock(&self.daemon.catalogue).objects().cloned().collect();
        json_reply(&Listed { objects })
    }

    fn find_object(&self, name: Name) -> Result<Object> {
        let found = lock(&self.daemon.catalogue).object(name).cloned();
        found.ok_or_else(|| Error::new(Kind::NotFound, format!("no intent '{name}'")))
    }

    fn status(&self, name: Name) -> Result<Reply> {
        let object = self.find_object(name)?;
        self.check_store()?;
        let data_centres = lock(&self.daemon.table).data_centres();
        let mut tasks = Vec::new();
        for data_centre in data_centres {
            self.collect_tasks(&object, data_centre, &mut tasks)?;
        }
        json_reply(&Status { object, tasks })
    }

    /// check_store refuses at once what needs the store while this daemon does
    /// not reach it, and names the daemons that do.
    fn check_store(&self) -> Result<()> {
        let table = lock(&self.daemon.table);
        if !table.store_lost() {
            return Ok(());
        }
        let able = table.able(clock::now()).into_iter();
        let able = able.filter(|member| *member != self.daemon.me);
        let names: Vec<String> = able.map(|member| member.vm.to_string()).collect();
        let text = match names.is_empty() {
            true => "no daemon here reaches the store".to_owned(),
            false => format!(
                "this daemon does not reach the store, ask {}",
                names.join(", ")
            ),
        };
        Err(Error::new(Kind::StoreUnavailable, text))
    }

    fn collect_tasks(
        &self,
        object: &Object,
        data_centre: Name,
        tasks: &mut Vec<TaskStatus>,
    ) -> Result<()> {
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
        let job_homes = page.homes.iter().filter(|home| home.work.task.job == job);
        tasks.extend(job_homes.map(|home| self.task_status(home, data_centre)));
        Ok(())
    }

    fn task_status(&self, home: &Home, data_centre: Name) -> TaskStatus {
        TaskStatus {
            data_centre,
            index: home.work.task.index,
            attempt: home.attempt,
            place: home.place,
            running: self.is_running(home.run()),
        }
    }

    fn is_running(&self, run: Run) -> bool {
        let racks = lock(&self.daemon.racks);
        let mut endpoints = racks.values().flat_map(|report| &report.endpoints);
        endpoints.any(|endpoint| endpoint.run == run)
    }

    /// check_ready answers the platform's load balancer whether to send callers to
    /// this daemon.
    fn check_ready(&self) -> Result<Reply> {
        if self.daemon.is_stopping() {
            return Err(Error::new(Kind::Stopping, "this entry VM is stopping"));
        }
        if lock(&self.daemon.table).data_centres().is_empty() {
            return Err(Error::new(Kind::StoreUnavailable, "no list of VMs yet"));
        }
        Ok(text_reply(b"ready\n".to_vec()))
    }

    fn render_metrics(&self) -> Result<Reply> {
        let internal_error = |error: anyhow::Error| Error::new(Kind::Internal, error.to_string());
        self.daemon
            .metrics
            .text()
            .map(text_reply)
            .map_err(internal_error)
    }
}

impl<B: Backend> Service for Operators<B> {
    fn serve(&self, request: Request) -> Result<Reply> {
        let path = request.path.split('?').next().unwrap_or_default();
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["healthz"]) => Ok(text_reply(b"ok\n".to_vec())),
            ("GET", ["readyz"]) => self.check_ready(),
            ("GET", ["metrics"]) => self.render_metrics(),
            ("GET", ["intents"]) => self.list_intents(),
            ("POST", ["intents"]) => self.submit(&request.body),
            ("GET", ["intents", name]) => json_reply(&self.find_object(parse_name(name)?)?),
            ("GET", ["intents", name, "status"]) => self.status(parse_name(name)?),
            ("POST", ["intents", name, "cancel"]) => self.cancel(parse_name(name)?, &request.body),
            (_, ["healthz" | "readyz" | "metrics" | "intents", ..]) => {
                let text = format!("{} is not allowed at {path}", request.method);
                Err(Error::new(Kind::WrongMethod, text))
            }
            _ => Err(Error::new(Kind::NotFound, format!("nothing at {path}"))),
        }
    }
}

fn parse_name(text: &str) -> Result<Name> {
    let reason = |reason| stackpier_core::field::invalid("name", format!("'{text}'"), reason);
    Ok(Name::try_from(text).map_err(reason)?)
}

fn json_reply<T: Serialize>(value: &T) -> Result<Reply> {
    Ok(build_reply("application/json", to_json(value)?))
}

fn text_reply(body: Vec<u8>) -> Reply {
    build_reply("text/plain; charset=utf-8", body)
}

fn build_reply(content_type: &str, body: Vec<u8>) -> Reply {
    Reply {
        status: 200,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: content_type.to_owned(),
        }],
        body,
    }
}
