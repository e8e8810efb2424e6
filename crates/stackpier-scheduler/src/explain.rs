// SPDX-License-Identifier: Apache-2.0
//! The question why a job's tasks are where they are, answered beside the
//! metrics: from the cell by its owner, with the owner's address by others.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response as Reply};
use http_body_util::Full;
use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::{
    codec::to_json,
    explain::{Answer, Owner},
    operator::Failure,
};

use crate::{
    Platform,
    http::answer,
    keys::Ownership,
    link::{Request, Response},
    node::Node,
};

/// ADDRESS_LIMIT bounds asking the owner for its metrics address: some round
/// trips between data centres.
const ADDRESS_LIMIT: Duration = Duration::from_millis(350);

impl<P: Platform> Node<P> {
    /// reply_explained answers the question about the job with an id.
    pub(crate) async fn reply_explained(&self, method: &Method, id: &str) -> Reply<Full<Bytes>> {
        let explained = match *method {
            Method::GET => self.explain(id).await,
            _ => Err(Error::new(Kind::WrongMethod, "an explanation is only read")),
        };
        let (status, body) = match explained {
            Ok(explained) => (200, to_json(&explained)),
            Err(error) => {
                let status = error.kind.answer().status;
                (status, to_json(&Failure::from(error)))
            }
        };
        match body {
            Ok(body) => answer(status, body, None),
            Err(error) => {
                self.say("daemon", &format!("explanation not written: {error}"));
                answer(500, Vec::new(), None)
            }
        }
    }

    async fn explain(&self, id: &str) -> Result<Answer> {
        let job = key::Job::try_from(id)?;
        if let Some(owner) = self.owner.borrow_mut().as_mut() {
            let unknown = || Error::new(Kind::NotFound, "no such job, or it ended long ago");
            return owner.cell.explain(job).map(Answer::Job).ok_or_else(unknown);
        }
        let ownership = self.other_owner()?;
        Ok(Answer::Owner(Owner {
            metrics: self.metrics_of(&ownership).await,
            vm: ownership.vm,
        }))
    }

    /// other_owner returns the ownership of another daemon.
    fn other_owner(&self) -> Result<Ownership> {
        let unreached = |why: &str| Error::new(Kind::Unreachable, why);
        let owned = self.owned.borrow();
        let Some(owned) = owned.as_ref() else {
            return Err(unreached("no owner of the cell is known"));
        };
        let ownership = &owned.ownership;
        if ownership.released {
            return Err(unreached("the cell has no owner now"));
        }
        if ownership.vm == self.settings.vm {
            return Err(unreached("this daemon has not read the cell it owns yet"));
        }
        Ok(ownership.clone())
    }

    /// metrics_of asks another daemon for its metrics address.
    async fn metrics_of(&self, ownership: &Ownership) -> Option<String> {
        let asked = self
            .links
            .call(&ownership.address, &Request::Metrics, ADDRESS_LIMIT);
        match asked.await {
            Ok(Response::Metrics(address)) => Some(address),
            Ok(_) => None,
            Err(error) => {
                let text = format!("metrics address of {} not known: {error}", ownership.vm);
                self.say("daemon", &text);
                None
            }
        }
    }
}
