//! A small trace for tests.

/// The header of a deployment with two regions, eight workers and four
/// processes.
pub(crate) const HEADER: &str = r#"{"kind":"header","version":1,"name":"small","description":"A small deployment.","duration_ms":20000,"seed":1,"fleet":{"regions":[{"name":"east","domains":["east-a"]},{"name":"west","domains":["west-a"]}],"workers":[{"domain":"east-a","count":4,"rack_size":2,"capacity":{"cpu":"16","memory":"64GiB"},"upstreams":[{"service":"desk","slots":4,"connections":16}]},{"domain":"west-a","count":4,"rack_size":2,"capacity":{"cpu":"16","memory":"64GiB"},"upstreams":[{"service":"desk","slots":4,"connections":16}]}],"schedulers":[{"domain":"east-a","count":1},{"domain":"west-a","count":1}],"entries":[{"domain":"east-a","count":1},{"domain":"west-a","count":1}]},"latencies":{"domain_us":100,"region_us":500,"remote_us":12000,"client_us":1000},"link":{"kbit_per_s":30000},"store":{"region":"east","service_us":2000},"shards":4,"configuration_bound_ms":3000,"services":[{"id":"desk","slot_resources":{"cpu":"500m","memory":"1GiB"}}],"classes":[{"id":"check","kind":"service","delivery":"idempotent","service":"desk"},{"id":"booking","kind":"service","delivery":"at_most_once","service":"desk"},{"id":"job","kind":"batch","delivery":"exclusive","evictable":true,"resources":{"cpu":"2","memory":"4GiB"},"expected_run_ms":2000}],"members":[{"id":"coop","cap":{"cpu":"64","memory":"256GiB"},"max_requests":200,"classes":["check","booking","job"]}]}"#;

/// Streams of idempotent and at-most-once service requests, and of batch jobs.
pub(crate) const STREAMS: &str = r#"
{"kind":"stream","key":"check","from_ms":0,"to_ms":20000,"per_s":20,"member":"coop","class":"check","run_ms":[5,10],"deadline_ms":1000,"answer_bytes":100}
{"kind":"stream","key":"booking","from_ms":0,"to_ms":20000,"per_s":5,"member":"coop","class":"booking","run_ms":[5,10],"deadline_ms":2000,"answer_bytes":100}
{"kind":"stream","key":"job","from_ms":0,"to_ms":15000,"per_s":2,"member":"coop","class":"job","run_ms":[1000,3000],"checkpoint_ms":500,"answer_bytes":100}
"#;
