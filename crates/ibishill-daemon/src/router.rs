//! The router thread: it alone owns the state of planning and admission.

use std::sync::Arc;
use std::thread;

use crossbeam_channel as ring;
use ibishill_config::in_force;
use ibishill_core::{clock, event, id, outcome};
use ibishill_decide::{admit, cold, plan};
use tokio::sync::oneshot;

use crate::context;

const ASK_SLOTS: usize = 1_024;

/// Most requests admitted at once by one daemon; the ring of releases has as many slots.
const ADMITTED_MAX: usize = 16_384;

/// What the router thread knows of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateStatus {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Requests that run there.
    pub running: u32,
    /// Requests that may run there.
    pub limit: u32,
}

enum Ask {
    Plan(plan::Ask, oneshot::Sender<Result<plan::Plan, outcome::Refusal>>),
    Admit(admit::Job, oneshot::Sender<Result<Permit, outcome::Refusal>>),
    Status(oneshot::Sender<Vec<GateStatus>>),
}

struct Release {
    endpoint: id::EndpointId,
    answer: cold::Answer,
}

/// The right to run one request at an endpoint; dropping it gives the right back.
#[derive(Debug)]
pub struct Permit {
    admission: admit::Admission,
    answer: cold::Answer,
    releases: ring::Sender<Release>,
}

impl Permit {
    /// Where the request runs.
    pub fn admission(&self) -> &admit::Admission {
        &self.admission
    }

    /// Notes that the answer was whole and in time.
    pub fn good(&mut self) {
        self.answer = cold::Answer::Good;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let release = Release { endpoint: self.admission.endpoint.clone(), answer: self.answer };
        // The ring has a slot for every admitted request, so it is never full.
        let _stopped = self.releases.try_send(release);
    }
}

/// The way to the router thread.
#[derive(Clone)]
pub struct Handle {
    asks: ring::Sender<Ask>,
}

fn ring_full() -> outcome::Refusal {
    event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
    outcome::Refusal::not_run(outcome::Reason::Overloaded, "the router has no room")
        .retry_after(ibishill_core::time::Millis::from_secs(1))
}

fn stopped() -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::Stopping, "the daemon is stopping")
}

impl Handle {
    /// Plans a request.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub async fn plan(&self, ask: plan::Ask) -> Result<plan::Plan, outcome::Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.asks.try_send(Ask::Plan(ask, sender)).map_err(|_| ring_full())?;
        receiver.await.map_err(|_| stopped())?
    }

    /// Admits a request to an endpoint of this daemon.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub async fn admit(&self, job: admit::Job) -> Result<Permit, outcome::Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.asks.try_send(Ask::Admit(job, sender)).map_err(|_| ring_full())?;
        receiver.await.map_err(|_| stopped())?
    }

    /// What is known of the endpoints of this daemon.
    pub async fn status(&self) -> Vec<GateStatus> {
        let (sender, receiver) = oneshot::channel();
        if self.asks.try_send(Ask::Status(sender)).is_err() {
            return Vec::new();
        }
        receiver.await.unwrap_or_default()
    }
}

/// Starts the thread; it ends when the last handle is dropped.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(
    place: plan::Place,
    cell: in_force::Cell,
    views: context::ViewCell,
) -> std::io::Result<Handle> {
    let (asks, inbox) = ring::bounded(ASK_SLOTS);
    let (sender, releases) = ring::bounded(ADMITTED_MAX);
    let router = Router { place, cell, views, owner: admit::Owner::default(), admitted: 0 };
    thread::Builder::new()
        .name("router".into())
        .spawn(move || router.run(&inbox, &sender, &releases))?;
    Ok(Handle { asks })
}

struct Router {
    place: plan::Place,
    cell: in_force::Cell,
    views: context::ViewCell,
    owner: admit::Owner,
    admitted: usize,
}

impl Router {
    fn run(
        mut self,
        inbox: &ring::Receiver<Ask>,
        sender: &ring::Sender<Release>,
        releases: &ring::Receiver<Release>,
    ) {
        loop {
            ring::select! {
                recv(releases) -> release => if let Ok(release) = release {
                    self.release(&release);
                },
                recv(inbox) -> ask => match ask {
                    Ok(ask) => {
                        // Releases come first, so that room that is free is seen.
                        releases.try_iter().for_each(|release| self.release(&release));
                        self.answer(ask, sender);
                    }
                    Err(ring::RecvError) => return,
                },
            }
        }
    }

    fn release(&mut self, release: &Release) {
        self.admitted -= 1;
        self.owner.finish(&release.endpoint, release.answer, clock::boot_now());
    }

    fn answer(&mut self, ask: Ask, sender: &ring::Sender<Release>) {
        match ask {
            Ask::Plan(ask, reply) => {
                let plan = plan::plan(&self.cell.get(), &self.views.get(), &self.place, &ask);
                let _left = reply.send(plan);
            }
            Ask::Admit(job, reply) => {
                let permit = self.admit(&job, sender);
                let _left = reply.send(permit);
            }
            Ask::Status(reply) => {
                let _left = reply.send(self.status());
            }
        }
    }

    fn admit(
        &mut self,
        job: &admit::Job,
        sender: &ring::Sender<Release>,
    ) -> Result<Permit, outcome::Refusal> {
        if self.admitted >= ADMITTED_MAX {
            return Err(ring_full());
        }
        let config: Arc<in_force::InForce> = self.cell.get();
        let views = self.views.get();
        let view = views.zones.get(&self.place.zone).cloned().unwrap_or_default();
        let admission = self.owner.admit(&config, &view, &self.place, job, clock::boot_now())?;
        self.admitted += 1;
        Ok(Permit { admission, answer: cold::Answer::Bad, releases: sender.clone() })
    }

    fn status(&self) -> Vec<GateStatus> {
        let gates = self.owner.gates().iter();
        gates
            .map(|(endpoint, gate)| GateStatus {
                endpoint: endpoint.clone(),
                running: gate.running(),
                limit: gate.limit(),
            })
            .collect()
    }
}
