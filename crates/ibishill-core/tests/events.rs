//! The catalogue of events lists exactly the events of the code; secrets are redacted.

use ibishill_core::event;

#[test]
fn catalogue_matches_code() {
    let catalogue = include_str!("../../../docs/EVENTS.md");
    let rows: Vec<_> = catalogue.lines().filter(|line| line.starts_with("| E")).collect();
    let row = |event: &event::Event| {
        format!("| E{} | {} | {} |", event.number(), event.level(), event.text())
    };
    for event in event::Event::ALL {
        let wanted = row(event);
        assert!(
            rows.iter().any(|row| row.starts_with(&wanted)),
            "missing in docs/EVENTS.md: {wanted}"
        );
    }
    assert_eq!(rows.len(), event::Event::ALL.len());
}

#[test]
fn secret_is_redacted() {
    let secret = ibishill_core::secret::Secret::new("hidden");
    assert_eq!(format!("{secret} {secret:?}"), "*** Secret(***)");
}
