package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwtest"
)

func TestExitCodes(t *testing.T) {
	bad := cwtest.File(t, "bad.jsonc", `{"targts": []}`)

	tests := map[string]struct {
		args []string
		want int
	}{
		"help":               {[]string{"help"}, exitOK},
		"help of one":        {[]string{"help", "apply"}, exitOK},
		"help of none":       {[]string{"help", "weigh"}, exitFailed},
		"flag for help":      {[]string{"apply", "--help"}, exitOK},
		"no command":         {nil, exitUsage},
		"unknown command":    {[]string{"weigh"}, exitUsage},
		"unknown flag":       {[]string{"check", "--weights"}, exitUsage},
		"missing flag":       {[]string{"serve"}, exitUsage},
		"settings as target": {[]string{"check", "-s", "../../examples/atlas/ifrane-1.jsonc", "-t", "../../examples/atlas"}, exitFailed},
		"an experiment":      {[]string{"bench", "budget", "--seeds", "1"}, exitOK},
		"no fleet":           {[]string{"bench", "budget", "--vms", "0"}, exitFailed},
		"a small fleet":      {[]string{"bench", "leave", "--seeds", "1", "--vms", "3"}, exitOK},
		"carriers":           {[]string{"bench", "carriers", "--vms", "5"}, exitOK},
		"fit targets":        {[]string{"check", "-t", "../../examples/pase/targets.jsonc"}, exitOK},
		"unfit targets":      {[]string{"check", "-t", bad}, exitFailed},
		"unfit settings":     {[]string{"serve", "-s", bad}, exitFailed},
		"nobody there":       {[]string{"status", "--vm", "127.0.0.1:1"}, exitFailed},
		"idle closes":        {[]string{"bench", "idle", "--calls", "2"}, exitOK},
		"no idle closes":     {[]string{"bench", "idle", "--calls", "0"}, exitFailed},
		"scripts":            {[]string{"bench", "scripts", "--seeds", "2"}, exitOK},
		"no scripts":         {[]string{"bench", "scripts", "--seeds", "0"}, exitFailed},
		"unknown experiment": {[]string{"bench", "weigh"}, exitFailed},
		"nothing to look at": {[]string{"check"}, exitFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, run(tt.args)); diff != "" {
				t.Errorf("exit code of %v (-want +got):\n%s", tt.args, diff)
			}
		})
	}
}
