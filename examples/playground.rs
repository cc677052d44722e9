//! Runs stand-ins for the environment of one node on loopback: a state service, a cloud and
//! three machines. Prints the commands to try, and runs until it is stopped.

use std::time::Duration;

#[path = "../tests/standins/mod.rs"]
mod standins;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let addrs = standins::free_addrs(2);
    let state = standins::state_service().await;
    let node = ("node-0".to_owned(), addrs[0]);
    let behaviour = standins::WorkerBehaviour {
        run_time: Duration::from_secs(3),
        ..standins::WorkerBehaviour::default()
    };
    let cloud = standins::cloud(vec![node], 3, behaviour).await;
    let settings = standins::settings(0, &[(addrs[0], addrs[1])], state, cloud);
    let path = std::env::temp_dir().join("kiteyard-playground.json");
    std::fs::write(&path, settings.to_string())?;
    println!("Start the node in a second terminal:\n");
    println!("  target/release/kiteyard --config {}\n", path.display());
    println!("Submit a job of six tasks, and query its state until it is done:\n");
    let job = standins::submission("run-000001", "array", 6);
    println!("  curl -d '{job}' http://{}/work", addrs[0]);
    println!("  curl http://{}/work/run-000001", addrs[0]);
    std::future::pending::<()>().await;
    Ok(())
}
