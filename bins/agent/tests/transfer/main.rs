//! Tests of transfers between several agents over loopback.

mod support;

use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};

use burst::Peer;
use bytes::Bytes;
use catalog::Plan;
use compio::runtime::{JoinHandle, spawn};
use node::http::{Limits, Request, StatusCode, response, serve};
use support::{
    CHUNK, data, listen, set_members, set_wanted, wait_chunks, wait_complete, with_test_env,
};
use yare::parameterized;

/// Starts a peer that responds to every chunk request with wrong bytes.
fn corrupting_peer() -> (Peer, JoinHandle<()>) {
    let (listener, address) = listen();
    let corrupting =
        |_: SocketAddr, _: Request<Bytes>| async { response(StatusCode::OK, vec![1; CHUNK]) };
    let server = serve(
        listener,
        Limits::default(),
        corrupting,
        std::future::pending(),
    );
    let peer = Peer {
        name: "wrong".into(),
        domain: "a".into(),
        region: "a".into(),
        address,
    };
    (peer, spawn(server))
}

/// Yields to the other tasks once.
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

// Guards against drawing more copies from the origin than the plan allows, and against completing a transfer with
// chunks missing in an engine.
#[parameterized(
    origin_bytes = { Plan::OriginBytes, 1 },
    time_to_replicas = { Plan::TimeToReplicas, 3 },
    direct = { Plan::Direct, 8 },
)]
fn transfer_by_plan(plan: Plan, copies: u64) {
    with_test_env(|env| async move {
        let agents = env.start_agents(&["a", "b", "c", "d"], plan);
        wait_complete(&agents, &env.pin("v1")).await;
        env.check_staged(&agents, "v1");
        let received: u64 = agents
            .iter()
            .map(|agent| agent.holdings.traffic().from_origin)
            .sum();
        assert_eq!([env.drawn.get(), received], [copies * env.size("v1"); 2]);
    });
}

