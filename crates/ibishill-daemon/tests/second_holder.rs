//! Replication of billing records between two daemons of one zone over the real peer link.

use std::net::SocketAddr;
use std::time::Duration;

use ibishill_config::settings;
use ibishill_core::{cost, time};
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_standin::memory;
use ibishill_state::billing;

const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    ibishill_standin::port::free_address()
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
            renew: time::Millis(100),
            drain: time::Millis(10),
            // Records are written only by an explicit flush.
            billing: time::Millis::from_secs(3_600),
            ..Default::default()
        },
    }
}

async fn wait_until<F>(what: &str, is_true: F)
where
    F: Fn() -> bool,
{
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, waiting).await.unwrap_or_else(|_| panic!("never: {what}"));
}

fn bill(daemon: &start::Daemon, name: &str) {
    let record = billing::Record {
        request: name.parse().unwrap(),
        workspace: "demo".parse().unwrap(),
        target: name.into(),
        usage: cost::Usage::default(),
        price: cost::Micros(1),
        at: time::Tick(0),
        earlier: Vec::new(),
    };
    let Ok(slot) = daemon.context.ledger.reserve() else { panic!("no slot") };
    slot.bill(record);
}

#[tokio::test(flavor = "multi_thread")]
async fn second_holder_writes_unconfirmed_records() {
    let platform = memory::Memory::new(1).platform();
    let authority = tls::Authority::generate().unwrap();
    let mut daemons = Vec::new();
    for vm in ["vm-a", "vm-b"] {
        let settings = settings(vm);
        let identity = authority.sign(&settings.vm, &settings.zone).unwrap();
        let platform = platform.clone();
        let start_daemon = move || start::start(settings, &platform, &identity);
        daemons.push(tokio::task::spawn_blocking(start_daemon).await.unwrap().unwrap());
    }
    let second = daemons.pop().unwrap();
    let first = daemons.pop().unwrap();
    let members = || {
        let views = first.context.views.get();
        views.zones.values().map(|view| view.members.len()).sum::<usize>()
    };
    wait_until("both are members", || members() == 2).await;
    bill(&first, "confirmed");
    wait_until("the copy", || second.context.ledger.held_count() == 1).await;
    first.context.ledger.flush().await;
    wait_until("the confirmation", || second.context.ledger.held_count() == 0).await;
    bill(&first, "held");
    wait_until("another copy", || second.context.ledger.held_count() == 1).await;
    second.stop().await;
    // The first daemon has not written its record, as if it had crashed.
    let totals = billing::Billing::new(platform.objects).totals().await.unwrap();
    let targets: Vec<_> = totals.into_keys().map(|line| line.target).collect();
    assert_eq!(targets, ["confirmed", "held"]);
}
