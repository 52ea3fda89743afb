//! Two daemons of one zone, connected by the peer link; one of them can't reach the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::FutureExt;
use ibishill_config::{change, declared, settings};
use ibishill_core::{clock, id, time};
use ibishill_daemon::{heartbeat, start};
use ibishill_peer::tls;
use ibishill_platform::{Platform, failure, table};
use ibishill_standin::memory;
use ibishill_state::log;

const TIMEOUT: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    ibishill_standin::port::free_address()
}

fn with_outage(platform: Platform, outage: Arc<AtomicBool>) -> Platform {
    let lost = || failure::Failure::Unknown { detail: "cut off".into() };
    let (commit, read, other) =
        (platform.table.clone(), platform.table.clone(), Arc::clone(&outage));
    let table = table::Table::new(
        move |transaction| match outage.load(Ordering::Relaxed) {
            true => async move { Err(lost()) }.boxed(),
            false => {
                let table = commit.clone();
                async move { table.commit(transaction).await }.boxed()
            }
        },
        move |query| match other.load(Ordering::Relaxed) {
            true => async move { Err(lost()) }.boxed(),
            false => {
                let table = read.clone();
                async move { table.read(query).await }.boxed()
            }
        },
    );
    Platform { table, ..platform }
}

fn settings(vm: &str) -> settings::Settings {
    settings::Settings {
        vm: vm.parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        callers: free_address(),
        operators: free_address(),
        peers: free_address(),
        platform: "in-memory".into(),
        security: settings::Security { insecure: true, ..Default::default() },
        limits: Default::default(),
        periods: settings::Periods {
            poll: time::Millis(200),
            renew: time::Millis(200),
            lease: time::Millis(3_000),
            ..Default::default()
        },
    }
}

async fn wait_until<F>(what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_platform_gets_config_and_grants_from_its_peer() {
    let platform = memory::Memory::new(1).platform();
    let outage = Arc::new(AtomicBool::new(false));
    let authority = tls::Authority::generate().unwrap();
    let mut daemons = Vec::new();
    for vm in ["vm-a", "vm-b"] {
        let settings = settings(vm);
        let identity = authority.sign(&settings.vm, &settings.zone).unwrap();
        let platform = if vm == "vm-b" {
            with_outage(platform.clone(), Arc::clone(&outage))
        } else {
            platform.clone()
        };
        let starting = move || start::start(settings, &platform, &identity);
        daemons.push(tokio::task::spawn_blocking(starting).await.unwrap().unwrap());
    }
    let members = |index: usize| {
        let daemon: &start::Daemon = &daemons[index];
        daemon.context.membership.view().members.len()
    };
    wait_until("both daemons are members", || members(0) == 2 && members(1) == 2).await;
    outage.store(true, Ordering::Relaxed);
    let isolated = &daemons[1].context;
    // Half of the lease has passed, so no renewal is in flight.
    wait_until("the isolated daemon needs grants", || {
        isolated.membership.needs_grants(clock::boot_now())
    })
    .await;
    let expiry = isolated.membership.lease_expiry();
    let zone = declared::Zone { region: "r".parse().unwrap(), state: Default::default() };
    let proposal = log::Proposal {
        id: "first".parse().unwrap(),
        author: "test".parse().unwrap(),
        action: "apply".into(),
        expected: None,
        steps: vec![change::Step::PutZone("zone-a".parse().unwrap(), zone)],
    };
    daemons[0].context.log.accept(&proposal, time::Tick(0)).await.unwrap();
    wait_until("the change arrives from the peer", || isolated.config.get().version.0 == 1).await;
    let vm: id::VmId = "vm-b".parse().unwrap();
    let confirmed = || {
        let all = heartbeat::daemon_versions(&daemons[0].context);
        all.iter().any(|known| known.vm == vm && known.version.is_some_and(|v| v.0 == 1))
    };
    wait_until("the peer has confirmed the version", confirmed).await;
    // The peer's grant lets it admit requests beyond the end of its own lease.
    wait_until("a grant extends admission", || {
        isolated.membership.admits_until() > expiry + time::Millis(1_000)
    })
    .await;
    assert_eq!(isolated.membership.lease_expiry(), expiry);
    assert_eq!(members(0), 2);
}
