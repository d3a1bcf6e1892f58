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
		"help":                        {[]string{"help"}, exitOK},
		"help for a command":          {[]string{"help", "apply"}, exitOK},
		"help for an unknown command": {[]string{"help", "weigh"}, exitFailed},
		"help flag":                   {[]string{"apply", "--help"}, exitOK},
		"no command":                  {nil, exitUsage},
		"unknown command":             {[]string{"weigh"}, exitUsage},
		"unknown flag":                {[]string{"check", "--weights"}, exitUsage},
		"missing flag":                {[]string{"serve"}, exitUsage},
		"settings as targets":         {[]string{"check", "-s", "../../examples/atlas/ifrane-1.jsonc", "-t", "../../examples/atlas"}, exitFailed},
		"experiment":                  {[]string{"bench", "budget", "--seeds", "1"}, exitOK},
		"empty fleet":                 {[]string{"bench", "budget", "--vms", "0"}, exitFailed},
		"small fleet":                 {[]string{"bench", "leave", "--seeds", "1", "--vms", "3"}, exitOK},
		"carriers":                    {[]string{"bench", "carriers", "--vms", "5"}, exitOK},
		"valid targets":               {[]string{"check", "-t", "../../examples/pase/targets.jsonc"}, exitOK},
		"invalid targets":             {[]string{"check", "-t", bad}, exitFailed},
		"invalid settings":            {[]string{"serve", "-s", bad}, exitFailed},
		"connection refused":          {[]string{"status", "--vm", "127.0.0.1:1"}, exitFailed},
		"idle closes":                 {[]string{"bench", "idle", "--calls", "2"}, exitOK},
		"idle closes without calls":   {[]string{"bench", "idle", "--calls", "0"}, exitFailed},
		"scripts":                     {[]string{"bench", "scripts", "--seeds", "2"}, exitOK},
		"scripts without seeds":       {[]string{"bench", "scripts", "--seeds", "0"}, exitFailed},
		"unknown experiment":          {[]string{"bench", "weigh"}, exitFailed},
		"nothing to check":            {[]string{"check"}, exitFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, run(tt.args)); diff != "" {
				t.Errorf("exit code of %v (-want +got):\n%s", tt.args, diff)
			}
		})
	}
}
