//! Which responses are believed of the request for which they were received.

use savoryvane_core::forwarding::{
    Attribution,
    ConnectionHistory::{Kept, New},
    NamedRequest, holds_status_line,
};

#[test]
fn a_head_without_identifier_is_believed_on_a_new_connection_only() {
    let untied = Attribution::of(NamedRequest::None, Kept);
    assert_eq!(untied, Attribution::Untied);
    assert_eq!(Attribution::of(NamedRequest::None, New), Attribution::Own);
}

#[test]
fn a_head_that_names_a_request_belongs_to_that_one() {
    for history in [New, Kept] {
        let own = Attribution::of(NamedRequest::This, history);
        let foreign = Attribution::of(NamedRequest::Another, history);
        assert_eq!((own, foreign), (Attribution::Own, Attribution::Foreign));
    }
}

#[test]
fn the_next_status_line_is_found_within_a_value() {
    for joined in [
        "1HTTP/1.1 200 OK",
        "HTTP/1.0 503",
        "a HTTP/1.HTTP/1.1 404 Not Found",
    ] {
        assert!(holds_status_line(joined.as_bytes()), "{joined}");
    }
    for sound in [
        "",
        "1.1 proxy",
        "HTTP/1.1",
        "HTTP/1.1 ok",
        "HTTP/2 200 OK",
        "HTTP/1.1 20",
    ] {
        assert!(!holds_status_line(sound.as_bytes()), "{sound}");
    }
}
