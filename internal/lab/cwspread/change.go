package cwspread

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
)

// Target returns a valid target whose service is the id of the change that made
// it.
func Target(name carobward.TargetName, service carobward.Service) carobward.Target {
	return carobward.Target{
		Name: name, Service: service, Promise: carobward.Quick,
		Match:  []carobward.Match{{Path: "/" + string(name)}},
		Within: carobward.Duration(time.Second), Body: carobward.Kilobyte,
	}
}

// Put returns a change, based on a revision, that puts targets with these
// names. Their service is the id of the change.
func Put(id, author string, base int, names ...string) cwconfig.Change {
	c := cwconfig.Change{ID: carobward.ChangeID(id), Author: author, Base: carobward.Revision(base)}
	for _, n := range names {
		c.Put = append(c.Put, Target(carobward.TargetName(n), carobward.Service(id)))
	}

	return c
}
