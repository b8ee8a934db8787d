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
        Fault::RackLost => {
            for (member, is_agent) in rack(deployment) {
                member.process.kill();
                if is_agent {
                    replicas.lose(member.operator);
                }
            }
        }
        Fault::RackCut => {
            for (member, _) in rack(deployment) {
                member.process.pause();
            }
            compio::time::sleep(Fault::CUT).await;
            for (member, _) in rack(deployment) {
                member.process.resume();
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

/// Returns the agents and backends of a third of the last domain's targets, at least one of each kind, and whether each
/// is an agent.
fn rack(deployment: &mut Deployment) -> impl Iterator<Item = (&mut Member, bool)> {
    let domain = deployment.plan.domains.last().cloned();
    let count = |targets: u8| usize::from(targets).div_ceil(Fault::RACKS);
    let engines = count(deployment.plan.engines);
    let plains = count(deployment.plan.plains);
    let models = deployment.engines.len();
    let (engine_agents, plain_agents) = deployment.agents.split_at_mut(models);
    let groups = [
        (engine_agents, engines, true),
        (plain_agents, plains, true),
        (&mut deployment.engines[..], engines, false),
        (&mut deployment.plains[..], plains, false),
    ];
    groups
        .into_iter()
        .flat_map(move |(members, count, is_agent)| {
            let domain = domain.clone();
            let inside = members
                .iter_mut()
                .filter(move |member| Some(&member.domain) == domain.as_ref());
            inside.take(count).map(move |member| (member, is_agent))
        })
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
