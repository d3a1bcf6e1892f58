// Package cwsettings reads the settings of one entry VM from JSON with
// comments, sets defaults and validates them.
package cwsettings

import (
	"os"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
)

// Settings are the settings of one entry VM.
type Settings struct {
	// VM is the ID of this entry VM.
	VM carobward.VMID `json:"vm"`
	// Domain is the failure domain of this entry VM.
	Domain carobward.Domain `json:"domain"`
	// Listen has the addresses of the four listeners.
	Listen Listen `json:"listen"`
	// Store is the key-value service of the platform.
	Store Store `json:"store"`
	// List is the VM list of the platform.
	List List `json:"list"`
	// Keys names the files with the keys of peers and operators.
	Keys Keys `json:"keys"`
	// Limits are the limits for requests and connections of callers.
	Limits Limits `json:"limits"`
	// Link limits the connections to servers.
	Link Link `json:"link"`
	// Route has parameters of the choice of servers and entry VMs.
	Route Route `json:"route"`
	// Probe configures the probes of servers that have no recent traffic.
	Probe Probe `json:"probe"`
	// Keep is how long a caller may use a lookup reply.
	Keep carobward.Duration `json:"keep"`
	// Stop is the maximum duration of a graceful stop, up to the exit of the
	// process.
	Stop carobward.Duration `json:"stop"`
	// Once limits the stored outcomes of requests that must not repeat.
	Once Once `json:"once"`
	// Trace configures the export of spans.
	Trace Trace `json:"trace"`
	// Log is the lowest level that is logged: debug, info or error.
	Log string `json:"log"`
}

// Listen has the addresses of the four listeners.
type Listen struct {
	// Callers is the address for the requests of callers.
	Callers carobward.Address `json:"callers"`
	// Lookup is the address where callers look up which entry VMs to use.
	Lookup carobward.Address `json:"lookup"`
	// Peers is the address for the other entry VMs, over TCP and UDP.
	Peers carobward.Address `json:"peers"`
	// Operators is the address for the operators' client.
	Operators carobward.Address `json:"operators"`
}

// Store configures the access to the key-value service.
type Store struct {
	// URL is the base URL of the service.
	URL string `json:"url"`
	// Prefix is the common prefix of all keys that are used.
	Prefix string `json:"prefix"`
	// Timeout is the timeout of one call. It does not apply to watches, which
	// wait for a change.
	Timeout carobward.Duration `json:"timeout"`
}

// List configures the access to the VM list.
type List struct {
	// URL is the complete URL of the list.
	URL string `json:"url"`
	// Every is the interval between two reads.
	Every carobward.Duration `json:"every"`
}

// Keys names key files. An empty name means no key, which is allowed only on
// loopback addresses.
type Keys struct {
	// Peers is the file with the key that all entry VMs share.
	Peers string `json:"peers"`
	// Operators is the file with the operators' key.
	Operators string `json:"operators"`
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	// Header is the maximum size of a request header in bytes.
	Header carobward.ByteCount `json:"header"`
	// Body is the maximum size of a request body in bytes. A target may set a
	// lower limit.
	Body carobward.ByteCount `json:"body"`
	// Bodies is the maximum memory of the bodies of all concurrent requests.
	Bodies carobward.ByteCount `json:"bodies"`
	// Calls is the maximum number of requests in flight.
	Calls int `json:"calls"`
	// Conns is the maximum number of open connections from callers.
	Conns int `json:"conns"`
	// ConnsPerIP is the maximum number of open connections from one IP
	// address.
	ConnsPerIP int `json:"connsPerIP"`
	// Read is the timeout for reading a whole request.
	Read carobward.Duration `json:"read"`
	// Write is the timeout for writing a complete reply.
	Write carobward.Duration `json:"write"`
	// Idle is how long a connection may wait for its next request.
	Idle carobward.Duration `json:"idle"`
}

// The destinations of spans.
const (
	TraceOff    = "off"
	TraceStdout = "stdout"
	TraceHTTP   = "http"
)

// Trace configures the export of spans.
type Trace struct {
	// To is the destination: off, stdout or http (OTLP over HTTP).
	To string `json:"to"`
	// URL is the URL of the collector, if To is http.
	URL string `json:"url"`
	// Share is the fraction of requests that are traced, from 0 to 1, unless
	// the caller has decided whether to trace a request.
	Share float64 `json:"share"`
}

// The default values of the settings.
const (
	defaultPrefix       = "carobward/"
	defaultStoreTimeout = 2 * time.Second
	defaultListEvery    = time.Second
	defaultHeader       = 16 * carobward.Kilobyte
	defaultBody         = carobward.Megabyte
	defaultBodies       = 128 * carobward.Megabyte
	defaultCalls        = 4096
	defaultConns        = 8192
	defaultConnsPerIP   = defaultConns / 4
	defaultRead         = 5 * time.Second
	defaultWrite        = 5 * time.Second
	defaultIdle         = time.Minute
	defaultKeep         = 5 * time.Second
	defaultStop         = 30 * time.Second
	defaultLog          = "info"
	defaultTraceShare   = 0.01
)

// Defaults returns settings with the default of every key that has one.
func Defaults() Settings {
	return Settings{
		Store: Store{Prefix: defaultPrefix, Timeout: carobward.Duration(defaultStoreTimeout)},
		List:  List{Every: carobward.Duration(defaultListEvery)},
		Limits: Limits{
			Header: defaultHeader,
			Body:   defaultBody,
			Bodies: defaultBodies,
			Calls:  defaultCalls,
			Conns:  defaultConns,
			Read:   carobward.Duration(defaultRead),
			Write:  carobward.Duration(defaultWrite),
			Idle:   carobward.Duration(defaultIdle),

			ConnsPerIP: defaultConnsPerIP,
		},
		Link:  defaultLink(),
		Route: defaultRoute(),
		Probe: defaultProbe(),
		Keep:  carobward.Duration(defaultKeep),
		Stop:  carobward.Duration(defaultStop),
		Once:  defaultOnce(),
		Trace: Trace{To: TraceOff, Share: defaultTraceShare},
		Log:   defaultLog,
	}
}

// Parse reads settings from JSON with comments over the defaults and
// validates them. The error lists every problem with its place in the file,
// which it calls name.
func Parse(name string, raw []byte) (Settings, error) {
	s := Defaults()

	places, err := cwjson.Decode(name, raw, &s)
	if err != nil && !places.Has("") {
		return s, err
	}

	return s, cwjson.MergeProblems(err, setPlaces(s.Validate(), places))
}

// Load reads a settings file, sets defaults and validates it.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}

	return Parse(path, raw)
}
