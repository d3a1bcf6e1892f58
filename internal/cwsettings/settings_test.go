package cwsettings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwjson"
	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwtest"
)

const valid = `{
	"vm": "ifrane-1", "domain": "Ifrane",
	"listen": {"callers": "127.0.0.1:1", "lookup": "127.0.0.1:2", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4"},
	"store": {"url": "http://127.0.0.1:8500"}, "list": {"url": "http://127.0.0.1:8500/vms"},
	"limits": {}, "trace": {},
}`

// settingsWith returns the valid settings with the first occurrence of old
// replaced.
func settingsWith(old, text string) string { return strings.Replace(valid, old, text, 1) }

func TestParse(t *testing.T) {
	tests := map[string]struct{ text, err string }{
		"valid":                    {text: valid},
		"IPv6 address":             {text: settingsWith("127.0.0.1:1", "[::1]:1")},
		"no vm":                    {text: settingsWith(`"vm": "ifrane-1", `, ""), err: `s:1:1: "vm": want the id of this entry VM, small letters, digits, dashes and dots, such as "ifrane-1", got ""`},
		"space in the vm":          {text: settingsWith("ifrane-1", "ifrane 1"), err: `s:2:8: "vm": want the id of this entry VM, small letters, digits, dashes and dots, such as "ifrane-1", got "ifrane 1"`},
		"host name":                {text: settingsWith("127.0.0.1:1", "localhost:1"), err: `s:3:24: "listen.callers": want an IP number and a port such as "10.0.0.5:7001", got "localhost:1"`},
		"duplicate address":        {text: settingsWith("127.0.0.1:2", "127.0.0.1:1"), err: `s:3:49: "listen.lookup": want an address of its own, got "127.0.0.1:1", which is "listen.callers" already`},
		"unspecified address":      {text: settingsWith("127.0.0.1:1", "0.0.0.0:1"), err: `s:3:24: "listen.callers": want the address that others use for this VM, got "0.0.0.0:1"`},
		"no key, not loopback":     {text: settingsWith("127.0.0.1:4", "10.0.0.5:4"), err: `s:3:101: "listen.operators": want a loopback address or a key file in "keys.operators", got "10.0.0.5:4" and none`},
		"store by host name":       {text: settingsWith("http://127.0.0.1:8500", "http://store:8500"), err: `s:4:19: "store.url": want an IP number as the host, such as "http://10.0.0.2:8500", got "http://store:8500"`},
		"store without a scheme":   {text: settingsWith("http://127.0.0.1:8500", "127.0.0.1"), err: `s:4:19: "store.url": want an address such as "http://10.0.0.2:8500", got "127.0.0.1"`},
		"header limit too low":     {text: settingsWith(`"limits": {}`, `"limits": {"header": 10}`), err: `s:5:23: "limits.header": want from 1024 to 1048576, got 10`},
		"connection limit too low": {text: settingsWith(`"limits": {}`, `"limits": {"conns": 9}`), err: `s:5:22: "limits.conns": want at least "limits.calls" (4096), since each request in flight holds a connection, got 9`},
		"negative time":            {text: settingsWith(`"limits": {}`, `"keep": "-5s"`), err: `s:5:10: "keep": want a time from 1s to 1h0m0s, got -5s`},
		"stop before keep":         {text: settingsWith(`"limits": {}`, `"stop": "2s"`), err: `s:5:10: "stop": want at least 2s more than "keep" (5s), since callers use old answers for that long, got 2s`},
		"share above 1":            {text: settingsWith(`"trace": {}`, `"trace": {"share": 1.01}`), err: `s:5:35: "trace.share": want a number from 0 to 1, got 1.01`},
		"http without a URL":       {text: settingsWith(`"trace": {}`, `"trace": {"to": "http"}`), err: `s:5:25: "trace.url": want an address such as "http://10.0.0.2:8500", got ""`},
		"URL without http":         {text: settingsWith(`"trace": {}`, `"trace": {"url": "http://127.0.0.1:1"}`), err: `s:5:33: "trace.url": want it left out unless "trace.to" is http, got "http://127.0.0.1:1"`},
		"unknown log level":        {text: settingsWith(`"trace": {}`, `"log": "loud"`), err: `s:5:23: "log": want debug, info or error, got "loud"`},
		"no connections":           {text: settingsWith(`"limits": {}`, `"link": {"conns": 0}`), err: `s:5:20: "link.conns": want from 1 to 1048576, got 0`},
		"horizon too short":        {text: settingsWith(`"limits": {}`, `"once": {"horizon": "5s"}`), err: `s:5:22: "once.horizon": want at least 1s and more than "keep", since callers use a ticket for that long, got 5s`},
		"two problems": {
			text: settingsWith(`"trace": {}`, `"log": "", "keep": "0s"`),
			err: `s:5:35: "keep": want a time from 1s to 1h0m0s, got 0s` + "\n" +
				`s:5:23: "log": want debug, info or error, got ""`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := cwsettings.Parse("s", []byte(tt.text))
			if diff := cmp.Diff(tt.err, cwtest.ErrorText(err)); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReadKey(t *testing.T) {
	long := strings.Repeat("k", 32)
	tests := map[string]struct {
		text string
		mode os.FileMode
		want string
		err  string
	}{
		"valid":                 {text: long + "\n", mode: 0o600, want: long},
		"readable by others":    {text: long, mode: 0o644, want: long},
		"empty":                 {text: " \n", mode: 0o600, err: "want one word of at least 32 characters"},
		"short":                 {text: long[1:], mode: 0o600, err: "want one word of at least 32 characters"},
		"two words":             {text: long + " " + long, mode: 0o600, err: "want one word"},
		"writable by others":    {text: long, mode: 0o666, err: "only its owner may write"},
		"too large":             {text: strings.Repeat(long, 200), mode: 0o600, err: "at most 4096 bytes"},
		"writable by the group": {text: long, mode: 0o620, err: "only its owner may write"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := cwtest.File(t, "key", tt.text)
			if err := os.Chmod(path, tt.mode); err != nil {
				t.Fatal(err)
			}

			got, err := cwsettings.ReadKey(path)
			if got != tt.want || !strings.Contains(cwtest.ErrorText(err), tt.err) || (err == nil) != (tt.err == "") {
				t.Errorf("got %q, %v; want %q, %q", got, err, tt.want, tt.err)
			}
		})
	}

	if _, err := cwsettings.ReadKey(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("ReadKey succeeded for a file that does not exist")
	}
}

func TestCheckKeys(t *testing.T) {
	path := cwtest.File(t, "key", strings.Repeat("k", 32))
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}

	s := cwsettings.Settings{Keys: cwsettings.Keys{Peers: path, Operators: path}}

	warnings, err := s.CheckKeys()
	if err != nil || len(warnings) != 3 {
		t.Errorf("got %q, %v; want two warnings about permissions and one about a shared key", warnings, err)
	}

	s.Keys.Peers = path + "-none"
	if _, err := s.CheckKeys(); err == nil || !strings.Contains(err.Error(), `"keys.peers"`) {
		t.Errorf("got %v, want an error that names keys.peers", err)
	}
}

func TestKeysDocumented(t *testing.T) {
	cwtest.CheckDocKeys(t, "../../docs/settings.md", cwjson.Keys(reflect.TypeFor[cwsettings.Settings]()))
}

func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*/*-1.jsonc")
	if len(files) != 6 {
		t.Fatalf("got %q, want three settings files for each of two deployments", files)
	}

	for _, f := range files {
		if _, err := cwsettings.Load(f); err != nil {
			t.Error(err)
		}
	}
}

// FuzzParse verifies that accepted settings pass Validate, and that each line
// of an error starts with the name of the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(settingsWith(`"trace": {}`, `"trace": {"share": 1e-400}`)))
	f.Add([]byte(settingsWith("127.0.0.1:1", "[::1%lo]:1")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := cwsettings.Parse("s", raw)
		if err == nil && s.Validate() != nil {
			t.Errorf("accepted by Parse, but rejected by Validate: %v", s.Validate())
		}

		for line := range strings.Lines(cwtest.ErrorText(err)) {
			if !strings.HasPrefix(line, "s:") {
				t.Errorf("got error line %q without a place", line)
			}
		}
	})
}
