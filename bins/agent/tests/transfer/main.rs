//! Transfers between several agents over loopback.

mod support;

use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};

use burst::Peer;
use bytes::Bytes;
use catalog::Plan;
use compio::runtime::{JoinHandle, spawn};
use node::http::{Limits, Request, StatusCode, response, serve};
use support::{CHUNK, data, introduce, listen, order, wait_chunks, wait_complete, with_world};
use yare::parameterized;

/// Starts a peer that sends wrong bytes for every chunk.
fn corrupting_peer() -> (Peer, JoinHandle<()>) {
    let (listener, address) = listen();
    let wrong =
        |_: SocketAddr, _: Request<Bytes>| async { response(StatusCode::OK, vec![1; CHUNK]) };
    let server = serve(listener, Limits::default(), wrong, std::future::pending());
    let peer = Peer {
        name: "wrong".into(),
        domain: "a".into(),
        region: "a".into(),
        address,
    };
    (peer, spawn(server))
}

/// Lets the other tasks run once.
async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

// Guards against more copies from the origin than the plan allows, and against weights that arrive incomplete.
#[parameterized(
    origin_bytes = { Plan::OriginBytes, 1 },
    time_to_replicas = { Plan::TimeToReplicas, 3 },
    direct = { Plan::Direct, 8 },
)]
fn transfer_by_plan(plan: Plan, copies: u64) {
    with_world(|world| async move {
        let agents = world.fleet(&["a", "b", "c", "d"], plan);
        wait_complete(&agents, &world.pin("v1")).await;
        world.check_staged(&agents, "v1");
        let received: u64 = agents
            .iter()
            .map(|agent| agent.holdings.traffic().from_origin)
            .sum();
        assert_eq!(
            [world.drawn.get(), received],
            [copies * world.size("v1"); 2]
        );
    });
}