// Guards against metrics whose names differ from docs/METRICS.md, and against bytes counted for the wrong source.
#[test]
fn transfer_metrics() {
    with_test_env(|env| async move {
        let agents = env.start_agents(&["a"], Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
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
        assert_eq!(received("origin"), env.size("v1"));
        assert!(peers > 0 && received("own-domain") >= peers);
        assert_eq!(
            sum("chunk_sent_bytes_total{destination=\"own-domain\"}"),
            sent
        );
        assert_eq!(
            sum("draw_permits_total{answer=\"granted\"}"),
            env.objects.borrow().len() as u64
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

// Guards against transfers that hang after an agent dies, and against a fifth copy drawn by the agents that take over
// its stripes.
#[parameterized(early = { 5 }, middle = { 100 }, late = { 230 })]
fn transfer_agent_dies(held: u32) {
    with_test_env(|env| async move {
        let mut agents = env.start_agents(&["a", "b", "c"], Plan::OriginBytes);
        wait_chunks(&agents, held).await;
        drop(agents.remove(0));
        wait_complete(&agents, &env.pin("v1")).await;
        env.check_staged(&agents, "v1");
        assert!(env.drawn.get() <= 4 * env.size("v1"));
    });
}

// Guards against staging wrong bytes, and against endlessly requesting chunks from the peer that sends them.
#[test]
fn transfer_peer_corrupts() {
    with_test_env(|env| async move {
        let (corrupting, _server) = corrupting_peer();
        let agents = [env.start("a", 0), env.start("a", 1)];
        set_members(&agents, &[corrupting]);
        set_wanted(&agents, &env.pin("v1"), Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        env.check_staged(&agents, "v1");
        assert!(
            agents
                .iter()
                .any(|agent| agent.transfer.progress().stats.corrupted > 0)
        );
    });
}

// Guards against stalled requests that are never cancelled while inputs arrive less than 1 ms apart, such as the
// progress of requests that wait for a slow engine: the worker's timeout then never fires.
#[test]
fn transfer_stall_amid_inputs() {
    with_test_env(|env| async move {
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
        let agents = [env.start("a", 0)];
        set_members(&agents, std::slice::from_ref(&peer));
        set_wanted(&agents, &env.pin("v1"), Plan::OriginBytes);
        let start = Instant::now();
        let stalled = || agents[0].transfer.progress().stats.stalled > 0;
        while !stalled() && start.elapsed() < Duration::from_secs(15) {
            set_members(&agents, std::slice::from_ref(&peer));
            yield_now().await;
        }
        assert!(stalled(), "no stall after {:?}", start.elapsed());
    });
}

// Guards against continuing the transfer of a replaced version, and against fetching chunks again that both versions
// share.
#[test]
fn transfer_version_changes() {
    with_test_env(|env| async move {
        let agents = env.start_agents(&["a", "b"], Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        let drawn = env.drawn.get();
        // v3 shares 24 of its 48 chunks with v1; v2 is replaced as soon as its first chunk has arrived.
        let replaced = env.publish("v2", data(1000, 48));
        let next = env.publish("v3", data(24, 48));
        set_wanted(&agents, &replaced, Plan::OriginBytes);
        wait_chunks(&agents, 1).await;
        let wasted = env.drawn.get();
        set_wanted(&agents, &next, Plan::OriginBytes);
        wait_complete(&agents, &next).await;
        env.check_staged(&agents, "v3");
        assert!(
            agents
                .iter()
                .all(|agent| !agent.complete.borrow().contains(&replaced))
        );
        let half = env.size("v3") / 2;
        assert!(
            wasted - drawn < env.size("v2") && env.drawn.get() - wasted <= half + 16 * CHUNK as u64
        );
    });
}

// Guards against draws without a grant, a second grant after a lost answer, and drawing the same bytes again after a
// connection failure.
#[test]
fn transfer_lost_answers() {
    with_test_env(|env| async move {
        env.writes_to_lose.set(5);
        env.writes_to_refuse.set(5);
        env.draws_to_refuse.set(3);
        env.draws_to_cut.set(10);
        let agents = env.start_agents(&["a", "b"], Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        env.check_staged(&agents, "v1");
        assert_eq!(env.objects.borrow().len(), 48);
        let grants = env
            .objects
            .borrow()
            .values()
            .all(|object| object.revision.number == 1);
        assert!(grants);
        assert_eq!(env.drawn.get(), env.size("v1"));
    });
}

// Guards against a replacement VM that draws from the origin, and against fetching chunks again after an engine
// restart.
#[test]
fn transfer_replacement() {
    with_test_env(|env| async move {
        let mut agents = env.start_agents(&["a"], Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        agents.push(env.start("a", 2));
        set_members(&agents, &[]);
        set_wanted(&agents, &env.pin("v1"), Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        env.check_staged(&agents, "v1");
        let traffic = agents[2].holdings.traffic();
        agents[2].engine.staged.borrow_mut().clear();
        agents[2].transfer.restage();
        while agents[2].complete.borrow().len() < 2 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        env.check_staged(&agents, "v1");
        assert_eq!(agents[2].holdings.traffic().from_peers, traffic.from_peers);
        assert_eq!(env.drawn.get(), env.size("v1"));
    });
}

// Guards against a replacement VM that stages corrupted chunks of a peer or draws them from the origin instead.
#[test]
fn transfer_replacement_corrupted() {
    with_test_env(|env| async move {
        let mut agents = env.start_agents(&["a"], Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        let (corrupting, _server) = corrupting_peer();
        agents.push(env.start("a", 2));
        set_members(&agents, &[corrupting]);
        set_wanted(&agents, &env.pin("v1"), Plan::OriginBytes);
        wait_complete(&agents, &env.pin("v1")).await;
        env.check_staged(&agents, "v1");
        assert!(agents[2].transfer.progress().stats.corrupted > 0);
        assert_eq!(env.drawn.get(), env.size("v1"));
    });
}
