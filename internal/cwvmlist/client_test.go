package cwvmlist

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
)

func TestParse(t *testing.T) {
	const server = `{"targets":["10.0.0.1:80"],"labels":{"service":"records","domain":"Ifrane"`

	one := carobward.VM{Address: "10.0.0.1:80", Service: "records", Domain: "Ifrane"}
	leaving := one
	leaving.State = carobward.Leaving

	for name, tt := range map[string]struct {
		raw  string
		want []carobward.VM
		err  error
	}{
		"one":                     {`[` + server + `}}]`, []carobward.VM{one}, nil},
		"leaving":                 {`[` + server + `,"state":"leaving"}}]`, []carobward.VM{leaving}, nil},
		"unknown state":           {`[` + server + `,"state":"new"}}]`, []carobward.VM{one}, nil},
		"unknown label":           {`[` + server + `,"rack":"7"}}]`, []carobward.VM{one}, nil},
		"duplicate":               {`[` + server + `}},` + server + `}}]`, []carobward.VM{one}, nil},
		"duplicate, first leaves": {`[` + server + `,"state":"leaving"}},` + server + `}}]`, []carobward.VM{leaving}, nil},
		"duplicate, last leaves":  {`[` + server + `}},` + server + `,"state":"leaving"}}]`, []carobward.VM{leaving}, nil},
		"host name, and valid":    {`[{"targets":["host:80"],"labels":{}},` + server + `}}]`, []carobward.VM{one}, ErrAddress},
		"no port":                 {`[{"targets":["10.0.0.1"],"labels":{}}]`, nil, ErrAddress},
		"empty":                   {`[]`, nil, ErrEmpty},
		"null":                    {`null`, nil, ErrEmpty},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse([]byte(tt.raw))
			if diff := cmp.Diff(tt.want, got); diff != "" || !errors.Is(err, tt.err) {
				t.Errorf("got error %v; VMs (-want +got):\n%s", err, diff)
			}
		})
	}

	if got, err := Parse([]byte(`[{]`)); err == nil || got != nil {
		t.Errorf("malformed list: got %v, %v, want an error only", got, err)
	}
}

// FuzzParse verifies that any input gives VMs with distinct addresses, or an
// error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"targets":["10.0.0.1:80","[::1]:1"],"labels":{"service":"s","state":"leaving"}}]`))
	f.Add([]byte(`[{"targets":["a"]}]`))

	f.Fuzz(func(t *testing.T, raw []byte) {
		all, err := Parse(raw)
		if len(all) == 0 && err == nil {
			t.Error("no VMs and no error")
		}

		seen := map[carobward.Address]bool{}
		for _, v := range all {
			if seen[v.Address] {
				t.Errorf("duplicate address %s", v.Address)
			}

			seen[v.Address] = true
		}
	})
}
