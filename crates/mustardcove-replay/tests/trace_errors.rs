//! Malformed traces are refused with file, line and reason.

#[path = "support/small.rs"]
mod small;

use mustardcove_replay::Trace;

fn refusal(lines: &[&str]) -> String {
    let text = [&[small::HEADER], lines].concat().join("\n");
    Trace::parse("some.jsonl", &text).expect_err("the trace is malformed").to_string()
}

fn assert_refused(line: &str, reason: &str) {
    let refusal = refusal(&[line]);
    assert!(refusal.starts_with("some.jsonl:2: "), "{line}: {refusal}");
    assert!(refusal.contains(reason), "{line}: {refusal}");
}

/// Guards against malformed lines that are silently skipped.
#[test]
fn lines_refused() {
    let cases = [
        ("nonsense", "expected"),
        ("{\"at_ms\":1}", "missing field `kind`"),
        ("{\"kind\":\"earthquake\",\"at_ms\":1}", "unknown variant `earthquake`"),
        ("{\"kind\":\"rack\",\"at_ms\":1,\"rack\":\"east-a-r1\",\"action\":\"stolen\"}", "stolen"),
        (
            "{\"kind\":\"rack\",\"at_ms\":1,\"rack\":\"north-r1\",\"action\":\"lost\"}",
            "rack north-r1",
        ),
        ("{\"kind\":\"worker\",\"at_ms\":1,\"worker\":\"w9\",\"action\":\"failure\"}", "worker w9"),
        (
            "{\"kind\":\"process\",\"at_ms\":1,\"process\":\"sched-9\",\"action\":\"kill\"}",
            "sched-9",
        ),
        (
            "{\"kind\":\"region\",\"at_ms\":1,\"region\":\"north\",\"action\":\"cut\"}",
            "region north",
        ),
        ("{\"kind\":\"store\",\"at_ms\":1,\"action\":\"slow\"}", "slow needs delay_ms"),
        ("{\"kind\":\"store\",\"at_ms\":1,\"action\":\"outage\",\"permille\":3}", "and no other"),
        ("{\"kind\":\"load\",\"at_ms\":1,\"factor\":0}", "factor has to be positive"),
        ("{\"kind\":\"load\",\"at_ms\":1,\"factor\":2,\"class\":\"x\"}", "class x is not known"),
        ("{\"kind\":\"configuration\",\"at_ms\":1,\"member\":\"x\"}", "member x is not known"),
        ("{\"kind\":\"operators\",\"at_ms\":1,\"member\":\"x\",\"count\":2}", "member x"),
        ("{\"kind\":\"report\",\"at_ms\":1,\"lag_ms\":1}", "missing field `noise`"),
        ("{\"kind\":\"cancel\",\"at_ms\":1,\"key\":\"a b\",\"count\":1}", "idempotency key"),
        (
            "{\"kind\":\"cancel\",\"at_ms\":1,\"key\":\"a\",\"count\":1,\"why\":1}",
            "unknown field `why`",
        ),
        ("{\"kind\":\"cancel\",\"at_ms\":99000,\"key\":\"a\",\"count\":1}", "after the end"),
        ("{\"kind\":\"expect\",\"metric\":\"violations\"}", "needs at_most or at_least"),
        ("{\"kind\":\"expect\",\"metric\":\"speed\",\"at_most\":1}", "unknown variant `speed`"),
        ("{\"kind\":\"expect\",\"metric\":\"p99_ms\",\"at_most\":1}", "needs a class"),
        (
            "{\"kind\":\"expect\",\"metric\":\"violations\",\"class\":\"job\",\"at_most\":0}",
            "no class",
        ),
        (
            "{\"kind\":\"expect\",\"metric\":\"violations\",\"at_most\":0,\"x\":1}",
            "unknown field `x`",
        ),
        (small::HEADER, "second header"),
    ];
    for (line, reason) in cases {
        assert_refused(line, reason);
    }
}

/// Guards against arrivals that the run would silently drop.
#[test]
fn arrivals_refused() {
    let arrival = |member: &str, class: &str| {
        format!(
            "{{\"kind\":\"arrival\",\"at_ms\":1,\"member\":\"{member}\",\"class\":\"{class}\",\
             \"key\":\"a\",\"run_ms\":5}}"
        )
    };
    assert_refused(&arrival("x", "job"), "member x is not known");
    assert_refused(&arrival("coop", "x"), "class x is not known");
    let stream = small::STREAMS.trim().lines().next().unwrap();
    assert_refused(&stream.replace("\"per_s\":20", "\"per_s\":0"), "positive rate");
    assert_refused(&stream.replace("[5,10]", "[10,5]"), "least and greatest");
    assert!(refusal(&[stream, stream]).contains("used by another stream"));
    assert!(refusal(&[stream, stream]).starts_with("some.jsonl:3: "));
}

/// Guards against events that would be applied out of order.
#[test]
fn order_refused() {
    let cancel = |at| format!("{{\"kind\":\"cancel\",\"at_ms\":{at},\"key\":\"a\",\"count\":1}}");
    let refusal = refusal(&[&cancel(5), &cancel(4)]);
    assert_eq!(refusal, "some.jsonl:3: events have to be in order of time");
}

/// Guards against headers that would be accepted but not mean what their
/// author intended.
#[test]
fn headers_refused() {
    let cases = [
        ("\"version\":1", "\"version\":2", "version 2 is not known"),
        ("\"seed\":1", "\"seed\":1,\"speed\":2", "unknown field `speed`"),
        ("\"shards\":4", "\"shards\":0", "have to be positive"),
        ("\"region\":\"east\"", "\"region\":\"north\"", "region north is not known"),
        ("\"rack_size\":2", "\"rack_size\":0", "rack_size has to be positive"),
        ("\"cpu\":\"16\"", "\"cpu\":16", "invalid type"),
        ("\"classes\":[\"check\"", "\"classes\":[\"x\"", "class x is not known"),
        ("\"service\":\"desk\"}", "\"service\":\"x\"}", "service x does not exist"),
        ("\"domain\":\"west-a\",\"count\":1", "\"domain\":\"x\",\"count\":1", "failure domain x"),
    ];
    for (from, to, reason) in cases {
        let header = small::HEADER.replace(from, to);
        assert_ne!(header, small::HEADER, "{from} is in the header");
        let refusal = Trace::parse("some.jsonl", &header).expect_err(reason).to_string();
        assert!(refusal.starts_with("some.jsonl:1: "), "{refusal}");
        assert!(refusal.contains(reason), "{to}: {refusal}");
    }
    let refusal = Trace::parse("some.jsonl", "").expect_err("empty").to_string();
    assert_eq!(refusal, "some.jsonl:1: the trace is empty");
}
