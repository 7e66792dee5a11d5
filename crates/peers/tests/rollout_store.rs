//! Rollout records survive a restart, and nothing is promoted if the store rejects or loses records.
use cherrypass::ids::LocationId;
use cherrypass::time::{Span, UnixTime};
use cherrypass_fleet::{node, rollout};
use cherrypass_peers::{FromFleet, Member, Order, Peers, Settings, ToFleet};
use cherrypass_store::disk::{Disk, Folder};
use cherrypass_store::engine::Options;
use cherrypass_store::store::Store;
use rollout::{AfterHalt, Plan, Version};
use std::net::UdpSocket;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

fn store(disk: Arc<dyn Disk>) -> Arc<Store> {
    Arc::new(Store::open_on(disk, Options::default(), Arc::new(|| UnixTime(1)), None).unwrap())
}

fn folder(path: &Path) -> Arc<dyn Disk> {
    Arc::new(Folder::lock(path).unwrap())
}

/// Starts a fleet of one member; the receiver yields the rules put into force.
fn start(store: Arc<Store>) -> (Peers, Receiver<(u64, String)>) {
    let listen = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut settings = Settings::new("shop", "d1", listen);
    settings.members = vec![Member { name: "d1".into(), address: listen, location: LocationId(0) }];
    let rollout = rollout::Settings { store_rest: Span::millis(200), ..rollout::Settings::default() };
    settings.protocols = node::Settings { rollout: Some(rollout), ..node::Settings::default() };
    let (to, rules) = channel();
    let notify = move |message| {
        if let FromFleet::Rules { number, text } = message {
            let _ = to.send((number, text.to_string()));
        }
    };
    (Peers::start(settings, Some(store), notify, |line| println!("{line}")).unwrap(), rules)
}

fn version(number: u64) -> Order {
    let order = vec![LocationId(0)];
    let (hold, after_halt) = (Span::seconds(60.0), AfterHalt::Stay);
    let plan = Plan { order, first: 1000, hold, visits: 1, after_halt };
    Order::Start(Version { number, text: format!("{{\"n\":{number}}}"), plan })
}

fn next_rules(rules: &Receiver<(u64, String)>) -> Option<u64> {
    rules.recv_timeout(Duration::from_secs(5)).ok().map(|(number, text)| {
        assert_eq!(text, format!("{{\"n\":{number}}}"));
        number
    })
}

#[test]
fn rules_survive_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let (peers, rules) = start(store(folder(dir.path())));
    std::thread::sleep(Duration::from_millis(500));
    peers.send(ToFleet::Order(version(7)));
    assert_eq!(next_rules(&rules), Some(7));
    drop(peers);
    let (_peers, rules) = start(store(folder(dir.path())));
    assert_eq!(next_rules(&rules), Some(7));
}

#[cfg(feature = "faults")]
#[test]
fn disk_faults_prevent_promotion() {
    use cherrypass_peers::disk::FaultyDisk;
    let (dir, orders) = (tempfile::tempdir().unwrap(), tempfile::NamedTempFile::new().unwrap());
    let faulty = || Arc::new(FaultyDisk::new(folder(dir.path()), orders.path().to_owned()));
    let set_orders = |what: &str| std::fs::write(orders.path(), what).unwrap();
    let (peers, rules) = start(store(faulty()));
    std::thread::sleep(Duration::from_millis(500));
    set_orders("stall 300\n");
    peers.send(ToFleet::Order(version(1)));
    assert_eq!(next_rules(&rules), Some(1));
    // Acknowledged, but lost with the process.
    set_orders("lose\n");
    peers.send(ToFleet::Order(Order::Halt));
    std::thread::sleep(Duration::from_millis(500));
    drop(peers);
    set_orders("");
    let (peers, rules) = start(store(faulty()));
    assert_eq!(next_rules(&rules), Some(1));
    drop(peers);
    for fault in ["full\n", "error\n"] {
        let dir = tempfile::tempdir().unwrap();
        set_orders("");
        let (peers, rules) =
            start(store(Arc::new(FaultyDisk::new(folder(dir.path()), orders.path().to_owned()))));
        std::thread::sleep(Duration::from_millis(500));
        set_orders(fault);
        peers.send(ToFleet::Order(version(2)));
        assert!(rules.recv_timeout(Duration::from_secs(1)).is_err(), "{fault}");
    }
}
