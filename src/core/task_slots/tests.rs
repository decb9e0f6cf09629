use super::*;
use crate::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber, TaskId};
use crate::wire::{ExitCause, Heartbeat, TaskPhase, TaskStatus};

/// JSON with a space after each comma and colon, as some workers write it. No string in a heartbeat contains either.
fn with_spaces(heartbeat: &Heartbeat) -> String {
    let compact = serde_json::to_string(heartbeat).unwrap();
    compact.replace(',', ", ").replace(':', ": ")
}

/// The report of a machine with 100,000 tiny tasks passed the size that controllers accept, and the machine was
/// terminated with the tasks of all users.
#[test]
fn longest_heartbeat_of_a_full_machine_fits_in_a_body() {
    let causes = [ExitCause::Done, ExitCause::Halted, ExitCause::MatesGone, ExitCause::Alone, ExitCause::Error]
        .into_iter()
        .chain([ExitCause::NoRoom, ExitCause::InUse, ExitCause::Unknown, ExitCause::Other]);
    for cause in causes {
        let status = TaskStatus {
            task: TaskId::parse("req-999999999999999999/99999"),
            attempt: Attempt(u64::MAX),
            phase: TaskPhase::Exited,
            cause: Some(cause),
            progress_saved: Some(false),
        };
        let heartbeat = Heartbeat {
            machine: "m".repeat(100),
            endpoint: "e".repeat(100),
            machine_type: "t".repeat(100),
            zone: "z".repeat(100),
            spot: false,
            agent_epoch: AgentEpoch(u64::MAX),
            sequence: SequenceNumber(u64::MAX),
            token: FencingToken(u64::MAX),
            notice_s: Some(f64::MAX),
            tasks: vec![status; MAX_TASKS_PER_MACHINE as usize],
        };
        assert!(with_spaces(&heartbeat).len() <= MAX_BODY_BYTES, "{cause:?}: {}", with_spaces(&heartbeat).len());
    }
}
