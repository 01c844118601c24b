use super::*;

fn used(budget: MemoryBudget) -> u64 {
    let connections = budget.connections as u64 * CONNECTION_BYTES;
    let requests = budget.requests as u64 * REQUEST_BYTES;
    BASE_BYTES
        + connections
        + requests
        + budget.body_bytes
        + budget.head_bytes
        + budget.answer_bytes
}

#[test]
fn budgets_leave_a_quarter_of_the_memory_above_the_base() {
    for mebibytes in [64_u64, 88, 110, 256, 512] {
        let memory = mebibytes << 20;
        let budget = MemoryBudget::new(Some(memory));
        let spare = (memory - BASE_BYTES) / 4;
        assert!(used(budget) + spare <= memory, "{budget:?}");
        assert!(budget.connections >= 200, "{budget:?}");
        assert!(budget.requests >= 200, "{budget:?}");
    }
}

#[test]
fn limits_of_operators_apply_where_they_are_lower() {
    let limits = Limits {
        connections: 10,
        ..Limits::default()
    };
    let budget = MemoryBudget::new(Some(1 << 30)).within(&limits);
    assert_eq!(budget.connections, 10);
    let unlimited = MemoryBudget::new(None).within(&limits);
    assert_eq!(unlimited.requests, limits.entry_requests as usize);
    assert_eq!(unlimited.body_bytes, limits.entry_bodies);
}

#[test]
fn a_host_without_room_still_accepts_a_connection() {
    assert_eq!(MemoryBudget::new(Some(1)).connections, 1);
}

#[test]
fn sockets_leave_a_quarter_for_other_connections() {
    for sockets in [100, 824, 3_900] {
        let budget = MemoryBudget::new(None).with_sockets(sockets);
        let used = budget.connections + budget.requests;
        assert!(used <= sockets * 3 / 4, "{budget:?}");
        assert!(budget.connections >= budget.requests, "{budget:?}");
    }
    assert_eq!(MemoryBudget::new(None).with_sockets(1).connections, 1);
}
