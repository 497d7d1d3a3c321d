use super::*;

#[test]
fn only_fields_listed_in_the_settings_are_reported() {
    let fields = [ReportField::Unused, ReportField::MemoryShare];
    let read = report("TEXT util=0.61, queue=2, x0=0.25, x1=9", &fields).expect("a report");
    assert_eq!(read, Report { memory_share: Some(0.25), ..Report::default() });
    let queued = Report { waiting: Some(2.0), ..Report::default() };
    assert_eq!(report("TEXT util=0.61, queue=2", &[ReportField::Waiting]), Some(queued));
    assert_eq!(report("TEXT load_share=0.61, depth=2", &[ReportField::Waiting]), Some(queued));
    assert_eq!(report("TEXT x0=nan", &fields), None);
    assert_eq!(report("", &fields), None);
}

#[test]
fn only_the_unprocessed_header_proves_that_a_request_did_not_run() {
    let marked = HeaderMap::from_iter([(UNPROCESSED.parse().expect("a name"), http::HeaderValue::from(1))]);
    let plain = HeaderMap::new();
    let read =
        |status: u16, headers: &HeaderMap| outcome(StatusCode::from_u16(status).expect("a status"), headers);
    assert_eq!((read(503, &marked), read(503, &plain)), (Outcome::Full, Outcome::Error));
    assert_eq!((read(410, &marked), read(410, &plain)), (Outcome::NoState, Outcome::Error));
    assert_eq!((read(202, &plain), read(500, &marked)), (Outcome::Read, Outcome::Error));
    for marks in [vec!["0"], vec![""], vec!["1", "0"], vec!["1, 0"]] {
        let mut other = HeaderMap::new();
        for mark in &marks {
            other.append(UNPROCESSED, http::HeaderValue::from_static(mark));
        }
        assert_eq!((read(503, &other), read(410, &other)), (Outcome::Error, Outcome::Error), "{marks:?}");
    }
}
