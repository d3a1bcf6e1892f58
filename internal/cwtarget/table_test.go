package cwtarget_test

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// targets returns a catch-all target that may be repeated and targets that
// must not. If a request for one of the latter matched the catch-all, it
// could be sent twice.
func targets() []carobward.Target {
	target := func(name carobward.TargetName, promise carobward.Promise, host string, match ...carobward.Match) carobward.Target {
		return carobward.Target{
			Name: name, Service: "records", Promise: promise, Host: host, Match: match,
			Within: 1e9, Body: carobward.Kilobyte,
		}
	}

	return []carobward.Target{
		target("all", carobward.Quick, "", carobward.Match{Path: "/"}),
		target("fee", carobward.Once, "", carobward.Match{Method: "POST", Path: "/fees"}),
		target("refund", carobward.Once, "", carobward.Match{Path: "/fees/refunds/"}),
		target("sheet", carobward.Quick, "", carobward.Match{Method: "GET", Path: "/sheets/"}),
		target("club", carobward.Once, "club.example", carobward.Match{Path: "/caf%C3%A9"}),
	}
}

func TestFind(t *testing.T) {
	tests := map[string]struct {
		host, method, uri string
		want              carobward.TargetName
		err               error
	}{
		"exact":                                {method: "POST", uri: "/fees", want: "fee"},
		"with a query":                         {method: "POST", uri: "/fees?x=/../sheets", want: "fee"},
		"below the path":                       {method: "POST", uri: "/fees/17", want: "fee"},
		"trailing slash":                       {method: "POST", uri: "/fees/", want: "fee"},
		"no trailing slash":                    {method: "GET", uri: "/sheets", want: "sheet"},
		"prefix of a segment":                  {method: "POST", uri: "/feesx", want: "all"},
		"longest path":                         {method: "POST", uri: "/fees/refunds/1", want: "refund"},
		"another method":                       {method: "GET", uri: "/fees", want: "all"},
		"encoded letter":                       {method: "POST", uri: "/%66ees", want: "fee"},
		"own host":                             {host: "club.example", method: "GET", uri: "/caf%C3%A9/1", want: "club"},
		"own host, upper case and port":        {host: "Club.EXAMPLE.:80", method: "GET", uri: "/caf%c3%a9", want: "club"},
		"own host, other path":                 {host: "club.example", method: "POST", uri: "/fees", want: "fee"},
		"other host":                           {host: "[::1]:80", method: "GET", uri: "/caf%C3%A9", want: "all"},
		"root":                                 {method: "GET", uri: "/", want: "all"},
		"parent segment":                       {method: "POST", uri: "/sheets/../fees", err: cwtarget.ErrSegment},
		"encoded parent segment":               {method: "POST", uri: "/sheets/%2e%2E/fees", err: cwtarget.ErrSegment},
		"parent segment below":                 {method: "POST", uri: "/fees/../sheets/x", err: cwtarget.ErrSegment},
		"parent segment at the end":            {method: "GET", uri: "/fees/..", err: cwtarget.ErrSegment},
		"dot segment":                          {method: "POST", uri: "/./fees", err: cwtarget.ErrSegment},
		"double slash":                         {method: "POST", uri: "//fees", err: cwtarget.ErrSegment},
		"double slash at the end":              {method: "POST", uri: "/fees//", err: cwtarget.ErrSegment},
		"encoded slash":                        {method: "POST", uri: "/sheets%2Ffees", err: cwtarget.ErrEncoding},
		"parent segment with an encoded slash": {method: "GET", uri: "/sheets/..%2ffees", err: cwtarget.ErrEncoding},
		"backslash":                            {method: "GET", uri: `/sheets\..\fees`, err: cwtarget.ErrByte},
		"encoded backslash":                    {method: "GET", uri: "/sheets/..%5cfees", err: cwtarget.ErrEncoding},
		"parameter":                            {method: "POST", uri: "/fees;a=b", err: cwtarget.ErrByte},
		"parent segment with a parameter":      {method: "POST", uri: "/sheets/..;/fees", err: cwtarget.ErrByte},
		"encoded parameter":                    {method: "POST", uri: "/fees%3Ba", err: cwtarget.ErrEncoding},
		"encoded twice":                        {method: "POST", uri: "/%2566ees", err: cwtarget.ErrEncoding},
		"encoded zero byte":                    {method: "POST", uri: "/fees%00", err: cwtarget.ErrEncoding},
		"percent sign only":                    {method: "POST", uri: "/fees%", err: cwtarget.ErrEncoding},
		"invalid encoding":                     {method: "POST", uri: "/%6gees", err: cwtarget.ErrEncoding},
		"encoded percent sign":                 {method: "GET", uri: "/sheets/100%25", want: "sheet"},
		"upper-case path":                      {method: "POST", uri: "/Fees", err: cwtarget.ErrCase},
		"upper case below the path":            {method: "POST", uri: "/fees/ABC", want: "fee"},
		"bytes that need encoding":             {method: "GET", uri: "/caf\xc3\xa9", err: cwtarget.ErrByte},
		"fragment":                             {method: "GET", uri: "/sheets#/fees", err: cwtarget.ErrByte},
		"fragment in the query":                {method: "GET", uri: "/sheets?x#/fees", err: cwtarget.ErrByte},
		"absolute form":                        {method: "POST", uri: "http://club.example/fees", err: cwtarget.ErrNotPath},
		"asterisk form":                        {method: "OPTIONS", uri: "*", err: cwtarget.ErrNotPath},
		"no path":                              {method: "GET", uri: "", err: cwtarget.ErrNotPath},
		"lower-case method":                    {method: "post", uri: "/fees", err: cwtarget.ErrMethod},
		"no method":                            {method: "", uri: "/fees", err: cwtarget.ErrMethod},
		"user info in the host":                {host: "a@club.example", method: "GET", uri: "/", err: cwtarget.ErrHost},
		"too deep":                             {method: "GET", uri: strings.Repeat("/a", 65), err: cwtarget.ErrTooManySegments},
	}

	table := cwtarget.NewTable(targets())

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := table.Find(tt.host, tt.method, tt.uri)
			if !errors.Is(err, tt.err) {
				t.Fatalf("got error %v, want %v", err, tt.err)
			}

			if diff := cmp.Diff(tt.want, nameOf(got)); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}

	_, err := cwtarget.NewTable(targets()[1:2]).Find("", "GET", "/fees")
	if !errors.Is(err, cwtarget.ErrNoTarget) {
		t.Errorf("got %v, want %v", err, cwtarget.ErrNoTarget)
	}
}

