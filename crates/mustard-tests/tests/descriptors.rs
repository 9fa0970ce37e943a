//! The daemons use no io_uring and start no child processes.
#![allow(clippy::unwrap_used)]

use std::fs;

use mustard_tests::{Cluster, Plan};

#[test]
fn daemons_no_io_uring_and_no_children() {
    let cluster = Cluster::start(&Plan::new()).unwrap();
    let nodes = cluster.stages.iter().chain(&cluster.services);
    let agents = nodes.map(|node| &node.agent);
    for daemon in cluster.entries.iter().chain(agents) {
        let dir = format!("/proc/{}", daemon.id());
        for fd in fs::read_dir(format!("{dir}/fd")).unwrap() {
            // The descriptor may be closed after the directory was listed.
            let Ok(target) = fs::read_link(fd.unwrap().path()) else {
                continue;
            };
            let target = target.display().to_string();
            assert!(
                !target.contains("io_uring"),
                "{} has a descriptor of {target}",
                daemon.name()
            );
        }
        for task in fs::read_dir(format!("{dir}/task")).unwrap() {
            let children = task.unwrap().path().join("children");
            let children = fs::read_to_string(children).unwrap_or_default();
            assert_eq!(children.trim(), "", "{} has child processes", daemon.name());
        }
    }
}
