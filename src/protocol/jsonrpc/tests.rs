use super::*;

#[test]
fn errors_have_standard_codes() {
    let code = |text: &str| match parse(text.as_bytes()) {
        Err(error) | Ok(Post::Single(Err((_, error)))) => error.code(),
        other => panic!("{other:?}"),
    };
    assert_eq!(code("{"), -32700);
    assert_eq!(code("[]"), -32600);
    assert_eq!(code("3"), -32600);
    assert_eq!(code(r#"{"jsonrpc":"1.0","id":1,"method":"x"}"#), -32600);
    assert_eq!(code(r#"{"jsonrpc":"2.0","id":null,"method":"x"}"#), -32600);
    assert_eq!(code(r#"{"jsonrpc":"2.0","id":1,"method":3}"#), -32600);
    assert_eq!(tool(&json!({"name": "a", "arguments": [1]})).map_err(|e| e.code()), Err(-32602));
    assert_eq!(tool(&json!({"arguments": {}})).map_err(|e| e.code()), Err(-32602));
    let refused = response(&json!(7), &Err(RpcError::Refused(Some(50_000))));
    assert_eq!(refused["error"]["data"], json!({"retry_after_ms": 50}));
}

#[test]
fn events_split_across_reads_are_assembled() {
    let mut events = Events::default();
    assert_eq!(events.feed(b": note\ndata: {\"a\""), Some(vec![]));
    assert_eq!(
        events.feed(b":1}\r\n\r\ndata: x\ndata: y\n\n"),
        Some(vec!["{\"a\":1}".into(), "x\ny".into()])
    );
    assert_eq!(events.feed(&vec![b'z'; MAX_EVENT_BYTES + 1]), None);
}
