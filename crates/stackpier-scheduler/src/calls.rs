// SPDX-License-Identifier: Apache-2.0
//! The owner's calls to workers, to the adviser and to hosts. Each call is
//! counted in the metrics, and its outcome is fed to the cell as an event.

use stackpier_cell::{
    AdviceRequest, Event, Pace, Renewal, Renewed, Start, Started, Stop, Stopped,
    maintenance::{TakeDown, TakenDown},
};

use crate::{Platform, metrics, node::Node, relay::Route};

impl<P: Platform> Node<P> {
    pub(crate) async fn send_start(self, fence: u64, start: Start, route: Route) {
        let outcome = self.deliver_start(&route, &start).await;
        let sender = match &route {
            Route::Direct => "this daemon",
            Route::Forwarded { helper, .. } => helper,
        };
        self.count_worker_call("start", outcome == Started::Yes);
        let order = &start.order;
        let text = format!(
            "run {} on worker {} under fence {fence} by {sender}: {outcome:?}",
            order.run, order.worker_id,
        );
        self.log_about("place", Some(order.task.to_string()), &text);
        let run = order.key;
        self.feed(fence, Event::Started { run, outcome });
    }

    pub(crate) async fn send_stop(self, fence: u64, stop: Stop) {
        let outcome = self.platform.stop(&stop).await;
        self.count_worker_call("stop", outcome == Stopped::Yes);
        let run = stop.order.key;
        self.feed(fence, Event::Stopped { run, outcome });
    }

    pub(crate) async fn send_pace(self, fence: u64, pace: Pace) {
        let accepted = self.platform.pace(&pace).await;
        self.count_worker_call("pace", accepted);
        let text = format!("pace {} ordered, accepted: {accepted}", pace.percent);
        self.log_about("pace", Some(pace.order.task.to_string()), &text);
        let event = Event::Paced {
            run: pace.order.key,
            percent: pace.percent,
            accepted,
        };
        self.feed(fence, event);
    }

    pub(crate) async fn send_renewal(self, fence: u64, renewal: Renewal) {
        let sent = self.mono();
        let outcome = self.renew_or_forward(&renewal).await;
        let answered = matches!(outcome, Renewed::Report(_));
        self.count_worker_call("hold", answered);
        let event = Event::Renewed {
            worker: renewal.worker,
            sent,
            outcome,
        };
        self.feed(fence, event);
    }

    pub(crate) async fn send_take_down(self, fence: u64, order: TakeDown) {
        let outcome = self.platform.take_down(&order, &self.settings.vm).await;
        self.count_worker_call("take_down", outcome == TakenDown::Yes);
        self.feed(fence, Event::TakenDown(order, outcome));
    }

    pub(crate) async fn request_advice(self, fence: u64, request: AdviceRequest) {
        let answer = self.platform.advise(&request).await;
        self.count_worker_call("advise", answer.is_some());
        self.feed(fence, Event::Advised(request.step, answer));
    }

    fn count_worker_call(&self, call: &'static str, done: bool) {
        let outcome = if done { "done" } else { "failed" };
        self.metrics
            .worker_calls
            .add(1, &metrics::labels(call, outcome));
    }
}
