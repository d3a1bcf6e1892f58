package cwstand

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"

	"carobward.example/carobward"
)

// ServerEntry returns the value of a server's entry in the store.
func ServerEntry(service carobward.Service, address carobward.Address, domain carobward.Domain, state string) []byte {
	raw, err := json.Marshal(map[string]any{
		"address": address,
		"info":    map[string]any{"service": service, "version": "v1", "zone": domain, "slots": upstreamSlots},
		"status":  map[string]any{"state": state, "seq": 1, "warmup_left": "0ms"},
	})
	if err != nil {
		return nil
	}

	return raw
}

// ServerEntryWithStart returns a copy of a server's entry with the start time of the server's
// process, in milliseconds since the Unix epoch.
func ServerEntryWithStart(entry []byte, start int64) []byte {
	all := map[string]any{}
	if err := json.Unmarshal(entry, &all); err != nil {
		return nil
	}

	all["born"] = start

	raw, err := json.Marshal(all)
	if err != nil {
		return nil
	}

	return raw
}

// ServerEntryWithSeq returns a copy of a server's entry with the sequence number of its nth
// write.
func ServerEntryWithSeq(entry []byte, nth uint64) []byte {
	all := struct {
		Address json.RawMessage `json:"address"`
		Born    json.RawMessage `json:"born,omitempty"`
		Info    json.RawMessage `json:"info"`
		Status  map[string]any  `json:"status"`
	}{}
	if err := json.Unmarshal(entry, &all); err != nil {
		return nil
	}

	all.Status["seq"] = nth

	raw, err := json.Marshal(all)
	if err != nil {
		return nil
	}

	return raw
}

// warmupRate is the number of requests per second that a server accepts while it warms
// up, as in the users' deployments.
const warmupRate = 4.8

// MetadataRoute is one route of a configuration. Missing fields get default values.
type MetadataRoute map[string]any

// MetadataConfig returns the value of a configuration with one host and the services
// that its routes name.
func MetadataConfig(version int, host string, routes ...MetadataRoute) []byte {
	services := map[any]bool{}
	paths := []MetadataRoute{}

	for i, r := range routes {
		path := MetadataRoute{
			"name": "r-" + strconv.Itoa(i), "timeout": "2s", "target_latency": "500ms", "priority": i, "max_attempts": 2,
		}
		maps.Copy(path, r)
		paths = append(paths, path)
		services[path["service"]] = true
	}

	list := []any{}
	for name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 200, "warmup": "3s", "warmup_per_s": warmupRate})
	}

	raw, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"services": list,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
		"hosts":    []any{map[string]any{"host": host, "paths": paths}},
	})
	if err != nil {
		return nil
	}

	return raw
}

// MetadataConfigWithBody returns a copy of a configuration with another limit on the bodies of requests.
func MetadataConfigWithBody(config []byte, most carobward.ByteCount) []byte {
	all := map[string]any{}
	if err := json.Unmarshal(config, &all); err != nil {
		return nil
	}

	limits, ok := all["limits"].(map[string]any)
	if !ok {
		return nil
	}

	limits["max_body_bytes"] = most

	raw, err := json.Marshal(all)
	if err != nil {
		return nil
	}

	return raw
}

// MetadataTeam is one team of a configuration.
type MetadataTeam struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	// Priority overrides the priority of the route. Nil means no override.
	Priority *int `json:"priority,omitempty"`
	// Rate and Burst are the team's quota. Zero means no quota.
	Rate  float64 `json:"rate_per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// MetadataConfigWithTeams returns a copy of a configuration with teams, whose API keys identify
// callers.
func MetadataConfigWithTeams(config []byte, teams ...MetadataTeam) []byte {
	all := map[string]any{}
	if err := json.Unmarshal(config, &all); err != nil {
		return nil
	}

	all["tenants"] = teams

	raw, err := json.Marshal(all)
	if err != nil {
		return nil
	}

	return raw
}
