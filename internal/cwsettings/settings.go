// Package cwsettings holds the settings of one entry VM: JSON with comments,
// defaulted and validated as a whole before use.
package cwsettings

import (
	"os"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
)

// Settings are all settings of one entry VM.
type Settings struct {
	// VM is the id of this entry VM.
	VM carobward.VMID `json:"vm"`
	// Domain is its failure domain.
	Domain carobward.Domain `json:"domain"`
	// Listen has the four addresses to listen on.
	Listen Listen `json:"listen"`
	// Store is the platform's key-value service.
	Store Store `json:"store"`
	// List is the platform's VM list.
	List List `json:"list"`
	// Keys names the files that hold the keys of peers and operators.
	Keys Keys `json:"keys"`
	// Limits bound what callers can hold.
	Limits Limits `json:"limits"`
	// Link bounds the connections to servers.
	Link Link `json:"link"`
	// Route is for the choice of servers and of entry VMs.
	Route Route `json:"route"`
	// Probe says how servers without fresh traffic are probed.
	Probe Probe `json:"probe"`
	// Keep is how long a caller may keep an address answer.
	Keep carobward.Duration `json:"keep"`
	// Stop bounds a graceful stop, from its start to the exit.
	Stop carobward.Duration `json:"stop"`
	// Once bounds what is kept of work that runs at most once.
	Once Once `json:"once"`
	// Trace says where spans go.
	Trace Trace `json:"trace"`
	// Log is the lowest level that is logged: debug, info or error.
	Log string `json:"log"`
}

// Listen has the addresses of the four listeners.
type Listen struct {
	// Callers takes the callers' requests.
	Callers carobward.Address `json:"callers"`
	// Lookup answers which addresses a caller should use.
	Lookup carobward.Address `json:"lookup"`
	// Peers takes the other entry VMs, TCP and UDP.
	Peers carobward.Address `json:"peers"`
	// Operators takes the operators' client.
	Operators carobward.Address `json:"operators"`
}

// Store says how to reach the key-value service.
type Store struct {
	// URL is the base of the service.
	URL string `json:"url"`
	// Prefix starts every key that is used.
	Prefix string `json:"prefix"`
	// Timeout bounds one call, but for a waiting watch.
	Timeout carobward.Duration `json:"timeout"`
}

// List says how to reach the VM list.
type List struct {
	// URL is the whole address of the list.
	URL string `json:"url"`
	// Every is the time between two reads.
	Every carobward.Duration `json:"every"`
}

// Keys names key files. An empty name means no key, which is allowed on
// loopback only.
type Keys struct {
	// Peers is the file with the key that all entry VMs share.
	Peers string `json:"peers"`
	// Operators is the file with the operators' key.
	Operators string `json:"operators"`
}

// Limits bound what a caller can hold of an entry VM.
type Limits struct {
	// Header is the largest request header in bytes.
	Header carobward.ByteCount `json:"header"`
	// Body is the largest request body in bytes; a target may ask for less.
	Body carobward.ByteCount `json:"body"`
	// Bodies bounds the memory of the bodies of all requests at once.
	Bodies carobward.ByteCount `json:"bodies"`
	// Calls is the number of requests in flight at once.
	Calls int `json:"calls"`
	// Conns is the number of open connections of callers.
	Conns int `json:"conns"`
	// ConnsPerIP is the number of those from one IP number.
	ConnsPerIP int `json:"connsPerIP"`
	// Read bounds the time to read one whole request.
	Read carobward.Duration `json:"read"`
	// Write bounds the time to write one whole reply.
	Write carobward.Duration `json:"write"`
	// Idle bounds the time that a connection waits for its next request.
	Idle carobward.Duration `json:"idle"`
}

// The places that spans can go to.
const (
	TraceOff    = "off"
	TraceStdout = "stdout"
	TraceHTTP   = "http"
)

// Trace says where spans go.
type Trace struct {
	// To is off, stdout or http (OTLP over HTTP).
	To string `json:"to"`
	// URL is the collector's address, for http.
	URL string `json:"url"`
	// Share of requests that are traced, from 0 to 1, where the caller has
	// not decided.
	Share float64 `json:"share"`
}

// The default values of the settings.
const (
	defaultPrefix  = "carobward/"
	defaultStore   = 2 * time.Second
	defaultList    = time.Second
	defaultHeader  = 16 * carobward.Kilobyte
	defaultBody    = carobward.Megabyte
	defaultBodies  = 128 * carobward.Megabyte
	defaultCalls   = 4096
	defaultConns   = 8192
	defaultPerIP   = defaultConns / 4
	defaultRead    = 5 * time.Second
	defaultWrite   = 5 * time.Second
	defaultIdle    = time.Minute
	defaultKeep    = 5 * time.Second
	defaultStop    = 30 * time.Second
	defaultLog     = "info"
	defaultSampled = 0.01
)

// Defaults returns settings in which everything that has a default is set.
func Defaults() Settings {
	return Settings{
		Store: Store{Prefix: defaultPrefix, Timeout: carobward.Duration(defaultStore)},
		List:  List{Every: carobward.Duration(defaultList)},
		Limits: Limits{
			Header: defaultHeader,
			Body:   defaultBody,
			Bodies: defaultBodies,
			Calls:  defaultCalls,
			Conns:  defaultConns,
			Read:   carobward.Duration(defaultRead),
			Write:  carobward.Duration(defaultWrite),
			Idle:   carobward.Duration(defaultIdle),

			ConnsPerIP: defaultPerIP,
		},
		Link:  defaultLink(),
		Route: defaultRoute(),
		Probe: defaultProbe(),
		Keep:  carobward.Duration(defaultKeep),
		Stop:  carobward.Duration(defaultStop),
		Once:  defaultOnce(),
		Trace: Trace{To: TraceOff, Share: defaultSampled},
		Log:   defaultLog,
	}
}

// Parse reads settings from JSON with comments over the defaults and
// validates them. The name is that of the file. The error names every
// problem that was found, with its place.
func Parse(name string, raw []byte) (Settings, error) {
	s := Defaults()

	places, err := cwjson.Decode(name, raw, &s)
	if err != nil && !places.Has("") {
		return s, err
	}

	return s, cwjson.MergeProblems(err, place(s.Validate(), places))
}

// Load reads, defaults and validates a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}

	return Parse(path, raw)
}
