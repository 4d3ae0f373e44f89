//! Bodies that are sent while they arrive.

use bytes::Bytes;
use http_body_util::BodyExt;
use savoryvane_server::stream_body;

#[tokio::test]
async fn a_body_that_is_finished_is_complete() {
    let (sender, body) = stream_body();
    for part in ["a", "", "b"] {
        sender.send(Bytes::from(part)).await.unwrap();
    }
    sender.finish().await;
    assert_eq!(body.collect().await.unwrap().to_bytes(), "ab");
}

#[tokio::test]
async fn a_body_whose_sender_is_gone_is_not_complete() {
    let (sender, mut body) = stream_body();
    sender.send(Bytes::from("a")).await.unwrap();
    drop(sender);
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.unwrap().is_err());
    assert!(body.frame().await.is_none());
}

#[tokio::test]
async fn a_body_whose_sender_panics_is_not_complete() {
    let (sender, body) = stream_body();
    let task = tokio::spawn(async move {
        sender.send(Bytes::from("a")).await.unwrap();
        panic!("ends the task");
    });
    assert!(task.await.is_err());
    assert!(body.collect().await.is_err());
}

#[tokio::test]
async fn the_sender_of_a_body_that_is_dropped_stops() {
    let (sender, body) = stream_body();
    drop(body);
    sender.closed().await;
    assert!(sender.send(Bytes::from("a")).await.is_none());
    sender.finish().await;
}