func nameOf(t *carobward.Target) carobward.TargetName {
	if t == nil {
		return ""
	}

	return t.Name
}

// readings returns the paths that servers may see in a request target: as it
// is, and decoded once and twice. For each of these it adds the lower-case
// path, truncated at zero bytes and fragments, without parameters, with dot
// segments resolved, backslashes as slashes and empty segments removed.
func readings(uri string) []string {
	path, _, _ := strings.Cut(uri, "?")
	all := []string{path}

	once, err := url.PathUnescape(path)
	if err == nil {
		all = append(all, once)

		if twice, err := url.PathUnescape(once); err == nil {
			all = append(all, twice)
		}
	}

	for _, p := range all[:len(all):len(all)] {
		p = strings.ToLower(strings.ReplaceAll(p, `\`, "/"))
		p, _, _ = strings.Cut(p, "\x00")
		p, _, _ = strings.Cut(p, "#")

		var clean []string

		for s := range strings.SplitSeq(p, "/") {
			s, _, _ = strings.Cut(s, ";")

			switch {
			case s == "" || s == ".":
			case s == ".." && len(clean) > 0:
				clean = clean[:len(clean)-1]
			case s != "..":
				clean = append(clean, s)
			}
		}

		all = append(all, "/"+strings.Join(clean, "/"))
	}

	return all
}

// expectedPromise returns the promise of a path by a simple prefix check.
func expectedPromise(path string) carobward.Promise {
	path += "/"
	if strings.HasPrefix(path, "/fees/") {
		return carobward.Once
	}

	return carobward.Quick
}

// FuzzFind verifies that if Find returns a target that may be repeated, no
// server can interpret the request target as a path that must not be.
func FuzzFind(f *testing.F) {
	for _, uri := range []string{"/fees", "/sheets/../fees", "//fees", "/%66ees", "/%2566ees", "/FEES", "/fees;a", "/sheets/..%2ffees", "/x?/fees"} {
		f.Add(uri)
	}

	table := cwtarget.NewTable(targets())

	f.Fuzz(func(t *testing.T, uri string) {
		found, err := table.Find("", "POST", uri)
		if err != nil {
			return
		}

		for _, r := range readings(uri) {
			if expectedPromise(r) == carobward.Once && found.Promise != carobward.Once {
				t.Errorf("%q matches target %q, but a server may interpret it as %q", uri, found.Name, r)
			}
		}
	})
}

// manyTargets returns three targets with four matches each for every service.
func manyTargets(services int) []carobward.Target {
	var all []carobward.Target

	for i := range services {
		for j, promise := range []carobward.Promise{carobward.Quick, carobward.Once, carobward.Once} {
			t := carobward.Target{
				Name: carobward.TargetName(fmt.Sprintf("t%d-%d", i, j)), Service: "records",
				Promise: promise, Within: 1e9, Body: 1,
			}
			for k := range 4 {
				t.Match = append(t.Match, carobward.Match{Method: "POST", Path: fmt.Sprintf("/s%d/part%d/%d", i, j, k)})
			}

			all = append(all, t)
		}
	}

	return all
}

// BenchmarkFind compares a lookup in the table with a linear scan of all
// matches, by the number of services, and measures the construction of the
// table.
func BenchmarkFind(b *testing.B) {
	for _, services := range []int{2, 20, 220} {
		all := manyTargets(services)
		table := cwtarget.NewTable(all)
		uri := fmt.Sprintf("/s%d/part1/2/reconciliations?day=17", services/2)

		b.Run(fmt.Sprintf("table/%d", services), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				if _, err := table.Find("carob.example:80", "POST", uri); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("scan/%d", services), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				if scan(all, "POST", uri) == nil {
					b.Fatal("no target")
				}
			}
		})
		b.Run(fmt.Sprintf("make/%d", services), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				cwtarget.NewTable(all)
			}
		})
	}
}

func scan(all []carobward.Target, method, uri string) *carobward.Target {
	for i := range all {
		for _, m := range all[i].Match {
			if m.Method == method && strings.HasPrefix(uri, m.Path) {
				return &all[i]
			}
		}
	}

	return nil
}
