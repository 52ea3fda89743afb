//! Calls that change the configuration: idempotency, conflicts, roll-out states; diff and audit.

use ibishill_operator::generated;
use ibishill_operator::generated::RolloutAction::{Advance, Halt, Pause, Resume, Start};
use ibishill_operator::generated::operator_server::Operator;
use prost::Message;
use tonic::{Code, Request};

use crate::setup::Change::{Apply, Endpoint, Rollout, Withdraw, Zone};
use crate::setup::{Change, DOCUMENT, insecure_service, order, send};

const MORE_ZONES: &str = "zones: {fortaleza: {region: nordeste}}\npolicy: cost\n";

#[tokio::test]
async fn repeated_change_id_returns_first_result() {
    let changes = [
        Apply(DOCUMENT, false),
        Apply(MORE_ZONES, true),
        Rollout(Start, "v2"),
        Rollout(Pause, "v2"),
        Zone("recife", false),
        Endpoint("a", false),
        Withdraw("assistant@v2"),
    ];
    let service = insecure_service();
    let mut first_replies = Vec::new();
    for (index, change) in changes.iter().enumerate() {
        let id = format!("change-{index}");
        first_replies.push(send(&service, order(&id, None), change).await.unwrap());
    }
    for (index, change) in changes.iter().enumerate() {
        let repeated = send(&service, order(&format!("change-{index}"), None), change).await;
        assert_eq!(repeated.unwrap(), first_replies[index], "{change:?}");
    }
    let newest = send(&service, order("last", None), &Zone("natal", false)).await.unwrap();
    assert_eq!(newest.version, changes.len() as u64 + 1);
}

#[tokio::test]
async fn change_id_of_another_change_is_refused() {
    let cases = [
        (Zone("recife", false), Zone("natal", false)),
        (Zone("recife", false), Zone("recife", true)),
        (Zone("recife", false), Endpoint("a", false)),
        (Apply(MORE_ZONES, true), Apply(DOCUMENT, false)),
        (Rollout(Start, "v2"), Rollout(Start, "v3")),
    ];
    for (first, other) in cases {
        let service = insecure_service();
        send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
        send(&service, order("same", None), &first).await.unwrap();
        let status = send(&service, order("same", None), &other).await.unwrap_err();
        assert_eq!(status.code(), Code::AlreadyExists, "{other:?}");
    }
}

#[tokio::test]
async fn conflict_contains_winning_change() {
    let service = insecure_service();
    send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
    send(&service, order("winner", Some(1)), &Zone("recife", false)).await.unwrap();
    for change in [Zone("natal", false), Withdraw("assistant@v1"), Apply(DOCUMENT, false)] {
        let status = send(&service, order("loser", Some(1)), &change).await.unwrap_err();
        assert_eq!(status.code(), Code::Aborted);
        let conflict = generated::Conflict::decode(status.details()).unwrap();
        let winner = conflict.winner.unwrap();
        assert_eq!((winner.change_id.as_str(), winner.action.as_str()), ("winner", "zone out"));
    }
}

#[tokio::test]
async fn concurrent_changes_without_expected_version_are_all_committed() {
    let service = insecure_service();
    send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
    let (zone, endpoint) = (Zone("recife", false), Endpoint("b", false));
    let (first, other, repeated) = futures::join!(
        send(&service, order("zone", None), &zone),
        send(&service, order("endpoint", None), &endpoint),
        send(&service, order("zone", None), &zone),
    );
    assert_eq!(first.as_ref().unwrap(), repeated.as_ref().unwrap());
    assert_eq!(first.unwrap().version + other.unwrap().version, 2 + 3);
}

struct Step {
    change: Change,
    result: Result<&'static str, &'static str>,
}

const fn accepted(change: Change, line: &'static str) -> Step {
    Step { change, result: Ok(line) }
}

const fn refused(change: Change, text: &'static str) -> Step {
    Step { change, result: Err(text) }
}

