package cwconfig

// What the tests outside of the package call: they use cwspread, which
// imports this package.
var (
	Saw  = (*Syncer).saw
	Hear = (*Syncer).hear
)
