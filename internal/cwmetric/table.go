package cwmetric

import "strings"

// Metric says what one metric means. In its path a word in capitals stands
// for any name.
type Metric struct {
	Path string
	// Unit is what it counts or measures; a gauge may also fall.
	Unit string
	Doc  string
}

// The units that come often.
const (
	unitRequests = "requests"
	unitVMs      = "entry VMs"
	unitBytes    = "bytes"
	unitCalls    = "calls"
)

// Table has every metric of an entry VM. docs/operators.md has the same.
var Table = []Metric{
	{"requests/TARGET/VERDICT/CLASS", unitRequests, "Answers to callers by target (- where none matched), by verdict and by class of the HTTP status."},
	{"requests/TARGET/latency/count", unitRequests, "Answers whose time was taken, from the whole request to the whole answer."},
	{"requests/TARGET/latency/sum", "milliseconds", "The sum of those times."},
	{"requests/TARGET/latency/below/END", unitRequests, "Those that took at most END and more than half of it."},
	{"node/flight", unitRequests, "Callers' requests in flight now."},
	{"node/revision", "", "The revision in force here now."},
	{"node/live", unitVMs, "Those that answer, this one among them, now."},
	{"node/suspect", unitVMs, "Those that have missed heartbeats, now."},
	{"node/leaving", unitVMs, "Those that said that they stop, now."},
	{"node/dead", unitVMs, "Those taken for dead, now."},
	{"entry/hedges", "attempts", "Second attempts at a slow request, within the target's budget."},
	{"entry/retries", "attempts", "Attempts after a failed one, within the target's budget."},
	{"entry/shed", unitRequests, "Requests refused since no server had room in time."},
	{"config/adopted", "revisions", "Revisions that came into force here."},
	{"config/full_copies", "copies", "Whole configurations taken, in place of changes."},
	{"config/alarms", "alarms", "Times that the store or a peer offered a configuration that was refused: an older one, or another history. Look at once."},
	{"config/alarm", "", "A gauge: 1 while an alarm stands, 0 else; status says which."},
	{"config/ready", "", "A gauge: 1 once the configuration is in force, 0 for a newcomer that refuses requests."},
	{"config/age", "milliseconds", "A gauge: for how long it has not been known whether the revision in force is the newest; negative for never."},
	{"config/exchanges_failed", "exchanges", "Questions to peers about the newest revision that got no answer."},
	{"config/exchange_bytes_sent", unitBytes, "Bytes of those questions."},
	{"config/exchange_bytes_received", unitBytes, "Bytes of the answers."},
	{"store/reads", unitCalls, "Reads of the store."},
	{"store/watches", unitCalls, "Watches of the store; a waiting one counts as one call."},
	{"store/writes", unitCalls, "Writes to the store."},
	{"store/failed", unitCalls, "Calls of the store that failed."},
	{"member/pulls", "exchanges", "Whole lists of members taken from a peer."},
	{"member/bytes_in", unitBytes, "Bytes of heartbeats that came."},
	{"member/bytes_out", unitBytes, "Bytes of heartbeats that were sent."},
	{"member/refused", "datagrams", "Heartbeats without the right key, or malformed. More than a few: somebody has another key."},
	{"member/suspicions", unitVMs, "Times that an entry VM became suspect."},
	{"member/deaths", unitVMs, "Times that an entry VM was taken for dead."},
	{"member/refutations", "times", "Times that this VM had to say that it lives."},
	{"member/pauses", "times", "Times that this VM found that it had stood still."},
	{"measuring/calls", "operations", "Measuring operations that this entry VM made since its start; the budget is for the sum of all."},
	{"measuring/bytes", unitBytes, "Bytes of them."},
	{"measuring/unasked", unitBytes, "Bytes of load reports that servers sent without being asked, which no budget can hold back."},
	{"measuring/newscalls", "exchanges", "Exchanges with peers about leaving servers."},
	{"measuring/newsbytes", unitBytes, "Bytes of them."},
	{"tickets/records", "outcomes", "Outcomes of run-once work that are kept now; the bound is once.records."},
	{"tickets/closed", "tickets", "Tickets closed without having run that are kept now."},
	{"tickets/bytes", unitBytes, "Memory of the outcomes now; the bound is once.bytes."},
	{"measuring/calls", unitCalls, "Measuring operations of this VM so far; they count against the operators' budget."},
	{"measuring/bytes", unitBytes, "Bytes of them."},
	{"measuring/unasked", unitBytes, "Bytes of reports that servers sent unasked."},
	{"measuring/newscalls", unitCalls, "Exchanges of news of leaving servers."},
	{"measuring/newsbytes", unitBytes, "Bytes of them."},
	{"memstats", "", "Go's own figures of memory, runtime.MemStats."},
	{"cmdline", "", "The command line of the process."},
	{"front/looks", "health checks", "Looks at servers, made right before a request is sent."},
	{"front/sends", "sends", "Requests handed to a server."},
	{"front/again", "sends", "Those of them that were not the first of their request."},
	{"front/denied", "sends", "Further sends that the bound on them did not allow."},
	{"front/quarantined", unitRequests, "Refused since servers ended under such a request before."},
	{"front/faults", unitRequests, "That met a fault of the entry VM; the log has each with its stack. Report it."},
	{"quarantine/held", unitRequests, "Requests that are not sent now, each counted once however often it comes. Above zero: see below."},
	{"quarantine/crashes", "crashes", "Ends of servers with a request in flight that are remembered, one a request."},
	{"quarantine/waiting", "records", "Records that wait for the store."},
	{"quarantine/dropped", "records", "Records dropped since too many waited."},
	{"gateway/flight", unitRequests, "On the users' platform: callers' requests in flight now."},
	{"gateway/servers", "servers", "Backend servers known now."},
	{"gateway/peers", unitVMs, "Other entry VMs that answer now."},
	{"gateway/fresh", "milliseconds", "For how long it has not been known whether the copy of the store is the newest: below a second as a rule."},
	{"gateway/unusable", "servers", "Entries in the list of servers that can't be used now; the log has each with its field. Above zero: somebody else writes there."},
	{"gateway/index", "", "The index of the store up to which the copy is complete; the same on all entry VMs within a second."},
	{"gateway/version", "", "The version of the configuration in force."},
	{"gateway/dropped", "lines", "Log lines dropped since the buffer was full."},
}

// Find returns the metric that a path, its names joined by slashes, belongs
// to.
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
