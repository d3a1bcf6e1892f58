package cwfront

import (
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// isHome tells whether the request may be sent to a failure domain, as far as its
// route's homes go. One whose region is not known is no home.
func (r *request) isHome(d carobward.Domain) bool {
	homes := r.route.Homes

	return len(homes) == 0 || slices.Contains(homes, r.front.Regions[d])
}

// permitted returns the servers that the request may be sent to. Where its route has no
// homes those of other regions are for when the own one has none: the way there takes
// longer than waiting for a slot.
func (r *request) permitted(views []cwbackend.View) []cwbackend.View {
	own := r.front.Regions[r.front.Domain]

	if len(r.route.Homes) > 0 {
		return slices.DeleteFunc(views, func(v cwbackend.View) bool { return !r.isHome(v.Domain) })
	}

	isAway := func(v cwbackend.View) bool { return r.front.Regions[v.Domain] != own }
	if !slices.ContainsFunc(views, func(v cwbackend.View) bool { return !isAway(v) }) {
		return views
	}

	return slices.DeleteFunc(views, isAway)
}
