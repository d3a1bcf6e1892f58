package cwfront

import (
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// regionAllowed reports whether the route's allowed regions let the request go to a
// failure domain. If a route restricts its regions, a domain of unknown region is not
// allowed.
func (r *request) regionAllowed(d carobward.Domain) bool {
	allowed := r.route.AllowedRegions

	return len(allowed) == 0 || slices.Contains(allowed, r.front.Regions[d])
}

// allowedServers returns the servers that the request may be sent to. If its route doesn't
// restrict the regions, servers of other regions are used only if the own region has none:
// a round trip to another region takes longer than waiting for a slot.
func (r *request) allowedServers(views []cwbackend.View) []cwbackend.View {
	own := r.front.Regions[r.front.Domain]

	if len(r.route.AllowedRegions) > 0 {
		return slices.DeleteFunc(views, func(v cwbackend.View) bool { return !r.regionAllowed(v.Domain) })
	}

	elsewhere := func(v cwbackend.View) bool { return r.front.Regions[v.Domain] != own }
	if !slices.ContainsFunc(views, func(v cwbackend.View) bool { return !elsewhere(v) }) {
		return views
	}

	return slices.DeleteFunc(views, elsewhere)
}
