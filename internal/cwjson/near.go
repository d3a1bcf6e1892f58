package cwjson

// nearMost is the most edits after which a key is still taken for a slip of
// the pen.
const nearMost = 2

// near returns the known key that is the fewest edits away, or "".
func near(key string, known []string) string {
	best, least := "", nearMost+1

	for _, k := range known {
		if d := distance(key, k); d < least && d < len(k) {
			best, least = k, d
		}
	}

	return best
}

// distance returns the Levenshtein distance of two short texts in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}

	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1

		for j := range len(b) {
			swap := corner
			if a[i] != b[j] {
				swap++
			}

			corner = row[j+1]
			row[j+1] = min(swap, row[j]+1, corner+1)
		}
	}

	return row[len(b)]
}
