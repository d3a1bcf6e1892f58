package main

import "carobward.example/carobward/internal/cwstand"

const usagePlatform = `Serve the Consul KV HTTP API in part and a VM list in the format of
Prometheus HTTP service discovery at /vms. PUT /vms replaces the list.`

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7100" description:"Address to listen on."`
}

// Execute serves until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	ln, err := listen(c.Listen)
	if err != nil {
		return err
	}

	p := cwstand.NewPlatform(ln)
	defer p.Close()

	waitForSignal()

	return nil
}
