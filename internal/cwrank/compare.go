package cwrank

// CompareBool orders false before true, like cmp.Compare does numbers.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