#[tokio::test]
async fn rollout_actions_depend_on_state() {
    let steps = [
        refused(Rollout(Pause, "v2"), "roll-out v2 is not declared"),
        accepted(Rollout(Start, "v2"), "+ roll-out v2"),
        refused(Rollout(Start, "v2"), "roll-out v2 exists; resume it or choose another name"),
        refused(Rollout(Resume, "v2"), "roll-out v2 is running; pause, advance or halt it"),
        accepted(Rollout(Pause, "v2"), "~ roll-out v2: state running -> paused"),
        refused(Rollout(Pause, "v2"), "roll-out v2 is paused; resume, advance or halt it"),
        accepted(
            Rollout(Halt, "v2"),
            "~ roll-out v2: reason none -> tried, state paused -> halted",
        ),
        refused(Rollout(Advance, "v2"), "roll-out v2 is halted; resume it first"),
        accepted(
            Rollout(Resume, "v2"),
            "~ roll-out v2: reason tried -> none, state halted -> running",
        ),
        accepted(Rollout(Advance, "v2"), "~ roll-out v2: stage 0 -> 1"),
        accepted(Rollout(Advance, "v2"), "~ roll-out v2: state running -> done"),
        refused(Rollout(Halt, "v2"), "roll-out v2 is done; start another one"),
        accepted(Withdraw("assistant@v2"), "~ version assistant@v2: state candidate -> withdrawn"),
        refused(Rollout(Start, "again"), "version assistant@v2 is withdrawn; roll out another one"),
    ];
    let service = insecure_service();
    send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
    for (index, step) in steps.iter().enumerate() {
        let reply = send(&service, order(&format!("step-{index}"), None), &step.change).await;
        let result = reply.map(|reply| reply.steps.join("; "));
        let result = result.map_err(|status| status.message().to_owned());
        let expected = step.result.map(str::to_owned).map_err(str::to_owned);
        assert_eq!(result, expected, "{index}");
    }
}

#[tokio::test]
async fn withdrawal_halts_rollouts_to_version() {
    let service = insecure_service();
    send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
    send(&service, order("start", None), &Rollout(Start, "v2")).await.unwrap();
    let reply = send(&service, order("out", None), &Withdraw("assistant@v2")).await.unwrap();
    assert_eq!(
        reply.steps,
        [
            "~ version assistant@v2: state candidate -> withdrawn",
            "~ roll-out v2: reason none -> assistant@v2 was withdrawn, state running -> halted",
        ]
    );
    let status = send(&service, order("resume", None), &Rollout(Resume, "v2")).await.unwrap_err();
    assert_eq!(status.code(), Code::FailedPrecondition);
}

#[tokio::test]
async fn diff_lists_additions_changes_and_removals() {
    let service = insecure_service();
    send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
    let document =
        DOCUMENT.replace("state: candidate", "state: serving").replace("slots: 1", "slots: 3");
    let document = format!("policy: cost\n{document}services: {{agenda: {{}}}}\n");
    let reply = service
        .diff(Request::new(generated::DiffRequest { document, partial: false }))
        .await
        .unwrap()
        .into_inner();
    assert_eq!(
        reply.steps,
        [
            "~ policy: latency -> cost",
            "~ version assistant@v2: state candidate -> serving",
            "+ service agenda",
            "~ endpoint a: slots 1 -> 3",
            "~ endpoint b: slots 1 -> 3",
        ]
    );
    let message = generated::DiffRequest { document: MORE_ZONES.into(), partial: true };
    let partial = service.diff(Request::new(message)).await.unwrap().into_inner();
    assert_eq!(partial.steps, ["~ policy: latency -> cost", "+ zone fortaleza"]);
    let message = generated::DiffRequest { document: String::new(), partial: false };
    let empty = service.diff(Request::new(message)).await.unwrap().into_inner();
    assert_eq!(empty.steps[0], "- zone natal");
    assert_eq!(empty.steps.len(), 6);
}

#[tokio::test]
async fn audit_pages_cover_all_changes() {
    let service = insecure_service();
    send(&service, order("base", None), &Apply(DOCUMENT, false)).await.unwrap();
    for index in 0..300 {
        let change = Zone("recife", index % 2 == 1);
        send(&service, order(&format!("zone-{index}"), None), &change).await.unwrap();
    }
    let mut versions = Vec::new();
    loop {
        let after = versions.last().copied().unwrap_or(0);
        let message = generated::AuditRequest { after, limit: 0 };
        let page = service.audit(Request::new(message)).await.unwrap().into_inner().entries;
        if page.is_empty() {
            break;
        }
        versions.extend(page.iter().map(|entry| entry.version));
    }
    assert_eq!(versions, (1..=301).collect::<Vec<_>>());
}
