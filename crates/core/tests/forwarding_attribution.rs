//! Which responses are believed of the request for which they were received.

use savoryvane_core::forwarding::{
    Attribution,
    ConnectionHistory::{Kept, New},
    NamedRequest,
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