// Guards against metrics under other names than the page lists, and against bytes counted for another source.
#[test]
fn transfer_metrics() {
    with_world(|world| async move {
        let agents = world.fleet(&["a"], Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        let sum = |name: &str| -> u64 { agents.iter().map(|agent| agent.metric(name)).sum() };
        let traffic = agents.iter().map(|agent| agent.holdings.traffic());
        let (peers, sent) = traffic.fold((0, 0), |(peers, sent), traffic| {
            (peers + traffic.from_peers, sent + traffic.to_peers)
        });
        let received = |source: &str| {
            sum(&format!(
                "chunk_received_bytes_total{{source=\"{source}\"}}"
            ))
        };
        assert_eq!(received("origin"), world.size("v1"));
        assert!(peers > 0 && received("own-domain") >= peers);
        assert_eq!(
            sum("chunk_sent_bytes_total{destination=\"own-domain\"}"),
            sent
        );
        assert_eq!(
            sum("draw_permits_total{answer=\"granted\"}"),
            world.objects.borrow().len() as u64
        );
        assert_eq!(sum("transfers_total{result=\"complete\"}"), 2);
        assert_eq!(sum("transfer_duration_seconds_count"), 2);
        assert_eq!(sum("chunks_held"), sum("chunks_wanted"));
        for zero in [
            "chunks_corrupted_total",
            "chunk_stalls_total",
            "chunk_redirects_total",
        ] {
            assert_eq!(sum(zero), 0, "{zero}");
        }
    });
}

// Guards against a transfer that hangs when an agent dies in its middle, and against a fifth copy by take-over.
#[parameterized(early = { 5 }, middle = { 100 }, late = { 230 })]
fn transfer_agent_dies(held: u32) {
    with_world(|world| async move {
        let mut agents = world.fleet(&["a", "b", "c"], Plan::OriginBytes);
        wait_chunks(&agents, held).await;
        drop(agents.remove(0));
        wait_complete(&agents, &world.pin("v1")).await;
        world.check_staged(&agents, "v1");
        assert!(world.drawn.get() <= 4 * world.size("v1"));
    });
}

// Guards against wrong bytes in an engine and against asking a peer that sends them for ever.
#[test]
fn transfer_peer_corrupts() {
    with_world(|world| async move {
        let (wrong, _server) = corrupting_peer();
        let agents = [world.start("a", 0), world.start("a", 1)];
        introduce(&agents, &[wrong]);
        order(&agents, &world.pin("v1"), Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        world.check_staged(&agents, "v1");
        assert!(
            agents
                .iter()
                .any(|agent| agent.transfer.progress().stats.corrupted > 0)
        );
    });
}

// Guards against requests to a stalled peer that are never given up while inputs arrive less than 1 ms apart, as from
// requests that wait for a slow engine.
#[test]
fn transfer_stall_amid_inputs() {
    with_world(|world| async move {
        let (listener, address) = listen();
        let silent = |_: SocketAddr, _: Request<Bytes>| std::future::pending();
        let peer = Peer {
            name: "silent".into(),
            domain: "a".into(),
            region: "a".into(),
            address,
        };
        let _server = spawn(serve(
            listener,
            Limits::default(),
            silent,
            std::future::pending(),
        ));
        let agents = [world.start("a", 0)];
        introduce(&agents, std::slice::from_ref(&peer));
        order(&agents, &world.pin("v1"), Plan::OriginBytes);
        let start = Instant::now();
        let stalled = || agents[0].transfer.progress().stats.stalled > 0;
        while !stalled() && start.elapsed() < Duration::from_secs(15) {
            introduce(&agents, std::slice::from_ref(&peer));
            yield_now().await;
        }
        assert!(stalled(), "no stall after {:?}", start.elapsed());
    });
}

// Guards against a transfer of an old version that goes on, and against fetching equal chunks again.
#[test]
fn transfer_version_changes() {
    with_world(|world| async move {
        let agents = world.fleet(&["a", "b"], Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        let drawn = world.drawn.get();
        // 24 of the 48 chunks are those of the first version; a version in between is replaced at once.
        let between = world.publish("v2", data(1000, 48));
        let next = world.publish("v3", data(24, 48));
        order(&agents, &between, Plan::OriginBytes);
        wait_chunks(&agents, 1).await;
        let wasted = world.drawn.get();
        order(&agents, &next, Plan::OriginBytes);
        wait_complete(&agents, &next).await;
        world.check_staged(&agents, "v3");
        assert!(
            agents
                .iter()
                .all(|agent| !agent.complete.borrow().contains(&between))
        );
        let half = world.size("v3") / 2;
        assert!(
            wasted - drawn < world.size("v2")
                && world.drawn.get() - wasted <= half + 16 * CHUNK as u64
        );
    });
}

// Guards against draws without a grant, a second grant for a lost answer, and bytes that are drawn again after a
// connection broke.
#[test]
fn transfer_lost_answers() {
    with_world(|world| async move {
        world.writes_lost.set(5);
        world.writes_refused.set(5);
        world.store_refuses.set(3);
        world.store_cuts.set(10);
        let agents = world.fleet(&["a", "b"], Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        world.check_staged(&agents, "v1");
        assert_eq!(world.objects.borrow().len(), 48);
        let grants = world
            .objects
            .borrow()
            .values()
            .all(|object| object.revision == 1);
        assert!(grants);
        assert_eq!(world.drawn.get(), world.size("v1"));
    });
}

// Guards against a replacement VM that burdens the origin, and against an engine restart that fetches chunks again.
#[test]
fn transfer_replacement() {
    with_world(|world| async move {
        let mut agents = world.fleet(&["a"], Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        agents.push(world.start("a", 2));
        introduce(&agents, &[]);
        order(&agents, &world.pin("v1"), Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        world.check_staged(&agents, "v1");
        let traffic = agents[2].holdings.traffic();
        agents[2].engine.staged.borrow_mut().clear();
        agents[2].transfer.restage();
        while agents[2].complete.borrow().len() < 2 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        world.check_staged(&agents, "v1");
        assert_eq!(agents[2].holdings.traffic().from_peers, traffic.from_peers);
        assert_eq!(world.drawn.get(), world.size("v1"));
    });
}

// Guards against a replacement VM that stages the corrupted chunks of a peer, or goes to the origin to replace them.
#[test]
fn transfer_replacement_corrupted() {
    with_world(|world| async move {
        let mut agents = world.fleet(&["a"], Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        let (wrong, _server) = corrupting_peer();
        agents.push(world.start("a", 2));
        introduce(&agents, &[wrong]);
        order(&agents, &world.pin("v1"), Plan::OriginBytes);
        wait_complete(&agents, &world.pin("v1")).await;
        world.check_staged(&agents, "v1");
        assert!(agents[2].transfer.progress().stats.corrupted > 0);
        assert_eq!(world.drawn.get(), world.size("v1"));
    });
}
