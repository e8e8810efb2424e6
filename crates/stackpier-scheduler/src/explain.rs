// SPDX-License-Identifier: Apache-2.0
//! Explanations of why a job's tasks run or wait where they do, served on the
//! metrics listener. The owner answers from its cell; the other daemons answer
//! with the owner's metrics address.

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

/// ADDRESS_LIMIT bounds the request for the owner's metrics address. It allows
/// for several round trips between data centres.
const ADDRESS_LIMIT: Duration = Duration::from_millis(350);

impl<P: Platform> Node<P> {
    /// answer_explain answers a request to explain the job with this id.
    pub(crate) async fn answer_explain(&self, method: &Method, id: &str) -> Reply<Full<Bytes>> {
        let explained = match *method {
            Method::GET => self.explain(id).await,
            _ => Err(Error::new(
                Kind::WrongMethod,
                "an explanation supports only GET",
            )),
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
                self.log_line("daemon", &format!("cannot encode an explanation: {error}"));
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
            metrics: self.request_metrics_address(&ownership).await,
            vm: ownership.vm,
        }))
    }

    /// other_owner returns the ownership record of the daemon that owns the cell. It
    /// is an error if no other daemon is known to own it.
    fn other_owner(&self) -> Result<Ownership> {
        let unreachable = |why: &str| Error::new(Kind::Unreachable, why);
        let owned = self.owned.borrow();
        let Some(owned) = owned.as_ref() else {
            return Err(unreachable("no owner of the cell is known"));
        };
        let ownership = &owned.ownership;
        if ownership.released {
            return Err(unreachable("the cell has no owner now"));
        }
        if ownership.vm == self.settings.vm {
            return Err(unreachable("this daemon has not read the cell it owns yet"));
        }
        Ok(ownership.clone())
    }

    /// request_metrics_address asks another daemon for its metrics address. It
    /// returns `None` if there is no answer.
    async fn request_metrics_address(&self, ownership: &Ownership) -> Option<String> {
        let sent = self
            .links
            .call(&ownership.address, &Request::Metrics, ADDRESS_LIMIT);
        match sent.await {
            Ok(Response::Metrics(address)) => Some(address),
            Ok(_) => None,
            Err(error) => {
                let text = format!(
                    "cannot get the metrics address of {}: {error}",
                    ownership.vm
                );
                self.log_line("daemon", &text);
                None
            }
        }
    }
}
