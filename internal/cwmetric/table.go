package cwmetric

import "strings"

// Metric documents a metric. A word in capitals in its path stands for any name.
type Metric struct {
	Path string
	// Unit is the unit of its value. A gauge may also fall.
	Unit string
	Doc  string
}

// Units of several metrics.
const (
	unitRequests = "requests"
	unitVMs      = "entry VMs"
	unitBytes    = "bytes"
	unitConns    = "connections"
	unitCalls    = "calls"
	unitSends    = "sends"
)

// Table has all metrics of an entry VM. docs/operators.md lists them, too.
var Table = []Metric{
	{"requests/TARGET/VERDICT/CLASS", unitRequests, "Answers to callers by target (- where none matched), by verdict and by class of the HTTP status."},
	{"requests/TARGET/latency/count", unitRequests, "Answers with a recorded latency, from the complete request to the complete answer."},
	{"requests/TARGET/latency/sum", "milliseconds", "The sum of those latencies."},
	{"requests/TARGET/latency/below/END", unitRequests, "Those with a latency of at most END and more than half of it."},
	{"node/flight", unitRequests, "Callers' requests in flight now."},
	{"node/revision", "", "The revision in force on this entry VM."},
	{"node/live", unitVMs, "Entry VMs that answer heartbeats now, including this one."},
	{"node/suspect", unitVMs, "Entry VMs that have missed heartbeats and are suspected now."},
	{"node/leaving", unitVMs, "Entry VMs that have announced that they are stopping."},
	{"node/dead", unitVMs, "Entry VMs that are considered dead now."},
	{"entry/hedges", "attempts", "Second attempts at a slow request, within the target's budget."},
	{"entry/retries", "attempts", "Attempts after a failed attempt, within the target's budget."},
	{"entry/shed", unitRequests, "Requests refused because no server had a free slot in time."},
	{"config/adopted", "revisions", "Revisions that took effect on this entry VM."},
	{"config/full_copies", "copies", "Complete configurations received instead of changes."},
	{"config/alarms", "alarms", "Configurations of the store or a peer that were rejected: an older one, or one with another history. Investigate immediately."},
	{"config/alarm", "", "A gauge: 1 while an alarm is active, else 0; the status shows which."},
	{"config/ready", "", "A gauge: 1 once a configuration is in force, 0 on a new entry VM that still refuses requests."},
	{"config/age", "milliseconds", "A gauge: the time since the revision in force was last known to be the newest; negative if it never was."},
	{"config/exchanges_failed", "exchanges", "Requests to peers for the newest revision that got no answer."},
	{"config/exchange_bytes_sent", unitBytes, "Bytes of the requests to peers for the newest revision."},
	{"config/exchange_bytes_received", unitBytes, "Bytes of the answers to them."},
	{"store/reads", unitCalls, "Reads of the store."},
	{"store/watches", unitCalls, "Watches of the store; a waiting one counts as one call."},
	{"store/writes", unitCalls, "Writes to the store."},
	{"store/failed", unitCalls, "Calls to the store that failed."},
	{"member/pulls", "exchanges", "Complete member lists fetched from a peer."},
	{"member/bytes_in", unitBytes, "Bytes of heartbeats received."},
	{"member/bytes_out", unitBytes, "Bytes of heartbeats sent."},
	{"member/refused", "datagrams", "Heartbeats with a wrong key or malformed. More than a few mean that a sender has another key."},
	{"member/suspicions", unitVMs, "Times that an entry VM became suspect."},
	{"member/deaths", unitVMs, "Times that an entry VM was declared dead."},
	{"member/refutations", "times", "Times that this entry VM had to refute that it is suspect or dead."},
	{"member/pauses", "times", "Times that this entry VM detected that it had been paused."},
	{"measuring/calls", "operations", "Measuring operations of this entry VM since its start; the budget applies to the sum over all entry VMs."},
	{"measuring/bytes", unitBytes, "Bytes of them."},
	{"measuring/unasked", unitBytes, "Bytes of load reports that servers sent without a request, which no budget can limit."},
	{"measuring/newscalls", "exchanges", "Exchanges with peers about leaving servers."},
	{"measuring/newsbytes", unitBytes, "Bytes of them."},
	{"tickets/records", "outcomes", "Outcomes of run-once work that are stored now; the limit is once.records."},
	{"tickets/closed", "tickets", "Tickets that were closed before their work ran and are stored now."},
	{"tickets/bytes", unitBytes, "Memory used by the outcomes now; the limit is once.bytes."},
	{"measuring/calls", unitCalls, "Measuring operations of this entry VM so far; they count against the operators' budget."},
	{"measuring/bytes", unitBytes, "Bytes of them."},
	{"measuring/unasked", unitBytes, "Bytes of load reports that servers sent without a request."},
	{"measuring/newscalls", unitCalls, "Exchanges with peers about leaving servers."},
	{"measuring/newsbytes", unitBytes, "Bytes of them."},
	{"memstats", "", "Memory statistics of the Go runtime, runtime.MemStats."},
	{"cmdline", "", "The command line of the process."},
	{"front/looks", "health checks", "Health checks of servers, made right before a request is sent."},
	{"front/sends", unitSends, "Requests handed to a server."},
	{"front/again", unitSends, "Sends after the first one of a request."},
	{"front/refused", unitSends, "Sends that a server refused although its load report showed a free slot."},
	{"front/denied", unitSends, "Further sends that were denied because their limit was reached."},
	{"extra/SERVICE/requests", unitRequests, "What the limit on extra calls counts within its window now: the requests of a service at this entry VM."},
	{"extra/SERVICE/extras", unitSends, "The retries and hedges in that window."},
	{"extra/SERVICE/bound", unitSends, "How many the window allows this entry VM."},
	{"extra/SERVICE/available", unitSends, "How many it may make at once: what its requests have earned and not used, and what is left of its part of the fixed number. A process begins with less than one."},
	{"extra/SERVICE/age", "milliseconds", "For how long this process has run."},
	{"front/quarantined", unitRequests, "Requests refused because servers crashed while they ran such a request before."},
	{"front/faults", unitRequests, "Requests that hit a bug of the entry VM; the log has each one with its stack. Report it."},
	{"quarantine/held", unitRequests, "Quarantined requests, each counted once however often it is received. If above zero, see docs/operators.md."},
	{"quarantine/crashes", "crashes", "Recorded crashes of servers with a request in flight, one for each request."},
	{"quarantine/waiting", "records", "Records that wait to be written to the store."},
	{"quarantine/dropped", "records", "Records dropped because too many waited."},
	{"gateway/flight", unitRequests, "Callers' requests in flight now, on the users' platform."},
	{"front/stopping", unitRequests, "Requests refused because this entry VM was stopping and the answer might have come too late."},
	{"conns/waiting", unitConns, "Callers' connections of which nothing of the next request has been read, on the users' platform."},
	{"conns/reading", unitConns, "Callers' connections of which a part of a request has been read."},
	{"conns/busy", unitConns, "Callers' connections with a request in progress, until its answer has been written."},
	{"conns/failed", "errors", "Connections that could not be accepted for lack of descriptors or memory; the log has the listener. If above zero, raise the limit of descriptors or add entry VMs."},
	{"gateway/servers", "servers", "Backend servers known now."},
	{"gateway/peers", unitVMs, "Other entry VMs that answer now."},
	{"gateway/fresh", "milliseconds", "The time since the replica of the store was last known to be up to date: usually below a second."},
	{"gateway/unusable", "servers", "Invalid entries in the server list; the log has each one with its field. If above zero, another program writes there."},
	{"gateway/index", "", "The index of the store up to which the replica is complete; all entry VMs have the same within a second."},
	{"gateway/version", "", "The version of the configuration in force."},
	{"gateway/dropped", "lines", "Log lines dropped because the buffer was full."},
}

// Find returns the metric of a path, which is its names joined by slashes.
func Find(path string) (Metric, bool) {
	for _, m := range Table {
		if matches(m.Path, path) {
			return m, true
		}
	}

	return Metric{}, false
}

func matches(pattern, path string) bool {
	for pattern != "" && path != "" {
		var want, got string

		want, pattern, _ = strings.Cut(pattern, "/")
		got, path, _ = strings.Cut(path, "/")

		if want != got && want != strings.ToUpper(want) {
			return false
		}
	}

	return pattern == "" && path == ""
}
