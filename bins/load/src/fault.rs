//! A fault during a burst.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::{CALL_PORT, Deployment, Fault, Member, Replicas};

/// Interval between two looks at the progress.
const POLL: Duration = Duration::from_millis(20);
/// Time after which the balancer takes a dead entry out of rotation.
const BALANCER: Duration = Duration::from_secs(1);

/// Gives `fault` once the agents hold [`Fault::SHARE`] of all chunks, and returns when all of it has happened.
///
/// Lost agents are counted no longer. `removed` gets the entries that the balancer takes out of rotation.
pub async fn give(
    fault: Fault,
    deployment: &mut Deployment,
    replicas: &Replicas,
    removed: &Rc<RefCell<Vec<SocketAddr>>>,
) {
    while replicas.share() < Fault::SHARE {
        compio::time::sleep(POLL).await;
    }
    match fault {
        Fault::DomainLost => lose_domain(deployment, replicas, removed).await,
        Fault::AgentsKilled => {
            let engines = deployment.engines.len();
            for agent in deployment.agents[..engines].iter_mut().step_by(10) {
                agent.process.kill();
                replicas.lose(agent.operator);
            }
        }
        Fault::OwnerStalled => {
            let owner = &deployment.agents[0].process;
            owner.pause();
            compio::time::sleep(Fault::STALL).await;
            owner.resume();
        }
    }
}

async fn lose_domain(
    deployment: &mut Deployment,
    replicas: &Replicas,
    removed: &Rc<RefCell<Vec<SocketAddr>>>,
) {
    let Some(domain) = deployment.plan.domains.last().cloned() else {
        return;
    };
    let lost = |member: &&mut Member| member.domain == domain;
    let mut callers = Vec::new();
    for entry in deployment.entries.iter_mut().filter(lost) {
        entry.process.kill();
        callers.push(SocketAddr::new(entry.operator.ip(), CALL_PORT));
    }
    for agent in deployment.agents.iter_mut().filter(lost) {
        agent.process.kill();
        replicas.lose(agent.operator);
    }
    let backends = deployment.engines.iter_mut().chain(&mut deployment.plains);
    for backend in backends.filter(lost) {
        backend.process.kill();
    }
    compio::time::sleep(BALANCER).await;
    removed.borrow_mut().extend(callers);
}
